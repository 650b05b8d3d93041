import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gypsumwind.core.admission import (
    Admission,
    Granted,
    PermitRequest,
    Priority,
    Reason,
    Refused,
    Usage,
)
from gypsumwind.core.choice import LeastExpectedLatency
from gypsumwind.core.edits import CellEdit, EditBatch, InstanceEdit, apply_batch
from gypsumwind.core.health import Result
from gypsumwind.core.routes import build_route
from gypsumwind.core.table import Instance, Places, ServiceTable

PLACES = Places(1, {"accra-a": "accra"})


def table(limit=2, reserve=1, slots=3, count=2):
    cells = [CellEdit("accra", "limit", None, limit), CellEdit("accra", "reserve", None, reserve)]
    instances = [
        InstanceEdit(f"i{n}", None, Instance(f"i{n}", "accra-a", f"127.0.0.{n + 1}:1", slots))
        for n in range(count)
    ]
    return apply_batch(ServiceTable("s"), EditBatch("e", "a", 0.0, (*cells, *instances)))


def admission(**kwargs):
    found = Admission(LeastExpectedLatency(), 1.0, random.Random(1))
    found.sync_route(build_route(table(**kwargs), PLACES, "accra"), "accra", 0.0)
    found.set_owned(["i0", "i1"])
    return found


def request(attempt, priority=Priority.HIGH, foreign=False, deadline=100.0):
    return PermitRequest(attempt, "s", priority, foreign, deadline)


def take(found, count, priority=Priority.HIGH, foreign=False, now=0.0):
    answers = [found.request(request(f"a{n}", priority, foreign), now) for n in range(count)]
    return sum(isinstance(a, Granted) for a in answers)


def test_slots_reserve_and_cross_region_limit_are_enforced():
    assert take(admission(), 10) == 6
    assert take(admission(), 10, Priority.NORMAL) == 5
    assert take(admission(), 10, foreign=True) == 2


def test_higher_class_displaces_a_queued_lower_one_which_is_refused_at_once():
    found = admission(reserve=0)
    take(found, 6)
    for n in range(6):
        assert found.enqueue(request(f"low{n}", Priority.LOW), 0.0)[0]
    queued, outcome = found.enqueue(request("high"), 0.0)
    assert queued
    assert [(r.attempt, r.reason) for r in outcome.refused] == [("low5", Reason.DISPLACED)]
    assert not found.enqueue(request("late", Priority.LOW), 0.0)[0]
    ended = found.finish("a0", False, 0.1)
    assert [g.attempt for g in ended.outcome.granted] == ["high"]


def test_queued_request_is_refused_after_the_queue_wait():
    found = admission(reserve=0)
    take(found, 6)
    found.enqueue(request("q"), 0.0)
    assert [r.attempt for r in found.tick(1.5).refused] == ["q"]


def test_instance_admits_nothing_after_a_takeover_until_its_first_load_report():
    found = admission(count=1)
    state = found.states["i0"]
    state.take_over([Usage(50.0, True)], report_by=1.5)
    assert found.request(request("x"), 1.0) is None
    state.report(2, 60.0, 1.0)
    assert state.used(1.0) == 2
    assert take(found, 5, now=1.0) == 1


def test_requests_that_end_during_a_hand_over_are_discharged_at_the_next_owner():
    old, new = admission(count=1), admission(count=1)
    take(old, 2)
    new.charge("i0", old.states["i0"].start_handover(0.0))
    assert new.states["i0"].used(0.0) == 2
    old.finish("a0", False, 0.1)
    for usage in old.states["i0"].end_handover():
        new.states["i0"].discharge(usage.foreign)
    assert new.states["i0"].used(0.1) == 1


def test_discharge_of_a_local_request_frees_no_cross_region_slot():
    state = admission().states["i0"]
    state.charges = [Usage(9.0, True), Usage(9.0, False)]
    state.discharge(False)
    assert state.foreign_used(0.0) == 1
    state.discharge(False)
    assert state.used(0.0) == 1


def test_failing_instances_are_ejected_but_never_more_than_half():
    found = admission()
    for name in ("i0", "i1"):
        for _ in range(9):
            found.observe(found.states[name], Result.FAILED, 0.1, 0, 0.0)
    assert [s.health.ejected(0.1) for s in found.states.values()] == [True, False]
    assert found.headroom(0.1)["s"].ejected == 1


class AdmissionMachine(RuleBasedStateMachine):
    """Requests start and end while limits change; slots and limits are never exceeded."""

    @initialize()
    def start(self):
        self.found = admission()
        self.now = 0.0
        self.count = 0
        self.running = []
        self.limit = 2

    def granted(self, answers):
        self.running.extend(a.attempt for a in answers if isinstance(a, Granted))

    @rule(priority=st.sampled_from(list(Priority)), foreign=st.booleans())
    def arrives(self, priority, foreign):
        self.count += 1
        req = request(f"r{self.count}", priority, foreign, self.now + 3.0)
        answer = self.found.request(req, self.now)
        if answer is None:
            queued, outcome = self.found.enqueue(req, self.now)
            self.granted(outcome.granted)
        elif isinstance(answer, Granted):
            self.granted([answer])
        else:
            assert isinstance(answer, Refused)

    @rule(running=st.booleans())
    def ends(self, running):
        if self.running:
            ended = self.found.finish(self.running.pop(0), running, self.now)
            self.granted(ended.outcome.granted)

    @rule(step=st.sampled_from([0.1, 0.6, 2.0]))
    def time_passes(self, step):
        self.now += step
        self.granted(self.found.tick(self.now).granted)

    @rule(limit=st.integers(0, 4), reserve=st.integers(0, 3))
    def table_changes(self, limit, reserve):
        changed = build_route(table(limit=limit, reserve=reserve), PLACES, "accra")
        self.found.sync_route(changed, "accra", self.now + 1.0)
        self.limit = max(self.limit, limit)

    @invariant()
    def slots_and_limits_hold(self):
        states = getattr(self, "found", None) and self.found.states.values()
        for state in states or ():
            assert state.used(self.now) <= 3
        if states:
            assert sum(s.foreign_used(self.now) for s in states) <= self.limit
            queue = self.found._queues.get("s", [])
            assert len(queue) <= 6


TestAdmissionMachine = AdmissionMachine.TestCase


def busy(latency_s=0.5):
    """Return an admission with all slots in use and the given observed latency."""
    found = admission(reserve=0)
    for name in ("i0", "i1"):
        found.observe(found.states[name], Result.OK, latency_s, 0, 0.0)
    assert take(found, 10) == 6
    return found


def test_queued_request_is_refused_when_its_deadline_can_no_longer_be_met():
    found = busy()
    assert found.enqueue(request("w", deadline=0.8), 0.0)[0]
    assert found.tick(0.25).refused == []
    assert [r.attempt for r in found.tick(0.35).refused] == ["w"]


def test_request_with_less_time_left_than_the_expected_latency_is_refused_at_once():
    found = busy()
    answer = found.request(request("w", deadline=0.4), 0.0)
    assert isinstance(answer, Refused) and answer.reason is Reason.SHORT


def test_one_slow_answer_does_not_block_an_idle_service():
    found = admission(reserve=0)
    for name in ("i0", "i1"):
        found.observe(found.states[name], Result.OK, 30.0, 0, 0.0)
    assert isinstance(found.request(request("w", deadline=2.0), 0.0), Granted)
