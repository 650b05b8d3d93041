"""Sound requests in every form that the protocol allows, by real processes, each with another one
behind it on its connection; and what is smuggled behind a body."""

import os
import random
import socket
import time

import pytest

from tests.standins import platform
from tests.standins.fleet import wait_until
from tests.standins.steered import DirectFleet
from tests.standins.strangers import chunked, chunks, head, sized

BLOCK = f"127.{100 + os.getpid() % 30}"
INSTANCES = [("i-1", "lookup", "a1"), ("i-2", "lookup", "a1")]
MB = 1024 * 1024
HEADER_BYTES = platform.CONFIG["limits"]["maxHeaderBytes"]
BODY_BYTES = platform.CONFIG["limits"]["maxBodyBytes"]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with DirectFleet(tmp_path_factory.mktemp("fleet"), f"{BLOCK}.17", INSTANCES) as site:
        site.store.put("config", "main", platform.config(40, timeout_s=60))
        site.start_vms()
        wait_until(lambda: site.send(site.vms["vm-1"], request="first").status == 200)
        yield site


def read_answer(file):
    """Return the status of the next answer on a connection."""
    status = int(file.readline().split()[1])
    length = 0
    while (line := file.readline()) != b"\r\n":
        name, _, value = line.partition(b":")
        length = int(value) if name.lower() == b"content-length" else length
    file.read(length)
    return status


def exchange(fleet, blocks, second):
    """Send a request and one behind it on the same connection; return both statuses."""
    address = (fleet.vms["vm-1"].ip, platform.FRONT_PORT)
    with socket.create_connection(address, 60) as sock, sock.makefile("rb") as file:
        for block in blocks:
            sock.sendall(block)
        first = read_answer(file)
        sock.sendall(head("GET", "/read/x", second) + b"\r\n")
        return first, read_answer(file)


def runs_of(fleet, request):
    return [run for up in fleet.instances.values() for run in up.ran if run[0] == request]


def start(request):
    return head(request=request, deadline_ms=60_000)


def in_halves(request):
    yield start(request) + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab"
    time.sleep(1)
    yield b"cde\r\n0\r\n\r\n"


def padded(request):
    room = HEADER_BYTES - len(start(request)) - len("Padding: \r\n\r\n") - 1
    return [start(request)[:-2] + b"\r\nPadding: " + b"p" * room + b"\r\n\r\n"]


FORMS = {
    "no-trailers": (lambda r: chunked(start(r), [b"3\r\nabc\r\n0\r\n\r\n"]), b"abc"),
    "trailers": (lambda r: chunked(start(r), [b"3\r\nabc\r\n0\r\nA: 1\r\nB: 2\r\n\r\n"]), b"abc"),
    "extension": (lambda r: chunked(start(r), [b"3;a=b;c\r\nabc\r\n0;d\r\n\r\n"]), b"abc"),
    "quoted": (lambda r: chunked(start(r), [b'3;a="; \\" x"\r\nabc\r\n0\r\n\r\n']), b"abc"),
    "leading-zeros": (lambda r: chunked(start(r), [b"0003\r\nabc\r\n000\r\n\r\n"]), b"abc"),
    "upper-case": (lambda r: chunked(start(r), [b"A\r\n0123456789\r\n0\r\n\r\n"]), b"0123456789"),
    "tiny": (lambda r: chunked(start(r), chunks(1, 3000), [b"0\r\n\r\n"]), b"c" * 3000),
    "1-MB": (lambda r: chunked(start(r), chunks(MB, 1), [b"0\r\n\r\n"]), b"c" * MB),
    "16-MB": (lambda r: chunked(start(r), chunks(16 * MB, 1), [b"0\r\n\r\n"]), b"c" * 16 * MB),
    "4-KB": (lambda r: chunked(start(r), chunks(4096, 4096), [b"0\r\n\r\n"]), b"c" * 16 * MB),
    "tiny-1-MB": (lambda r: chunked(start(r), chunks(1, MB), [b"0\r\n\r\n"]), b"c" * MB),
    "halves": (in_halves, b"abcde"),
    "long-head": (padded, b""),
    "length": (lambda r: sized(start(r), 5, [b"abcde"]), b"abcde"),
    "length-16-MB": (lambda r: sized(start(r), 16 * MB, [b"l" * 16 * MB]), b"l" * 16 * MB),
    "largest": (lambda r: sized(start(r), BODY_BYTES, [b"l" * BODY_BYTES]), b"l" * BODY_BYTES),
    "largest-in-chunks": (
        lambda r: chunked(start(r), chunks(MB, 64), [b"0\r\n\r\n"]),
        b"c" * BODY_BYTES,
    ),
}


@pytest.mark.parametrize("form", FORMS)
def test_sound_request_is_served_and_so_is_the_next_one_on_its_connection(fleet, form):
    """Guards against trailers, and rests of bodies, that are read as the next request."""
    script, body = FORMS[form]
    assert exchange(fleet, script(form), f"{form}-next") == (200, 200)
    (run,) = runs_of(fleet, form)
    assert run == (form, "POST", "/book/x", body)
    assert len(runs_of(fleet, f"{form}-next")) == 1


