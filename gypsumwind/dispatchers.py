"""The actor that assigns requests to upstream instances in direct mode."""

import math
import random
from collections.abc import Callable, Sequence
from concurrent.futures import InvalidStateError
from typing import Any

from gypsumwind import messages as msg
from gypsumwind.actors import Actor
from gypsumwind.core.crashes import CrashHistory, CrashReport, Finding
from gypsumwind.core.decisions import (
    ISOLATED,
    QUARANTINED,
    Decision,
    Placed,
    PlacementRequest,
    Refused,
)
from gypsumwind.core.departures import Departure
from gypsumwind.core.dispatch import ColdBound, Dispatcher
from gypsumwind.core.fleet import Fleet
from gypsumwind.core.instances import Outcome
from gypsumwind.core.isolation import NOTICE_INTERVAL_S, IsolationDetector, IsolationNotice
from gypsumwind.core.rate_limits import RateLimit
from gypsumwind.core.restores import ClosedZones, InstanceHistory
from gypsumwind.core.retry_budget import FleetRetryBudget, RetryLimits
from gypsumwind.core.rules import Ruleset
from gypsumwind.core.upstreams import Upstream
from gypsumwind.log import Log
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.steering import SteeringSettings
from gypsumwind.utils import monotonic, wall

log = Log("dispatchers")

MAX_LOGGED_INSTANCES = 20
"""Instances that a log line names at most."""

FLEET_SETTLE_S = 2.0
"""Time without a change of the known VMs after which their number is taken for that of the fleet:
a VM that has started learns them one by one."""

ISOLATED_RETRY_S = 0.1
"""Retry-After, for a retry at another VM, while this one reaches no instance."""


