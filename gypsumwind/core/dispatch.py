"""Load balancing of requests over upstream instances on the VM that the caller chose.

No VM owns an instance here, so its free capacity is estimated from the load by other VMs at its
last report, and from this VM's own requests in flight. A sticky request goes to the first home of
its key (core/placement), where its object is cached, and waits rather than run uncached elsewhere.
The second home takes it if the first has no capacity, and a hot key has further homes. A request
that finds no capacity at any of them is queued: by priority, then those that can still meet their
objective, then by deadline. It is refused as soon as it cannot be served in time.

An instance that states a rate limit gets only this VM's share of it (core/rate_limits).

Reacts to load: the free capacity of each instance, and the wait for it.
"""

import math
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from gypsumwind.core.decisions import Decision, Placed, PlacementRequest, Refused
from gypsumwind.core.departures import Departures
from gypsumwind.core.fleet import Fleet
from gypsumwind.core.instances import InstanceState, Outcome, ReportedLoad
from gypsumwind.core.lapses import GracePeriodList
from gypsumwind.core.placement import (
    CallerLocality,
    Candidate,
    area_shares,
    candidate_weights,
    rank_homes,
)
from gypsumwind.core.rate_limits import (
    UNLIMITED,
    RateLimit,
    RateLimits,
    effective_slots,
    send_pace,
)
from gypsumwind.core.rules import ServicePolicy
from gypsumwind.core.services import INITIAL_SERVICE_TIME_S, QueuedRequest, ServiceState
from gypsumwind.core.upstreams import Upstream
from gypsumwind.core.warmth import WarmObjects
from gypsumwind.core.warmup import MIN_SEND_INTERVAL_S, warmup_senders

MAX_UTILIZATION = 1.5
"""Utilization from which an instance gets no more requests: its own queue has no priorities.

With 1.25 or 2, fewer requests meet their objective at 400 and 600 requests/s.
"""

MAX_COLD_UTILIZATION = 0.8
"""Utilization below which an instance may run an uncached object as its second home: above it,
the objects at home there would wait for the longer run."""

SECOND_HOME_COST = 0.5
"""Wait at the first home, in mean service times, above which the second home is used."""

COLD_HOME_COST = 1.5
"""The same if the object is not cached at the second home: the request takes longer there."""

REMOTE_REGION_COST = 0.2
"""Added cost of an instance in another region, for the round trip, in mean service times."""

MIN_HOMES = 2
"""Minimum number of homes of a key."""

MAX_KEY_UTILIZATION = 0.7
"""Utilization of an instance by one key above which the key gets a further home."""

RANKING_LENGTH = 6
"""Instances cached in the ranking of a key: the later ones replace homes that are unavailable."""

MAX_CACHED_RANKINGS = 20_000
"""Maximum number of cached rankings; beyond it the cache is cleared."""

CLOSE_EJECT_S = 2.0
"""Ejection time, in seconds, of an instance that closed its connection after a response.

By then, one heartbeat and one call later, the list shows whether the instance is stopping. If the
list does not show this, the instance closed only that connection, as running instances occasionally
do.
"""

MAX_PAUSE_S = 60.0
"""Longest pause that an instance may request at a time, in seconds; it may request another."""

MIN_RETRY_S = 0.1
MAX_RETRY_S = 5.0
"""Bounds of the retry-after time of a refused request, in seconds, before jitter."""

REMOVED_RETENTION_S = 30.0
"""Time, in seconds, for which the state of an instance that left the list is kept: perhaps only its
lease has expired."""

MIN_LIMIT_SHARE = 0.02
"""Minimum share of a region's requests that is assumed to go to each other region, so that all
zones have parts of some rate limits."""

MIN_PLACEMENT_RATE_PER_S = 0.01
"""Lower bound of the estimated placements per second, if all instances have rate limits."""

MAX_QUEUE_LENGTH = 400
"""Maximum number of queued requests; further ones are refused at once."""


SLOW_FACTOR = 2.0
"""Mean service times after which a send without a response counts as a failure of the instance.

A send that had less time is no evidence. All instances may be equally slow, under load or while
their objects are uncached: one is ejected only if its failure rate is well above that of its
service (EJECT_MARGIN).
"""


