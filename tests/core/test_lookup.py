from gypsumwind.core.lookup import MAX_ENTRIES, Entry, entries_for

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}


def entry(vm, zone):
    return Entry(vm, zone, "127.0.0.1", 8080)


def names(found):
    return [e.vm for e in found]


ALL = [entry("1", "a1"), entry("2", "a1"), entry("3", "a2"), entry("4", "b1"), entry("5", "c1")]


def test_caller_gets_the_vms_of_its_own_zone():
    assert names(entries_for(ALL, REGIONS, "a", "a1", frozenset())) == ["1", "2"]


def test_zone_with_one_vm_is_returned_with_its_region():
    assert names(entries_for(ALL, REGIONS, "a", "a2", frozenset())) == ["1", "2", "3"]


def test_caller_of_a_region_without_vms_gets_all_others():
    live = [e for e in ALL if e.zone in ("b1", "c1")]
    assert names(entries_for(live, REGIONS, "a", "a1", frozenset())) == ["4", "5"]


def test_caller_of_a_region_without_vms_gets_only_home_regions_if_bound():
    live = [e for e in ALL if e.zone in ("b1", "c1")]
    assert names(entries_for(live, REGIONS, "a", "a1", frozenset({"c"}))) == ["5"]


def test_number_of_entries_is_limited():
    many = [entry(str(n), "a1") for n in range(100)]
    assert len(entries_for(many, REGIONS, "a", "a1", frozenset())) == MAX_ENTRIES
