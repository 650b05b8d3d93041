"""RPC between daemons: Thrift over TCP with a connection per call; the client and the service."""

import socket
import struct
import threading
import time
from collections.abc import Sequence
from contextlib import closing, suppress
from types import TracebackType
from typing import Any

import pykka
from thriftpy2.protocol import TBinaryProtocol, TBinaryProtocolFactory
from thriftpy2.thrift import TClient, TProcessor
from thriftpy2.transport import (
    TFramedTransport,
    TFramedTransportFactory,
    TMemoryBuffer,
    TTransportException,
)

from gypsumwind import messages as msg
from gypsumwind.callers import ACCEPT_PAUSE_S
from gypsumwind.calls import CHUNK_BYTES
from gypsumwind.control_traffic import CountedServerSocket, CountedSocket, control_bytes
from gypsumwind.core.admission import Usage
from gypsumwind.core.idempotency import KeyEntry
from gypsumwind.core.membership import Endpoint
from gypsumwind.core.ownership import Claim, ClaimReply, HandoverReply, Hold
from gypsumwind.core.records import Record
from gypsumwind.core.versions import Version
from gypsumwind.errors import Code, GypsumwindError
from gypsumwind.log import Log
from gypsumwind.memory import MemoryBudget, Reservation
from gypsumwind.relays import RelayHub, RelayUpdate
from gypsumwind.settings import MAX_PEERS, Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.thrift_shape import VALUE_BYTES, count_message_values
from gypsumwind.utils import monotonic
from gypsumwind.wire import (
    claim_from_wire,
    claim_to_wire,
    datagram_from_bytes,
    endpoint_from_wire,
    endpoint_to_wire,
    hold_from_wire,
    hold_to_wire,
    home_state_from_wire,
    homes_to_wire,
    key_entry_to_wire,
    record_from_wire,
    record_to_wire,
    relay_update_from_wire,
    relay_update_to_wire,
    reply_from_wire,
    reply_to_wire,
    thrift,
    versions_from_wire,
    versions_to_wire,
)

log = Log("peers")

MAX_DATAGRAM_BYTES = 16384
"""Largest datagram that is decoded; those of this project have some ten members."""

MAX_WAITING_DATAGRAMS = 128
"""Messages to the members actor beyond which datagrams are dropped, as a network may drop them."""

CALL_TIMEOUT_S = msg.ASK_TIMEOUT_S
"""Longest time in which a call has to arrive, in seconds."""

MAX_CALL_BYTES = 8 * 1024 * 1024
"""Largest call: records of all tables of a fleet, each at most 1 MB."""

MAX_CALL_VALUES = 65536
"""Most values in a call: ten thousand records."""

FRAME_SIZE = struct.Struct("!i")


class PeerError(GypsumwindError):
    """A call to a peer failed; whether it took effect is unknown."""

    def __init__(self, message: str) -> None:
        super().__init__(Code.PEER_UNREACHABLE, message)


class _DeadlineSocket(CountedSocket):
    """A Thrift socket whose reads and writes end by a deadline, however many there are."""

    def __init__(self, sock: socket.socket, deadline: float) -> None:
        super().__init__(sock=sock)
        self._deadline = deadline

    def read(self, sz: int) -> bytes:
        """Read bytes; TimeoutError at the deadline."""
        self._limit()
        return super().read(sz)

    def write(self, buff: bytes) -> None:
        """Write bytes; TimeoutError at the deadline."""
        self._limit()
        super().write(buff)

    def _limit(self) -> None:
        assert self.sock is not None
        self.sock.settimeout(_remaining_s(self._deadline))


def _remaining_s(deadline: float) -> float:
    """Return the timeout of an operation that ends by a deadline; 0 would not wait at all."""
    return max(0.001, deadline - monotonic())