@dataclass(slots=True, frozen=True)
class ColdBound:
    """Rate limit of a cold instance: its own rate times `overshoot` plus `slack_per_s`."""

    overshoot: float
    slack_per_s: float


class Dispatcher:
    """Assigns requests to instances, queues those without capacity, and tracks the results."""

    def __init__(
        self,
        regions: Mapping[str, str],
        fleet: Fleet,
        cold_bound: ColdBound,
        rng: random.Random,
        predecessor_until: float = -math.inf,
    ) -> None:
        # A predecessor of this process may have sent to a cold instance just before it ended.
        self._next_cold_send_at = predecessor_until + MIN_SEND_INTERVAL_S
        self._zone = fleet.zone
        self._region = regions.get(fleet.zone, "")
        self._regions = regions
        self._rng = rng
        self.fleet = fleet
        self.cold_bound = cold_bound
        self.policies: Mapping[str, ServicePolicy] = {}
        self.objectives: Mapping[str, float] = {}
        self.closed_zones: frozenset[str] = frozenset()
        self.reachable: Callable[[Upstream], bool] | None = None
        """The instances that this VM can reach, None for all. Requests for an object go to any of
        them if no home is among them, and a failure to reach an instance does not count against it.
        """
        self._listed = GracePeriodList()
        self._departures = Departures()
        self._rate_limits = RateLimits(rng)
        self._warm_objects = WarmObjects()
        self._instances: dict[str, InstanceState] = {}
        self._removed: dict[str, tuple[InstanceState, float]] = {}
        self._services: dict[str, ServiceState] = {}
        self._warmup_senders: dict[str, list[str]] = {}
        self._rankings: dict[tuple[str, str, frozenset[str], bool], tuple[str, ...]] = {}
        self._weights: dict[tuple[str, frozenset[str], bool], Mapping[str, float]] = {}

    @property
    def instances(self) -> Mapping[str, InstanceState]:
        """Return the state of each listed instance, by id."""
        return self._instances

    @property
    def kept(self) -> frozenset[str]:
        """Return the ids of the instances that are kept although the list lacks them."""
        return self._listed.kept

    def set_fleet(self, fleet: Fleet, cold_bound: ColdBound, now: float) -> None:
        """Set the VMs of the fleet and the cold-start rate limit that they share."""
        self.fleet = fleet
        self.cold_bound = cold_bound
        self._warmup_senders.clear()
        self._update_paces(self._instances.values(), now)

    def set_regions(self, regions: Mapping[str, str]) -> None:
        """Set the region of each zone."""
        self._regions = regions
        self._region = regions.get(self._zone, "")
        for inst in self._instances.values():
            inst.region = regions.get(inst.upstream.zone, "")
        self._clear_rankings()

    def set_upstreams(
        self,
        upstreams: Iterable[Upstream],
        now: float,
        epoch: float,
        grace_until: float = -math.inf,
    ) -> None:
        """Set the list of instances; `epoch` is `now` in epoch seconds.

        Until `grace_until`, entries whose lease expired while the store was unavailable may be
        missing.
        """
        self._listed.apply_list({up.id: up for up in upstreams}, grace_until, now)
        self._rebuild_instances(now, epoch)

    def _rebuild_instances(self, now: float, epoch: float) -> None:
        instances = {}
        for up in self._listed.values.values():
            inst = self._find(up.id)
            if inst is None or inst.upstream.incarnation != up.incarnation:
                inst = InstanceState(up)
            elif up.id not in self._instances or _address(up) != _address(inst.upstream):
                inst.misdirected = False
            inst.upstream = up
            inst.region = self._regions.get(up.zone, "")
            inst.marked_draining = up.draining
            inst.departing = self._departures.has_departed(up)
            if up.cold_until > epoch:
                inst.mark_cold(now + up.cold_until - epoch, listed=True)
            inst.rate_limit = self._rate_limits.per_s(up)
            instances[up.id] = inst
        oldest = now - REMOVED_RETENTION_S
        self._removed = {
            name: (instance, at) for name, (instance, at) in self._removed.items() if at > oldest
        }
        self._removed |= {
            name: (instance, now)
            for name, instance in self._instances.items()
            if name not in instances
        }
        self._instances = instances
        self._clear_rankings()
        self._update_paces(instances.values(), now)

    def _find(self, name: str) -> InstanceState | None:
        """Return the state of an instance, also if it left the list recently."""
        return self._instances.get(name) or self._removed.get(name, (None, 0.0))[0]

    def set_closed_zones(self, zones: frozenset[str], now: float) -> None:
        """Set the zones that get no requests; instances of reopened zones are treated as cold."""
        for inst in self._instances.values():
            if inst.upstream.zone in self.closed_zones - zones:
                self._mark_cold(inst, now, listed=True)
        self.closed_zones = zones
        self._clear_rankings()

    def place(self, request: PlacementRequest, now: float) -> Decision | None:
        """Return the instance for a request, a refusal, or None if the request is queued."""
        state = self._service(request.service)
        if not state.queue or self._precedes_queue(state, request, now):
            placed = self._choose(request, now)
            if placed is not None:
                return placed
        return self._enqueue(state, request, now)

    def finish(
        self,
        upstream: Upstream,
        outcome: str,
        report: ReportedLoad | None,
        seconds: float,
        now: float,
    ) -> None:
        """Record the end of a send: its outcome, duration and the load in the response."""
        inst = self._find(upstream.id)
        if inst is None or inst.upstream.incarnation != upstream.incarnation:
            return
        inst.own_in_flight = max(0, inst.own_in_flight - 1)
        if report is not None:
            inst.update_load(report, now)
        if self.reachable is not None and outcome in (Outcome.UNREACHABLE, Outcome.CUT):
            return
        state = self._service(upstream.service)
        if outcome == Outcome.LATE and seconds >= SLOW_FACTOR * state.service_time_s:
            outcome = Outcome.SLOW
        state.observe(outcome)
        inst.observe(outcome, state.failure_rate, now)
        if outcome == Outcome.MISDIRECTED:
            self._clear_rankings()
        if outcome in (Outcome.UNREACHABLE, Outcome.CUT):
            self._mark_cold(inst, now, listed=False)
        if outcome == Outcome.OK:
            state.record_service_time(seconds)

    def record_connection_close(self, upstream: Upstream, now: float) -> None:
        """Eject an instance that closed its connection after a response, as it may be stopping."""
        inst = self._instances.get(upstream.id)
        if inst is not None and inst.upstream.incarnation == upstream.incarnation:
            inst.eject_until(now + CLOSE_EJECT_S)

    def forget_failures(self) -> None:
        """Forget the failures of all instances: this VM was partitioned from them."""
        for inst in self._instances.values():
            inst.forget_failures()

    def record_departure(self, name: str, incarnation: int) -> bool:
        """Record an instance's announcement of its shutdown to any VM; return whether it is new."""
        if not self._departures.add(name, incarnation):
            return False
        inst = self._find(name)
        if inst is not None:
            inst.departing = self._departures.has_departed(inst.upstream)
        self._clear_rankings()
        return True

    def record_pause(self, upstream: Upstream, seconds: float, now: float) -> None:
        """Send no requests to an instance for the pause that it requested, at most MAX_PAUSE_S."""
        inst = self._find(upstream.id)
        if inst is not None and inst.upstream.incarnation == upstream.incarnation:
            inst.paused_until = max(inst.paused_until, now + min(MAX_PAUSE_S, seconds))

    def record_rate_limit(
        self, upstream: Upstream, per_s: float, sent_at: float, now: float, epoch: float
    ) -> RateLimit | None:
        """Record the rate limit that a response states, inf for none.

        Return the limit if it has to be announced to other VMs.
        """
        announced = self._rate_limits.observe(upstream, per_s, sent_at, now, epoch)
        self._refresh_rate_limit(upstream.id, now)
        return announced

    def apply_rate_limit(self, limit: RateLimit, now: float) -> bool:
        """Apply the rate limit that another VM announced; return whether it is news."""
        if not self._rate_limits.apply(limit, now):
            return False
        self._refresh_rate_limit(limit.id, now)
        return True

    def _refresh_rate_limit(self, name: str, now: float) -> None:
        inst = self._instances.get(name)
        if inst is None or inst.rate_limit == self._rate_limits.per_s(inst.upstream):
            return
        before = self._effective_slots(inst)
        inst.rate_limit = self._rate_limits.per_s(inst.upstream)
        if self._effective_slots(inst) == before:
            self._update_paces([inst], now)
        else:
            self._clear_rankings()
            self._update_paces(self._instances.values(), now)

    def _update_paces(self, instances: Iterable[InstanceState], now: float) -> None:
        """Set this VM's shares of the rate limits of instances, by the callers of each zone."""
        weights: dict[tuple[str, str], Mapping[str, float]] = {}
        for inst in instances:
            if inst.rate_limit == math.inf:
                inst.pacer.set_pace(UNLIMITED, now, 0.0)
                continue
            scope = (inst.upstream.service, inst.region)
            if scope not in weights:
                weights[scope] = self._zone_weights(*scope)
            pace = send_pace(inst.upstream.id, inst.rate_limit, self.fleet, weights[scope])
            inst.pacer.set_pace(pace, now, self._rng.random())

    def _zone_weights(self, service: str, region: str) -> dict[str, float]:
        """Return the relative number of requests that each zone sends to instances in a region."""
        capacity: dict[str, float] = {}
        for inst in self._instances.values():
            if inst.upstream.service == service:
                slots = self._effective_slots(inst)
                capacity[inst.region] = capacity.get(inst.region, 0.0) + slots
        groups = {name: name for name in self._regions.values()}
        weights = {}
        for zone in self.fleet.zones:
            home = self._regions.get(zone, "")
            siblings = sum(name == home for name in self._regions.values())
            share = area_shares(capacity, CallerLocality(home, groups)).get(region, 0.0)
            weights[zone] = max(MIN_LIMIT_SHARE, share) / max(1, siblings)
        return weights

    def _effective_slots(self, inst: InstanceState) -> float:
        """Return the slots of an instance, less if its rate limit keeps it from using all of them.

        The service time is estimated from the objective, which all VMs know, as they have to agree.
        """
        objective_s = self.objectives.get(inst.upstream.service, INITIAL_SERVICE_TIME_S)
        return effective_slots(inst.upstream.slots, inst.rate_limit, objective_s / 2)

    def estimate_retry_after_s(self, service: str, now: float) -> float:
        """Return the seconds after which a caller may retry a request that found no capacity.

        By then an instance accepts requests, and the queue has been served.
        """
        state = self._service(service)
        any_request = PlacementRequest(0, service, "", 0, math.inf)
        available_at = self._available_at(any_request, now)
        queue_s = len(state.queue) / self._placement_rate(state, any_request, now)
        return self._jittered_retry_s(
            max(queue_s, available_at - now if available_at < math.inf else state.service_time_s)
        )

    def cancel(self, ticket: int) -> None:
        """Remove a request from the queue."""
        self._remove_queued(lambda request: request.ticket == ticket)

    def withdraw(self, fingerprints: frozenset[str]) -> list[PlacementRequest]:
        """Remove the requests with these fingerprints from the queue and return them."""
        return self._remove_queued(lambda request: request.fingerprint in fingerprints)

    def withdraw_all(self) -> list[PlacementRequest]:
        """Remove all requests from the queue and return them."""
        return self._remove_queued(lambda request: True)

    def _remove_queued(
        self, selected: Callable[[PlacementRequest], bool]
    ) -> list[PlacementRequest]:
        removed: list[PlacementRequest] = []
        for state in self._services.values():
            removed += [w.request for w in state.queue if selected(w.request)]
            state.queue = [w for w in state.queue if not selected(w.request)]
        return removed

    def drain_queue(self, now: float) -> list[tuple[int, Decision]]:
        """Place queued requests if there is capacity; refuse those that would end too late."""
        if self._listed.expire(now):
            self._rebuild_instances(now, math.inf)
        for name in self._rate_limits.expire(now):
            self._refresh_rate_limit(name, now)
        decisions: list[tuple[int, Decision]] = []
        for state in self._services.values():
            if state.queue:
                decisions.extend(self._drain_service_queue(state, now))
        return decisions

    def queue_length(self) -> int:
        """Return the number of queued requests of all services."""
        return sum(len(state.queue) for state in self._services.values())

    def _drain_service_queue(self, state: ServiceState, now: float) -> list[tuple[int, Decision]]:
        decisions: list[tuple[int, Decision]] = []
        kept: list[QueuedRequest] = []
        rate = self._placement_rate(state, state.queue[0].request, now)
        service = state.queue[0].request.service
        with_capacity = self._with_capacity(service, now)
        for entry in sorted(state.queue, key=lambda e: state.queue_order(e, now)):
            request, waited = entry.request, now - entry.enqueued_at
            placed = None
            if not request.key or any(
                instance_id in with_capacity for instance_id in self._ranking(request)
            ):
                placed = self._choose(request, now)
            if placed is not None:
                decisions.append((request.ticket, replace(placed, waited_s=waited)))
                with_capacity = self._with_capacity(service, now)
            elif now + len(kept) / rate + state.service_time_s >= request.deadline:
                refused = Refused(
                    "no-room-in-time", self._jittered_retry_s(len(kept) / rate), waited
                )
                decisions.append((request.ticket, refused))
            else:
                kept.append(entry)
        state.queue = kept
        return decisions

    def _with_capacity(self, service: str, now: float) -> set[str]:
        """Return the ids of the instances of a service that have free capacity."""
        instances = [inst for inst in self._instances.values() if inst.upstream.service == service]
        return {inst.upstream.id for inst in instances if inst.utilization(now) < MAX_UTILIZATION}

    def _enqueue(
        self, state: ServiceState, request: PlacementRequest, now: float
    ) -> Refused | None:
        """Queue a request if it can meet its objective or its deadline; otherwise refuse it."""
        available_at = self._available_at(request, now)
        if available_at > now and available_at + state.service_time_s >= request.deadline:
            pausing = available_at < math.inf
            return Refused(
                "no-upstream",
                self._jittered_retry_s(available_at - now if pausing else state.service_time_s),
            )
        rate = self._placement_rate(state, request, now)
        ahead = [w.request for w in state.queue if w.request.priority <= request.priority]
        wait_s = len(ahead) / rate
        in_time_wait_s = sum(state.meets_objective(w, now) for w in ahead) / rate
        in_time = now + in_time_wait_s + state.service_time_s <= (
            request.objective or request.deadline
        )
        misses_deadline = now + wait_s + state.service_time_s >= request.deadline
        if (misses_deadline and not in_time) or self.queue_length() >= MAX_QUEUE_LENGTH:
            return Refused("queue-too-long", self._jittered_retry_s(wait_s))
        state.queue.append(QueuedRequest(request, now))
        return None

    def _placement_rate(self, state: ServiceState, request: PlacementRequest, now: float) -> float:
        """Return this VM's placements per second: at least its share of the capacity, at most the
        sum of its shares of the rate limits if all instances have one."""
        slots = self._candidate_slots(request, now)
        minimum = slots / self.fleet.size / max(state.service_time_s, MIN_RETRY_S)
        rate = state.placement_rate(max(minimum, 1.0), now)
        return max(MIN_PLACEMENT_RATE_PER_S, min(rate, self._limited_rate(request)))

    def _limited_rate(self, request: PlacementRequest) -> float:
        """Return the sends per second that rate limits allow this VM, inf without such limits."""
        return sum(
            inst.pacer.rate_per_s
            for inst in self._instances.values()
            if self._eligible(inst, request)
        )

    def _precedes_queue(self, state: ServiceState, request: PlacementRequest, now: float) -> bool:
        """Return whether a new request is ordered before all queued ones."""
        order = state.queue_order(QueuedRequest(request, now), now)
        return all(order < state.queue_order(entry, now) for entry in state.queue)

    def _candidate_slots(self, request: PlacementRequest, now: float) -> int:
        return sum(inst.upstream.slots for inst in self._candidates(request, now))

    def _jittered_retry_s(self, wait_s: float) -> float:
        """Return a retry-after time: the bounded wait, with jitter so that callers spread out."""
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s)) * (0.5 + self._rng.random())

    def _candidates(self, request: PlacementRequest, now: float) -> list[InstanceState]:
        """Return the instances that may get the request now, regardless of their load."""
        instances = [
            instance for instance in self._instances.values() if self._eligible(instance, request)
        ]
        instances = [inst for inst in instances if now >= inst.paused_until]
        if self.reachable is not None:
            instances = [inst for inst in instances if self.reachable(inst.upstream)]
        healthy = [inst for inst in instances if now >= inst.ejected_until]
        return [
            inst
            for inst in healthy or instances
            if now >= inst.pacer.next_at and self._warmup_allows(inst, now)
        ]

    def _available_at(self, request: PlacementRequest, now: float) -> float:
        """Return when an instance may get the request: now, after a pause or an interval of its
        rate limit, or never (inf)."""
        if self._candidates(request, now):
            return now
        instances = [inst for inst in self._instances.values() if self._eligible(inst, request)]
        times = [max(instance.paused_until, instance.pacer.next_at) for instance in instances]
        return min((at for at in times if at > now), default=math.inf)

    def _eligible(self, inst: InstanceState, request: PlacementRequest) -> bool:
        up = inst.upstream
        return (
            up.service == request.service
            and inst.available
            and up.zone not in self.closed_zones
            and up.id not in request.exclude
            and (not request.regions or inst.region in request.regions)
        )

    def _warmup_allows(self, inst: InstanceState, now: float) -> bool:
        """Return whether the instance is warm, or cold and this VM may send to it now."""
        if now >= inst.cold_until:
            return True
        if now < max(inst.next_cold_send_at, self._next_cold_send_at):
            return False
        return self.fleet.vm in self._warmup_senders_of(inst)

    def _warmup_senders_of(self, inst: InstanceState) -> list[str]:
        found = self._warmup_senders.get(inst.upstream.id)
        if found is None:
            policy = self.policies.get(inst.upstream.service)
            rate = policy.cold_per_s if policy else 0.0
            bound = rate * self.cold_bound.overshoot + self.cold_bound.slack_per_s
            found = self._warmup_senders[inst.upstream.id] = warmup_senders(
                inst.upstream.id, self.fleet, bound
            )
        return found

    def _mark_cold(self, inst: InstanceState, now: float, listed: bool) -> None:
        policy = self.policies.get(inst.upstream.service)
        if policy is not None:
            inst.mark_cold(now + policy.cold_start_s, listed)

    def _choose(self, request: PlacementRequest, now: float) -> Placed | None:
        """Return the instance of least cost, only homes if there is a key; None if all are full."""
        instances = self._candidates(request, now)
        if not instances:
            return None
        homes = self._available_homes(request, instances, now)
        at_homes = bool(request.key) and (bool(homes) or self.reachable is None)
        best, best_cost = None, math.inf
        for inst in instances:
            if at_homes:
                cost = self._home_cost(inst, homes.get(inst.upstream.id), request.key, now)
            else:
                cost = (
                    self._expected_wait(inst, now)
                    + inst.utilization(now)
                    + self._distance_cost(inst)
                )
            if cost < best_cost:
                best, best_cost = inst, cost
        if best is None:
            return None
        if request.key:
            self._warm_objects.record_send(request.key, best.upstream.id, now)
        return self._assign(best, now, homes.get(best.upstream.id, 0) == 0)

    def _expected_wait(self, inst: InstanceState, now: float) -> float:
        """Return the wait at an instance in mean service times, inf if it has no capacity."""
        utilization = inst.utilization(now)
        if utilization >= MAX_UTILIZATION:
            return math.inf
        return max(0.0, utilization + 1.0 / max(1, inst.upstream.slots) - 1.0)

    def _home_cost(
        self, inst: InstanceState, home_index: int | None, key: str, now: float
    ) -> float:
        """Return the cost of a run at a home of a key in mean service times, inf elsewhere.

        Running an uncached object at an instance that is not its home would delay the objects at
        home there.
        """
        if home_index is None:
            return math.inf
        wait = self._expected_wait(inst, now)
        if home_index == 0:
            return wait
        if self._warm_objects.is_warm(key, inst.upstream.id, now):
            return wait + SECOND_HOME_COST + self._distance_cost(inst)
        if inst.utilization(now) >= MAX_COLD_UTILIZATION:
            return math.inf
        return wait + COLD_HOME_COST + self._distance_cost(inst)

    def _home_count(self, request: PlacementRequest, slots: int, now: float) -> int:
        """Return how many homes a key needs for the requests from the VMs of its region."""
        service_time_s = self._service(request.service).service_time_s
        vms = len(self.fleet.vms) * sum(r == self._region for r in self._regions.values())
        needed = (
            self._warm_objects.rate(request.key, now)
            * vms
            * service_time_s
            / (MAX_KEY_UTILIZATION * slots)
        )
        return min(RANKING_LENGTH, max(MIN_HOMES, 1 + math.ceil(needed)))

    def _distance_cost(self, inst: InstanceState) -> float:
        return 0.0 if inst.region == self._region else REMOTE_REGION_COST

    def _available_homes(
        self, request: PlacementRequest, instances: list[InstanceState], now: float
    ) -> Mapping[str, int]:
        """Return the available homes of a key with their indexes, in the order of its ranking."""
        if not request.key:
            return {}
        present = {inst.upstream.id for inst in instances}
        found = [instance_id for instance_id in self._ranking(request) if instance_id in present]
        count = self._home_count(request, instances[0].upstream.slots, now)
        return {instance_id: index for index, instance_id in enumerate(found[:count])}

    def _ranking(self, request: PlacementRequest) -> tuple[str, ...]:
        """Return the ids of the first instances in the ranking of a key, the first home first."""
        cache_key = (request.service, request.key, request.regions, request.bulky)
        found = self._rankings.get(cache_key)
        if found is None:
            if len(self._rankings) >= MAX_CACHED_RANKINGS:
                self._rankings.clear()
            weights = self._weights_for(request)
            found = self._rankings[cache_key] = tuple(
                rank_homes(request.key, weights)[:RANKING_LENGTH]
            )
        return found

    def _weights_for(self, request: PlacementRequest) -> Mapping[str, float]:
        scope = (request.service, request.regions, request.bulky)
        found = self._weights.get(scope)
        if found is None:
            any_request = replace(request, exclude=frozenset())
            instances = [
                inst for inst in self._instances.values() if self._eligible(inst, any_request)
            ]
            if request.bulky:
                locality = CallerLocality(self._zone, self._regions)
                candidates = [
                    Candidate(inst.upstream.id, inst.upstream.zone, self._effective_slots(inst))
                    for inst in instances
                ]
            else:
                locality = CallerLocality(
                    self._region, {region: region for region in self._regions.values()}
                )
                candidates = [
                    Candidate(inst.upstream.id, inst.region, self._effective_slots(inst))
                    for inst in instances
                ]
            found = self._weights[scope] = candidate_weights(candidates, locality)
        return found

    def _clear_rankings(self) -> None:
        self._rankings.clear()
        self._weights.clear()

    def _assign(self, inst: InstanceState, now: float, home: bool) -> Placed:
        load = inst.load(now)
        inst.own_in_flight += 1
        self._service(inst.upstream.service).placement_times.append(now)
        if now < inst.cold_until:
            inst.next_cold_send_at = now + MIN_SEND_INTERVAL_S
        inst.pacer.record_send(now)
        return Placed(inst.upstream, round(load, 2), round(now - inst.reported_at, 3), home)

    def _service(self, service: str) -> ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = ServiceState()
        return state


def _address(up: Upstream) -> tuple[str, int]:
    return up.ip, up.port
