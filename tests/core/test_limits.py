from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.core.limits import Limits, SettlingLimits
from gypsumwind.core.split import instance_shares
from gypsumwind.core.table import Instance

limits = st.builds(Limits, st.integers(0, 9), st.integers(0, 9), st.integers(0, 9))


@given(limits, limits)
def test_decrease_applies_at_once_and_increase_when_settled(old, new):
    settling = SettlingLimits(old)
    settling.change(new, 10.0)
    assert settling.at(5.0) == old.tighter(new)
    assert settling.at(10.0) == new


@given(
    st.integers(0, 30),
    st.integers(0, 30),
    st.lists(st.integers(1, 4), min_size=2, max_size=8),
    st.lists(st.booleans(), min_size=8, max_size=8),
)
def test_sum_over_instances_never_exceeds_the_limit_while_two_versions_mix(
    before, after, slots, with_update
):
    """While a new version propagates, some VMs use its shares and others the old ones."""
    found = [Instance(f"i{n}", f"z{n % 2}", "127.0.0.1:1", s) for n, s in enumerate(slots)]
    old, new = instance_shares(before, found), instance_shares(after, found)
    total = 0
    for inst, updated in zip(found, with_update, strict=False):
        settling = SettlingLimits(Limits(inst.slots, old[inst.name], 0))
        if updated:
            settling.change(Limits(inst.slots, new[inst.name], 0), 10.0)
        total += settling.at(5.0).lent
    assert total <= before
    settled = sum(new.values())
    assert settled <= after
