"""Placing of requests on upstream instances straight from the VM that a caller chose.

No VM owns an instance here, so its room is estimated: what it last said of its load, plus this
VM's own sends since. A sticky request goes to the first home of its key (core/placement), where
its object is warm, and rather waits than runs cold elsewhere; the second home takes it for want of
room there, and a key that is asked for much has further homes. What finds no room at any of them
waits here: by priority, then those that can still be answered within their objective, then by
deadline; it is refused as soon as it cannot be served in time.

Answers to load: the room left at each instance, and the wait for it.
"""

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from gypsumwind.core.departures import Departures
from gypsumwind.core.fleet import Fleet
from gypsumwind.core.instances import Lane, Outcome, ReportedLoad
from gypsumwind.core.lapses import GracedList
from gypsumwind.core.placement import Place, Site, homes, site_weights
from gypsumwind.core.placing import Decision, Placed, Refused, Wanted
from gypsumwind.core.rules import ServicePolicy
from gypsumwind.core.services import ServiceState, Waiting
from gypsumwind.core.upstreams import Upstream
from gypsumwind.core.warmth import Warmth
from gypsumwind.core.warmup import SPACING_S, senders

FULL_SHARE = 1.5
"""Part of an instance's slots beyond which nothing more is sent: what waits there has no order.

From the emulator: at 400 and 600 requests/s 1.5 answers more within the objective than 1.25 or 2.
"""

SPARE_SHARE = 0.8
"""Part of an instance's slots below which it may run an object cold as its second home: above it
those at home there would wait for the longer run. From the emulator: 0.5 to 0.8 measured alike."""

SECOND_HOME_WORK = 0.5
"""Wait at the first home, in mean times of a request, above which the second home is taken."""

COLD_WORK = 1.5
"""The same if the object is cold at the second home, where it takes so much longer."""

OTHER_REGION_WORK = 0.2
"""Mean times of a request that a round trip to another region counts as, among equals."""

HOMES = 2
"""Homes of a key at the least."""

HOME_SHARE = 0.7
"""Part of an instance's slots that one key may take before it gets a further home."""

RANKED = 6
"""Instances in the order of a key that are remembered: stand-ins for homes that are closed now."""

MAX_PLANS = 20_000
"""Keys whose homes are remembered."""

LEAVING_S = 2.0
"""Time for which an instance is left out whose answer closed its connection.

By then the list tells whether it stops, a heartbeat and a call later; if not, it only closed
that connection, as instances that stay do now and then.
"""

MAX_PAUSE_S = 60.0
"""Longest pause of an instance, in seconds; it may ask for another."""

MIN_RETRY_S = 0.1
MAX_RETRY_S = 5.0
"""Bounds of what a refused caller is told to wait, in seconds."""

REMEMBER_S = 30.0
"""Time for which an instance that left the list is remembered: its entry may have lapsed only."""

MAX_WAITING = 400
"""Requests that wait here at most; beyond it they are refused at once."""


SLOW_WORK = 2.0
"""Mean times of a request after which an instance that has not answered counts as failing.

A send that had less time tells nothing. All instances may be slow alike, under load or while their
objects are cold: one is left out only if it fails well more often than its service (EJECT_MARGIN).
"""


@dataclass(slots=True, frozen=True)
class ColdBound:
    """The bound on requests to a cold instance: its own rate times `overshoot` plus `slack`."""

    overshoot: float
    slack_per_s: float


