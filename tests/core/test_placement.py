import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.core.placement import (
    MAX_LOCAL_UTILIZATION,
    CallerLocality,
    Candidate,
    area_shares,
    candidate_weights,
    rank_homes,
)

REGIONS = {"a1": "a", "a2": "a", "k1": "k", "k2": "k", "t1": "t", "t2": "t"}
CAPACITY = {"a1": 4, "a2": 4, "k1": 1, "k2": 1, "t1": 3, "t2": 3}
CANDIDATES = [
    Candidate(f"{zone}-{n}", zone, 6) for zone, count in CAPACITY.items() for n in range(count)
]
KEYS = [f"object-{n}" for n in range(3000)]


def first_homes(zone, candidates=CANDIDATES):
    weights = candidate_weights(candidates, CallerLocality(zone, REGIONS))
    return [rank_homes(key, weights)[0] for key in KEYS]


def fraction_in(homes, *zones):
    return sum(candidate.split("-")[0] in zones for candidate in homes) / len(homes)


def test_zone_with_enough_capacity_keeps_its_keys():
    assert fraction_in(first_homes("a1"), "a1") > 0.98
    assert fraction_in(first_homes("t2"), "t2") > 0.98


def test_zone_short_of_capacity_keeps_its_share_and_the_rest_goes_to_spare_capacity():
    homes = first_homes("k1")
    fits = MAX_LOCAL_UTILIZATION * 1 / (16 / 6)
    assert abs(fraction_in(homes, "k1") - fits) < 0.04
    assert fraction_in(homes, "a1", "a2") > 2 * fraction_in(homes, "t1", "t2") > 0


def test_zone_short_of_capacity_uses_its_region_first():
    capacity = {"a1": 1, "a2": 5, "k1": 3, "k2": 3, "t1": 3, "t2": 3}
    shares = area_shares(capacity, CallerLocality("a1", REGIONS))
    assert shares["a2"] == pytest.approx(1 - shares["a1"])


@given(st.fixed_dictionaries({zone: st.integers(0, 9) for zone in REGIONS}))
def test_shares_sum_to_one_and_overload_no_zone_far_beyond_its_capacity(capacity):
    total = sum(capacity.values())
    load = dict.fromkeys(REGIONS, 0.0)
    for zone in REGIONS:
        shares = area_shares(capacity, CallerLocality(zone, REGIONS))
        assert total == 0 or sum(shares.values()) == pytest.approx(1.0)
        for there, part in shares.items():
            load[there] += part / len(REGIONS)
    # An area may get its own share and, if all others are short of capacity, as much of theirs.
    for zone, part in load.items():
        assert part * total <= 2 * MAX_LOCAL_UTILIZATION * capacity[zone] + 1e-6


def test_loss_of_an_instance_moves_few_keys_of_others():
    before = first_homes("a1")
    after = first_homes("a1", [candidate for candidate in CANDIDATES if candidate.id != "a1-3"])
    moved = [b for b, a in zip(before, after, strict=True) if a != b]
    assert moved.count("a1-3") > 0.9 * len(moved)


def test_only_remaining_region_serves_all_keys():
    candidates = [Candidate("k1-0", "k1", 6), Candidate("k2-0", "k2", 6)]
    assert set(first_homes("a1", candidates)) == {"k1-0", "k2-0"}
    assert candidate_weights([], CallerLocality("a1", REGIONS)) == {}


def test_shares_with_regions_as_areas():
    capacity = {"a": 8, "k": 2, "t": 6}
    shares = area_shares(capacity, CallerLocality("k", {"a": "a", "k": "k", "t": "t"}))
    assert shares["k"] == pytest.approx(MAX_LOCAL_UTILIZATION * 2 / (16 / 3))
    assert shares["a"] == pytest.approx(4 * shares["t"])
