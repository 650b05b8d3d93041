"""Graceful shutdowns fail no request; a draining upstream soon gets no new requests."""

import time

import pytest

from gypsumwind.core.edits import InstanceEdit
from gypsumwind.core.table import Places
from gypsumwind.utils import new_id
from tests.standins.fleet import Fleet, Service, wait_until
from tests.standins.load import Load

ZONES = {"accra-a": ("accra", 2), "accra-b": ("accra", 1), "kumasi-a": ("kumasi", 1)}
DRAIN_DELAY_S = 3.0


@pytest.fixture
def fleet():
    services = [Service("lookup", instances=3, slots=6), Service("signoff", instances=3, slots=6)]
    with Fleet(ZONES, services) as running:
        yield running.start_vms()


def light_load(fleet, service="lookup", path="/vents?ms=20", **kwargs):
    """Return load well below capacity, at which every request has to be answered."""
    return Load(fleet, service, path, callers=3, pause_s=0.02, **kwargs)


def assert_all_answered(*loads):
    for sent in loads:
        bad = [r for r in sent.replies if r.verdict != "answered"]
        assert not bad, bad[:3]
        assert len(sent.replies) > 50


def test_rolling_replacement_of_all_daemons_fails_no_request(fleet):
    uploads = {"method": "POST", "body": b"x" * 20000}
    with light_load(fleet) as sent, light_load(fleet, "signoff", "/book?ms=40", **uploads) as posts:
        for vm in fleet.vms.values():
            assert vm.stop() == 0
            vm.start()
            wait_until(fleet.has_converged, text=f"{vm.name} replaced")
    assert_all_answered(sent, posts)


def test_stop_waits_for_a_long_request(fleet):
    caller = fleet.caller("accra-a")
    vm = fleet.vms["accra-b-1"]
    with Load(fleet, "lookup", "/vents?ms=4000", callers=2, zones=["accra-b"]) as sent:
        wait_until(lambda: fleet.log.runs)
        assert vm.stop() == 0
        sent.ended.set()
    assert {r.verdict for r in sent.replies} == {"answered"}
    assert caller.send("lookup", "/x").verdict == "answered"


@pytest.mark.parametrize("source", ["endpoint", "vm-list", "table"])
def test_draining_upstream_gets_no_new_requests(fleet, source):
    up = fleet.upstreams["lookup-accra-a-1"]
    with light_load(fleet) as sent:
        wait_until(lambda: any(r.instance == up.name for r in fleet.log.runs), text="in use")
        _start_draining(fleet, up, source)
        time.sleep(DRAIN_DELAY_S)
        mark = len(fleet.log.runs)
        time.sleep(2)
        late = [run for run in fleet.log.runs[mark:] if run.instance == up.name]
    assert not late
    assert_all_answered(sent)


def _start_draining(fleet, up, source):
    if source == "endpoint":
        up.health = "draining"
    elif source == "vm-list":
        entry = {"vm": up.name, "ip": up.ip, "zone": "accra-a", "state": "leaving"}
        fleet.store.vm_list = [entry]
    else:
        editor = fleet.editor()
        seen = editor.table("lookup").instances[up.name]
        after = type(seen)(seen.name, seen.zone, seen.address, seen.slots, True)
        editor.edit("lookup", [InstanceEdit(up.name, seen, after)], new_id())


def test_drained_vm_leaves_the_look_up_and_returns(fleet):
    vm = fleet.vms["accra-a-1"]

    def drain(names):
        fleet.editor().edit_places(
            lambda p: Places(p.generation, p.zones, p.links, frozenset(names))
        )

    with light_load(fleet) as sent:
        drain([vm.name])
        wait_until(lambda: not vm.status()["holds"], text="handed over")
        page = fleet.vms["accra-a-2"].get("/v1/entries?service=lookup")
        assert vm.name not in [entry["vm"] for entry in page["entries"]]
        drain([])
        wait_until(fleet.has_converged, text="drain undone")
        time.sleep(2)
    assert_all_answered(sent)


def test_keyed_request_is_replayed_after_its_home_was_stopped(fleet):
    """A graceful shutdown transfers the keys to an heir, which replays the answer."""
    caller = fleet.caller("accra-a")
    vm = fleet.vms["accra-a-1"]
    page = vm.get("/v1/entries?service=signoff")
    prefix = next(e["key_prefix"] for e in page["entries"] if e["vm"] == vm.name)
    headers = {"Idempotency-Key": prefix + "booking"}
    first = caller.send("signoff", "/book?echo=1", "POST", b"x", headers, url=vm.url)
    assert vm.stop() == 0
    other = fleet.vms["accra-a-2"]
    again = caller.send("signoff", "/book?echo=1", "POST", b"x", headers, url=other.url)
    assert (first.verdict, again.verdict) == ("answered", "answered")
    assert again.data == first.data
    assert fleet.log.run_counts()[prefix + "booking"] == 1
