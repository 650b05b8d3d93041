"""State machine over the dispatcher: whatever happens, its counts and its promises hold."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from gypsumwind.core.dispatch import ColdBound, Dispatcher
from gypsumwind.core.fleet import Fleet
from gypsumwind.core.instances import Outcome, ReportedLoad
from gypsumwind.core.placing import Placed, Refused, Wanted
from gypsumwind.core.rules import ServicePolicy
from gypsumwind.core.upstreams import Upstream
from gypsumwind.core.warmup import SPACING_S

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


class DispatcherMachine(RuleBasedStateMachine):
    """Plays lists, evacuations, requests, results and time in any order."""

    sends = Bundle("sends")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        fleet = Fleet("vm-1", "a1", ("vm-1",), ("a1",))
        self.made = Dispatcher(ZONES, fleet, ColdBound(1.5, 5.0), random.Random(1))
        self.made.policies = {"s": ServicePolicy("s", "", 10, 3.0, 5.2)}
        self.listed = {}
        self.born = {}
        self.closed = frozenset()
        self.out = []
        self.waits = {}
        self.cold_sends = {}
        self.ticket = 0
        self.departed = {}
        self.paused = {}

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
        for name, (restarted, zone, drains, cold) in entries.items():
            born = self.born[name] = self.born.get(name, 1) + restarted
            cold_until = EPOCH + self.now + cold
            self.listed[name] = Upstream(
                name, born, "s", "127.0.0.1", 1, zone, 2, drains, cold_until
            )
        self.made.set_upstreams(self.listed.values(), self.now, EPOCH + self.now)

    @rule(name=st.sampled_from([f"i{n}" for n in range(5)]), older=st.booleans())
    def departs(self, name, older):
        """An answer of an instance, of its present or an earlier start, says that it leaves."""
        incarnation = self.born.get(name, 1) - older
        self.made.hear_departure(name, incarnation)
        self.departed[name] = max(incarnation, self.departed.get(name, 0))

    @rule(name=st.sampled_from([f"i{n}" for n in range(5)]), seconds=st.floats(0.01, 4.0))
    def pauses(self, name, seconds):
        up = self.listed.get(name)
        if up is not None:
            self.made.hear_pause(up, seconds, self.now)
            until = self.paused.get((name, up.incarnation), 0.0)
            self.paused[name, up.incarnation] = max(until, self.now + seconds)

    @rule(zones=st.frozensets(st.sampled_from(list(ZONES))))
    def zones_are_closed(self, zones):
        self.closed = zones
        self.made.set_closed_zones(zones, self.now)

    @rule(
        target=sends,
        key=st.sampled_from(["", "k1", "k2", "k3"]),
        priority=st.integers(1, 2),
        patience=st.floats(0.1, 6.0),
        regions=st.sampled_from([frozenset(), frozenset("a"), frozenset("b")]),
    )
    def request(self, key, priority, patience, regions):
        self.ticket += 1
        deadline = self.now + patience
        wanted = Wanted(self.ticket, "s", key, priority, deadline, regions, objective=deadline / 2)
        decision = self.made.place(wanted, self.now)
        if decision is None:
            self.waits[self.ticket] = wanted
            return None
        return self.decided(wanted, decision)

    @rule(send=consumes(sends), outcome=st.sampled_from(OUTCOMES), load=st.integers(0, 8))
    def send_ends(self, send, outcome, load):
        if send is None or send not in self.out:
            return
        self.out.remove(send)
        self.made.finish(send, outcome, ReportedLoad(load, 0, 2), 0.1, self.now)

    @rule(target=sends, seconds=st.floats(0.01, 2.0))
    def time_passes(self, seconds):
        self.now += seconds
        placed = None
        for ticket, decision in self.made.drain(self.now):
            found = self.decided(self.waits.pop(ticket), decision)
            placed = placed or found
        return placed

    @rule()
    def caller_leaves(self):
        if self.waits:
            ticket, _ = self.waits.popitem()
            self.made.cancel(ticket)

    def decided(self, wanted, decision):
        if isinstance(decision, Refused):
            assert decision.retry_after_s > 0
            return None
        assert isinstance(decision, Placed)
        up = decision.upstream
        assert self.listed[up.id] == up and not up.draining
        assert up.zone not in self.closed
        assert up.incarnation > self.departed.get(up.id, 0)
        assert self.now >= self.paused.get((up.id, up.incarnation), 0.0)
        assert not wanted.regions or ZONES[up.zone] in wanted.regions
        if EPOCH + self.now < up.cold_until:
            last = self.cold_sends.get((up.id, up.incarnation), -SPACING_S)
            assert self.now - last >= SPACING_S - 1e-6
            self.cold_sends[up.id, up.incarnation] = self.now
        self.out.append(up)
        return up

    @invariant()
    def counts_match_what_is_out(self):
        for name, lane in self.made.lanes.items():
            known = [up for up in self.out if up.id == name]
            same = [up for up in known if up.incarnation == lane.upstream.incarnation]
            assert 0 <= lane.own <= len(same)

    @invariant()
    def those_that_wait_are_those_not_told(self):
        assert self.made.waiting() == len(self.waits)


TestDispatcher = DispatcherMachine.TestCase
TestDispatcher.settings = settings(max_examples=60, stateful_step_count=30)
