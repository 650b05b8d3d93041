"""The fleet's retry budget with real daemons that are killed and start again."""

import os
import threading
import time

import pytest
import urllib3

from tests.standins.fleet import wait_until
from tests.standins.steered import DirectFleet

INSTANCES = [(f"i-{n}", "lookup", "a1") for n in range(4)]
BLOCK = f"127.{60 + os.getpid() % 30}"

RATIO, HEADROOM, WINDOW_S = 0.2, 64, 10.0
"""Bounds of the settings in tests/standins/platform.py."""
REQUESTS_PER_S = 10
"""Load at each VM."""
RESTARTS = 3
GENERATION_S = 1.5
"""Time for which the VMs serve between two restarts, in seconds."""


@pytest.fixture
def fleet(tmp_path):
    with DirectFleet(tmp_path, f"{BLOCK}.14", INSTANCES, ("a1", "a1", "b1")) as site:
        yield site.start_vms()


def send_steadily(fleet, vm, done, sent):
    """Send requests at a fixed rate until `done` is set, also while the VM is down."""
    begin = time.monotonic()
    for n in range(10_000):
        time.sleep(max(0.0, begin + n / REQUESTS_PER_S - time.monotonic()))
        if done.is_set():
            return
        sent.append(time.monotonic())
        try:
            headers = {"Gypsumwind-Affinity-Key": str(n)}
            fleet.send(vm, request=f"{vm.name}-{n}", headers=headers)
        except urllib3.exceptions.HTTPError:
            continue


def restart_all(fleet):
    for vm in fleet.vms.values():
        vm.kill()
    for vm in fleet.vms.values():
        vm.start()
    for vm in fleet.vms.values():
        wait_until(vm.ready)


def repeat_times(fleet):
    """Return the times of all arrivals but the first of each request."""
    arrivals = sorted(
        (at, request)
        for up in fleet.instances.values()
        for at, (request, _) in zip(up.arrivals, up.received, strict=True)
    )
    seen, repeats = set(), []
    for at, request in arrivals:
        if request in seen:
            repeats.append(at)
        seen.add(request)
    return repeats


def count_in_window(times, begin):
    return sum(begin <= at < begin + WINDOW_S for at in times)


def test_vms_that_restart_while_a_service_fails_keep_the_retry_budget(fleet):
    """Guards against retries that each process of a VM is granted anew (BUDGET)."""
    fleet.set_instances(mode="shed")
    done, sent = threading.Event(), []
    callers = [
        threading.Thread(target=send_steadily, args=(fleet, vm, done, sent))
        for vm in fleet.vms.values()
    ]
    for caller in callers:
        caller.start()
    for _ in range(RESTARTS):
        time.sleep(GENERATION_S)
        restart_all(fleet)
    time.sleep(GENERATION_S)
    done.set()
    for caller in callers:
        caller.join()
    repeats = repeat_times(fleet)
    assert repeats
    for begin in repeats:
        requests = max(count_in_window(sent, begin - back) for back in (0, WINDOW_S / 2, WINDOW_S))
        assert count_in_window(repeats, begin) <= RATIO * requests + HEADROOM
