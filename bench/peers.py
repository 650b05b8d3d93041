"""Stub peers: members of a zone that speak the daemons' protocols at little cost.

All run in one process: each has its own IP address, answers probes with the real membership core,
and answers Thrift calls from one shared set of records, as in a fleet that has converged.
"""

import random
import selectors
import socket
import threading
import time

from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.server import TThreadedServer
from thriftpy2.thrift import TProcessor
from thriftpy2.transport import TFramedTransportFactory, TServerSocket

from gypsumwind.core.admission import Headroom
from gypsumwind.core.membership import Endpoint, Member, Membership, State, Timing
from gypsumwind.core.ownership import ClaimReply
from gypsumwind.core.records import Record, Records
from gypsumwind.gossip import PERIOD_PER_VM_S
from gypsumwind.utils import monotonic, wall
from gypsumwind.wire import (
    claim_from_wire,
    datagram_from_bytes,
    datagram_to_bytes,
    headroom_to_wire,
    pack,
    record_from_wire,
    record_to_wire,
    reply_to_wire,
    thrift,
)

PORT = 18082
HOLDS_PER_VM = 6
SERVICES_PER_VM = 3


class PeerGroup:
    """Stub members of one zone, and contacts of other zones; a context manager."""

    def __init__(self, block, zones, seeds, gossip_s, probe_s):
        self.gossip_s = gossip_s
        self.records = Records(next(iter(zones)))
        self.lock = threading.Lock()
        self.members = []
        self.ended = threading.Event()
        self.selector = selectors.DefaultSelector()
        number = 0
        timing = Timing(probe_s, 0.4, 1.5)
        for zone, count in zones.items():
            for i in range(count):
                number += 1
                ip = f"{block}.{6 + number // 250}.{1 + number % 250}"
                endpoint = Endpoint(ip, 18080, 18081, PORT)
                local = Member(f"{zone}-s{i}", zone, endpoint, int(wall() * 1000), State.ALIVE)
                core = Membership(local, seeds, timing, random.Random(number), monotonic())
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.bind((ip, PORT))
                sock.setblocking(False)
                self.selector.register(sock, selectors.EVENT_READ, (core, sock))
                self.members.append((core, sock))
        self._merge_all_members()

    def _merge_all_members(self):
        """Merge every member into all others, as after convergence."""
        now = monotonic()
        for core, _ in self.members:
            for other, _ in self.members:
                if other.local.vm != core.local.vm:
                    core._merge(other.local, now)
            core._transmissions.clear()

    def __enter__(self):
        self.servers = [self._server(core.local.endpoint.ip) for core, _ in self.members]
        loops = [self._receive, self._tick, self._publish]
        for target in [*loops, *(server.serve for server in self.servers)]:
            threading.Thread(target=target, daemon=True).start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        for server in self.servers:
            server.close()

    def _server(self, ip):
        return TThreadedServer(
            TProcessor(thrift.Peer, self),
            TServerSocket(ip, PORT, client_timeout=5000),
            iprot_factory=TBinaryProtocolFactory(),
            itrans_factory=TFramedTransportFactory(),
            daemon=True,
        )

    def _receive(self):
        while not self.ended.is_set():
            for key, _ in self.selector.select(0.2):
                core, sock = key.data
                try:
                    message = datagram_from_bytes(sock.recv(65536))
                except (OSError, ValueError):
                    continue
                with self.lock:
                    self._send(sock, core.receive(message, monotonic()))

    def _tick(self):
        while not self.ended.wait(0.1):
            for core, sock in self.members:
                with self.lock:
                    self._send(sock, core.tick(monotonic()))

    def _send(self, sock, envelopes):
        for envelope in envelopes:
            try:
                sock.sendto(datagram_to_bytes(envelope.message), (envelope.ip, envelope.port))
            except OSError:
                continue

    def _publish(self):
        """Publish a new digest of each member of the first zone every period, as daemons do."""
        while not self.ended.is_set():
            version = int(wall() * 1000)
            with self.lock:
                for core, _ in self.members:
                    if core.local.zone == self.members[0][0].local.zone:
                        self.records.put(self._digest(core.local, version))
            self.ended.wait(max(self.gossip_s, PERIOD_PER_VM_S * len(self.members)))

    def _digest(self, local, version):
        holds = [
            thrift.HoldLoad(f"{local.vm}-i{n}", 3, 2, time.time()) for n in range(HOLDS_PER_VM)
        ]
        room = headroom_to_wire(Headroom(12, 4, 8, 6, 2))
        rooms = {f"service-{local.vm}-{n}": room for n in range(SERVICES_PER_VM)}
        payload = pack(thrift.VmDigest(local.vm, local.incarnation, False, holds, rooms, 1))
        return Record(f"vm/{local.vm}", version, local.zone, payload)

    def ping(self):
        return 1

    def reach(self, endpoint):
        return False

    def compare(self, digests):
        with self.lock:
            mine = {d.scope: self.records.digest(d.scope) for d in digests}
            return [
                thrift.ScopeVersions(d.scope, self.records.versions(d.scope))
                for d in digests
                if mine[d.scope] != d.digest
            ]

    def exchange(self, records, wanted):
        with self.lock:
            for record in records:
                self.records.put(record_from_wire(record))
            keys = [key for part in wanted for key in part.keys]
            found = [r for key in keys if (r := self.records.get(key)) is not None]
        return [record_to_wire(record) for record in found]

    def claim(self, claimant, claims):
        replies = [ClaimReply(c.instance, True, "", 0) for c in map(claim_from_wire, claims)]
        return thrift.ClaimAnswer([reply_to_wire(reply) for reply in replies], [])

    def hand_over(self, hold, usages):
        return 0

    def discharge(self, instance, foreign):
        return None

    def inherit(self, homes, entries):
        return None

    def void_attempt(self, attempt, remaining_ms, incarnation):
        return False


def main():
    """Run stub peers until stdin closes; arguments: block gossip-s probe-s seed-ip zone=count..."""
    import sys

    block, gossip_s, probe_s, seed_ip = sys.argv[1:5]
    zones = {z: int(n) for z, n in (part.split("=") for part in sys.argv[5:])}
    seeds = [Endpoint(seed_ip, 0, 0, PORT)]
    with PeerGroup(block, zones, seeds, float(gossip_s), float(probe_s)):
        print("ready", flush=True)
        sys.stdin.read()


if __name__ == "__main__":
    main()
