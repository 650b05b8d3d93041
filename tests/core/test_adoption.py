from gypsumwind.core.adoption import candidate_holders, contacts, named_holder

LIVE = {"a": ["a-1", "a-2"], "b": [], "c": ["c-1", "c-2", "c-3", "c-4"]}


def test_zone_with_live_vms_keeps_its_instances():
    assert candidate_holders("a", LIVE) == ["a-1", "a-2"]
    assert named_holder("i", "a", LIVE) in LIVE["a"]


def test_empty_zone_goes_to_contacts_of_its_neighbours():
    found = candidate_holders("b", LIVE)
    assert set(found) == {"a-1", "a-2", *contacts("c", LIVE["c"])}
    assert len(found) == 5


def test_no_vm_no_holder():
    assert named_holder("i", "b", {"b": []}) is None
