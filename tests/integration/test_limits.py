"""Slots and lent limits hold at every start of a request, under all faults of the VMs."""

import time

import pytest

from tests.standins.fleet import Fleet, Service, wait_until
from tests.standins.load import Load

ZONES = {"accra-a": ("accra", 2), "accra-b": ("accra", 2), "kumasi-a": ("kumasi", 2)}
LIMIT = 3


@pytest.fixture
def fleet():
    services = [Service("lookup", slots=3, cells={"limit": LIMIT, "local_bias": 1.0})]
    with Fleet(ZONES, services) as running:
        yield running.start_vms()


def check_limits(fleet, limit=LIMIT):
    for name, up in fleet.upstreams.items():
        assert fleet.log.max_in_flight(name) <= up.slots, name
    assert fleet.log.max_foreign_in_flight("lookup") <= limit
    assert len(fleet.log.runs) > 100


def load(fleet):
    return Load(fleet, "lookup", "/vents?ms=30", callers=8)


def test_steady_overload(fleet):
    with load(fleet):
        time.sleep(3)
    check_limits(fleet)
    assert max(fleet.log.max_in_flight(name) for name in fleet.upstreams) == 3
    assert fleet.log.max_foreign_in_flight("lookup") == LIMIT


def test_kill_and_restart(fleet):
    victim = fleet.vms["accra-a-1"]
    with load(fleet):
        time.sleep(1)
        victim.kill()
        wait_until(lambda: len(fleet.vms["accra-a-2"].status()["holds"]) == 2, text="takeover")
        time.sleep(1)
        victim.start()
        wait_until(fleet.has_converged, text="hold handed back")
        time.sleep(1)
    check_limits(fleet)


def test_quick_restart_before_any_takeover(fleet):
    victim = fleet.vms["accra-a-1"]
    with load(fleet):
        for _ in range(3):
            victim.kill()
            victim.start()
            wait_until(fleet.has_converged)
    check_limits(fleet)


def test_freeze_past_the_fence_and_thaw(fleet):
    victim = fleet.vms["accra-a-1"]
    with load(fleet):
        time.sleep(1)
        victim.pause()
        wait_until(lambda: len(fleet.vms["accra-a-2"].status()["holds"]) == 2, text="takeover")
        time.sleep(0.5)
        victim.resume()
        wait_until(fleet.has_converged, text="hold handed back")
        time.sleep(1)
    check_limits(fleet)


def test_takeover_while_requests_of_the_frozen_owner_still_run(fleet):
    """Requests that the frozen VM left running count against the slots of the new owner.

    18 callers exceed the 12 slots of the region plus the 3 that the other region lends. With fewer
    it would be random whether the frozen VM's instance gets two requests.
    """
    victim = fleet.vms["accra-a-1"]
    names = list(victim.status()["holds"])
    long = {"headers": {"Gypsumwind-Timeout-Ms": "19000"}}
    slow = Load(fleet, "lookup", "/slow?ms=15000", callers=18, zones=["accra-a"], **long)
    with slow:
        wait_until(lambda: any(fleet.log.in_flight.get(name, 0) >= 2 for name in names))
        slow.ended.set()
        with load(fleet):
            time.sleep(0.5)
            victim.pause()
            wait_until(lambda: len(fleet.vms["accra-a-2"].status()["holds"]) == 2, text="takeover")
            time.sleep(3)
            victim.resume()
            wait_until(fleet.has_converged, text="hold handed back")
    check_limits(fleet)


def test_hand_over_while_requests_run(fleet):
    """The new owner counts the requests in flight at the hand-over against the slots."""
    victim = fleet.vms["accra-a-1"]
    with Load(fleet, "lookup", "/vents?ms=1500", callers=8):
        for _ in range(2):
            assert victim.stop() == 0
            victim.start()
            wait_until(fleet.has_converged, text="replaced")
            time.sleep(1)
    check_limits(fleet)


def test_short_freeze_moves_no_hold(fleet):
    victim = fleet.vms["accra-a-1"]
    before = victim.status()["holds"]
    with load(fleet):
        for _ in range(4):
            victim.pause()
            time.sleep(0.8)
            victim.resume()
            time.sleep(0.8)
    check_limits(fleet)
    assert victim.status()["holds"] == before


