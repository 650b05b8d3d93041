"""Changes of instance ownership: claims, takeover after lease expiry, and hand-over.

The preferred holder of an instance is the VM ranked highest by rendezvous hashing.
"""

import random
import socket
import threading

import pykka

from gypsumwind import messages as msg
from gypsumwind.core.adoption import contacts, preferred_holder
from gypsumwind.core.membership import Endpoint, Member, State
from gypsumwind.core.ownership import Claim, ClaimReply, HandoverReply, Hold
from gypsumwind.core.table import Instance
from gypsumwind.gossip import zone_vms
from gypsumwind.log import Log
from gypsumwind.metrics import Metrics
from gypsumwind.peers import PeerClient, PeerError
from gypsumwind.settings import Seed, Settings
from gypsumwind.snapshots import HoldsView, Snapshots
from gypsumwind.tasks import Task
from gypsumwind.utils import monotonic, split_address

log = Log("holds")

PERIOD_S = 0.3
MAX_WITNESSES = 3
CONNECT_TIMEOUT_S = 0.5
HANDOVERS_PER_STEP = 16


class HoldsTask(Task):
    """Reconciles this VM's holds with the preferred holders of the instances, once a period."""

    def __init__(
        self,
        cfg: Settings,
        snapshots: Snapshots,
        gate: pykka.ActorRef,
        metrics: Metrics,
        joined: threading.Event,
        rng: random.Random,
    ) -> None:
        super().__init__("holds", PERIOD_S)
        self._cfg = cfg
        self._snapshots = snapshots
        self._gate = gate
        self._metrics = metrics
        self._joined = joined
        self._peers = PeerClient(cfg.ip, cfg.peer_timeout_s)
        self._rng = rng
        self._lease_expiry_s = cfg.fence_s + cfg.takeover_margin_s
        self._started_at = monotonic()
        self._empty_since: dict[str, float] = {}

    def step(self) -> None:
        """Hand over instances that another VM should hold, and claim those that this VM should."""
        view: HoldsView = msg.ask(self._gate, msg.GetHolds())
        live = self._live()
        preferred = {
            inst.name: preferred_holder(inst.name, inst.zone, live) for inst in self._instances()
        }
        self._hand_over(view, preferred)
        if not self._joined.is_set() or self._snapshots.leaving:
            return
        for zone, vms in live.items():
            if zone == self._cfg.zone or self._zone_leases_expired(zone, vms):
                self._claim_zone(zone, preferred, view)

    def _zone_leases_expired(self, zone: str, vms: list[str]) -> bool:
        """Return whether a zone has had no live VM for as long as a takeover waits."""
        if vms:
            self._empty_since.pop(zone, None)
            return False
        since = self._empty_since.setdefault(zone, monotonic())
        return monotonic() - since >= self._lease_expiry_s

    def _claim_zone(self, zone: str, preferred: dict[str, str | None], view: HoldsView) -> None:
        """Claim the instances of a zone whose preferred holder is this VM.

        A VM of another zone holds an instance only after adopting it, so it has no vote on an
        instance whose last known holder is in the zone itself.
        """
        wanted = [
            inst
            for inst in self._instances()
            if inst.zone == zone and inst.name not in view.held
            if preferred[inst.name] == self._cfg.vm
        ]
        zone_held = [inst for inst in wanted if self._last_held_in_zone(inst, view)]
        others = [inst for inst in wanted if inst not in zone_held]
        is_own = zone == self._cfg.zone
        if zone_held and is_own:
            self._claim(zone, zone_held, self._snapshots.members.present(zone), view)
        regional = others if is_own else [inst for inst in wanted if self._is_reachable(inst)]
        if regional:
            self._claim(zone, regional, self._voters(zone), view)

    def _last_held_in_zone(self, inst: Instance, view: HoldsView) -> bool:
        known = view.known.get(inst.name)
        member = self._snapshots.members.get(known.holder) if known else None
        return member is not None and member.zone == inst.zone

    def _live(self) -> dict[str, list[str]]:
        """Return the live VMs of each zone of the region."""
        zones = {self._cfg.zone, *self._snapshots.places.zones_of(self._cfg.region)}
        live = {zone: [m.vm for m in self._snapshots.members.live(zone)] for zone in zones}
        live[self._cfg.zone] = zone_vms(self._snapshots, self._cfg.zone)
        return live

    def _instances(self) -> list[Instance]:
        return [inst for route in self._snapshots.routes.values() for inst in route.instances]

    def _hand_over(self, view: HoldsView, preferred: dict[str, str | None]) -> None:
        moves = dict(view.handovers)
        planned = {name: hold.holder for name, hold in moves.items()}
        for name in view.held:
            target = preferred.get(name)
            if name not in planned and target not in (None, self._cfg.vm):
                planned[name] = str(target)
        for name, target in list(planned.items())[:HANDOVERS_PER_STEP]:
            self._hand_over_one(name, target)

    def _hand_over_one(self, name: str, target: str) -> None:
        member = self._snapshots.members.get(target)
        started = None
        if member is not None and member.state <= State.SUSPECT:
            started = msg.ask(self._gate, msg.StartHandover(name, target))
        if started is None or member is None:
            self._abandon_if_expired(name, target)
            return
        hold, usages = started
        try:
            reply = self._peers.hand_over(member.endpoint, hold, usages)
        except PeerError:
            return
        msg.ask(self._gate, msg.EndHandover(hold, reply))

    def _abandon_if_expired(self, name: str, target: str) -> None:
        """Release the hold once the target's lease has expired, as the target may have taken it."""
        if self._snapshots.members.lease_expired(target, self._lease_expiry_s, monotonic()):
            end = msg.EndHandover(Hold(name, target, 0), HandoverReply.SUPERSEDED)
            msg.ask(self._gate, end)

    def _claim(
        self, zone: str, wanted: list[Instance], voters: list[Member], view: HoldsView
    ) -> None:
        if not self._may_claim(zone, voters):
            return
        now = monotonic()
        members = self._snapshots.members
        expired_vms = frozenset(
            m.vm
            for m in members.members.values()
            if members.lease_expired(m.vm, self._lease_expiry_s, now)
        )
        names = tuple(inst.name for inst in wanted)
        started = msg.ask(self._gate, msg.StartClaims(names, expired_vms))
        if started:
            self._ask_peers(started, voters, view)

    def _voters(self, zone: str) -> list[Member]:
        """Return the VMs, not known to be dead, that may hold or claim an instance of a zone.

        These are the zone's own VMs and the contacts of the region's other zones, which adopt
        its instances when it has no live VM.
        """
        present = self._snapshots.members.present
        others = set(self._snapshots.places.zones_of(self._cfg.region)) - {zone}
        voters = present(zone)
        for other in sorted(others):
            members = {member.vm: member for member in present(other)}
            known = [*members, self._cfg.vm] if other == self._cfg.zone else list(members)
            voters.extend(members[vm] for vm in contacts(other, known) if vm in members)
        return voters

    def _is_reachable(self, inst: Instance) -> bool:
        """Return whether a TCP connection to an instance of another zone succeeds."""
        try:
            with socket.create_connection(
                split_address(inst.address), CONNECT_TIMEOUT_S, source_address=(self._cfg.ip, 0)
            ):
                return True
        except OSError:
            return False

    def _ask_peers(self, claims: list[Claim], voters: list[Member], view: HoldsView) -> None:
        replies: dict[str, list[ClaimReply]] = {}
        complete = True
        for member in voters:
            try:
                answers, live = self._peers.claim(member.endpoint, self._cfg.vm, claims)
            except PeerError:
                complete = False
                break
            if member.zone == self._cfg.zone:
                complete = complete and self._view_includes(live)
            for answer in answers:
                replies.setdefault(answer.instance, []).append(answer)
        peers = len(voters) if complete else len(voters) + 1
        message = msg.FinishClaims(tuple(claims), replies, peers)
        won = msg.ask(self._gate, message)
        self._count_takeovers(won, view)

    def _view_includes(self, live: list[str]) -> bool:
        """Return whether this VM's membership view includes the VMs `live` in a peer's view."""
        known = {member.vm for member in self._snapshots.members.present(self._cfg.zone)}
        return set(live) <= known | {self._cfg.vm}

    def _count_takeovers(self, won: list[Hold], view: HoldsView) -> None:
        before = (view.known.get(hold.instance) for hold in won)
        taken_over = sum(1 for last in before if last and last.holder not in ("", self._cfg.vm))
        if taken_over:
            self._metrics.event("hold-taken-over", taken_over)
            log.info("takeover", instances=taken_over)

    def _may_claim(self, zone: str, voters: list[Member]) -> bool:
        """Return whether no voter is suspect and all missing VMs of the zone are confirmed dead."""
        if any(member.state is State.SUSPECT for member in voters):
            return False
        return all(self._confirmed_dead(zone, endpoint) for endpoint in self._missing_vms(zone))

    def _missing_vms(self, zone: str) -> list[Endpoint]:
        """Return the dead VMs of a zone, and its seeds that have never been a known member."""
        members = self._snapshots.members.members.values()
        zone_members = [m for m in members if m.zone == zone]
        dead = [m.endpoint for m in zone_members if m.state is State.DEAD]
        known = {(m.endpoint.ip, m.endpoint.peer_port) for m in zone_members}
        known.add((self._cfg.advertise_ip, self._cfg.peer_port))
        unseen = [s for s in self._cfg.seeds if s.zone == zone and _address(s) not in known]
        return dead + [_endpoint(seed) for seed in unseen]

    def _confirmed_dead(self, zone: str, target: Endpoint) -> bool:
        """Return whether a VM's lease has expired and this VM and witnesses cannot reach it."""
        members, now = self._snapshots.members, monotonic()
        found = [m for m in members.members.values() if m.endpoint == target]
        if found and not members.lease_expired(found[0].vm, self._lease_expiry_s, now):
            return False
        if not found and now - self._started_at < self._lease_expiry_s:
            return False
        return not self._responds_to_ping(target) and self._unreachable_from_all(
            self._witnesses(zone), target
        )

    def _witnesses(self, zone: str) -> list[Member]:
        """Return the VMs that are to confirm the death of a VM of a zone.

        For another zone only VMs outside both zones qualify: in a partition that isolates this
        zone, its own VMs would all confirm, and it must not take over then.
        """
        live = self._snapshots.members.live()
        own = [m for m in live if m.zone == self._cfg.zone]
        outside = [m for m in live if m.zone not in (self._cfg.zone, zone)]
        self._rng.shuffle(outside)
        inside = own if zone == self._cfg.zone else []
        return (inside + outside)[:MAX_WITNESSES]

    def _responds_to_ping(self, target: Endpoint) -> bool:
        try:
            self._peers.ping(target)
        except PeerError:
            return False
        return True

    def _unreachable_from_all(self, witnesses: list[Member], target: Endpoint) -> bool:
        confirmations = 0
        for witness in witnesses:
            try:
                if self._peers.reaches(witness.endpoint, target):
                    return False
            except PeerError:
                continue
            confirmations += 1
        return confirmations > 0


def _address(seed: Seed) -> tuple[str, int]:
    return seed.ip, seed.peer_port


def _endpoint(seed: Seed) -> Endpoint:
    return Endpoint(seed.ip, 0, 0, seed.peer_port)