class PeerClient:
    """RPC client for other daemons; each call has its own connection and a timeout.

    Calls without a deadline of their own may take `timeout_s` to connect and for each answer.
    """

    def __init__(self, ip: str, timeout_s: float) -> None:
        self._ip = ip
        self._timeout_s = timeout_s

    def _connect(self, to: Endpoint, timeout_s: float) -> socket.socket:
        try:
            address = (to.ip, to.peer_port)
            return socket.create_connection(address, timeout_s, source_address=(self._ip, 0))
        except OSError as exc:
            raise PeerError(f"{to.ip}:{to.peer_port}: {exc}") from exc

    def _call(self, to: Endpoint, method: str, *args: Any) -> Any:
        sock = self._connect(to, self._timeout_s)
        return self._call_on(CountedSocket(sock=sock), to, method, *args)

    def _call_on(self, counted: CountedSocket, to: Endpoint, method: str, *args: Any) -> Any:
        """Call a peer on a connection of this call alone, and close it."""
        with closing(counted):
            transport = TFramedTransport(counted)
            client = TClient(thrift.Peer, TBinaryProtocol(transport))
            try:
                return getattr(client, method)(*args)
            except Exception as exc:
                raise PeerError(f"{to.ip}:{to.peer_port} {method}: {exc!r}") from exc

    def reaches(self, witness: Endpoint, target: Endpoint) -> bool:
        """Return whether a witness can reach a target."""
        return bool(self._call(witness, "reach", endpoint_to_wire(target)))

    def ping(self, to: Endpoint) -> int:
        """Return the incarnation of a peer."""
        return int(self._call(to, "ping"))

    def compare(self, to: Endpoint, digests: dict[str, int]) -> dict[str, dict[str, Version]]:
        """Return the peer's versions of the scopes whose digests differ."""
        wire = [thrift.ScopeDigest(scope, digest) for scope, digest in digests.items()]
        return {v.scope: versions_from_wire(v) for v in self._call(to, "compare", wire)}

    def exchange(
        self, to: Endpoint, records: Sequence[Record], wanted: dict[str, list[str]]
    ) -> list[Record]:
        """Send records to a peer and return the requested ones."""
        asked = [thrift.Wanted(scope, keys) for scope, keys in wanted.items()]
        given = [record_to_wire(record) for record in records]
        return [record_from_wire(r) for r in self._call(to, "exchange", given, asked)]

    def claim(
        self, to: Endpoint, claimant: str, claims: Sequence[Claim]
    ) -> tuple[list[ClaimReply], list[str]]:
        """Request holds from a peer; return its replies and the VMs in its view of its zone."""
        answer = self._call(to, "claim", claimant, [claim_to_wire(c) for c in claims])
        return [reply_from_wire(reply) for reply in answer.replies], list(answer.live)

    def hand_over(self, to: Endpoint, hold: Hold, usages: Sequence[Usage]) -> HandoverReply:
        """Hand a hold over to a peer, with the requests in flight."""
        now = monotonic()
        usages_left = [
            thrift.UsageLeft(max(0, int((u.deadline - now) * 1000)), u.foreign) for u in usages
        ]
        return HandoverReply(self._call(to, "hand_over", hold_to_wire(hold), usages_left))

    def discharge(self, to: Endpoint, instance: str, foreign: bool) -> None:
        """Notify the new owner that a request of this VM on an instance has finished."""
        self._call(to, "discharge", instance, foreign)

    def inherit(
        self, to: Endpoint, homes: Sequence[msg.HomeId], entries: Sequence[KeyEntry]
    ) -> None:
        """Transfer keys to an heir; with `homes`, it answers for these homes from now on."""
        wire = [key_entry_to_wire(entry) for entry in entries]
        self._call(to, "inherit", homes_to_wire(homes), wire)

    def follow(
        self, to: Endpoint, feed: str, log: int, position: int, wait_s: float, deadline: float
    ) -> RelayUpdate:
        """Long-poll a relay for the changes after a position of a feed's changelog.

        PeerError by the deadline, on this process's clock, at the latest. The wait for changes
        becomes shorter by the time that connecting takes, which is a second if a packet is lost.
        """
        wait_until = monotonic() + wait_s
        sock = self._connect(to, _remaining_s(deadline))
        wait_ms = int(max(0.0, wait_until - monotonic()) * 1000)
        counted = _DeadlineSocket(sock, deadline)
        wire = self._call_on(counted, to, "follow", feed, log, position, wait_ms)
        return relay_update_from_wire(wire)

    def void_attempt(self, to: Endpoint, attempt: str, remaining_ms: int, incarnation: int) -> bool:
        """Void an attempt; True when no copy of it has run or ever will."""
        return bool(self._call(to, "void_attempt", attempt, remaining_ms, incarnation))


