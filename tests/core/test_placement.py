import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.core.placement import LOCAL_SHARE, Place, Site, area_shares, homes, site_weights

REGIONS = {"a1": "a", "a2": "a", "k1": "k", "k2": "k", "t1": "t", "t2": "t"}
ROOM = {"a1": 4, "a2": 4, "k1": 1, "k2": 1, "t1": 3, "t2": 3}
SITES = [Site(f"{zone}-{n}", zone, 6) for zone, count in ROOM.items() for n in range(count)]
KEYS = [f"object-{n}" for n in range(3000)]


def first_homes(zone, sites=SITES):
    weights = site_weights(sites, Place(zone, REGIONS))
    return [homes(key, weights)[0] for key in KEYS]


def part_in(found, *zones):
    return sum(site.split("-")[0] in zones for site in found) / len(found)


def test_zone_with_room_keeps_its_keys():
    assert part_in(first_homes("a1"), "a1") > 0.98
    assert part_in(first_homes("t2"), "t2") > 0.98


def test_zone_short_of_room_keeps_what_fits_and_the_rest_goes_where_room_is():
    found = first_homes("k1")
    fits = LOCAL_SHARE * 1 / (16 / 6)
    assert abs(part_in(found, "k1") - fits) < 0.04
    assert part_in(found, "a1", "a2") > 2 * part_in(found, "t1", "t2") > 0


def test_zone_short_of_room_uses_its_region_first():
    room = {"a1": 1, "a2": 5, "k1": 3, "k2": 3, "t1": 3, "t2": 3}
    shares = area_shares(room, Place("a1", REGIONS))
    assert shares["a2"] == pytest.approx(1 - shares["a1"])


@given(st.fixed_dictionaries({zone: st.integers(0, 9) for zone in REGIONS}))
def test_plan_is_whole_and_loads_no_zone_far_beyond_its_room(room):
    total = sum(room.values())
    load = dict.fromkeys(REGIONS, 0.0)
    for zone in REGIONS:
        shares = area_shares(room, Place(zone, REGIONS))
        assert total == 0 or sum(shares.values()) == pytest.approx(1.0)
        for there, part in shares.items():
            load[there] += part / len(REGIONS)
    # An area may get its own share and, where all others are short, as much of theirs again.
    for zone, part in load.items():
        assert part * total <= 2 * LOCAL_SHARE * room[zone] + 1e-6


def test_lost_instance_moves_few_keys_but_its_own():
    before = first_homes("a1")
    after = first_homes("a1", [site for site in SITES if site.id != "a1-3"])
    moved = [b for b, a in zip(before, after, strict=True) if a != b]
    assert moved.count("a1-3") > 0.9 * len(moved)


def test_only_region_left_takes_all():
    sites = [Site("k1-0", "k1", 6), Site("k2-0", "k2", 6)]
    assert set(first_homes("a1", sites)) == {"k1-0", "k2-0"}
    assert site_weights([], Place("a1", REGIONS)) == {}


def test_regions_as_areas():
    room = {"a": 8, "k": 2, "t": 6}
    shares = area_shares(room, Place("k", {"a": "a", "k": "k", "t": "t"}))
    assert shares["k"] == pytest.approx(LOCAL_SHARE * 2 / (16 / 3))
    assert shares["a"] == pytest.approx(4 * shares["t"])
