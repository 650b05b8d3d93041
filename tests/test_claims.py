"""A key without prefix has one home, whatever becomes of the writes that claim it."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.claims import KeyClaims
from gypsumwind.errors import Code, RequestError, StoreError
from gypsumwind.stores import StoredObject

FATES = ["applied", "applied-unknown", "lost", "late", "refused"]
"""What becomes of a write: its answer is lost in `applied-unknown`, `lost` and `late`, and it is
applied at the next call in `late`, if its condition still holds."""


class FlakyStore:
    """A store whose writes have scripted fates; `reads` tell which reads fail."""

    def __init__(self, fates, failing_reads=()):
        self.objects = {}
        self.fates = list(fates)
        self.failing_reads = list(failing_reads)
        self.late = []

    def _apply_late(self):
        for key, value in self.late:
            self.objects.setdefault(key, value)
        self.late.clear()

    def get(self, key):
        if self.failing_reads and self.failing_reads.pop(0):
            raise StoreError(Code.STORE_UNAVAILABLE, "down")
        value = self.objects.get(key)
        self._apply_late()
        return None if value is None else StoredObject(key, 1, value)

    def put(self, key, value, expected):
        assert expected is None
        self._apply_late()
        fate = self.fates.pop(0) if self.fates else "applied"
        if fate == "refused":
            raise StoreError(Code.STORE_UNAVAILABLE, "503")
        if key in self.objects and fate == "applied":
            raise StoreError(Code.STORE_CONFLICT, "exists")
        if fate == "late":
            self.late.append((key, value))
        elif fate != "lost":
            self.objects.setdefault(key, value)
        if fate != "applied":
            raise StoreError(Code.STORE_OUTCOME_UNKNOWN, "no answer")
        return 1


def claims(vm, store):
    cfg = SimpleNamespace(vm=vm, key_ttl_s=60)
    return KeyClaims(cfg, 1, store, random.Random(1))


def home_of(vm, store):
    try:
        return claims(vm, store).home_of("k").vm
    except RequestError:
        return None


def test_key_whose_claim_was_lost_does_not_run_unclaimed():
    store = FlakyStore(["lost"])
    assert home_of("vm-1", store) == "vm-1"
    assert home_of("vm-2", store) == "vm-1"


def test_key_whose_claim_never_has_a_known_outcome_has_no_home_yet():
    store = FlakyStore(["lost"] * 20)
    assert home_of("vm-1", store) is None
    store.fates.clear()
    assert home_of("vm-2", store) == "vm-2"


@pytest.mark.parametrize("fate", FATES)
def test_key_that_another_vm_claimed_has_its_home_there(fate):
    store = FlakyStore([])
    assert home_of("vm-1", store) == "vm-1"
    store.fates = [fate]
    assert home_of("vm-2", store) == "vm-1"


@given(
    st.lists(st.sampled_from(FATES), max_size=12),
    st.lists(st.booleans(), max_size=6),
    st.lists(st.sampled_from(["vm-1", "vm-2", "vm-3"]), min_size=2, max_size=5),
)
def test_all_vms_that_find_a_home_find_the_same(fates, failing_reads, vms):
    store = FlakyStore(fates, failing_reads)
    homes = {home_of(vm, store) for vm in vms} - {None}
    assert len(homes) <= 1