class DispatchActor(Actor):
    """Owns the dispatcher, its queue of waiting requests, and the retry budgets."""

    def __init__(
        self,
        cfg: Settings,
        steering: SteeringSettings,
        snapshots: Snapshots,
        rng: random.Random,
        publish_departure: Callable[[Departure], None] = lambda departure: None,
        publish_rate_limit: Callable[[RateLimit], None] = lambda limit: None,
        publish_health: Callable[[Sequence[Finding | IsolationNotice]], None] = lambda found: None,
        has_connection: Callable[[str, int], bool] = lambda ip, port: True,
    ) -> None:
        super().__init__()
        self._has_connection = has_connection
        self._publish_health = publish_health
        self._isolation = IsolationDetector()
        self._isolation_notice: IsolationNotice | None = None
        self._crashes = CrashHistory()
        self._quarantined: frozenset[str] = frozenset()
        self._publish_departure = publish_departure
        self._publish_rate_limit = publish_rate_limit
        self._cfg = cfg
        self._steering = steering
        self._snapshots = snapshots
        self._started_at = monotonic()
        predecessor_until = -math.inf if steering.first_start else self._started_at
        self._budgets_from = predecessor_until + FLEET_SETTLE_S
        self._dispatcher = Dispatcher(
            steering.regions, self._fleet(), self._cold_bound(), rng, predecessor_until
        )
        self._pending: dict[int, msg.PlaceRequest] = {}
        self._retry_budgets: dict[str, FleetRetryBudget] = {}
        self._instance_history = InstanceHistory()
        self._closed_zones = ClosedZones()
        self._relisted_zones: frozenset[str] = frozenset()
        self._rules: Ruleset | None = None
        self._usable: frozenset[str] = frozenset()
        self._kept: frozenset[str] = frozenset()

    def handle(self, message: Any) -> Any:
        """Handle request and steering messages, and Tick."""
        now = monotonic()
        match message:
            case msg.PlaceRequest():
                self._place(message, now)
            case msg.CancelPlacement():
                self._cancel(message.ticket)
            case msg.SendFinished():
                self._finish_send(message, now)
            case msg.TakeRetry():
                return self._take_retry(message, now)
            case msg.EstimateWait():
                return self._dispatcher.estimate_retry_after_s(message.service, now)
            case msg.Tick():
                self._tick(now)
            case _:
                self._update(message, now)
        return None

    def _update(self, message: Any, now: float) -> None:
        """Apply what has changed in the steering, or in other VMs' findings."""
        match message:
            case msg.ApplyFindings():
                self._crashes.apply(message.findings, wall())
                self._apply_quarantines()
            case msg.InstanceResponded():
                self._isolation.record_response(now)
                self._isolation.record_connection(now)
            case msg.ConnectionsChecked():
                count = len(self._dispatcher.instances)
                self._isolation.record_check(message.accepted, message.responded, count, now)
                self._step_isolation(now)
            case msg.SyncSteering():
                self._sync(now)
            case msg.SetSteering():
                self._steering = message.steering
                for budget in self._retry_budgets.values():
                    budget.set_limits(self._retry_limits())
                self._dispatcher.set_regions(message.steering.regions)
                self._set_fleet(self._fleet(), now)
                self._sync(now)

    def _place(self, message: msg.PlaceRequest, now: float) -> None:
        request = message.request
        if not request.exclude:
            self._retry_budget(request.service).record_request(now, self._dispatcher.fleet.size)
        self._pending[request.ticket] = message
        if request.fingerprint in self._quarantined:
            self._deliver(request.ticket, self._refusal(request), now)
            return
        if not self._isolation.admits(now):
            self._deliver(request.ticket, Refused(ISOLATED, ISOLATED_RETRY_S), now)
            return
        decision = self._dispatcher.place(request, now)
        if self._isolation.unconnected and not isinstance(decision, Placed):
            self._dispatcher.cancel(request.ticket)
            decision = Refused(ISOLATED, ISOLATED_RETRY_S)
        if decision is not None:
            self._deliver(request.ticket, decision, now)

    def _take_retry(self, message: msg.TakeRetry, now: float) -> bool:
        budget, vms = self._retry_budget(message.service), self._dispatcher.fleet.size
        granted = budget.take(message.ticket, message.deadline, now, vms)
        log.info(
            "retry-decided",
            id=message.id,
            service=message.service,
            granted=granted,
            vms=vms,
            up_s=round(now - self._started_at, 1),
            **budget.evidence(vms),
        )
        return granted

    def _finish_send(self, message: msg.SendFinished, now: float) -> None:
        up = message.upstream
        self._isolation.record_end(message.ticket, message.responded, now, message.connected)
        if message.closing:
            self._dispatcher.record_connection_close(up, now)
        if message.leaving and self._dispatcher.record_departure(up.id, up.incarnation):
            departure = Departure(up.id, up.incarnation, wall())
            log.info("instance-departs", instance=up.id, incarnation=up.incarnation, heard_s=0.0)
            self._publish_departure(departure)
        if message.pause_s > 0:
            log.info("instance-paused", instance=up.id, pause_s=message.pause_s)
            self._dispatcher.record_pause(up, message.pause_s, now)
        if message.rate_limit is not None:
            limit = self._dispatcher.record_rate_limit(
                up, message.rate_limit, now - message.seconds, now, wall()
            )
            if limit is not None:
                log.info("instance-rate-limit", instance=up.id, per_s=limit.per_s, heard_s=0.0)
                self._publish_rate_limit(limit)
        self._dispatcher.finish(
            message.upstream, message.outcome, message.report, message.seconds, now
        )
        self._observe_crash(message)
        self._dispatch_queued(now)

    def _observe_crash(self, message: msg.SendFinished) -> None:
        """Record that an instance crashed under a request, or that it did not.

        An isolated VM cannot tell: that it can open no connection has another reason.
        """
        up, name, crashed_at = message.upstream, message.fingerprint, message.crashed_at
        epoch = wall()
        if crashed_at is not None and not self._isolation.isolated:
            sent_at = crashed_at - message.seconds
            report = CrashReport(name, up.id, up.incarnation, sent_at, crashed_at)
            self._crashes.record_crash(report, epoch)
            self._apply_quarantines()
        elif message.outcome in (Outcome.OK, Outcome.FAILED):
            findings = self._crashes.record_answer(name, epoch - message.seconds, epoch)
            if findings:
                self._publish_health(findings)
                self._apply_quarantines()

    def _apply_quarantines(self) -> None:
        """Log the quarantines that began or ended, and refuse the queued requests concerned."""
        before, self._quarantined = self._quarantined, self._crashes.quarantined
        for name in self._quarantined - before:
            log.info("request-quarantined", fingerprint=name, **self._crashes.evidence(name))
        for name in before - self._quarantined:
            log.info("quarantine-ended", fingerprint=name)
        if self._quarantined - before:
            now = monotonic()
            for request in self._dispatcher.withdraw(self._quarantined):
                self._deliver(request.ticket, self._refusal(request), now)

    def _step_isolation(self, now: float) -> None:
        """Update whether this VM is isolated; use open connections only if it can open no other."""
        count = len(self._dispatcher.instances)
        self._isolation.step(count, now)
        self._snapshots.isolation_suspected = self._isolation.suspects(count, now)
        self._dispatcher.reachable = self._is_connected if self._isolation.unconnected else None
        self._notify_isolation(wall(), now)

    def _is_connected(self, up: Upstream) -> bool:
        return self._has_connection(up.ip, up.port)

    def _notify_isolation(self, epoch: float, now: float) -> None:
        """Notify the other VMs when this VM becomes isolated, while it is, and when it ends."""
        isolated, last = self._isolation.isolated, self._isolation_notice
        changed = isolated != (last is not None and last.isolated)
        if not changed and not (isolated and last and epoch >= last.at + NOTICE_INTERVAL_S):
            return
        if changed:
            log.warning(
                "isolation-changed",
                isolated=isolated,
                unconnected=self._isolation.unconnected,
                **self._isolation.evidence(now),
            )
            self._dispatcher.forget_failures()
            for request in self._dispatcher.withdraw_all() if isolated else ():
                self._deliver(request.ticket, Refused(ISOLATED, ISOLATED_RETRY_S), now)
        notice = self._isolation_notice = IsolationNotice(self._cfg.vm, isolated, epoch)
        self._publish_health([notice])

    def _refusal(self, request: PlacementRequest) -> Refused:
        until = self._crashes.quarantined_until(request.fingerprint) or 0.0
        return Refused(QUARANTINED, max(0.0, until - wall()))

    def _tick(self, now: float) -> None:
        self._step_isolation(now)
        fleet = self._fleet()
        if fleet != self._dispatcher.fleet:
            self._set_fleet(fleet, now)
        findings = self._crashes.step(wall())
        if findings:
            self._publish_health(findings)
        if self._crashes.quarantined != self._quarantined:
            self._apply_quarantines()
        if self._closed_zones.expire(now):
            self._put_closed_zones_in_force(now)
        self._dispatch_queued(now)
        if self._dispatcher.kept != self._kept:
            self._log_instances()

    def _dispatch_queued(self, now: float) -> None:
        """Dispatch queued requests, repeatedly while undelivered decisions free their slots."""
        delivered = False
        while not delivered:
            decisions = self._dispatcher.drain_queue(now)
            delivered = all(
                [self._deliver(ticket, decision, now) for ticket, decision in decisions]
            )

    def _deliver(self, ticket: int, decision: Decision, now: float) -> bool:
        """Deliver a decision; return False if no request waits for it and its slot is freed."""
        pending = self._pending.pop(ticket, None)
        if pending is not None:
            budget = self._retry_budget(pending.request.service)
            try:
                pending.future.set_result(decision)
                if isinstance(decision, Placed):
                    self._isolation.record_send(ticket, decision.upstream.id, now)
                    budget.record_sent(ticket)
                return True
            except InvalidStateError:
                log.info("place-unwanted", ticket=ticket)
            finally:
                budget.release(ticket)
        if isinstance(decision, Placed):
            self._dispatcher.finish(decision.upstream, Outcome.CANCELLED, None, 0.0, now)
            return False
        return True

    def _cancel(self, ticket: int) -> None:
        """Forget a request that its caller no longer waits for."""
        pending = self._pending.pop(ticket, None)
        if pending is not None:
            self._retry_budget(pending.request.service).release(ticket)
        self._dispatcher.cancel(ticket)

    def _sync(self, now: float) -> None:
        snapshots = self._snapshots
        if snapshots.rules is not self._rules and snapshots.rules is not None:
            self._rules = snapshots.rules
            self._dispatcher.policies = self._rules.services
            self._dispatcher.objectives = self._rules.objectives()
        wall_now = wall()
        for departure in snapshots.departures.values():
            name, incarnation = departure.id, departure.incarnation
            if self._dispatcher.record_departure(name, incarnation):
                heard_s = round(wall_now - departure.heard_at, 3)
                log.info(
                    "instance-departs", instance=name, incarnation=incarnation, heard_s=heard_s
                )
        for limit in snapshots.rate_limits.values():
            if self._dispatcher.apply_rate_limit(limit, now):
                heard_s = round(wall_now - limit.heard_at, 3)
                log.info(
                    "instance-rate-limit", instance=limit.id, per_s=limit.per_s, heard_s=heard_s
                )
        grace_until = now + snapshots.upstreams.grace_s(wall_now)
        entries, relisted = self._instance_history.apply_list(
            snapshots.upstreams, now < grace_until
        )
        for up in relisted:
            self._exclude_departed(up, wall_now)
        self._dispatcher.set_upstreams(entries, now, wall_now, grace_until)
        self._closed_zones.apply_list(snapshots.closed_zones, now)
        self._put_closed_zones_in_force(now)
        self._log_instances()
        self._dispatch_queued(now)

    def _put_closed_zones_in_force(self, now: float) -> None:
        """Pass the closed zones to the dispatcher; log them if they changed."""
        closed, relisted = self._closed_zones.zones, self._closed_zones.relisted
        if (closed, relisted) != (self._dispatcher.closed_zones, self._relisted_zones):
            log.info(
                "zones-closed",
                list=str(self._snapshots.closed_zones.version),
                zones=sorted(closed),
                relisted=sorted(relisted),
            )
        self._relisted_zones = relisted
        self._dispatcher.set_closed_zones(closed, now)

    def _log_instances(self) -> None:
        """Log the instances that became usable or unusable, and those kept for a grace period."""
        instances, kept = self._dispatcher.instances, self._dispatcher.kept
        usable = frozenset(name for name, inst in instances.items() if inst.available)
        added, removed = usable - self._usable, self._usable - usable
        if added or removed or kept != self._kept:
            log.info(
                "instances-changed",
                list=str(self._snapshots.upstreams.version),
                usable=len(usable),
                added=sorted(added)[:MAX_LOGGED_INSTANCES],
                removed=sorted(removed)[:MAX_LOGGED_INSTANCES],
                kept=sorted(kept)[:MAX_LOGGED_INSTANCES],
            )
        self._usable, self._kept = usable, kept

    def _exclude_departed(self, up: Upstream, wall_now: float) -> None:
        """Exclude an instance that had left before a restored store listed it again."""
        if self._dispatcher.record_departure(up.id, up.incarnation):
            log.info("instance-left-before-restore", instance=up.id, incarnation=up.incarnation)
            self._publish_departure(Departure(up.id, up.incarnation, wall_now))

    def _fleet(self) -> Fleet:
        """Return the VMs that may send; unresponsive ones count until the membership drops them."""
        zone = self._cfg.zone
        all_members = self._snapshots.members.members.values()
        vms = {self._cfg.vm, *(member.vm for member in all_members if member.zone == zone)}
        zones = {zone, *self._steering.regions}
        return Fleet(self._cfg.vm, zone, tuple(sorted(vms)), tuple(sorted(zones)))

    def _set_fleet(self, fleet: Fleet, now: float) -> None:
        if fleet != self._dispatcher.fleet:
            for budget in self._retry_budgets.values():
                budget.pause(now + FLEET_SETTLE_S)
        self._dispatcher.set_fleet(fleet, self._cold_bound(), now)

    def _cold_bound(self) -> ColdBound:
        return ColdBound(self._steering.cold_overshoot, self._steering.cold_slack_per_s)

    def _retry_limits(self) -> RetryLimits:
        steering = self._steering
        return RetryLimits(steering.retry_ratio, steering.retry_headroom, steering.retry_window_s)

    def _retry_budget(self, service: str) -> FleetRetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = FleetRetryBudget(self._retry_limits(), self._budgets_from)
            self._retry_budgets[service] = budget
        return budget
