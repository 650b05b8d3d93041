"""Moves of holds: claims of free instances, takeover from silent VMs, hand-over to named ones."""

import random
import socket
import threading

import pykka

from gypsumwind import messages as msg
from gypsumwind.board import Board, HoldsView
from gypsumwind.core.adoption import contacts, named_holder
from gypsumwind.core.membership import Endpoint, Member, State
from gypsumwind.core.ownership import Claim, ClaimReply, HandoverReply, Hold
from gypsumwind.core.table import Instance
from gypsumwind.gossip import zone_vms
from gypsumwind.log import Log
from gypsumwind.metrics import Metrics
from gypsumwind.peers import PeerError, Peers
from gypsumwind.settings import Seed, Settings
from gypsumwind.tasks import Task
from gypsumwind.utils import monotonic, split_address

log = Log("holds")

PERIOD_S = 0.3
WITNESSES = 3
CONNECT_S = 0.5
HANDOVERS_PER_STEP = 16


class HoldsTask(Task):
    """Brings the holds of this VM in line with the members of its zone, one step a period."""

    def __init__(
        self,
        cfg: Settings,
        board: Board,
        gate: pykka.ActorRef,
        metrics: Metrics,
        joined: threading.Event,
        rng: random.Random,
    ) -> None:
        super().__init__("holds", PERIOD_S)
        self._cfg = cfg
        self._board = board
        self._gate = gate
        self._metrics = metrics
        self._joined = joined
        self._peers = Peers(cfg.ip, cfg.peer_timeout_s)
        self._rng = rng
        self._silence_s = cfg.fence_s + cfg.takeover_margin_s
        self._started_at = monotonic()
        self._empty_since: dict[str, float] = {}

    def step(self) -> None:
        """Hand over what others are named for, and claim what this VM is named for."""
        view: HoldsView = msg.ask(self._gate, msg.GetHolds())
        live = self._live()
        named = {inst.name: named_holder(inst.name, inst.zone, live) for inst in self._instances()}
        self._hand_over(view, named)
        if not self._joined.is_set() or self._board.leaving:
            return
        for zone, vms in live.items():
            if zone == self._cfg.zone or self._long_empty(zone, vms):
                self._claim_zone(zone, named, view)

    def _long_empty(self, zone: str, vms: list[str]) -> bool:
        """Tell whether a zone has had no live VM for as long as a takeover waits."""
        if vms:
            self._empty_since.pop(zone, None)
            return False
        since = self._empty_since.setdefault(zone, monotonic())
        return monotonic() - since >= self._silence_s

    def _claim_zone(self, zone: str, named: dict[str, str | None], view: HoldsView) -> None:
        """Claim what this VM is named for in a zone.

        A VM of another zone can hold an instance only if it adopted it, so it need not be
        asked about one whose last known holder is of the zone itself.
        """
        mine = [
            inst
            for inst in self._instances()
            if inst.zone == zone and inst.name not in view.held
            if named[inst.name] == self._cfg.vm
        ]
        inside = [inst for inst in mine if self._held_inside(inst, view)]
        outside = [inst for inst in mine if inst not in inside]
        own = zone == self._cfg.zone
        if inside and own:
            self._claim(zone, inside, self._board.members.present(zone), view)
        rest = outside if own else [inst for inst in mine if self._answers(inst)]
        if rest:
            self._claim(zone, rest, self._voters(zone), view)

    def _held_inside(self, inst: Instance, view: HoldsView) -> bool:
        known = view.known.get(inst.name)
        member = self._board.members.get(known.holder) if known else None
        return member is not None and member.zone == inst.zone

    def _live(self) -> dict[str, list[str]]:
        """Return the live VMs of each zone of the region."""
        zones = {self._cfg.zone, *self._board.places.zones_of(self._cfg.region)}
        live = {zone: [m.vm for m in self._board.members.live(zone)] for zone in zones}
        live[self._cfg.zone] = zone_vms(self._board, self._cfg.zone)
        return live

    def _instances(self) -> list[Instance]:
        return [inst for route in self._board.routes.values() for inst in route.instances]

    def _hand_over(self, view: HoldsView, named: dict[str, str | None]) -> None:
        moves = dict(view.handing)
        planned = {name: hold.holder for name, hold in moves.items()}
        for name in view.held:
            target = named.get(name)
            if name not in planned and target not in (None, self._cfg.vm):
                planned[name] = str(target)
        for name, target in list(planned.items())[:HANDOVERS_PER_STEP]:
            self._hand_over_one(name, target)

    def _hand_over_one(self, name: str, target: str) -> None:
        member = self._board.members.get(target)
        started = None
        if member is not None and member.state <= State.SUSPECT:
            started = msg.ask(self._gate, msg.StartHandover(name, target))
        if started is None or member is None:
            self._give_up(name, target)
            return
        hold, usages = started
        try:
            reply = self._peers.hand_over(member.endpoint, hold, usages)
        except PeerError:
            return
        msg.ask(self._gate, msg.EndHandover(hold, reply))

    def _give_up(self, name: str, target: str) -> None:
        """The target of a hand-over is silent: what it may have taken counts as its own."""
        if self._board.members.dead(target, self._silence_s, monotonic()):
            end = msg.EndHandover(Hold(name, target, 0), HandoverReply.SUPERSEDED)
            msg.ask(self._gate, end)

    def _claim(
        self, zone: str, wanted: list[Instance], voters: list[Member], view: HoldsView
    ) -> None:
        if not self._may_claim(zone, voters):
            return
        now = monotonic()
        members = self._board.members
        silent = frozenset(
            m.vm for m in members.members.values() if members.dead(m.vm, self._silence_s, now)
        )
        names = tuple(inst.name for inst in wanted)
        started = msg.ask(self._gate, msg.StartClaims(names, silent))
        if started:
            self._ask_peers(started, voters, view)

    def _voters(self, zone: str) -> list[Member]:
        """Return the present VMs that may hold an instance of a zone or claim it as well.

        Besides the zone's own VMs these are the contacts of the region's other zones, which
        adopt its instances when it has no live VM.
        """
        present = self._board.members.present
        others = set(self._board.places.zones_of(self._cfg.region)) - {zone}
        voters = present(zone)
        for other in sorted(others):
            members = {member.vm: member for member in present(other)}
            known = [*members, self._cfg.vm] if other == self._cfg.zone else list(members)
            voters.extend(members[vm] for vm in contacts(other, known) if vm in members)
        return voters

    def _answers(self, inst: Instance) -> bool:
        """Tell whether an instance of another zone can be reached from here."""
        try:
            with socket.create_connection(
                split_address(inst.address), CONNECT_S, source_address=(self._cfg.ip, 0)
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
                complete = complete and self._knows_all(live)
            for answer in answers:
                replies.setdefault(answer.instance, []).append(answer)
        peers = len(voters) if complete else len(voters) + 1
        message = msg.FinishClaims(tuple(claims), replies, peers)
        won = msg.ask(self._gate, message)
        self._count(won, view)

    def _knows_all(self, live: list[str]) -> bool:
        """Tell whether this VM knows every VM of its zone that a peer knows."""
        known = {member.vm for member in self._board.members.present(self._cfg.zone)}
        return set(live) <= known | {self._cfg.vm}

    def _count(self, won: list[Hold], view: HoldsView) -> None:
        before = (view.known.get(hold.instance) for hold in won)
        taken_over = sum(1 for k in before if k and k.holder not in ("", self._cfg.vm))
        if taken_over:
            self._metrics.event("hold-taken-over", taken_over)
            log.info("takeover", instances=taken_over)

    def _may_claim(self, zone: str, voters: list[Member]) -> bool:
        """Every voter has to be asked; the zone's other VMs are silent for long and missed."""
        if any(member.state is State.SUSPECT for member in voters):
            return False
        return all(self._witnessed(zone, endpoint) for endpoint in self._missing(zone))

    def _missing(self, zone: str) -> list[Endpoint]:
        """Return the VMs of a zone that are dead, and the seeds of it never heard of."""
        members = self._board.members.members.values()
        mine = [m for m in members if m.zone == zone]
        dead = [m.endpoint for m in mine if m.state is State.DEAD]
        known = {(m.endpoint.ip, m.endpoint.peer_port) for m in mine}
        known.add((self._cfg.advertise_ip, self._cfg.peer_port))
        unheard = [s for s in self._cfg.seeds if s.zone == zone and _place(s) not in known]
        return dead + [_endpoint(seed) for seed in unheard]

    def _witnessed(self, zone: str, target: Endpoint) -> bool:
        """Tell whether a VM of a zone has been silent for long enough and others miss it too."""
        members, now = self._board.members, monotonic()
        found = [m for m in members.members.values() if m.endpoint == target]
        if found and not members.dead(found[0].vm, self._silence_s, now):
            return False
        if not found and now - self._started_at < self._silence_s:
            return False
        return not self._reaches(target) and self._none_reaches(self._witnesses(zone), target)

    def _witnesses(self, zone: str) -> list[Member]:
        """Return VMs to ask about the VMs of a zone.

        For another zone only those outside of both count: a zone that is cut off from all
        others misses them all, and must not take over from them.
        """
        live = self._board.members.live()
        own = [m for m in live if m.zone == self._cfg.zone]
        outside = [m for m in live if m.zone not in (self._cfg.zone, zone)]
        self._rng.shuffle(outside)
        inside = own if zone == self._cfg.zone else []
        return (inside + outside)[:WITNESSES]

    def _reaches(self, target: Endpoint) -> bool:
        try:
            self._peers.ping(target)
        except PeerError:
            return False
        return True

    def _none_reaches(self, witnesses: list[Member], target: Endpoint) -> bool:
        misses = 0
        for witness in witnesses:
            try:
                if self._peers.reaches(witness.endpoint, target):
                    return False
            except PeerError:
                continue
            misses += 1
        return misses > 0


def _place(seed: Seed) -> tuple[str, int]:
    return seed.ip, seed.peer_port


def _endpoint(seed: Seed) -> Endpoint:
    return Endpoint(seed.ip, 0, 0, seed.peer_port)
