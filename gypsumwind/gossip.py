"""Gossip of records: push of new records, and anti-entropy with a random peer each period."""

import queue
import random
from collections.abc import Callable, Collection
from concurrent.futures import ThreadPoolExecutor, wait
from contextlib import suppress
from dataclasses import dataclass

import pykka

from gypsumwind import messages as msg
from gypsumwind.core.admission import Headroom
from gypsumwind.core.delegates import delegates
from gypsumwind.core.membership import Endpoint, Member
from gypsumwind.core.records import ZONES_SCOPE, Record
from gypsumwind.log import Log
from gypsumwind.payloads import VM_PREFIX, ZONE_PREFIX
from gypsumwind.peers import PeerClient, PeerError
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots, VmLoad
from gypsumwind.tasks import Task
from gypsumwind.utils import monotonic, wall
from gypsumwind.wire import headroom_to_wire, pack, thrift

log = Log("gossip")

PUSH_FANOUT = 6
PERIOD_PER_VM_S = 0.05
"""Gossip period in seconds per VM of the zone; keeps control traffic flat as the zone grows."""

MAX_QUEUED_PUSHES = 10_000


def zone_vms(snapshots: Snapshots, zone: str) -> list[str]:
    """Return the VMs of the zone that accept new work, this VM included unless it is leaving."""
    vms = [member.vm for member in snapshots.members.live(zone)]
    return vms if snapshots.leaving else [*vms, snapshots.members.local.vm]


def is_delegate(snapshots: Snapshots, zone: str) -> bool:
    """Return whether this VM is a delegate; the last VM of a zone is one even while leaving."""
    vm = snapshots.members.local.vm
    return vm in delegates(zone, zone_vms(snapshots, zone) or [vm])


def live_loads(snapshots: Snapshots, zone: str) -> list[VmLoad]:
    """Return the last published loads of the zone's present VMs, this VM's own included."""
    present = {member.vm for member in snapshots.members.present(zone)} | {
        snapshots.members.local.vm
    }
    return [load for vm, load in snapshots.vms.items() if vm in present]


def sum_headroom(loads: list[VmLoad]) -> dict[str, Headroom]:
    """Return the total headroom by service."""
    total: dict[str, Headroom] = {}
    for load in loads:
        for service, service_headroom in load.headroom.items():
            total[service] = total.get(service, Headroom()).plus(service_headroom)
    return total


def common_tables_hash(loads: list[VmLoad]) -> int:
    """Return the hash of the tables in force if it is the same at all VMs, else 0."""
    hashes = {load.tables_hash for load in loads}
    return hashes.pop() if len(hashes) == 1 else 0


@dataclass(slots=True, frozen=True)
class GossipPolicy:
    """Which records are published, pushed and requested.

    With `publishes_loads`, VMs and zones publish their headroom. With `pushes_records`, a VM also
    pushes records that are newer here to its peer. `self_updated` returns the keys of records
    that this VM keeps up to date by itself: it does not request these, because peers would send
    them whole after each change.
    """

    publishes_loads: bool = True
    pushes_records: bool = True
    self_updated: Callable[[], Collection[str]] = tuple