def test_isolated_zone_keeps_serving():
    services = [Service("lookup", slots=3, cells={"limit": LIMIT, "local_bias": 1.0})]
    with Fleet(ZONES, services, proxied=True) as fleet:
        fleet.start_vms()
        with load(fleet):
            fleet.isolate_zone("accra-a")
            time.sleep(8)
            reply = fleet.caller("accra-a").send("lookup", "/alone")
            assert reply.verdict == "answered"
            assert "accra-a" in reply.headers["gypsumwind-instance"]
            assert not _held(fleet, "accra-b") & set(_names(fleet, "accra-a"))
            fleet.proxy.heal()
            wait_until(fleet.has_converged, text="zones rejoined")
            time.sleep(1)
        check_limits(fleet)


def test_isolated_zone_adopts_no_instances():
    """Its VMs are cut off from other VMs and the store, but reach the other zones' upstreams."""
    services = [Service("lookup", slots=3, cells={"limit": LIMIT, "local_bias": 1.0})]
    with Fleet(ZONES, services, proxied=True) as fleet:
        fleet.start_vms()
        inside = fleet.in_zone("accra-a")
        outside = [vm for vm in fleet.vms.values() if vm.zone != "accra-a"]
        with load(fleet):
            fleet.cut(inside, outside)
            fleet.partition_store(inside)
            until_s = time.monotonic() + 14
            while time.monotonic() < until_s:
                assert not _held(fleet, "accra-a") & set(_names(fleet, "accra-b"))
                time.sleep(0.2)
        for name in _names(fleet, "accra-b"):
            assert fleet.log.max_in_flight(name) <= fleet.upstreams[name].slots


def _held(fleet, zone):
    return {name for vm in fleet.in_zone(zone) for name in vm.status()["holds"]}


def _names(fleet, zone):
    return [name for name, up in fleet.upstreams.items() if up.zone == zone]


def test_zone_whose_vms_all_die_is_served_by_another_zone_and_recovers(fleet):
    with load(fleet):
        for vm in fleet.in_zone("accra-a"):
            vm.kill()
        lost = set(_names(fleet, "accra-a"))
        wait_until(lambda: lost <= _held(fleet, "accra-b"), text="adopted")
        time.sleep(1)
        mark = len(fleet.log.runs)
        time.sleep(1)
        assert lost & {run.instance for run in fleet.log.runs[mark:]}
        for vm in fleet.in_zone("accra-a"):
            vm.start()
        wait_until(
            lambda: fleet.has_converged() and lost <= _held(fleet, "accra-a"), text="handed back"
        )
        time.sleep(1)
    check_limits(fleet)


def test_one_way_partition_inside_a_zone(fleet):
    one, other = fleet.in_zone("accra-a")
    with load(fleet):
        fleet.proxy.set_fault(one.real_ip, other.real_ip, cut=True)
        time.sleep(6)
        fleet.proxy.heal()
        wait_until(fleet.has_converged, text="zone settled")
    check_limits(fleet)


def test_limit_is_lowered_and_raised_under_load(fleet):
    with load(fleet):
        time.sleep(1)
        lowered = fleet.set_cell("lookup", "accra", "limit", 1)
        fleet.set_cell("lookup", "kumasi", "limit", 1)
        wait_until(lambda: _in_force(fleet, lowered.generation + 1))
        time.sleep(0.5)
        mark = len(fleet.log.runs)
        time.sleep(2)
        seen = [r.foreign_in_flight for r in fleet.log.runs[mark:] if r.foreign]
        assert seen and max(seen) <= 1
        fleet.set_cell("lookup", "accra", "limit", LIMIT)
        time.sleep(4)
    check_limits(fleet)


def _in_force(fleet, generation):
    pages = [vm.status() for vm in fleet.vms.values()]
    return all(page["tables"].get("lookup", 0) >= generation for page in pages)


def test_rolling_replacement_of_all_daemons(fleet):
    with load(fleet) as sent:
        for vm in fleet.vms.values():
            assert vm.stop() == 0
            vm.start()
            wait_until(fleet.has_converged, text=f"{vm.name} replaced")
    check_limits(fleet)
    assert set(sent.verdicts()) <= {"answered", "not-run"}
