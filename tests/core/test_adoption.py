from gypsumwind.core.adoption import candidate_holders, contacts, preferred_holder

LIVE = {"a": ["a-1", "a-2"], "b": [], "c": ["c-1", "c-2", "c-3", "c-4"]}


def test_zone_with_live_vms_keeps_its_instances():
    assert candidate_holders("a", LIVE) == ["a-1", "a-2"]
    assert preferred_holder("i", "a", LIVE) in LIVE["a"]


def test_instances_of_a_zone_without_live_vms_go_to_contacts_of_other_zones():
    found = candidate_holders("b", LIVE)
    assert set(found) == {"a-1", "a-2", *contacts("c", LIVE["c"])}
    assert len(found) == 5


def test_no_holder_without_live_vms():
    assert preferred_holder("i", "b", {"b": []}) is None