class Dispatcher:
    """Places requests, keeps those that wait, and learns from results."""

    def __init__(
        self, regions: Mapping[str, str], fleet: Fleet, cold: ColdBound, rng: random.Random
    ) -> None:
        self._zone = fleet.zone
        self._region = regions.get(fleet.zone, "")
        self._regions = regions
        self._rng = rng
        self.fleet = fleet
        self.cold = cold
        self.policies: Mapping[str, ServicePolicy] = {}
        self.closed_zones: frozenset[str] = frozenset()
        self._listed = GracedList()
        self._departures = Departures()
        self._warmth = Warmth()
        self._lanes: dict[str, Lane] = {}
        self._gone: dict[str, tuple[Lane, float]] = {}
        self._services: dict[str, ServiceState] = {}
        self._senders: dict[str, list[str]] = {}
        self._plans: dict[tuple[str, str, frozenset[str], bool], tuple[str, ...]] = {}
        self._weights: dict[tuple[str, frozenset[str], bool], Mapping[str, float]] = {}

    @property
    def lanes(self) -> Mapping[str, Lane]:
        """Return what is known of each instance, by id."""
        return self._lanes

    def set_fleet(self, fleet: Fleet, cold: ColdBound) -> None:
        """Take in which VMs there are, and the bound that they keep together."""
        self.fleet = fleet
        self.cold = cold
        self._senders.clear()

    def set_regions(self, regions: Mapping[str, str]) -> None:
        """Take in which region each zone is in."""
        self._regions = regions
        self._region = regions.get(self._zone, "")
        for lane in self._lanes.values():
            lane.region = regions.get(lane.upstream.zone, "")
        self._replan()

    def set_upstreams(
        self, found: Iterable[Upstream], now: float, epoch: float, grace_until: float = -math.inf
    ) -> None:
        """Take in the list of instances; `epoch` is the same moment by the time of day.

        Until `grace_until` entries may be missing that lapsed while the store was away.
        """
        self._listed.take({up.id: up for up in found}, grace_until, now)
        self._set_lanes(now, epoch)

    def _set_lanes(self, now: float, epoch: float) -> None:
        lanes = {}
        for up in self._listed.values.values():
            lane = self._known(up.id)
            if lane is None or lane.upstream.incarnation != up.incarnation:
                lane = Lane(up)
            elif up.id not in self._lanes or _address(up) != _address(lane.upstream):
                lane.misdirected = False
            lane.upstream = up
            lane.region = self._regions.get(up.zone, "")
            lane.leaving = up.draining
            lane.departing = self._departures.covers(up)
            if up.cold_until > epoch:
                lane.cold_until = max(lane.cold_until, now + up.cold_until - epoch)
            lanes[up.id] = lane
        kept = now - REMEMBER_S
        self._gone = {name: (la, at) for name, (la, at) in self._gone.items() if at > kept}
        self._gone |= {name: (la, now) for name, la in self._lanes.items() if name not in lanes}
        self._lanes = lanes
        self._replan()

    def _known(self, name: str) -> Lane | None:
        """Return what is known of an instance, also if it has left the list lately."""
        return self._lanes.get(name) or self._gone.get(name, (None, 0.0))[0]

    def set_closed_zones(self, zones: frozenset[str], now: float) -> None:
        """Take in the zones that get nothing; those taken back are taken to be cold."""
        for lane in self._lanes.values():
            if lane.upstream.zone in self.closed_zones - zones:
                self._suspect_cold(lane, now)
        self.closed_zones = zones
        self._replan()

    def place(self, wanted: Wanted, now: float) -> Decision | None:
        """Return where a request goes, a refusal, or None: it waits for room."""
        state = self._state(wanted.service)
        if not state.waiting or self._first(state, wanted, now):
            placed = self._choose(wanted, now)
            if placed is not None:
                return placed
        return self._wait(state, wanted, now)

    def finish(
        self,
        upstream: Upstream,
        outcome: str,
        report: ReportedLoad | None,
        seconds: float,
        now: float,
    ) -> None:
        """Take in the end of a send: its outcome, the load that the answer told, its time."""
        lane = self._known(upstream.id)
        if lane is None or lane.upstream.incarnation != upstream.incarnation:
            return
        lane.own = max(0, lane.own - 1)
        if report is not None:
            lane.hear(report, now)
        state = self._state(upstream.service)
        if outcome == Outcome.LATE and seconds >= SLOW_WORK * state.work_s:
            outcome = Outcome.SLOW
        state.observe(outcome)
        lane.observe(outcome, state.failures, now)
        if outcome == Outcome.MISDIRECTED:
            self._replan()
        if outcome in (Outcome.UNREACHABLE, Outcome.CUT):
            self._suspect_cold(lane, now)
        if outcome == Outcome.OK:
            state.took(seconds)

    def hear_close(self, upstream: Upstream, now: float) -> None:
        """An answer closed its connection: the instance may be leaving."""
        lane = self._lanes.get(upstream.id)
        if lane is not None and lane.upstream.incarnation == upstream.incarnation:
            lane.leave_out(now + LEAVING_S)

    def hear_departure(self, name: str, incarnation: int) -> bool:
        """An answer, here or at another VM, said that an instance leaves; tell if it is news."""
        if not self._departures.add(name, incarnation):
            return False
        lane = self._known(name)
        if lane is not None:
            lane.departing = self._departures.covers(lane.upstream)
        self._replan()
        return True

    def hear_pause(self, upstream: Upstream, seconds: float, now: float) -> None:
        """An instance asks for a pause of so many seconds."""
        lane = self._known(upstream.id)
        if lane is not None and lane.upstream.incarnation == upstream.incarnation:
            lane.paused_until = max(lane.paused_until, now + min(MAX_PAUSE_S, seconds))

    def room_in_s(self, service: str, now: float) -> float:
        """Return when a caller whose request found no room may come back, in seconds.

        That is once an instance takes requests, and those that wait here have gone.
        """
        state = self._state(service)
        anyone = Wanted(0, service, "", 0, math.inf)
        opens_at = self._opens_at(anyone, now)
        queue_s = len(state.waiting) / self._rate(state, anyone, now)
        return self._retry_s(max(queue_s, opens_at - now if opens_at < math.inf else state.work_s))

    def cancel(self, ticket: int) -> None:
        """Forget a request that waits."""
        for state in self._services.values():
            state.waiting = [w for w in state.waiting if w.wanted.ticket != ticket]

    def drain(self, now: float) -> list[tuple[int, Decision]]:
        """Place those that wait and find room now; refuse those that are too late."""
        if self._listed.expire(now):
            self._set_lanes(now, math.inf)
        decisions: list[tuple[int, Decision]] = []
        for state in self._services.values():
            if state.waiting:
                decisions.extend(self._drain_service(state, now))
        return decisions

    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return sum(len(state.waiting) for state in self._services.values())

    def _drain_service(self, state: ServiceState, now: float) -> list[tuple[int, Decision]]:
        decisions: list[tuple[int, Decision]] = []
        kept: list[Waiting] = []
        rate = self._rate(state, state.waiting[0].wanted, now)
        service = state.waiting[0].wanted.service
        open_homes = self._open_lanes(service, now)
        for entry in sorted(state.waiting, key=lambda e: state.order(e, now)):
            wanted, waited = entry.wanted, now - entry.since
            placed = None
            if not wanted.key or any(site in open_homes for site in self._order(wanted)):
                placed = self._choose(wanted, now)
            if placed is not None:
                decisions.append((wanted.ticket, replace(placed, waited_s=waited)))
                open_homes = self._open_lanes(service, now)
            elif now + len(kept) / rate + state.work_s >= wanted.deadline:
                refused = Refused("no-room-in-time", self._retry_s(len(kept) / rate), waited)
                decisions.append((wanted.ticket, refused))
            else:
                kept.append(entry)
        state.waiting = kept
        return decisions

    def _open_lanes(self, service: str, now: float) -> set[str]:
        """Return the instances of a service with room."""
        lanes = [lane for lane in self._lanes.values() if lane.upstream.service == service]
        return {lane.upstream.id for lane in lanes if lane.share(now) < FULL_SHARE}

    def _wait(self, state: ServiceState, wanted: Wanted, now: float) -> Refused | None:
        """Queue a request if it can be served in time, by its objective or by its deadline."""
        opens_at = self._opens_at(wanted, now)
        if opens_at > now and opens_at + state.work_s >= wanted.deadline:
            known = opens_at < math.inf
            return Refused("no-upstream", self._retry_s(opens_at - now if known else state.work_s))
        rate = self._rate(state, wanted, now)
        before = [w.wanted for w in state.waiting if w.wanted.priority <= wanted.priority]
        wait_s = len(before) / rate
        fresh_s = sum(state.in_time(w, now) for w in before) / rate
        useful = now + fresh_s + state.work_s <= (wanted.objective or wanted.deadline)
        hopeless = now + wait_s + state.work_s >= wanted.deadline
        if (hopeless and not useful) or self.waiting() >= MAX_WAITING:
            return Refused("queue-too-long", self._retry_s(wait_s))
        state.waiting.append(Waiting(wanted, now))
        return None

    def _rate(self, state: ServiceState, wanted: Wanted, now: float) -> float:
        """Return the requests a second that this VM places, its part of the room at the least."""
        slots = self._slots(wanted, now)
        least = slots / self.fleet.size / max(state.work_s, MIN_RETRY_S)
        return state.rate(max(least, 1.0), now)

    def _first(self, state: ServiceState, wanted: Wanted, now: float) -> bool:
        """Tell whether a request that has just come goes before all that wait."""
        mine = state.order(Waiting(wanted, now), now)
        return all(mine < state.order(entry, now) for entry in state.waiting)

    def _slots(self, wanted: Wanted, now: float) -> int:
        return sum(lane.upstream.slots for lane in self._open(wanted, now))

    def _retry_s(self, wait_s: float) -> float:
        """Return when to come back: once those that wait here have gone, spread over as long."""
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s)) * (0.5 + self._rng.random())

    def _open(self, wanted: Wanted, now: float) -> list[Lane]:
        """Return the instances that may get the request now, whatever their load."""
        lanes = [la for la in self._lanes.values() if self._allowed(la, wanted)]
        lanes = [lane for lane in lanes if now >= lane.paused_until]
        healthy = [lane for lane in lanes if now >= lane.ejected_until]
        return [lane for lane in healthy or lanes if self._warm_enough(lane, now)]

    def _opens_at(self, wanted: Wanted, now: float) -> float:
        """Return when an instance may get the request: now, at the end of a pause, or inf."""
        if self._open(wanted, now):
            return now
        lanes = [lane for lane in self._lanes.values() if self._allowed(lane, wanted)]
        return min((la.paused_until for la in lanes if la.paused_until > now), default=math.inf)

    def _allowed(self, lane: Lane, wanted: Wanted) -> bool:
        up = lane.upstream
        return (
            up.service == wanted.service
            and lane.listed
            and up.zone not in self.closed_zones
            and up.id not in wanted.exclude
            and (not wanted.regions or lane.region in wanted.regions)
        )

    def _warm_enough(self, lane: Lane, now: float) -> bool:
        """Tell whether the instance is warm, or cold and this VM's turn has come."""
        if now >= lane.cold_until:
            return True
        if now < lane.cold_next:
            return False
        return self.fleet.vm in self._named(lane)

    def _named(self, lane: Lane) -> list[str]:
        found = self._senders.get(lane.upstream.id)
        if found is None:
            policy = self.policies.get(lane.upstream.service)
            rate = policy.cold_per_s if policy else 0.0
            bound = rate * self.cold.overshoot + self.cold.slack_per_s
            found = self._senders[lane.upstream.id] = senders(lane.upstream.id, self.fleet, bound)
        return found

    def _suspect_cold(self, lane: Lane, now: float) -> None:
        policy = self.policies.get(lane.upstream.service)
        if policy is not None:
            lane.cold_until = max(lane.cold_until, now + policy.cold_start_s)

    def _choose(self, wanted: Wanted, now: float) -> Placed | None:
        """Return the instance of the least expected wait, a home before any other."""
        lanes = self._open(wanted, now)
        if not lanes:
            return None
        places = self._open_homes(wanted, lanes, now)
        best, least = None, math.inf
        for lane in lanes:
            if wanted.key:
                cost = self._home_cost(lane, places.get(lane.upstream.id), wanted.key, now)
            else:
                cost = self._wait_at(lane, now) + lane.share(now) + self._distance(lane)
            if cost < least:
                best, least = lane, cost
        if best is None:
            return None
        if wanted.key:
            self._warmth.note(wanted.key, best.upstream.id, now)
        return self._grant(best, now, places.get(best.upstream.id, 0) == 0)

    def _wait_at(self, lane: Lane, now: float) -> float:
        """Return the wait at an instance in mean times of a request, inf if it has no room."""
        share = lane.share(now)
        if share >= FULL_SHARE:
            return math.inf
        return max(0.0, share + 1.0 / max(1, lane.upstream.slots) - 1.0)

    def _home_cost(self, lane: Lane, place: int | None, key: str, now: float) -> float:
        """Return the cost of a run at a home of a key in mean times of a request, inf elsewhere.

        A cold run at an instance that is no home would hold up the objects at home there.
        """
        if place is None:
            return math.inf
        wait = self._wait_at(lane, now)
        if place == 0:
            return wait
        if self._warmth.warm(key, lane.upstream.id, now):
            return wait + SECOND_HOME_WORK + self._distance(lane)
        if lane.share(now) >= SPARE_SHARE:
            return math.inf
        return wait + COLD_WORK + self._distance(lane)

    def _homes_of(self, wanted: Wanted, slots: int, now: float) -> int:
        """Return how many homes a key needs for the requests that the VMs of its region send."""
        work_s = self._state(wanted.service).work_s
        vms = len(self.fleet.vms) * sum(r == self._region for r in self._regions.values())
        needed = self._warmth.rate(wanted.key, now) * vms * work_s / (HOME_SHARE * slots)
        return min(RANKED, max(HOMES, 1 + math.ceil(needed)))

    def _distance(self, lane: Lane) -> float:
        return 0.0 if lane.region == self._region else OTHER_REGION_WORK

    def _open_homes(self, wanted: Wanted, lanes: list[Lane], now: float) -> Mapping[str, int]:
        """Return the homes of a key by place; the next in order stand in for closed ones."""
        if not wanted.key:
            return {}
        present = {lane.upstream.id for lane in lanes}
        found = [site for site in self._order(wanted) if site in present]
        homes = self._homes_of(wanted, lanes[0].upstream.slots, now)
        return {site: place for place, site in enumerate(found[:homes])}

    def _order(self, wanted: Wanted) -> tuple[str, ...]:
        """Return the instances at which a key has its homes, the first ones in order."""
        plan = (wanted.service, wanted.key, wanted.regions, wanted.bulky)
        found = self._plans.get(plan)
        if found is None:
            if len(self._plans) >= MAX_PLANS:
                self._plans.clear()
            weights = self._weights_for(wanted)
            found = self._plans[plan] = tuple(homes(wanted.key, weights)[:RANKED])
        return found

    def _weights_for(self, wanted: Wanted) -> Mapping[str, float]:
        scope = (wanted.service, wanted.regions, wanted.bulky)
        found = self._weights.get(scope)
        if found is None:
            anyone = replace(wanted, exclude=frozenset())
            lanes = [lane for lane in self._lanes.values() if self._allowed(lane, anyone)]
            if wanted.bulky:
                place = Place(self._zone, self._regions)
                sites = [Site(la.upstream.id, la.upstream.zone, la.upstream.slots) for la in lanes]
            else:
                place = Place(self._region, {region: region for region in self._regions.values()})
                sites = [Site(la.upstream.id, la.region, la.upstream.slots) for la in lanes]
            found = self._weights[scope] = site_weights(sites, place)
        return found

    def _replan(self) -> None:
        self._plans.clear()
        self._weights.clear()

    def _grant(self, lane: Lane, now: float, home: bool) -> Placed:
        load = lane.load(now)
        lane.own += 1
        self._state(lane.upstream.service).placed.append(now)
        if now < lane.cold_until:
            lane.cold_next = now + SPACING_S
        return Placed(lane.upstream, round(load, 2), round(now - lane.heard_at, 3), home)

    def _state(self, service: str) -> ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = ServiceState()
        return state


def _address(up: Upstream) -> tuple[str, int]:
    return up.ip, up.port
