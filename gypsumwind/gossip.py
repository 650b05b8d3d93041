"""Spread of records: a push of new tables, and anti-entropy with one peer a period."""

import queue
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

import pykka

from gypsumwind import messages as msg
from gypsumwind.board import Board, VmLoad
from gypsumwind.core.admission import Headroom
from gypsumwind.core.delegates import delegates
from gypsumwind.core.membership import Endpoint, Member
from gypsumwind.core.records import ZONES_SCOPE, Record
from gypsumwind.log import Log
from gypsumwind.payloads import VM_PREFIX, ZONE_PREFIX
from gypsumwind.peers import PeerError, Peers
from gypsumwind.settings import Settings
from gypsumwind.tasks import Task
from gypsumwind.utils import monotonic, wall
from gypsumwind.wire import headroom_to_wire, pack, thrift

log = Log("gossip")

PUSH_FANOUT = 6
PACE_S = 0.05
"""Seconds of a period for each VM of the zone: what control takes stays flat."""

QUEUE_LENGTH = 10_000


def zone_vms(board: Board, zone: str) -> list[str]:
    """Return the VMs of this daemon's zone that new work may be sent to, itself included."""
    vms = [member.vm for member in board.members.live(zone)]
    return vms if board.leaving else [*vms, board.members.me.vm]


def is_delegate(board: Board, zone: str) -> bool:
    """Tell whether this VM is a delegate of its zone; its last one is, even while it leaves."""
    vm = board.members.me.vm
    return vm in delegates(zone, zone_vms(board, zone) or [vm])


def live_loads(board: Board, zone: str) -> list[VmLoad]:
    """Return what the present VMs of the zone last published, this VM's own included."""
    present = {member.vm for member in board.members.present(zone)} | {board.members.me.vm}
    return [load for vm, load in board.vms.items() if vm in present]


def sum_headroom(loads: list[VmLoad]) -> dict[str, Headroom]:
    """Return the headroom of a zone by service."""
    total: dict[str, Headroom] = {}
    for load in loads:
        for service, room in load.headroom.items():
            total[service] = total.get(service, Headroom()).plus(room)
    return total


def common_hash(loads: list[VmLoad]) -> int:
    """Return the hash of the tables that is in force at every VM, 0 while they differ."""
    hashes = {load.tables_hash for load in loads}
    return hashes.pop() if len(hashes) == 1 else 0


@dataclass(slots=True, frozen=True)
class GossipPolicy:
    """What the exchange of records is for.

    With `loads`, VMs and zones publish what they have room for. With `gives`, a VM also gives its
    peer what is newer here. `fresh` names the records that this VM keeps up to date by itself:
    it asks no peer for these, who would send them whole after each change.
    """

    loads: bool = True
    gives: bool = True
    fresh: Callable[[], Collection[str]] = tuple


class GossipTask(Task):
    """Publishes what this VM and its zone have, and evens records out with one peer."""

    def __init__(
        self,
        cfg: Settings,
        boot: int,
        board: Board,
        records: pykka.ActorRef,
        rng: random.Random,
        policy: GossipPolicy | None = None,
    ) -> None:
        super().__init__("gossip", cfg.gossip_s)
        self._policy = policy or GossipPolicy()
        self._cfg = cfg
        self._boot = boot
        self._board = board
        self._records = records
        self._peers = Peers(cfg.ip, cfg.peer_timeout_s)
        self._rng = rng
        self._zone_due = 0.0

    def pause_s(self) -> float:
        """Return the period: longer in a large zone, whose VMs all publish to each other."""
        vms = 1 + len(self._board.members.live(self._cfg.zone))
        return max(self._cfg.gossip_s, PACE_S * vms)

    def step(self) -> None:
        """Publish, then exchange with a peer of the zone and, as a delegate, one outside."""
        speaks = is_delegate(self._board, self._cfg.zone)
        if self._policy.loads:
            self._publish_vm()
            if speaks and monotonic() >= self._zone_due:
                self._zone_due = monotonic() + self._cfg.zone_digest_s
                self._publish_zone()
        for member in self._partners(speaks):
            self._try_sync(member)

    def _partners(self, speaks: bool) -> list[Member]:
        live = self._board.members.live()
        inside = [m for m in live if m.zone == self._cfg.zone]
        outside = [m for m in live if m.zone != self._cfg.zone]
        partners = [self._rng.choice(inside)] if inside else []
        if outside and (speaks or not inside):
            partners.append(self._rng.choice(outside))
        return partners

    def _try_sync(self, member: Member) -> None:
        try:
            self.sync(member.endpoint)
        except PeerError:
            return

    def sync(self, to: Endpoint) -> None:
        """Even the records out with one peer; PeerError if it does not answer."""
        digests = msg.ask(self._records, msg.GetDigests())
        theirs = self._peers.compare(to, digests)
        given: list[Record] = []
        wanted: dict[str, list[str]] = {}
        fresh = self._policy.fresh()
        for scope, versions in theirs.items():
            if self._policy.gives:
                newer = msg.GetNewer(scope, versions)
                given.extend(msg.ask(self._records, newer))
            older = msg.GetWanted(scope, versions)
            wanted[scope] = [key for key in msg.ask(self._records, older) if key not in fresh]
        if given or any(wanted.values()):
            taken = self._peers.exchange(to, given, wanted)
            msg.ask(self._records, msg.PutRecords(tuple(taken)))

    def _publish_vm(self) -> None:
        board = self._board
        holds = [
            thrift.HoldLoad(name, epoch, *board.holds.loads.get(name, (0, 0.0)))
            for name, epoch in board.holds.held.items()
        ]
        room = {s: headroom_to_wire(h) for s, h in board.holds.headroom.items()}
        digest = thrift.VmDigest(
            self._cfg.vm, self._boot, board.leaving, holds, room, board.tables_hash
        )
        key = VM_PREFIX + self._cfg.vm
        msg.ask(self._records, msg.PublishRecord(key, self._cfg.zone, pack(digest)))

    def _publish_zone(self) -> None:
        loads = live_loads(self._board, self._cfg.zone)
        room = {s: headroom_to_wire(h) for s, h in sum_headroom(loads).items()}
        digest = thrift.ZoneDigest(self._cfg.zone, wall(), len(loads), room, common_hash(loads))
        key = ZONE_PREFIX + self._cfg.zone
        msg.ask(self._records, msg.PublishRecord(key, ZONES_SCOPE, pack(digest)))


class SpreadTask(Task):
    """Pushes new tables to a few random peers, so that they spread in a few rounds."""

    def __init__(self, cfg: Settings, board: Board, rng: random.Random) -> None:
        super().__init__("spread", 0.0)
        self._cfg = cfg
        self._board = board
        self._peers = Peers(cfg.ip, cfg.peer_timeout_s)
        self._rng = rng
        self._queue: queue.Queue[list[Record]] = queue.Queue(QUEUE_LENGTH)

    def put(self, records: list[Record]) -> None:
        """Queue records for the push; a full queue leaves them to anti-entropy."""
        try:
            self._queue.put_nowait(records)
        except queue.Full:
            return

    def step(self) -> None:
        """Wait for records and push them; a peer that is not reached gets them later."""
        try:
            records = self._queue.get(timeout=1.0)
        except queue.Empty:
            return
        live = self._board.members.live()
        for member in self._rng.sample(live, min(PUSH_FANOUT, len(live))):
            try:
                self._peers.exchange(member.endpoint, records, {})
            except PeerError:
                continue
