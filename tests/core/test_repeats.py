"""The retry budget of a fleet: its bound holds in every window, whatever happens to the VMs."""

import itertools
from bisect import bisect_left

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gypsumwind.core.fleet import Fleet
from gypsumwind.core.retry_budget import FleetRetryBudget, RetryLimits

RATIO, HEADROOM, WINDOW_S = 0.2, 64.0, 10.0
LIMITS = RetryLimits(RATIO, HEADROOM, WINDOW_S)
WAIT_S = 2.5
"""Longest wait of a retry for an instance, in seconds."""

tickets = itertools.count()


def send(budget, now, vms):
    """Send a retry at once if it is granted; return whether it is."""
    ticket = next(tickets)
    granted = budget.take(ticket, now + WAIT_S, now, vms)
    budget.record_sent(ticket)
    return granted


def send_all(budget, now, vms):
    """Send retries at once until one is declined; return how many were granted."""
    return sum(1 for _ in iter(lambda: send(budget, now, vms), False))


def count(times, begin):
    return bisect_left(times, begin + WINDOW_S) - bisect_left(times, begin)


def worst_share(requests, retries, limits=LIMITS):
    """Return the retries of the worst window as a share of what the fleet may send in it."""
    requests, retries = sorted(requests), sorted(retries)
    windows = (0.0, WINDOW_S / 2, WINDOW_S)
    return max(
        (
            count(retries, at)
            / (limits.ratio * max(count(requests, at - back) for back in windows) + limits.headroom)
            for at in retries
        ),
        default=0.0,
    )


@given(st.lists(st.tuples(st.integers(0, 11), st.booleans(), st.floats(0, 0.2)), max_size=800))
def test_twelve_vms_stay_within_the_limit_in_every_window_without_coordination(events):
    budgets = [FleetRetryBudget(LIMITS, -WINDOW_S) for _ in range(12)]
    now, requests, retries = 0.0, [], []
    for vm, first, gap in events:
        now += gap
        if first:
            budgets[vm].record_request(now, 12)
            requests.append(now)
        elif send(budgets[vm], now, 12):
            retries.append(now)
    assert worst_share(requests, retries) <= 1.0


@pytest.mark.parametrize("zones", [[2] * 6, [13, 15, 14, 16, 16, 13], [1, 2, 1, 2, 1, 2]])
def test_vms_of_large_zones_stay_within_the_limit_with_views_of_their_own_zone_only(zones):
    names = tuple(f"z{n}" for n in range(len(zones)))
    fleets = [
        Fleet(f"vm-{n}-{i}", names[n], tuple(f"vm-{n}-{i}" for i in range(vms)), names)
        for n, vms in enumerate(zones)
        for i in range(vms)
    ]
    budgets = [FleetRetryBudget(LIMITS, -1000.0) for _ in fleets]
    taken = 0
    for tick in range(int(10 * WINDOW_S)):
        now = tick / 10
        taken += sum(send_all(b, now, f.size) for b, f in zip(budgets, fleets, strict=True))
    assert taken <= HEADROOM


