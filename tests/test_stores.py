"""Lists of the store on the owned way: one odd object hides no other one."""

import pytest

from gypsumwind.stores import HttpStore
from gypsumwind.watchers import record_of
from tests.standins.odd import ODD_VALUES
from tests.standins.store import Store

GOOD_VM = {"vm": "vm-1", "ip": "127.0.0.1", "zone": "a1", "state": "live"}


@pytest.fixture
def served():
    with Store("127.0.0.1", 0) as store:
        yield store


@pytest.fixture
def store(served):
    return HttpStore(served.url, 1.0, "127.0.0.1")


@pytest.mark.parametrize("name", ODD_VALUES)
def test_objects_beside_an_odd_one_are_read(served, store, name):
    odd = ODD_VALUES[name]
    for key, value in (
        ("config/table/a", {"generation": 1}),
        ("config/table/m", odd),
        ("config/table/n", {"generation": odd}),
        ("config/table/o", {"generation": 1, "rows": odd}),
        ("config/table/z", {"generation": 1}),
    ):
        served.put(key, value, None)
    served.objects["config/table/n"]["version"] = odd
    served.under = lambda prefix, after=-1: list(served.objects.values())
    pages = [*store.list_objects("config/"), store.watch("config/", 0, 1.0)]
    for page in pages:
        found = {obj.key: record_of(obj) for obj in page.objects}
        assert found["config/table/a"] is not None and found["config/table/z"] is not None


@pytest.mark.parametrize("name", ODD_VALUES)
def test_vms_beside_an_odd_one_are_read(served, store, name):
    odd = ODD_VALUES[name]
    served.vm_list = [GOOD_VM, odd, *({**GOOD_VM, field: odd} for field in GOOD_VM), GOOD_VM]
    found = store.vms()
    assert [vm.vm for vm in found].count("vm-1") >= 2
    assert all(f"{vm}".encode() and isinstance(vm.ip, str) for vm in found)
