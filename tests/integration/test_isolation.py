"""VMs that are partitioned from all instances while callers, the store and other VMs reach them."""

import os
import random
import threading
import time
from collections import Counter
from datetime import UTC, datetime

import pytest

from tests.standins import platform
from tests.standins.fleet import wait_until
from tests.standins.steered import DirectFleet

INSTANCES = [(f"i-{n}", "lookup", "a1" if n % 2 else "b1") for n in range(6)]
BLOCK = f"127.{190 + os.getpid() % 30}"

CALLERS = 8
REQUESTS_PER_S = 8
"""Load of each caller."""
SETTLE_S = 4.0
"""Time after the begin of a partition from which callers have to be served, in seconds."""
PARTITION_S = 9.0
ALLOWED_SHARE = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1 / 50
"""Bounds of the first tries that fail at VMs in a partition, against those at the others."""


@pytest.fixture
def fleet(tmp_path):
    with DirectFleet(tmp_path, f"{BLOCK}.16", INSTANCES, ("a1", "a1", "b1")) as site:
        yield site.start_vms()


class Caller(threading.Thread):
    """Looks VMs up, every second or every third, and sends first tries to one of them."""

    def __init__(self, fleet, number, until):
        super().__init__()
        self.fleet, self.number, self.until = fleet, number, until
        self.rng = random.Random(number)
        self.tries = []

    def run(self):
        addresses, looked_up_at = [], 0.0
        vms = list(self.fleet.vms.values())
        while time.monotonic() < self.until:
            if time.monotonic() > looked_up_at + (3.0 if self.number % 3 == 0 else 1.0):
                addresses = self.rng.choice(vms).resolve() or addresses
                looked_up_at = time.monotonic()
            if addresses:
                self.tries.append(self.send(self.rng.choice(addresses).partition(":")[0]))
            time.sleep(1 / REQUESTS_PER_S)

    def send(self, ip):
        vm = next(vm for vm in self.fleet.vms.values() if vm.ip == ip)
        sent_at, name = time.monotonic(), f"c-{self.number}-{len(self.tries)}"
        headers = {"Gypsumwind-Affinity-Key": name, "Gypsumwind-Deadline-Ms": "2000"}
        answer = self.fleet.send(vm, f"/read/{name}", request=name, headers=headers)
        return sent_at, ip, answer.status == 200


def served_share(tries):
    return sum(ok for _, _, ok in tries) / max(1, len(tries))


def timeline(fleet, callers, cut, began, began_at):
    """Return the tries at the cut VMs by second since the partition, and what the VMs noticed."""
    counts = Counter(
        (int(at - began), ip, "ok" if ok else "failed")
        for caller in callers
        for at, ip, ok in caller.tries
        if ip in cut and at > began
    )
    lines = [
        line
        for line in fleet.logs().splitlines()
        if " isolation-changed " in line or " connections-checked " in line
    ]
    return "\n".join([f"began at {began_at}", *map(str, sorted(counts.items())), *lines])


@pytest.mark.parametrize(
    ("how", "count"),
    [("reset", 1), ("hang", 1), ("refuse-new", 1), ("hang", 2), ("refuse-new", 2)],
    ids=["reset", "hang", "refuse-new", "hang-of-a-zone", "refuse-new-of-a-zone"],
)
def test_callers_of_vms_that_reach_no_instance_are_served_by_others(fleet, how, count):
    fleet.set_instances(service_time_s=0.05)
    cut = [vm.ip for vm in fleet.vms.values()][:count]
    callers = [Caller(fleet, n, time.monotonic() + 3.0 + PARTITION_S) for n in range(CALLERS)]
    for caller in callers:
        caller.start()
    time.sleep(3.0)
    began, began_at = time.monotonic(), datetime.now(UTC)
    fleet.set_instances(cut_from=dict.fromkeys(cut, how))
    for caller in callers:
        caller.join()
    fleet.set_instances(cut_from={})
    tries = [one for caller in callers for one in caller.tries if one[0] > began + SETTLE_S]
    at_cut = [one for one in tries if one[1] in cut]
    failed = sum(not ok for _, _, ok in at_cut)
    others = [one for one in tries if one[1] not in cut]
    assert others and served_share(others) > 0.9
    few = failed <= ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(tries)
    served = served_share(at_cut) >= ALLOWED_SHARE * served_share(others)
    assert few or served, timeline(fleet, callers, cut, began, began_at)
    vm = next(iter(fleet.vms.values()))
    address = f"{vm.ip}:{platform.FRONT_PORT}"
    wait_until(lambda: address in vm.resolve(), 15, text="the VM is back without any request")
    wait_until(lambda: fleet.send(vm, request="again").status == 200, 15)
