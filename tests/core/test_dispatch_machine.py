"""State machine test of the dispatcher: its counts and constraints hold in any order of events."""

import math
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, initialize, invariant, rule

from gypsumwind.core.decisions import Placed, PlacementRequest, Refused
from gypsumwind.core.dispatch import ColdBound, Dispatcher
from gypsumwind.core.fleet import Fleet
from gypsumwind.core.instances import Outcome, ReportedLoad
from gypsumwind.core.rules import ServicePolicy
from gypsumwind.core.upstreams import Upstream
from gypsumwind.core.warmup import MIN_SEND_INTERVAL_S

ZONES = {"a1": "a", "a2": "a", "b1": "b"}
OUTCOMES = (
    Outcome.OK,
    Outcome.FAILED,
    Outcome.SHED,
    Outcome.CUT,
    Outcome.UNREACHABLE,
    Outcome.MISDIRECTED,
    Outcome.LATE,
    Outcome.CANCELLED,
)
EPOCH = 1000.0
INF = math.inf


class DispatcherMachine(RuleBasedStateMachine):
    """Runs lists, closed zones, requests, results and time in any order."""

    sends = Bundle("sends")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        fleet = Fleet("vm-1", "a1", ("vm-1",), ("a1",))
        self.dispatcher = Dispatcher(ZONES, fleet, ColdBound(1.5, 5.0), random.Random(1))
        self.dispatcher.policies = {"s": ServicePolicy("s", "", 10, 3.0, 5.2)}
        self.listed = {}
        self.incarnations = {}
        self.closed_zones = frozenset()
        self.in_flight = []
        self.queued = {}
        self.cold_sends = {}
        self.ticket = 0
        self.departed = {}
        self.paused = {}
        self.limits = {}
        self.limited_sends = {}

    @initialize()
    def warm_instances_are_listed(self):
        zones = dict(zip(["i0", "i1", "i2"], ZONES, strict=True))
        self.list_changes({name: (False, zone, False, 0.0) for name, zone in zones.items()})

    @rule(
        entries=st.dictionaries(
            st.sampled_from([f"i{n}" for n in range(5)]),
            st.tuples(
                st.booleans(),
                st.sampled_from(list(ZONES)),
                st.booleans(),
                st.sampled_from([0.0, 2.0]),
            ),
        )
    )
    def list_changes(self, entries):
        self.listed = {}
        for name, (restarted, zone, draining, cold) in entries.items():
            incarnation = self.incarnations[name] = self.incarnations.get(name, 1) + restarted
            cold_until = EPOCH + self.now + cold
            self.listed[name] = Upstream(
                name, incarnation, "s", "127.0.0.1", 1, zone, 2, draining, cold_until
            )
        self.dispatcher.set_upstreams(self.listed.values(), self.now, EPOCH + self.now)

    @rule(name=st.sampled_from([f"i{n}" for n in range(5)]), older=st.booleans())
    def departs(self, name, older):
        """An instance of the current or an earlier incarnation announces its shutdown."""
        incarnation = self.incarnations.get(name, 1) - older
        self.dispatcher.record_departure(name, incarnation)
        self.departed[name] = max(incarnation, self.departed.get(name, 0))

    @rule(name=st.sampled_from([f"i{n}" for n in range(5)]), seconds=st.floats(0.01, 4.0))
    def pauses(self, name, seconds):
        up = self.listed.get(name)
        if up is not None:
            self.dispatcher.record_pause(up, seconds, self.now)
            until = self.paused.get((name, up.incarnation), 0.0)
            self.paused[name, up.incarnation] = max(until, self.now + seconds)

    @rule(per_s=st.sampled_from([0.5, 2.0, INF]))
    def all_state_a_rate_limit(self, per_s):
        for up in self.listed.values():
            self.dispatcher.record_rate_limit(up, per_s, INF, self.now, EPOCH + self.now)
            self.limits[up.id, up.incarnation] = per_s

    @rule(zones=st.frozensets(st.sampled_from(list(ZONES))))
    def zones_are_closed(self, zones):
        self.closed_zones = zones
        self.dispatcher.set_closed_zones(zones, self.now)

    @rule(
        target=sends,
        key=st.sampled_from(["", "k1", "k2", "k3"]),
        priority=st.integers(1, 2),
        timeout_s=st.floats(0.1, 6.0),
        regions=st.sampled_from([frozenset(), frozenset("a"), frozenset("b")]),
    )
    def request(self, key, priority, timeout_s, regions):
        self.ticket += 1
        deadline = self.now + timeout_s
        placement_request = PlacementRequest(
            self.ticket, "s", key, priority, deadline, regions, objective=deadline / 2
        )
        decision = self.dispatcher.place(placement_request, self.now)
        if decision is None:
            self.queued[self.ticket] = placement_request
            return None
        return self.check_decision(placement_request, decision)

    @rule(send=consumes(sends), outcome=st.sampled_from(OUTCOMES), load=st.integers(0, 8))
    def send_ends(self, send, outcome, load):
        if send is None or send not in self.in_flight:
            return
        self.in_flight.remove(send)
        self.dispatcher.finish(send, outcome, ReportedLoad(load, 0, 2), 0.1, self.now)

    @rule(target=sends, seconds=st.floats(0.01, 2.0))
    def time_passes(self, seconds):
        self.now += seconds
        placed = None
        for ticket, decision in self.dispatcher.drain_queue(self.now):
            found = self.check_decision(self.queued.pop(ticket), decision)
            placed = placed or found
        return placed

    @rule()
    def caller_leaves(self):
        if self.queued:
            ticket, _ = self.queued.popitem()
            self.dispatcher.cancel(ticket)

    def check_decision(self, placement_request, decision):
        if isinstance(decision, Refused):
            assert decision.retry_after_s > 0
            return None
        assert isinstance(decision, Placed)
        up = decision.upstream
        assert self.listed[up.id] == up and not up.draining
        assert up.zone not in self.closed_zones
        assert up.incarnation > self.departed.get(up.id, 0)
        assert self.now >= self.paused.get((up.id, up.incarnation), 0.0)
        assert not placement_request.regions or ZONES[up.zone] in placement_request.regions
        if EPOCH + self.now < up.cold_until:
            last = self.cold_sends.get((up.id, up.incarnation), -MIN_SEND_INTERVAL_S)
            assert self.now - last >= MIN_SEND_INTERVAL_S - 1e-6
            self.cold_sends[up.id, up.incarnation] = self.now
        limit = self.limits.get((up.id, up.incarnation), INF)
        last = self.limited_sends.get((up.id, up.incarnation), -INF)
        assert limit == INF or self.now - last >= 1 / limit
        self.limited_sends[up.id, up.incarnation] = self.now
        self.in_flight.append(up)
        return up

    @invariant()
    def counts_match_the_requests_in_flight(self):
        for name, instance in self.dispatcher.instances.items():
            known = [up for up in self.in_flight if up.id == name]
            same = [up for up in known if up.incarnation == instance.upstream.incarnation]
            assert 0 <= instance.own_in_flight <= len(same)

    @invariant()
    def queue_length_matches_the_undecided_requests(self):
        assert self.dispatcher.queue_length() == len(self.queued)


TestDispatcher = DispatcherMachine.TestCase
TestDispatcher.settings = settings(max_examples=60, stateful_step_count=30)