def send_raw(fleet, data):
    """Send bytes and return what comes until the connection ends or is silent for a while."""
    received = b""
    address = (fleet.vms["vm-1"].ip, platform.FRONT_PORT)
    with socket.create_connection(address, 3) as sock:
        sock.sendall(data)
        try:
            while part := sock.recv(65536):
                received += part
        except OSError:
            return received
    return received


@pytest.mark.parametrize(
    "size", [b"0x3", b"+3", b"0_3", b"-3", b"3 ", b" 3", b"", b"3;", b"3;a=", b'3;a="', b"f" * 17]
)
def test_malformed_chunk_size_is_refused_and_nothing_behind_it_is_run(fleet, size):
    request = f"size-{size!r}"
    hidden = head("GET", "/read/x", f"{request}-hidden") + b"\r\n"
    data = b"".join(chunked(start(request), [size + b"\r\nabc\r\n0\r\n\r\n", hidden]))
    assert send_raw(fleet, data).startswith(b"HTTP/1.1 400 ")
    assert not runs_of(fleet, request) and not runs_of(fleet, f"{request}-hidden")


@pytest.mark.parametrize("end", [b"abcd\r\n", b"abc\n", b"abc0\r\n", b"abcX\r\n"])
def test_chunk_without_its_line_end_is_refused(fleet, end):
    request = f"end-{end!r}"
    data = b"".join(chunked(start(request), [b"3\r\n", end, b"0\r\n\r\n"]))
    assert send_raw(fleet, data).startswith(b"HTTP/1.1 400 ")
    assert not runs_of(fleet, request)


def test_request_in_the_place_of_trailers_is_not_run(fleet):
    """A request line is no field, and the fields behind it are trailers (UNASKED)."""
    hidden = head("POST", "/book/x", "smuggled") + b"\r\n"
    data = b"".join(chunked(start("carrier"), [b"3\r\nabc\r\n0\r\n", hidden]))
    assert send_raw(fleet, data).startswith(b"HTTP/1.1 400 ")
    assert not runs_of(fleet, "smuggled") and not runs_of(fleet, "carrier")


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_body_beyond_the_limit_is_refused(fleet, framing):
    request = f"beyond-{framing}"
    blocks = {
        "length": lambda: sized(start(request), BODY_BYTES + 1, [b"x"]),
        "chunks": lambda: chunked(start(request), [b"%x\r\n" % (BODY_BYTES + 1), b"x"]),
    }[framing]()
    assert send_raw(fleet, b"".join(blocks)).startswith(b"HTTP/1.1 413 ")
    assert not runs_of(fleet, request)


def test_body_that_is_cut_short_is_not_run(fleet):
    address = (fleet.vms["vm-1"].ip, platform.FRONT_PORT)
    with socket.create_connection(address, 10) as sock:
        sock.sendall(b"".join(chunked(start("cut"), [b"5\r\nab"])))
        sock.shutdown(socket.SHUT_WR)
        answer = sock.recv(65536)
    assert answer.startswith(b"HTTP/1.1 400 ") or not answer
    assert not runs_of(fleet, "cut")


SMUGGLED = head("GET", "/read/x", "unasked") + b"\r\n"
"""A request that stands in a body."""


def drawn_pipeline(rng, name):
    """Return the requests of a connection as (id, method, path, body), and their bytes."""
    requests, wire = [], b""
    for n in range(6):
        request = f"{name}-{n}"
        body = rng.choice([b"", b"", b"line\r\n\r\nline\r\n", SMUGGLED, b"b" * 3000 + SMUGGLED])
        method, path = rng.choice([("GET", f"/read/{request}"), ("PUT", f"/book/{request}")])
        begun = head(method, path, request, 60_000)
        if not body:
            wire += begun + b"\r\n"
        elif rng.random() < 0.5:
            wire += b"".join(sized(begun, len(body), [body]))
        else:
            wire += b"".join(chunked(begun, [b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)]))
        requests.append((request, method, path, body))
    return requests, wire


def play_pipeline(fleet, seed):
    """Send the requests of a connection, cut anywhere; return them and their answers' statuses."""
    rng = random.Random(seed)
    requests, wire = drawn_pipeline(rng, f"pipeline-{seed}")
    cuts = sorted(rng.sample(range(1, len(wire)), 4))
    address = (fleet.vms["vm-1"].ip, platform.FRONT_PORT)
    with socket.create_connection(address, 60) as sock, sock.makefile("rb") as file:
        for begin, end in zip([0, *cuts], [*cuts, len(wire)], strict=True):
            sock.sendall(wire[begin:end])
            time.sleep(rng.choice([0.0, 0.05, 0.2]))
        return requests, [read_answer(file) for _ in requests]


def test_bodies_anywhere_in_a_pipeline_belong_to_their_requests(fleet):
    """Guards against bodies that are run as requests, or passed on with another request."""
    fleet.set_instances(service_time_s=0.15)
    try:
        played = [play_pipeline(fleet, seed) for seed in range(12)]
    finally:
        fleet.set_instances(service_time_s=0.0)
    assert [statuses for _, statuses in played] == [[200] * 6] * 12
    sent = {request[0]: request for requests, _ in played for request in requests}
    ran = [run for up in fleet.instances.values() for run in up.ran if "pipeline" in run[0]]
    assert not runs_of(fleet, "unasked")
    assert {run[0] for run in ran} == set(sent)
    assert all(run == sent[run[0]] for run in ran)
