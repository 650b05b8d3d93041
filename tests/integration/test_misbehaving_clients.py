"""Clients that keep to no limit, by real processes: the daemon lives, and answers others after.

Memory and descriptors are checked against the machine of the settings, which is small, so that a
small crowd shows a missing bound.
"""

import os
import socket
import struct
import time

import pytest
import urllib3

from tests.standins import platform, strangers
from tests.standins.fleet import wait_until
from tests.standins.steered import DirectFleet
from tests.standins.strangers import Crowd, chunked, chunks, filler, head, sized

BLOCK = f"127.{100 + os.getpid() % 30}"
INSTANCES = [(f"i-{n}", "lookup", "a1") for n in range(4)]

MEMORY_MB = 120
MAX_FDS = 500
CROWD = 100
STALLED_CROWD = 200
"""More than a daemon has threads."""

IDLE_CROWD = 600
"""More than a daemon may have descriptors."""

LIMITS_IN_FORCE_S = 2.0
"""Time after which a daemon applies the configured times, also one that does so by the second."""

ANSWER_S = 60.0
MB = 1024 * 1024

PORTS = {
    "front": platform.FRONT_PORT,
    "readiness": platform.READINESS_PORT,
    "directory": platform.DIRECTORY_PORT,
    "control": platform.CONTROL_PORT,
}
PEER_PORT = platform.INTERNAL_PORT


def patient_config():
    """Return a configuration whose times do not end a stalled request within a test."""
    doc = platform.config(40, timeout_s=90)
    doc["limits"] |= {"maxHeaderBytes": 65536, "headerTimeoutS": 90, "idleTimeoutS": 90}
    return doc


@pytest.fixture
def fleet(tmp_path):
    settings = (f"limits.memoryMb={MEMORY_MB}", f"limits.maxFds={MAX_FDS}")
    with DirectFleet(tmp_path, f"{BLOCK}.16", INSTANCES, settings=settings) as site:
        yield site


@pytest.fixture
def vm(fleet):
    fleet.start_vms()
    answers_an_ordinary_request(fleet, fleet.vms["vm-1"])
    return fleet.vms["vm-1"]


@pytest.fixture
def patient_vm(fleet):
    fleet.store.put("config", "main", patient_config())
    fleet.start_vms()
    answers_an_ordinary_request(fleet, fleet.vms["vm-1"])
    time.sleep(LIMITS_IN_FORCE_S)
    return fleet.vms["vm-1"]


def is_answered(fleet, vm):
    """Report whether a request on a connection of its own is answered."""
    fleet.http.clear()
    try:
        return fleet.send(vm, request=f"ordinary-{time.monotonic()}").status == 200
    except urllib3.exceptions.HTTPError:
        return False


def answers_an_ordinary_request(fleet, vm):
    wait_until(lambda: is_answered(fleet, vm), ANSWER_S, 0.2, "an ordinary request is answered")


def stays_in_bounds(vm):
    assert vm.process.poll() is None
    assert strangers.peak_memory_mb(vm.process) < MEMORY_MB
    assert strangers.open_descriptors(vm.process) < MAX_FDS


def front(vm):
    return vm.ip, platform.FRONT_PORT


UNFINISHED_BODIES = {
    "one-chunk": lambda: chunked(head(), [b"%x\r\n" % (8 * MB)], filler(8 * MB - 1)),
    "chunks-of-64-KB": lambda: chunked(head(), chunks(65536, 127), [b"10000\r\n"], filler(65535)),
    "length-within-the-replay-buffer": lambda: sized(head(), MB, filler(MB - 1)),
    "length-beyond-the-replay-buffer": lambda: sized(head(), 8 * MB, filler(8 * MB - 1)),
}


@pytest.mark.parametrize("body", UNFINISHED_BODIES)
def test_many_bodies_that_stop_short_of_their_end_stay_within_memory(fleet, vm, body):
    """The crowd stays open while an ordinary client is answered."""
    with Crowd(front(vm), CROWD, lambda n: UNFINISHED_BODIES[body]()) as crowd:
        crowd.wait()
        answers_an_ordinary_request(fleet, vm)
        stays_in_bounds(vm)
    answers_an_ordinary_request(fleet, vm)
    stays_in_bounds(vm)


SMALL_CHUNKS = {
    "16-bytes": lambda: chunked(head(), chunks(16, 262_000), [b"10\r\nx"]),
    "1-byte": lambda: chunked(head(), chunks(1, MB), [b"1\r\n"]),
}


@pytest.mark.parametrize("size", SMALL_CHUNKS)
def test_many_bodies_in_small_chunks_do_not_starve_others(fleet, vm, size):
    with Crowd(front(vm), STALLED_CROWD, lambda n: SMALL_CHUNKS[size]()) as crowd:
        crowd.wait()
        answers_an_ordinary_request(fleet, vm)
        stays_in_bounds(vm)
    answers_an_ordinary_request(fleet, vm)
    stays_in_bounds(vm)


