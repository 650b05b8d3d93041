from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.core.warmup import SPACING_S, senders


@given(st.integers(1, 100), st.floats(1, 40))
def test_fleet_stays_under_the_bound_in_every_second(count, bound):
    """Each named VM sends at most once in SPACING_S, so at most once in any second."""
    vms = [f"vm-{n}" for n in range(count)]
    named = senders("i-1", vms, bound)
    assert SPACING_S > 1.0
    assert 1 <= len(named) <= max(1, bound)


def test_vms_that_miss_some_of_the_others_name_few_more():
    vms = [f"vm-{n}" for n in range(40)]
    whole = set(senders("i-1", vms, 12.8))
    for lost in range(40):
        view = [vm for vm in vms if vm != f"vm-{lost}"]
        assert len(set(senders("i-1", view, 12.8)) - whole) <= 1


def test_instances_have_senders_of_their_own():
    vms = [f"vm-{n}" for n in range(40)]
    assert len({tuple(senders(f"i-{n}", vms, 12.8)) for n in range(20)}) > 15
