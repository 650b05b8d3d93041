"""The actor that places requests on upstream instances for the direct way."""

import random
from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError
from typing import Any

from gypsumwind import messages as msg
from gypsumwind.actors import Actor
from gypsumwind.board import Board
from gypsumwind.core.departures import Departure
from gypsumwind.core.dispatch import ColdBound, Dispatcher
from gypsumwind.core.fleet import Fleet
from gypsumwind.core.instances import Outcome
from gypsumwind.core.placing import Decision, Placed
from gypsumwind.core.repeats import RepeatBudget
from gypsumwind.core.restores import ClosedZones, InstanceMemory
from gypsumwind.core.upstreams import Upstream
from gypsumwind.log import Log
from gypsumwind.settings import Settings
from gypsumwind.steering import SteeringSettings
from gypsumwind.utils import monotonic, wall

log = Log("dispatchers")


class DispatchActor(Actor):
    """Owns the dispatcher, the requests that wait in it, and the budget for repeats."""

    def __init__(
        self,
        cfg: Settings,
        steering: SteeringSettings,
        board: Board,
        rng: random.Random,
        spread: Callable[[Departure], None] = lambda departure: None,
    ) -> None:
        super().__init__()
        self._spread = spread
        self._cfg = cfg
        self._steering = steering
        self._board = board
        self._dispatcher = Dispatcher(steering.regions, self._fleet(), self._cold_bound(), rng)
        self._futures: dict[int, Future] = {}
        self._budgets: dict[str, RepeatBudget] = {}
        self._memory = InstanceMemory()
        self._closed = ClosedZones()

    def handle(self, message: Any) -> Any:
        """Handle the messages about requests, steering, and Tick."""
        now = monotonic()
        match message:
            case msg.Place():
                self._place(message, now)
            case msg.CancelPlace():
                self._futures.pop(message.ticket, None)
                self._dispatcher.cancel(message.ticket)
            case msg.SendEnded():
                self._ended(message, now)
            case msg.TakeRepeat():
                return self._budget(message.service).take(now, self._dispatcher.fleet.size)
            case msg.ExpectRoom():
                return self._dispatcher.room_in_s(message.service, now)
            case msg.SyncSteering():
                self._sync(now)
            case msg.SetSteering():
                self._steering = message.steering
                for budget in self._budgets.values():
                    budget.set_bound(*self._repeat_bound())
                self._dispatcher.set_regions(message.steering.regions)
                self._dispatcher.set_fleet(self._fleet(), self._cold_bound())
                self._sync(now)
            case msg.Tick():
                self._tick(now)
        return None

    def _place(self, message: msg.Place, now: float) -> None:
        wanted = message.wanted
        if not wanted.exclude:
            self._budget(wanted.service).request(now)
        decision = self._dispatcher.place(wanted, now)
        self._futures[wanted.ticket] = message.future
        if decision is not None:
            self._decide(wanted.ticket, decision, now)

    def _ended(self, message: msg.SendEnded, now: float) -> None:
        up = message.upstream
        if message.closing:
            self._dispatcher.hear_close(up, now)
        if message.leaving and self._dispatcher.hear_departure(up.id, up.incarnation):
            departure = Departure(up.id, up.incarnation, wall())
            log.info("instance-departs", instance=up.id, incarnation=up.incarnation, heard_s=0.0)
            self._spread(departure)
        if message.pause_s > 0:
            log.info("instance-paused", instance=up.id, pause_s=message.pause_s)
            self._dispatcher.hear_pause(up, message.pause_s, now)
        self._dispatcher.finish(
            message.upstream, message.outcome, message.report, message.seconds, now
        )
        self._drain(now)

    def _tick(self, now: float) -> None:
        fleet = self._fleet()
        if fleet != self._dispatcher.fleet:
            self._dispatcher.set_fleet(fleet, self._cold_bound())
        if self._closed.expire(now):
            self._dispatcher.set_closed_zones(self._closed.zones, now)
        self._drain(now)

    def _drain(self, now: float) -> None:
        """Decide on those that wait, again while a place was given back."""
        taken = False
        while not taken:
            decisions = self._dispatcher.drain(now)
            taken = all([self._decide(ticket, decision, now) for ticket, decision in decisions])

    def _decide(self, ticket: int, decision: Decision, now: float) -> bool:
        """Tell the request's thread; False if a place is given back as nobody waits for it."""
        future = self._futures.pop(ticket, None)
        try:
            if future is not None:
                future.set_result(decision)
                return True
        except InvalidStateError:
            log.info("place-unwanted", ticket=ticket)
        if isinstance(decision, Placed):
            self._dispatcher.finish(decision.upstream, Outcome.CANCELLED, None, 0.0, now)
            return False
        return True

    def _sync(self, now: float) -> None:
        board = self._board
        if board.rules is not None:
            self._dispatcher.policies = board.rules.services
        epoch = wall()
        for departure in board.departures.values():
            name, incarnation = departure.id, departure.incarnation
            if self._dispatcher.hear_departure(name, incarnation):
                heard_s = round(epoch - departure.heard_at, 3)
                log.info(
                    "instance-departs", instance=name, incarnation=incarnation, heard_s=heard_s
                )
        grace_until = now + board.upstreams.grace_s(epoch)
        entries, returned = self._memory.take(board.upstreams, now < grace_until)
        for up in returned:
            self._keep_out(up, epoch)
        self._dispatcher.set_upstreams(entries, now, epoch, grace_until)
        self._closed.take(board.closed_zones, now)
        self._dispatcher.set_closed_zones(self._closed.zones, now)
        self._drain(now)

    def _keep_out(self, up: Upstream, epoch: float) -> None:
        """Leave out an instance that has left, though a restored store lists it again."""
        if self._dispatcher.hear_departure(up.id, up.incarnation):
            log.info("instance-left-before-restore", instance=up.id, incarnation=up.incarnation)
            self._spread(Departure(up.id, up.incarnation, epoch))

    def _fleet(self) -> Fleet:
        """Return the VMs that may send: silent ones count until they are forgotten."""
        zone = self._cfg.zone
        known = self._board.members.members.values()
        vms = {self._cfg.vm, *(member.vm for member in known if member.zone == zone)}
        zones = {zone, *self._steering.regions}
        return Fleet(self._cfg.vm, zone, tuple(sorted(vms)), tuple(sorted(zones)))

    def _cold_bound(self) -> ColdBound:
        return ColdBound(self._steering.cold_overshoot, self._steering.cold_slack_per_s)

    def _repeat_bound(self) -> tuple[float, float, float]:
        steering = self._steering
        return steering.repeat_ratio, steering.repeat_headroom, steering.repeat_window_s

    def _budget(self, service: str) -> RepeatBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RepeatBudget(*self._repeat_bound())
        return budget