ENDLESS_LINES = {
    "request-line": lambda: [b"GET /"],
    "field": lambda: [b"GET /ready HTTP/1.1\r\nName: "],
    "fields": lambda: [b"GET /ready HTTP/1.1\r\n"],
    "chunk-size": lambda: chunked(head(), [b"0"]),
    "chunk-extension": lambda: chunked(head(), [b"5;name="]),
    "trailer": lambda: chunked(head(), [b"1\r\nx\r\n0\r\nName: "]),
    "trailers": lambda: chunked(head(), [b"1\r\nx\r\n0\r\n"]),
}
SENT_IN_LINES = 256 * MB
SENT_IN_FIELDS = 16 * MB


def endless(line):
    """Yield a line, or lines that differ, without end."""
    yield from ENDLESS_LINES[line]()
    if line in ("fields", "trailers"):
        for start in range(0, SENT_IN_FIELDS // 10, 6000):
            yield b"".join(b"n%d:\r\n" % n for n in range(start, start + 6000))
    else:
        yield from filler(SENT_IN_LINES)


@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize("line", ENDLESS_LINES)
def test_lines_without_end_are_bounded_before_the_configuration_is_known(fleet, line, port):
    """Guards against limits that are not in force from the first connection."""
    vm = fleet.vms["vm-1"]
    fleet.store.set_mode("busy")
    vm.start()
    wait_until(lambda: vm.get(platform.READINESS_PORT, "/ready")[0], text="the process serves")
    with Crowd((vm.ip, PORTS[port]), 4, lambda n: endless(line)) as crowd:
        crowd.wait()
        stays_in_bounds(vm)
    fleet.store.set_mode("ok")
    answers_an_ordinary_request(fleet, vm)
    stays_in_bounds(vm)


@pytest.mark.parametrize("line", [name for name in ENDLESS_LINES if name.startswith(("c", "t"))])
def test_lines_without_end_in_a_body_are_bounded(fleet, vm, line):
    with Crowd(front(vm), 4, lambda n: endless(line)) as crowd:
        crowd.wait()
        stays_in_bounds(vm)
        answers_an_ordinary_request(fleet, vm)
    stays_in_bounds(vm)


@pytest.mark.parametrize("port", [name for name in PORTS if name != "front"])
@pytest.mark.parametrize("framing", ["length", "chunk"])
def test_bodies_sent_to_pages_are_not_kept(fleet, vm, port, framing):
    script = {
        "length": lambda n: sized(head(path="/ready"), 60 * MB, filler(60 * MB - 1)),
        "chunk": lambda n: chunked(head(path="/ready"), [b"3c00000\r\n"], filler(60 * MB - 1)),
    }[framing]
    with Crowd((vm.ip, PORTS[port]), 8, script) as crowd:
        crowd.wait()
        stays_in_bounds(vm)
    wait_until(vm.ready, ANSWER_S, text="the platform's check is answered")
    answers_an_ordinary_request(fleet, vm)
    stays_in_bounds(vm)


STALLED = {
    "heads": lambda: [b"GET /read/x HTTP/1.1\r\nHost: api.example\r\n"],
    "bodies": lambda: sized(head(deadline_ms=90_000), 100, filler(99)),
    "buffered-bodies": lambda: sized(head(deadline_ms=90_000), MB, filler(MB - 1)),
    "large-bodies": lambda: sized(head(deadline_ms=90_000), 2 * MB, filler(2 * MB - 1)),
    "small-chunks": lambda: chunked(head(deadline_ms=90_000), chunks(1, MB), [b"1\r\n"]),
    "refused-bodies": lambda: sized(head(path="/none/x", deadline_ms=90_000), 100, filler(99)),
}


@pytest.mark.parametrize("script", STALLED)
def test_stalled_requests_do_not_keep_ordinary_ones_from_being_served(fleet, patient_vm, script):
    """The crowd is larger than the daemon has threads, and stays open within its time limits."""
    vm = patient_vm
    with Crowd(front(vm), STALLED_CROWD, lambda n: STALLED[script]()) as crowd:
        crowd.wait()
        answers_an_ordinary_request(fleet, vm)
        stays_in_bounds(vm)
    answers_an_ordinary_request(fleet, vm)


def test_stalled_uploads_do_not_keep_the_slots_of_instances(fleet, patient_vm):
    """The crowd has one upload for each slot, and all pass the replay buffer."""
    vm = patient_vm
    with Crowd(front(vm), 4 * len(INSTANCES), lambda n: STALLED["large-bodies"]()) as crowd:
        crowd.wait()
        answers_an_ordinary_request(fleet, vm)
        stays_in_bounds(vm)


@pytest.mark.parametrize("port", [name for name in PORTS if name != "front"])
def test_stalled_heads_do_not_keep_pages_from_being_served(fleet, patient_vm, port):
    vm = patient_vm
    script = [b"GET /ready HTTP/1.1\r\nHost: x\r\n"]
    with Crowd((vm.ip, PORTS[port]), 20, lambda n: script) as crowd:
        crowd.wait()
        wait_until(lambda: vm.get(PORTS[port], "/ready")[0], 30, text="the page is served")
        answers_an_ordinary_request(fleet, vm)


def test_clients_that_read_no_answer_do_not_keep_others_from_being_served(fleet, patient_vm):
    vm = patient_vm
    request = head("GET", "/read/x", deadline_ms=90_000) + b"\r\n"
    fleet.set_instances(mode="large")
    with Crowd(front(vm), STALLED_CROWD, lambda n: [request]) as crowd:
        crowd.wait()
        time.sleep(5)
        fleet.set_instances(mode="ok")
        answers_an_ordinary_request(fleet, vm)
        stays_in_bounds(vm)
    answers_an_ordinary_request(fleet, vm)


def test_heads_of_many_small_fields_stay_within_memory(fleet, patient_vm):
    """Guards against the memory of parsed fields, which is many times that of their bytes."""
    vm = patient_vm
    fields = b"".join(b"%x:\r\n" % n for n in range(9000))
    start = head(path="/book/x", deadline_ms=90_000)
    with Crowd(front(vm), STALLED_CROWD, lambda n: sized(start + fields, 100, filler(99))) as crowd:
        crowd.wait()
        answers_an_ordinary_request(fleet, vm)
        stays_in_bounds(vm)


@pytest.mark.parametrize("port", [*PORTS.values(), PEER_PORT])
def test_idle_connections_leave_descriptors_for_others(fleet, patient_vm, port):
    vm = patient_vm
    with Crowd((vm.ip, port), IDLE_CROWD, lambda n: []) as crowd:
        crowd.wait()
        stays_in_bounds(vm)
        answers_an_ordinary_request(fleet, vm)
        stays_in_bounds(vm)


def framed(body):
    return struct.pack("!i", len(body)) + body


CALL = struct.pack("!I", 0x80010001) + struct.pack("!i", 8) + b"exchange" + struct.pack("!i", 1)
"""Begin of a call of the peer service over Thrift."""

EMPTY_RECORDS = b"\x0f\x00\x01\x0c" + struct.pack("!i", MB) + b"\x00" * MB + b"\x00"
"""Its first argument: a list of structs, each without a field."""

PEER_FRAMES = {
    "frame-of-1-GB": lambda: [struct.pack("!i", 1024 * MB), *filler(SENT_IN_LINES)],
    "frames-within-a-string": lambda: (
        part
        for n in range(SENT_IN_LINES // MB)
        for part in (
            framed(CALL[:4] + struct.pack("!i", 1024 * MB)) if n == 0 else b"",
            framed(b"f" * MB),
        )
    ),
    "empty-structs": lambda: [framed(CALL + EMPTY_RECORDS)],
}


@pytest.mark.parametrize("frames", PEER_FRAMES)
def test_calls_of_strangers_to_the_port_for_other_vms_stay_within_memory(fleet, vm, frames):
    with Crowd((vm.ip, PEER_PORT), 4, lambda n: PEER_FRAMES[frames]()) as crowd:
        crowd.wait().wait_for_answers()
        stays_in_bounds(vm)
        answers_an_ordinary_request(fleet, vm)
    stays_in_bounds(vm)


def test_unfinished_calls_to_the_port_for_other_vms_stay_within_memory(fleet, vm):
    script = [struct.pack("!i", 2 * MB), *filler(2 * MB - 1)]
    with Crowd((vm.ip, PEER_PORT), CROWD, lambda n: script) as crowd:
        crowd.wait()
        stays_in_bounds(vm)
        answers_an_ordinary_request(fleet, vm)
    stays_in_bounds(vm)


VOID_LIST = b"\x0f\x00\x04\x01" + struct.pack("!i", 2**31 - 1)
"""A list of 2^31 values that take no byte each: seconds of decoding."""


def test_datagram_of_lists_without_bytes_does_not_hang_the_process(fleet, vm):
    """One datagram of 64 KB would keep the interpreter for hours."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(VOID_LIST * 8000, (vm.ip, PEER_PORT))
    answers_an_ordinary_request(fleet, vm)
    stays_in_bounds(vm)


def test_call_of_lists_without_bytes_does_not_hang_the_process(fleet, vm):
    with Crowd((vm.ip, PEER_PORT), 1, lambda n: [framed(CALL + VOID_LIST * 8000)]) as crowd:
        crowd.wait()
        answers_an_ordinary_request(fleet, vm)
    stays_in_bounds(vm)


def test_head_that_is_longer_than_the_configuration_allows_is_not_run_after_a_start(fleet):
    """Its head is read before the process knows the limit, which is 16 KB."""
    vm = fleet.vms["vm-1"].start()
    long = head("GET", "/read/x", "long", lines=["Padding: " + "p" * 40_000]) + b"\r\n"
    answer = b""

    def send():
        nonlocal answer
        try:
            with socket.create_connection(front(vm), 10) as sock:
                sock.sendall(long)
                answer = sock.recv(65536)
                return True
        except ConnectionRefusedError:
            return False
        except OSError:
            return True

    wait_until(send, period=0.01, text="the front listens")
    assert answer[9:12] in (b"", b"400", b"413", b"414", b"431", b"503")
    assert not [run for up in fleet.instances.values() for run in up.ran if run[0] == "long"]