class PeerService:
    """Serves the calls of other daemons by messages to the actors."""

    def __init__(
        self,
        cfg: Settings,
        snapshots: Snapshots,
        initial_incarnation: int,
        records: pykka.ActorRef,
        gate: pykka.ActorRef,
        home: pykka.ActorRef,
        hub: RelayHub | None = None,
    ) -> None:
        self._home = home
        self._hub = hub or RelayHub(initial_incarnation, {})
        self._cfg = cfg
        self._snapshots = snapshots
        self._initial_incarnation = initial_incarnation
        self._records = records
        self._gate = gate
        self._probe_client = PeerClient(cfg.ip, cfg.peer_timeout_s / 2)

    def ping(self) -> int:
        """Return the incarnation of this process at its start."""
        return self._initial_incarnation

    def reach(self, endpoint: Any) -> bool:
        """Return whether this VM can reach another one now."""
        try:
            self._probe_client.ping(endpoint_from_wire(endpoint))
        except PeerError:
            return False
        return True

    def compare(self, digests: list[Any]) -> list[Any]:
        """Return the versions of the scopes whose digests differ."""
        own_digests = msg.ask(self._records, msg.GetDigests())
        differing = [
            d.scope for d in digests if d.scope in own_digests and own_digests[d.scope] != d.digest
        ]
        return [
            versions_to_wire(scope, msg.ask(self._records, msg.GetVersions(scope)))
            for scope in differing
        ]

    def exchange(self, records: list[Any], wanted: list[Any]) -> list[Any]:
        """Merge the given records and return the requested ones."""
        if records:
            given = tuple(record_from_wire(record) for record in records)
            self._records.tell(msg.PutRecords(given))
        keys = tuple(key for part in wanted for key in part.keys)
        found = msg.ask(self._records, msg.GetRecords(keys))
        return [record_to_wire(record) for record in found]

    def claim(self, claimant: str, claims: list[Any]) -> Any:
        """Answer claims, and return the VMs of the zone that are present in this VM's view."""
        lease_expiry_s = self._cfg.fence_s + self._cfg.takeover_margin_s
        members, now = self._snapshots.members, monotonic()
        expired_vms = frozenset(
            vm for vm in members.members if members.lease_expired(vm, lease_expiry_s, now)
        )
        asked = tuple(claim_from_wire(wire) for wire in claims)
        replies = msg.ask(self._gate, msg.AnswerClaims(asked, expired_vms))
        live = [member.vm for member in members.present(self._cfg.zone)]
        return thrift.ClaimAnswer(
            [reply_to_wire(reply) for reply in replies], [*live, self._cfg.vm]
        )

    def hand_over(self, hold: Any, usages: list[Any]) -> int:
        """Accept a hold, or refuse it because this VM is itself leaving."""
        now = monotonic()
        usages_left = tuple(Usage(now + u.remaining_ms / 1000.0, u.foreign) for u in usages)
        offered = hold_from_wire(hold)
        message = msg.AcceptHandover(offered, usages_left, self._snapshots.leaving)
        return int(msg.ask(self._gate, message))

    def discharge(self, instance: str, foreign: bool) -> None:
        """Record that a previous owner of the instance has finished a request."""
        self._gate.tell(msg.Discharge(instance, foreign))

    def inherit(self, homes: list[Any], entries: list[Any]) -> None:
        """Store the keys of a home that shuts down."""
        msg.ask(self._home, msg.InheritKeys(home_state_from_wire(homes, entries)))

    def follow(self, feed: str, log: int, position: int, wait_ms: int) -> Any:
        """Answer the long poll of a VM that follows a feed here."""
        return relay_update_to_wire(self._hub.follow(feed, log, position, wait_ms / 1000.0))

    def void_attempt(self, attempt: str, remaining_ms: int, incarnation: int) -> bool:
        """Void an attempt; False if it was sent to an earlier process, unknown to this one."""
        if incarnation < self._initial_incarnation:
            return False
        deadline = monotonic() + remaining_ms / 1000.0
        return bool(msg.ask(self._gate, msg.VoidAttempt(attempt, deadline)))


class _Call:
    """A connection of another VM; `reading_since` is None while its call is served."""

    __slots__ = ("client", "reading_since")

    def __init__(self, client: CountedSocket) -> None:
        self.client = client
        self.reading_since: float | None = monotonic()


