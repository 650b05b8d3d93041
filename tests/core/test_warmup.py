import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.core.fleet import Fleet
from gypsumwind.core.warmup import MIN_SEND_INTERVAL_S, warmup_senders


def zones_of(counts):
    """Return the VMs of each zone."""
    return {f"z{n}": tuple(f"vm-{n}-{i}" for i in range(count)) for n, count in enumerate(counts)}


def selected_senders(instance, zones, bound):
    """Return the VMs that select themselves, each by its view of its own zone only."""
    found = []
    for zone, vms in zones.items():
        for vm in vms:
            fleet = Fleet(vm, zone, vms, tuple(zones))
            found += [vm] if vm in warmup_senders(instance, fleet, bound) else []
    return found


@given(st.lists(st.integers(1, 30), min_size=1, max_size=9), st.floats(1, 40))
def test_fleet_stays_within_the_rate_limit_in_every_second(counts, bound):
    """Each selected VM sends at most once in MIN_SEND_INTERVAL_S, so at most once in any second."""
    assert MIN_SEND_INTERVAL_S > 1.0
    assert len(selected_senders("i-1", zones_of(counts), bound)) <= max(1, bound)


@pytest.mark.parametrize("counts", [[2] * 6, [13, 15, 14, 16, 16, 13], [40]])
def test_most_of_the_rate_limit_is_used(counts):
    assert len(selected_senders("i-1", zones_of(counts), 12.8)) == 10


def test_missing_vm_in_a_view_selects_at_most_one_more_sender():
    vms = [f"vm-{n}" for n in range(40)]
    whole = set(warmup_senders("i-1", Fleet("vm-0", "z", tuple(vms), ("z",)), 12.8))
    for lost in range(40):
        view = tuple(vm for vm in vms if vm != f"vm-{lost}")
        seen = warmup_senders("i-1", Fleet("vm-0", "z", view, ("z",)), 12.8)
        assert len(set(seen) - whole) <= 1


def test_instances_have_different_senders():
    zones = zones_of([14] * 6)
    assert len({tuple(selected_senders(f"i-{n}", zones, 12.8)) for n in range(20)}) > 15
