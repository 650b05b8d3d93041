import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.core.fleet import Fleet
from gypsumwind.core.retry_budget import FleetRetryBudget

RATIO, HEADROOM, WINDOW_S = 0.2, 64.0, 10.0


@given(st.lists(st.tuples(st.integers(0, 11), st.booleans(), st.floats(0, 0.2)), max_size=800))
def test_twelve_vms_stay_within_the_limit_in_every_window_without_coordination(events):
    budgets = [FleetRetryBudget(RATIO, HEADROOM, WINDOW_S) for _ in range(12)]
    now, requests, retries = 0.0, [], []
    for vm, first, gap in events:
        now += gap
        if first:
            budgets[vm].record_request(now)
            requests.append(now)
        elif budgets[vm].take(now, 12):
            retries.append(now)
    for end in retries:
        inside = [t for t in retries if end - WINDOW_S < t <= end]
        asked = [t for t in requests if end - WINDOW_S < t <= end]
        assert len(inside) <= RATIO * len(asked) + HEADROOM


@pytest.mark.parametrize("zones", [[2] * 6, [13, 15, 14, 16, 16, 13], [1, 2, 1, 2, 1, 2]])
def test_vms_of_large_zones_stay_within_the_limit_with_views_of_their_own_zone_only(zones):
    taken = 0
    for n, count in enumerate(zones):
        vms = tuple(f"vm-{n}-{i}" for i in range(count))
        for vm in vms:
            budget = FleetRetryBudget(RATIO, HEADROOM, WINDOW_S)
            fleet = Fleet(vm, f"z{n}", vms, tuple(f"z{n}" for n in range(len(zones))))
            taken += sum(budget.take(0.0, fleet.size) for _ in range(100))
    assert taken <= HEADROOM


def test_budget_is_available_again_after_the_window():
    budget = FleetRetryBudget(RATIO, HEADROOM, WINDOW_S)
    while budget.take(0.0, 12):
        pass
    assert not budget.take(9.9, 12)
    assert budget.take(10.1, 12)


def test_requests_add_to_the_retry_budget():
    budget = FleetRetryBudget(RATIO, 0.0, WINDOW_S)
    assert not budget.take(0.0, 1)
    for _ in range(100):
        budget.record_request(0.0)
    assert sum(budget.take(0.0, 1) for _ in range(50)) == 16


def test_changed_limit_keeps_granted_retries_counted():
    budget = FleetRetryBudget(RATIO, 10.0, WINDOW_S)
    assert sum(budget.take(0.0, 1) for _ in range(50)) == 8
    budget.set_bound(RATIO, 20.0, WINDOW_S)
    assert sum(budget.take(0.1, 1) for _ in range(50)) == 8


def test_requests_of_earlier_windows_take_no_memory():
    budget = FleetRetryBudget(RATIO, HEADROOM, WINDOW_S)
    for n in range(5_000):
        budget.record_request(float(n))
    assert budget.evidence(1)["requests"] == WINDOW_S