class PeerServer:
    """The Thrift server of a daemon: a thread for each connection, up to a limit.

    The bytes and the values of calls count towards `memory`.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        service: PeerService,
        memory: MemoryBudget | None = None,
        max_connections: int = MAX_PEERS,
    ) -> None:
        self._listener = CountedServerSocket(ip, port, client_timeout=int(CALL_TIMEOUT_S * 1000))
        self._processor = TProcessor(thrift.Peer, service)
        self._memory = memory or MemoryBudget()
        self._max_connections = max_connections
        self._calls: set[_Call] = set()
        self._lock = threading.Lock()
        self._closed = False
        self._thread = threading.Thread(target=self._serve, name="peer", daemon=True)

    def _serve(self) -> None:
        self._listener.listen()
        while not self._closed:
            try:
                self._accept()
            except Exception as exc:
                if not self._closed:
                    log.warning("connection-not-accepted", error=repr(exc))
                    time.sleep(ACCEPT_PAUSE_S)

    def _accept(self) -> None:
        call = _Call(self._listener.accept())
        if not self._admit(call):
            call.client.close()
            return
        try:
            threading.Thread(target=self._handle, args=(call,), daemon=True).start()
        except RuntimeError:
            self._end(call)
            raise

    def _end(self, call: _Call) -> None:
        with self._lock:
            self._calls.discard(call)
        call.client.close()

    def _admit(self, call: _Call) -> bool:
        """Add a call; at the limit, only instead of the one that has been arriving for longest."""
        with self._lock:
            if len(self._calls) >= self._max_connections:
                arriving = [c for c in self._calls if c.reading_since is not None]
                oldest = min(arriving, key=lambda c: c.reading_since or 0.0, default=None)
                log.info("call-refused", open=len(self._calls), arriving=len(arriving))
                if oldest is None:
                    return False
                self._calls.discard(oldest)
                with suppress(OSError):
                    oldest.client.sock.shutdown(socket.SHUT_RDWR)
            self._calls.add(call)
            return True

    def _handle(self, call: _Call) -> None:
        """Serve the calls on a connection until it ends."""
        protocols = TBinaryProtocolFactory()
        oprot = protocols.get_protocol(TFramedTransportFactory().get_transport(call.client))
        try:
            while True:
                with Reservation(self._memory) as memory:
                    frame = self._read_frame(call, memory)
                    call.reading_since = None
                    call.client.sock.settimeout(CALL_TIMEOUT_S)
                    self._processor.process(protocols.get_protocol(TMemoryBuffer(frame)), oprot)
                    call.reading_since = monotonic()
        except (TTransportException, OSError):
            return
        except Exception as exc:
            log.warning("call-failed", error=repr(exc))
        finally:
            self._end(call)

    def _read_frame(self, call: _Call, memory: Reservation) -> bytes:
        """Read a call; ValueError if it is malformed or too large, or if there is no memory."""
        deadline = monotonic() + CALL_TIMEOUT_S
        (size,) = FRAME_SIZE.unpack(self._receive(call, FRAME_SIZE.size, deadline, memory))
        if not 0 < size <= MAX_CALL_BYTES:
            raise ValueError(f"a call of {size} bytes, allowed {MAX_CALL_BYTES}")
        frame = self._receive(call, size, deadline, memory)
        values = count_message_values(frame, MAX_CALL_VALUES)
        if not memory.grow(values * VALUE_BYTES):
            raise ValueError(f"no memory for a call of {values} values")
        return frame

    def _receive(self, call: _Call, size: int, deadline: float, memory: Reservation) -> bytes:
        data = bytearray()
        while len(data) < size:
            call.client.sock.settimeout(_remaining_s(deadline))
            part = call.client.read(min(CHUNK_BYTES, size - len(data)))
            if not memory.grow(len(part)):
                raise ValueError(f"no memory for a call of {size} bytes")
            data += part
        return bytes(data)

    def __enter__(self) -> "PeerServer":
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._closed = True
        self._listener.close()


class ProbeListener:
    """Receives membership datagrams and passes them to the members actor."""

    def __init__(self, sock: socket.socket, members: pykka.ActorRef) -> None:
        self._sock = sock
        self._members = members
        self._thread = threading.Thread(target=self._receive, name="probe", daemon=True)

    def _receive(self) -> None:
        while True:
            try:
                data, _ = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                return
            control_bytes.add(len(data))
            waiting = self._members.actor_inbox.qsize()  # type: ignore[attr-defined]
            if len(data) > MAX_DATAGRAM_BYTES or waiting >= MAX_WAITING_DATAGRAMS:
                log.warning("datagram-dropped", size=len(data), waiting=waiting)
            else:
                self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        try:
            message = datagram_from_bytes(data)
        except ValueError:
            return
        try:
            self._members.tell(msg.MembershipMessage(message))
        except pykka.ActorDeadError:
            return

    def __enter__(self) -> "ProbeListener":
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._sock.close()
