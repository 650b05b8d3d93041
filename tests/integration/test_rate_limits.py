"""Rate limits that instances state for the whole fleet, with real daemons in two zones."""

import os
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.standins.fleet import wait_until
from tests.standins.steered import DirectFleet

INSTANCES = [("i-1", "lookup", "a1"), ("i-2", "lookup", "a1")]
BLOCK = f"127.{220 + os.getpid() % 30}"

LIMIT_PER_S = 2.0
SETTLE_S = 4.0
"""Time after an instance first states its limit from which the limit has to hold, in seconds."""
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Most requests of the fleet to the instance in any window."""
REQUESTS_PER_S = 15
"""Load at each VM."""


@pytest.fixture
def fleet(tmp_path):
    with DirectFleet(tmp_path, f"{BLOCK}.14", INSTANCES, ("a1", "a1", "b1")) as site:
        yield site.start_vms()


def send_steadily(fleet, vm, seconds):
    """Send requests for different objects at a fixed rate and return the statuses."""
    begin = time.monotonic()
    statuses = []
    for n in range(int(seconds * REQUESTS_PER_S)):
        time.sleep(max(0.0, begin + n / REQUESTS_PER_S - time.monotonic()))
        headers = {"Gypsumwind-Affinity-Key": f"{begin}-{n}"}
        answer = fleet.send(vm, request=f"{vm.name}-{begin}-{n}", headers=headers)
        statuses.append(answer.status)
    return statuses


def send_from_all(fleet, seconds):
    vms = list(fleet.vms.values())
    with ThreadPoolExecutor(len(vms)) as pool:
        found = pool.map(lambda vm: send_steadily(fleet, vm, seconds), vms)
        return [status for statuses in found for status in statuses]


def most_in_a_window(times):
    return max((sum(t <= u < t + WINDOW_S for u in times) for t in times), default=0)


def test_fleet_keeps_the_rate_limit_that_an_instance_states(fleet):
    limited = fleet.instances["i-1"]
    limited.headers = {"Server-Limit": f"{LIMIT_PER_S}"}
    statuses = send_from_all(fleet, SETTLE_S + 1.5 * WINDOW_S)
    settled = [t for t in limited.arrivals if t >= limited.arrivals[0] + SETTLE_S]
    assert most_in_a_window(settled) <= ALLOWED
    assert set(statuses) == {200} and settled


def test_every_vm_learns_a_limit_and_its_end_from_the_others(fleet):
    limited = fleet.instances["i-1"]
    one, other, far = fleet.vms.values()
    limited.headers = {"Server-Limit": "0.01"}
    send_steadily(fleet, one, 1)
    belief = "instance-rate-limit instance='i-1' per_s="
    wait_until(lambda: all(f"{belief}0.01" in vm.log_path.read_text() for vm in (other, far)))
    far.kill()
    far.start()
    wait_until(far.ready)
    wait_until(lambda: far.log_path.read_text().count(f"{belief}0.01") == 2)
    limited.headers = {"Server-Limit": "50"}
    wait_until(lambda: send_steadily(fleet, one, 1) and f"{belief}50" in fleet.logs(), 60)
    limited.headers = {}
    wait_until(lambda: send_steadily(fleet, one, 1) and f"{belief}inf" in fleet.logs(), 60)
    wait_until(lambda: all(f"{belief}inf" in vm.log_path.read_text() for vm in (other, far)))
