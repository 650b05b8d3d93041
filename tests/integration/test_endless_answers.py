"""Instances whose answers never end, by real processes: callers get an error, all is released."""

import os
import signal
import socket
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

LARGE_BYTES = 400_000
PASSED_ON_BYTES = 390_000
"""Beyond what a VM buffers before its caller gets a byte; what it passes on of them at once."""


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


def set_timeout(fleet, vm, seconds):
    fleet.store.put("config", "main", platform.config(30, timeout_s=seconds))
    wait_until(lambda: "version=30" in log_of(vm), text="the rules with the timeout are in force")


def request_head(request, version="1.1", deadline_s=60):
    return (
        f"GET /read/x HTTP/{version}\r\nHost: api.example\r\nGypsumwind-Request-Id: {request}\r\n"
        f"Gypsumwind-Affinity-Key: 7\r\nGypsumwind-Deadline-Ms: {deadline_s * 1000}\r\n\r\n"
    ).encode()


def test_caller_that_disconnects_within_a_large_answer_ends_it_at_its_instance(fleet):
    """The rest of the answer is read while the caller gets it (GONE)."""
    vm = next(iter(fleet.vms.values()))
    set_timeout(fleet, vm, 60)
    fleet.set_instances(mode="endless", head_start=LARGE_BYTES)
    with socket.create_connection((vm.ip, platform.FRONT_PORT)) as sock:
        sock.sendall(request_head("leaves"))
        received = b""
        while len(received) < PASSED_ON_BYTES:
            received += sock.recv(65536)
        assert received.startswith(b"HTTP/1.1 200")
    wait_until(
        lambda: any(up.cancelled for up in fleet.instances.values()),
        timeout=10,
        text="the instance's connection is closed",
    )


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_large_answer_that_is_cut_at_the_deadline_does_not_look_complete(fleet, version):
    """Without a length or chunks, only a reset tells that the answer is cut (MIXED)."""
    vm = next(iter(fleet.vms.values()))
    fleet.set_instances(mode="endless", head_start=LARGE_BYTES)
    received = b""
    with socket.create_connection((vm.ip, platform.FRONT_PORT), timeout=30) as sock:
        sock.sendall(request_head("cut", version, 2))
        try:
            while data := sock.recv(65536):
                received += data
        except ConnectionResetError:
            received = b""
    assert not received.endswith(b"0\r\n\r\n")
    assert not received or b"Transfer-Encoding: chunked" in received


def test_graceful_shutdown_ends_requests_whose_answers_never_end(fleet):
    vm = next(iter(fleet.vms.values()))
    set_timeout(fleet, vm, 60)
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