class GossipTask(Task):
    """Publishes the loads of this VM and its zone, and runs anti-entropy with random peers."""

    def __init__(
        self,
        cfg: Settings,
        initial_incarnation: int,
        snapshots: Snapshots,
        records: pykka.ActorRef,
        rng: random.Random,
        policy: GossipPolicy | None = None,
    ) -> None:
        super().__init__("gossip", cfg.gossip_s)
        self._policy = policy or GossipPolicy()
        self._cfg = cfg
        self._initial_incarnation = initial_incarnation
        self._snapshots = snapshots
        self._records = records
        self._peers = PeerClient(cfg.ip, cfg.peer_timeout_s)
        self._rng = rng
        self._zone_due = 0.0

    def pause_s(self) -> float:
        """Return the gossip period, longer in a large zone, whose VMs all publish to each other."""
        vms = 1 + len(self._snapshots.members.live(self._cfg.zone))
        return max(self._cfg.gossip_s, PERIOD_PER_VM_S * vms)

    def step(self) -> None:
        """Publish loads, then sync with a peer of the zone and, as a delegate, one outside it."""
        as_delegate = is_delegate(self._snapshots, self._cfg.zone)
        if self._policy.publishes_loads:
            self._publish_vm()
            if as_delegate and monotonic() >= self._zone_due:
                self._zone_due = monotonic() + self._cfg.zone_digest_s
                self._publish_zone()
        for member in self._partners(as_delegate):
            self._try_sync(member)

    def _partners(self, as_delegate: bool) -> list[Member]:
        live = self._snapshots.members.live()
        inside = [m for m in live if m.zone == self._cfg.zone]
        outside = [m for m in live if m.zone != self._cfg.zone]
        partners = [self._rng.choice(inside)] if inside else []
        if outside and (as_delegate or not inside):
            partners.append(self._rng.choice(outside))
        return partners

    def _try_sync(self, member: Member) -> None:
        try:
            self.sync(member.endpoint)
        except PeerError:
            return

    def sync(self, to: Endpoint) -> None:
        """Run one round of anti-entropy with a peer; PeerError if it does not answer."""
        digests = msg.ask(self._records, msg.GetDigests())
        peer_versions = self._peers.compare(to, digests)
        newer_here: list[Record] = []
        wanted: dict[str, list[str]] = {}
        fresh = self._policy.self_updated()
        for scope, versions in peer_versions.items():
            if self._policy.pushes_records:
                newer = msg.GetNewer(scope, versions)
                newer_here.extend(msg.ask(self._records, newer))
            older = msg.GetWanted(scope, versions)
            wanted[scope] = [key for key in msg.ask(self._records, older) if key not in fresh]
        if newer_here or any(wanted.values()):
            received = self._peers.exchange(to, newer_here, wanted)
            if received:
                versions_by_key = {record.key: str(record.full_version) for record in received}
                log.info("records-received", peer=to.ip, records=versions_by_key)
            msg.ask(self._records, msg.PutRecords(tuple(received)))

    def _publish_vm(self) -> None:
        snapshots = self._snapshots
        holds = [
            thrift.HoldLoad(name, epoch, *snapshots.holds.loads.get(name, (0, 0.0)))
            for name, epoch in snapshots.holds.held.items()
        ]
        headroom_by_service = {s: headroom_to_wire(h) for s, h in snapshots.holds.headroom.items()}
        digest = thrift.VmDigest(
            self._cfg.vm,
            self._initial_incarnation,
            snapshots.leaving,
            holds,
            headroom_by_service,
            snapshots.tables_hash,
        )
        key = VM_PREFIX + self._cfg.vm
        msg.ask(self._records, msg.PublishRecord(key, self._cfg.zone, pack(digest)))

    def _publish_zone(self) -> None:
        loads = live_loads(self._snapshots, self._cfg.zone)
        headroom_by_service = {s: headroom_to_wire(h) for s, h in sum_headroom(loads).items()}
        digest = thrift.ZoneDigest(
            self._cfg.zone, wall(), len(loads), headroom_by_service, common_tables_hash(loads)
        )
        key = ZONE_PREFIX + self._cfg.zone
        msg.ask(self._records, msg.PublishRecord(key, ZONES_SCOPE, pack(digest)))


class PushTask(Task):
    """Pushes new records to a few random peers, so that all VMs have them in a few rounds."""

    def __init__(self, cfg: Settings, snapshots: Snapshots, rng: random.Random) -> None:
        super().__init__("spread", 0.0)
        self._cfg = cfg
        self._snapshots = snapshots
        self._peers = PeerClient(cfg.ip, cfg.peer_timeout_s)
        self._rng = rng
        self._queue: queue.Queue[list[Record]] = queue.Queue(MAX_QUEUED_PUSHES)
        self._pool = ThreadPoolExecutor(PUSH_FANOUT, "push")

    def put(self, records: list[Record]) -> None:
        """Queue records for the push; if the queue is full, anti-entropy delivers them."""
        try:
            self._queue.put_nowait(records)
        except queue.Full:
            return

    def step(self) -> None:
        """Wait for records and push them; an unreachable peer gets them by anti-entropy."""
        try:
            records = self._queue.get(timeout=1.0)
            while not self._queue.empty():
                records = records + self._queue.get_nowait()
        except queue.Empty:
            return
        live = self._snapshots.members.live()
        chosen = self._rng.sample(live, min(PUSH_FANOUT, len(live)))
        wait([self._pool.submit(self._push, member, records) for member in chosen])

    def _push(self, member: Member, records: list[Record]) -> None:
        with suppress(PeerError):
            self._peers.exchange(member.endpoint, records, {})
