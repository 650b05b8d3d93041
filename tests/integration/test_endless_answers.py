"""Instances whose answers never end, by real processes: callers get an error, all is released."""

import os
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.standins import platform
from tests.standins.fleet import wait_until
from tests.standins.steered import DirectFleet

INSTANCES = [(f"i-{n}", "lookup", "a1") for n in range(4)]
BLOCK = f"127.{150 + os.getpid() % 30}"
REQUESTS = 60
"""Far more than the instances have slots for."""


@pytest.fixture
def fleet(tmp_path):
    with DirectFleet(tmp_path, f"{BLOCK}.14", INSTANCES) as site:
        site.store.put("config", "main", platform.config(20, timeout_s=1))
        yield site.start_vms()


def log_of(vm):
    return vm.log_path.read_text()


def send_all(fleet, vm, count, prefix):
    """Send requests at once; return their statuses."""
    with ThreadPoolExecutor(count) as pool:
        sent = [
            pool.submit(
                fleet.send, vm, request=f"{prefix}-{n}", headers={"Gypsumwind-Affinity-Key": str(n)}
            )
            for n in range(count)
        ]
        return [answer.result(30).status for answer in sent]


def test_requests_whose_answers_never_end_are_answered_and_leave_nothing_taken(fleet):
    """Guards against threads and places in flight that are never released (CONFIG)."""
    vm = next(iter(fleet.vms.values()))
    fleet.set_instances(mode="endless")
    for turn in range(3):
        assert set(send_all(fleet, vm, REQUESTS, f"endless-{turn}")) <= {503, 504}
    fleet.set_instances(mode="ok")
    wait_until(
        lambda: send_all(fleet, vm, 4, f"sound-{time.monotonic()}") == [200] * 4,
        text="sound instances are used again",
    )
    vm.process.send_signal(signal.SIGTERM)
    assert vm.process.wait(15) == 0
    assert "stopped in_flight=0" in log_of(vm)


def test_graceful_shutdown_ends_requests_whose_answers_never_end(fleet):
    vm = next(iter(fleet.vms.values()))
    fleet.store.put("config", "main", platform.config(30, timeout_s=60))
    wait_until(
        lambda: "version=30" in log_of(vm), text="the rules with a long timeout are in force"
    )
    fleet.set_instances(mode="endless")
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(
            fleet.send, vm, request="outlasting", headers={"Gypsumwind-Deadline-Ms": "30000"}
        )
        wait_until(lambda: any(up.ran for up in fleet.instances.values()), text="the request runs")
        vm.process.send_signal(signal.SIGTERM)
        assert vm.process.wait(15) == 0
        assert answer.result(10).status in (502, 503, 504)
    assert "stopped in_flight=0" in log_of(vm)