def fail_all(vms, per_s, headroom, attempts, restarts, moves=()):
    """Return the requests and retries of VMs to a service that fails from 15 s on.

    All VMs restart at the times in `restarts`; from the times in `moves` on, the callers of half
    of the VMs use the others.
    """
    limits = RetryLimits(RATIO, headroom, WINDOW_S)
    budgets = [FleetRetryBudget(limits, 0.0) for _ in range(vms)]
    requests, retries, restarts = [], [], list(restarts)
    for n in range(int(40 * per_s)):
        now = n / per_s
        if restarts and now >= restarts[0]:
            restarts.pop(0)
            budgets = [FleetRetryBudget(limits, now) for _ in range(vms)]
        moved = any(now >= at for at in moves)
        budget = budgets[n % (vms // 2 if moved else vms)]
        budget.record_request(now, vms)
        requests.append(now)
        for _ in range(attempts - 1 if now >= 15.0 else 0):
            if not send(budget, now, vms):
                break
            retries.append(now)
    return requests, retries, limits


@pytest.mark.parametrize("headroom", [0.0, 60.0])
@pytest.mark.parametrize("per_s", [20, 100, 266, 1000])
@pytest.mark.parametrize("restarts", [[], [16.7], [17.0, 21.5], [17.0, 20.0, 23.0, 26.0]])
def test_restarted_vms_do_not_use_the_retries_of_their_predecessors_again(
    headroom, per_s, restarts
):
    requests, retries, limits = fail_all(10, per_s, headroom, 3, restarts)
    assert retries and worst_share(requests, retries, limits) <= 1.0


@pytest.mark.parametrize("per_s", [20, 266])
def test_callers_that_move_to_other_vms_bring_no_second_budget(per_s):
    requests, retries, limits = fail_all(10, per_s, 60.0, 3, [], moves=[16.7])
    assert retries and worst_share(requests, retries, limits) <= 1.0


def test_restarted_vm_retries_as_its_own_requests_allow():
    budget = FleetRetryBudget(LIMITS, 0.0)
    assert not send(budget, 0.0, 12)
    for n in range(100):
        budget.record_request(n / 100, 12)
    assert send_all(budget, 1.0, 12) == 9


def test_time_adds_no_retries_while_a_vm_does_not_know_the_size_of_the_fleet():
    """Guards against the share of a VM that has started and knows few others (BUDGET)."""
    budget = FleetRetryBudget(LIMITS, 2.0)
    assert send_all(budget, 1.9, 1) == 0
    assert send_all(budget, 2.0 + WINDOW_S, 1) == 19
    budget.pause(4.0 + WINDOW_S)
    assert send_all(budget, 4.0 + WINDOW_S, 1) == 0
    assert send_all(budget, 4.0 + 2 * WINDOW_S, 1) == 19


def test_retries_that_wait_do_not_fall_into_one_window_with_a_second_batch():
    """Guards against grants that count while they wait and not when they are sent (BUDGET)."""
    budget = FleetRetryBudget(LIMITS, -1000.0)
    waiting = list(itertools.takewhile(lambda n: budget.take(n, 2.5, 0.0, 1), itertools.count(1)))
    assert len(waiting) == 32
    assert send_all(budget, 2.4, 1) == 0
    for ticket in waiting:
        budget.record_sent(ticket)
    assert send_all(budget, 2.4, 1) == 0
    assert send_all(budget, 2.4 + WINDOW_S, 1) == 19


@pytest.mark.parametrize("end, available", [("released", True), ("overdue", True), ("sent", False)])
def test_only_a_retry_that_is_not_sent_is_available_again(end, available):
    vms = HEADROOM / 2
    budget = FleetRetryBudget(LIMITS, -1000.0)
    assert budget.take(-1, 1.0, 0.0, vms)
    assert not budget.take(-2, 1.0, 0.0, vms)
    if end == "released":
        budget.release(-1)
    elif end == "sent":
        budget.record_sent(-1)
    assert budget.take(-3, 3.0, 1.0, vms) is available


def test_requests_of_earlier_windows_take_no_memory():
    budget = FleetRetryBudget(LIMITS, 0.0)
    for n in range(5_000):
        budget.record_request(float(n), 1)
    assert budget.evidence(1)["requests"] == WINDOW_S


def test_changed_limits_bound_what_was_saved_before():
    budget = FleetRetryBudget(LIMITS, -1000.0)
    budget.set_limits(RetryLimits(RATIO, 10.0, WINDOW_S))
    assert send_all(budget, 0.0, 1) == 5
    budget.set_limits(LIMITS)
    assert send_all(budget, 0.0, 1) == 0
    budget.set_limits(RetryLimits(RATIO, HEADROOM, 2 * WINDOW_S))
    assert send_all(budget, WINDOW_S, 1) == 9


class FleetMachine(RuleBasedStateMachine):
    """VMs whose requests fail, and which are killed, replaced and started at any moment."""

    @initialize(vms=st.integers(1, 12))
    def start(self, vms):
        self.now = 0.0
        self.budgets = [FleetRetryBudget(LIMITS, -1000.0) for _ in range(vms)]
        self.requests, self.retries, self.waiting = [], [], []

    @rule(seconds=st.floats(0.01, 4.0))
    def pass_time(self, seconds):
        self.now += seconds
        self.waiting = [w for w in self.waiting if w[2] > self.now]

    @rule(vm=st.integers(0, 11), sent=st.integers(1, 60), fails=st.booleans(), waits=st.booleans())
    def send_requests(self, vm, sent, fails, waits):
        budget, size = self.budgets[vm % len(self.budgets)], len(self.budgets)
        for _ in range(sent):
            budget.record_request(self.now, size)
            self.requests.append(self.now)
            for _ in range(2 * fails):
                ticket, deadline = next(tickets), self.now + WAIT_S
                if not budget.take(ticket, deadline, self.now, size):
                    break
                self.waiting.append((budget, ticket, deadline))
        if not waits:
            self.place_retries()

    @rule()
    def place_retries(self):
        for budget, ticket, _ in self.waiting:
            if budget in self.budgets:
                budget.record_sent(ticket)
                self.retries.append(self.now)
        self.waiting.clear()

    @rule(vms=st.sets(st.integers(0, 11)), everyone=st.booleans())
    def restart(self, vms, everyone):
        for n in range(len(self.budgets)):
            if everyone or n in vms:
                self.budgets[n] = FleetRetryBudget(LIMITS, self.now)

    @invariant()
    def retries_are_within_the_limit(self):
        assert worst_share(getattr(self, "requests", []), getattr(self, "retries", [])) <= 1.0


FleetMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=60, deadline=None)
TestFleet = FleetMachine.TestCase
