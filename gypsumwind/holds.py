"""Moves of holds: claims of free instances, takeover from silent VMs, hand-over to named ones."""

import random
import threading

import pykka

from gypsumwind import messages as msg
from gypsumwind.board import Board, HoldsView
from gypsumwind.core.membership import Endpoint, Member, State
from gypsumwind.core.ownership import Claim, ClaimReply, HandoverReply, Hold
from gypsumwind.core.rendezvous import named_vm
from gypsumwind.gossip import zone_vms
from gypsumwind.log import Log
from gypsumwind.metrics import Metrics
from gypsumwind.peers import PeerError, Peers
from gypsumwind.settings import Seed, Settings
from gypsumwind.tasks import Task
from gypsumwind.utils import monotonic

log = Log("holds")

PERIOD_S = 0.3
WITNESSES = 3
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

    def step(self) -> None:
        """Hand over what others are named for, and claim what this VM is named for."""
        view: HoldsView = msg.ask(self._gate, msg.GetHolds())
        named = self._named()
        self._hand_over(view, named)
        if not self._joined.is_set() or self._board.leaving:
            return
        wanted = [i for i, vm in named.items() if vm == self._cfg.vm and i not in view.held]
        if wanted:
            self._claim(wanted, view)

    def _named(self) -> dict[str, str | None]:
        vms = zone_vms(self._board, self._cfg.zone)
        return {name: named_vm(name, vms) for name in self._instances()}

    def _instances(self) -> list[str]:
        tables = self._board.tables.values()
        return [i.name for table in tables for i in table.zone_instances(self._cfg.zone)]

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

    def _claim(self, wanted: list[str], view: HoldsView) -> None:
        present = self._board.members.present(self._cfg.zone)
        if not self._may_claim(present):
            return
        now = monotonic()
        members = self._board.members
        silent = frozenset(
            m.vm for m in members.members.values() if members.dead(m.vm, self._silence_s, now)
        )
        started = msg.ask(self._gate, msg.StartClaims(tuple(wanted), silent))
        if started:
            self._ask_peers(started, present, view)

    def _ask_peers(self, claims: list[Claim], present: list[Member], view: HoldsView) -> None:
        replies: dict[str, list[ClaimReply]] = {}
        asked = {self._cfg.vm, *(member.vm for member in present)}
        complete = True
        for member in present:
            try:
                answers, live = self._peers.claim(member.endpoint, self._cfg.vm, claims)
            except PeerError:
                complete = False
                break
            complete = complete and set(live) <= asked
            for answer in answers:
                replies.setdefault(answer.instance, []).append(answer)
        peers = len(present) if complete else len(present) + 1
        message = msg.FinishClaims(tuple(claims), replies, peers)
        won = msg.ask(self._gate, message)
        self._count(won, view)

    def _count(self, won: list[Hold], view: HoldsView) -> None:
        before = (view.known.get(hold.instance) for hold in won)
        taken_over = sum(1 for k in before if k and k.holder not in ("", self._cfg.vm))
        if taken_over:
            self._metrics.event("hold-taken-over", taken_over)
            log.info("takeover", instances=taken_over)

    def _may_claim(self, present: list[Member]) -> bool:
        """Every VM of the zone has to be asked, or be silent for long with a witness to it."""
        if any(member.state is State.SUSPECT for member in present):
            return False
        return all(self._witnessed(endpoint) for endpoint in self._missing())

    def _missing(self) -> list[Endpoint]:
        """Return the VMs of the zone that are dead, and the seeds of it never heard of."""
        members = self._board.members.members.values()
        mine = [m for m in members if m.zone == self._cfg.zone]
        dead = [m.endpoint for m in mine if m.state is State.DEAD]
        known = {(m.endpoint.ip, m.endpoint.peer_port) for m in mine}
        known.add((self._cfg.advertise_ip, self._cfg.peer_port))
        return dead + [_endpoint(s) for s in self._cfg.seeds if self._unheard(s, known)]

    def _unheard(self, seed: Seed, known: set[tuple[str, int]]) -> bool:
        return seed.zone == self._cfg.zone and (seed.ip, seed.peer_port) not in known

    def _witnessed(self, target: Endpoint) -> bool:
        """Tell whether a VM has been silent for long enough and others miss it too."""
        members, now = self._board.members, monotonic()
        found = [m for m in members.members.values() if m.endpoint == target]
        if found and not members.dead(found[0].vm, self._silence_s, now):
            return False
        if not found and now - self._started_at < self._silence_s:
            return False
        live = members.live()
        inside = [m for m in live if m.zone == self._cfg.zone]
        outside = [m for m in live if m.zone != self._cfg.zone]
        self._rng.shuffle(outside)
        witnesses = (inside + outside)[:WITNESSES]
        return self._none_reaches(witnesses, target)

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


def _endpoint(seed: Seed) -> Endpoint:
    return Endpoint(seed.ip, 0, 0, seed.peer_port)
