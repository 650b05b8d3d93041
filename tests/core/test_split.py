from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.core.split import instance_shares, largest_remainder
from gypsumwind.core.table import Instance

weights = st.lists(st.integers(0, 50), min_size=1, max_size=12)


@given(st.integers(0, 200), weights)
def test_parts_sum_to_the_total_exactly(total, given_weights):
    parts = largest_remainder(total, given_weights)
    assert sum(parts) == (total if sum(given_weights) else 0)


@given(st.integers(0, 200), weights)
def test_each_part_is_its_quota_rounded_up_or_down(total, given_weights):
    weight_sum = sum(given_weights) or 1
    for part, weight in zip(largest_remainder(total, given_weights), given_weights, strict=True):
        assert abs(part - total * weight / weight_sum) < 1


instances = st.lists(
    st.builds(
        Instance,
        name=st.text("abcdef", min_size=1, max_size=4),
        zone=st.sampled_from(["a", "b", "c"]),
        address=st.just("127.0.0.1:1"),
        slots=st.integers(1, 6),
    ),
    min_size=1,
    max_size=12,
    unique_by=lambda i: i.name,
)


@given(st.integers(0, 100), instances)
def test_shares_sum_to_the_total_and_do_not_exceed_the_slots(total, found):
    shares = instance_shares(total, found)
    assert sum(shares.values()) == min(total, sum(i.slots for i in found))
    assert all(0 <= shares[i.name] <= i.slots for i in found)


@given(st.integers(0, 100), instances, st.randoms())
def test_shares_do_not_depend_on_the_order_of_the_instances(total, found, rng):
    shuffled = list(found)
    rng.shuffle(shuffled)
    assert instance_shares(total, found) == instance_shares(total, shuffled)
