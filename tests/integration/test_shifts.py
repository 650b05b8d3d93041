"""Weight shifts stay under the owners' cap, and a failover within the lent limits."""

import time

import pytest

from tests.standins.fleet import Fleet, Service, wait_until
from tests.standins.load import Load

ZONES = {"accra-a": ("accra", 1), "accra-b": ("accra", 1), "kumasi-a": ("kumasi", 1)}
CAP_PER_MINUTE = 600.0
LIMIT = 3
SLACK = 1.0


@pytest.fixture
def fleet():
    cells = {"shift_cap": CAP_PER_MINUTE, "limit": LIMIT, "reserve": 1, "local_bias": 1.0}
    with Fleet(ZONES, [Service("lookup", slots=4, cells=cells)]) as running:
        yield running.start_vms()


def weight(vm, region="accra"):
    return vm.status()["weights"]["lookup"][region]


def test_weight_changes_within_the_cap_and_equally_on_all_vms(fleet):
    vms = list(fleet.vms.values())
    fleet.set_cell("lookup", "accra", "weight", 40.0)
    wait_until(lambda: all(vm.status()["tables"]["lookup"] == 2 for vm in vms))
    samples = []
    while not samples or samples[-1][1] > 40.0:
        before = time.time()
        values = [weight(vm) for vm in vms]
        passed = time.time() - before
        assert max(values) - min(values) <= CAP_PER_MINUTE / 60 * passed + SLACK
        samples.append((before, values[0]))
        time.sleep(0.1)
    for (at, value), (later, lower) in zip(samples, samples[1:], strict=False):
        assert value - lower <= CAP_PER_MINUTE / 60 * (later - at + 0.2) + SLACK


def test_restarted_vm_resumes_in_the_middle_of_the_ramp(fleet):
    one, other = fleet.vms["accra-a-1"], fleet.vms["kumasi-a-1"]
    fleet.set_cell("lookup", "accra", "weight", 0.0)
    wait_until(lambda: 0 < weight(other) < 90)
    one.kill()
    one.start()
    wait_until(lambda: one.get("/readyz"))
    assert abs(weight(one) - weight(other)) <= 2 * SLACK
    assert weight(one) > 0


def test_second_edit_starts_from_the_current_weight(fleet):
    vm = fleet.vms["accra-a-1"]
    fleet.set_cell("lookup", "accra", "weight", 0.0)
    wait_until(lambda: weight(vm) < 80)
    current = weight(vm)
    fleet.set_cell("lookup", "accra", "weight", 100.0)
    wait_until(lambda: vm.status()["tables"]["lookup"] == 3)
    assert abs(weight(vm) - current) < 20
    wait_until(lambda: weight(vm) == 100.0, 20)


def test_traffic_follows_the_weights(fleet):
    fleet.set_cell("lookup", "kumasi", "weight", 0.0)
    wait_until(lambda: all(weight(vm, "kumasi") == 0.0 for vm in fleet.vms.values()), 20)
    mark = len(fleet.log.runs)
    with Load(fleet, "lookup", "/v?ms=5", callers=2, zones=["accra-a"]):
        time.sleep(2)
    assert len(fleet.log.runs) > mark
    assert not [r for r in fleet.log.runs[mark:] if "kumasi" in r.instance]


def test_failover_of_a_region_stays_within_the_lent_limit(fleet):
    """Accra's upstreams close connections unanswered; kumasi lends no more than its limit."""
    high = {"headers": {"Gypsumwind-Class": "high"}}
    zones = ["accra-a", "accra-b"]
    with (
        Load(fleet, "lookup", "/v?ms=40", callers=6, zones=zones, pause_s=0.01) as normal,
        Load(fleet, "lookup", "/v?ms=40", callers=2, zones=["kumasi-a"], **high) as local,
    ):
        time.sleep(1)
        for up in fleet.upstreams.values():
            if up.region == "accra":
                up.mode = "cut-before"
        time.sleep(4)
    assert fleet.log.max_foreign_in_flight("lookup") <= LIMIT
    for name, up in fleet.upstreams.items():
        assert fleet.log.max_in_flight(name) <= up.slots
    assert {r.verdict for r in local.replies[-50:]} == {"answered"}
    assert {r.verdict for r in normal.replies} >= {"answered"}
