"""Requests with and without bodies behind each other on one connection, answered in any rhythm."""

import queue
import re
import socket
import threading
import time
from contextlib import contextmanager, suppress

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from gypsumwind.core.rules import CallerLimits
from gypsumwind.pipelines import connection_class
from gypsumwind.servers import Server
from tests.standins.fleet import wait_until

PORT = 18494
LIMITS = CallerLimits(header_bytes=1000, body_bytes=5000, header_s=60, idle_s=60)
TIMEOUT_S = 5.0

FRAMINGS = ("none", "sized", "chunked", "chunked with trailers")
BODIES = st.sampled_from([b"", b"a", b"line\r\n\r\nline\r\n", b"GET /unasked HTTP/1.1\r\n\r\n"])
REQUESTS = st.lists(
    st.tuples(st.sampled_from(["GET", "PUT"]), st.sampled_from(FRAMINGS), BODIES),
    min_size=1,
    max_size=8,
)


def to_bytes(number, method, framing, body):
    """Return a request as its client sends it."""
    head = f"{method} /r/{number} HTTP/1.1\r\nHost: h\r\n".encode()
    if framing == "none":
        return head + b"\r\n"
    if framing == "sized":
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    end = b"Name: GET /unasked HTTP/1.1\r\n\r\n" if framing.endswith("trailers") else b"\r\n"
    chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n" + end


class PipelineMachine(RuleBasedStateMachine):
    """Sends requests in pieces; helpers may read ahead, and the handler answers, at any moment.

    Each request is handled once, in its turn, with the body that its client sent, and nothing else
    is handled or started early.
    """

    current = None

    def __init__(self):
        super().__init__()
        PipelineMachine.current = self
        self.handled, self.early = [], []
        self.steps = queue.Queue()
        self.sock = socket.create_connection(("127.0.0.1", PORT), TIMEOUT_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.wire, self.sent = b"", 0

    def handle(self, ex):
        """Answer a request once the play says so."""
        while self.steps.get(timeout=TIMEOUT_S) == "more":
            ex.on_readable()
        body = b"".join(ex.body.chunks())
        while self.steps.get(timeout=TIMEOUT_S) == "more":
            ex.on_readable()
        self.handled.append((ex.method, ex.target, body))
        ex.send_bytes(ex.target.encode() + b" " + body, "text/plain")

    @initialize(requests=REQUESTS)
    def choose(self, requests):
        self.requests = [
            (method, f"/r/{n}", b"" if framing == "none" else body)
            for n, (method, framing, body) in enumerate(requests)
        ]
        self.wire = b"".join(to_bytes(n, *request) for n, request in enumerate(requests))

    @precondition(lambda self: self.sent < len(self.wire))
    @rule(size=st.sampled_from([1, 7, 40, 90, 200, 1000]))
    def bytes_arrive(self, size):
        self._send(size)

    @rule()
    def the_worker_notices_bytes(self):
        self.steps.put("more")

    @rule()
    def the_handler_goes_on(self):
        self.steps.put("on")

    def _send(self, size):
        self.sock.sendall(self.wire[self.sent : self.sent + size])
        self.sent += size

    def teardown(self):
        try:
            self._send(len(self.wire))
            for _ in range(2 * len(self.requests)):
                self.steps.put("more")
                self.steps.put("on")
            expected = [target.encode() + b" " + body for _, target, body in self.requests]
            assert self._answers(len(expected)) == expected
            assert self.handled == self.requests
            assert set(self.early) <= {(m, target) for m, target, body in self.requests if not body}
        finally:
            self.sock.close()
            for _ in range(2 * len(self.requests)):
                self.steps.put("on")

    def _answers(self, count):
        """Return the bodies of the answers."""
        data, found = b"", []
        while len(found) < count:
            head, end, rest = data.partition(b"\r\n\r\n")
            fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:]) if end else {}
            length = int(fields.get(b"Content-Length", b"0"))
            if end and len(rest) >= length:
                found.append(rest[:length])
                data = rest[length:]
            else:
                part = self.sock.recv(65536)
                assert part, f"the connection ended after {len(found)} answers and {data!r}"
                data += part
        return found


def test_bodies_are_not_read_as_requests_nor_by_other_requests():
    """Guards against requests that nobody sent, and against bodies of other requests."""

    def begin(req):
        PipelineMachine.current.early.append((req.method.decode(), req.uri.decode()))

    def handle(ex):
        PipelineMachine.current.handle(ex)

    connections = connection_class(begin, lambda: True)
    with Server("test", "127.0.0.1", PORT, 4, handle, connections, lambda: LIMITS):
        run_state_machine_as_test(
            PipelineMachine,
            settings=settings(max_examples=200, stateful_step_count=30, deadline=None),
        )


@contextmanager
def pipelining(handle, early):
    """Run a server that passes requests to a handler and collects the early ones' targets."""
    connections = connection_class(lambda req: early.append(req.uri.decode()), lambda: True)
    with Server("test", "127.0.0.1", PORT, 4, handle, connections, lambda: LIMITS):
        yield


@pytest.mark.parametrize("closing", ["1.1 close", "1.0"])
def test_nothing_is_started_behind_a_request_that_closes_its_connection(closing):
    """Guards against requests that run though their client will send them again."""
    early, answer_now = [], threading.Event()
    version, _, option = closing.partition(" ")
    field = f"Connection: {option}\r\n" if option else ""
    heads = [
        "GET /0 HTTP/1.1\r\nHost: h\r\n\r\n",
        f"GET /1 HTTP/{version}\r\nHost: h\r\n{field}\r\n",
        "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
    ]

    def handle(ex):
        ex.on_readable()
        answer_now.wait(TIMEOUT_S)
        ex.send_bytes(ex.target.encode(), "text/plain")

    address = ("127.0.0.1", PORT)
    with pipelining(handle, early), socket.create_connection(address, TIMEOUT_S) as sock:
        sock.sendall("".join(heads).encode())
        wait_until(lambda: early, text="the second request is read ahead")
        answer_now.set()
        data = b""
        while part := sock.recv(65536):
            data += part
    assert data.count(b"HTTP/1.1 200 OK") == 2 and early == ["/1"]


def test_rest_of_a_body_that_nobody_read_is_not_a_request():
    """Guards against a handler that answers and leaves a body unread on an open connection."""
    targets = []
    body = b"GET /unasked HTTP/1.1\r\nHost: h\r\n\r\n"
    head = b"PUT /0 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body)

    def handle(ex):
        targets.append(ex.target)
        ex._send_head(200, [], 0)

    address = ("127.0.0.1", PORT)
    with pipelining(handle, []), socket.create_connection(address, TIMEOUT_S) as sock:
        sock.sendall(head + body)
        with suppress(ConnectionResetError):
            while sock.recv(65536):
                pass
    assert targets == ["/0"]


@pytest.mark.parametrize("length", [b"abc", b"+5", b"-1", b"1, 1"])
def test_nothing_is_read_behind_a_malformed_head_in_a_pipeline(length):
    """Guards against a helper that fails, and leaves what follows the head to the worker."""
    targets, early, answer_now = [], [], threading.Event()
    head = b"PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %s\r\n\r\n" % length

    def handle(ex):
        targets.append(ex.target)
        ex.on_readable()
        answer_now.wait(TIMEOUT_S)
        ex.send_bytes(b"", "text/plain")

    address = ("127.0.0.1", PORT)
    with pipelining(handle, early), socket.create_connection(address, TIMEOUT_S) as sock:
        sock.sendall(b"GET /0 HTTP/1.1\r\nHost: h\r\n\r\n" + head)
        sock.sendall(b"GET /unasked HTTP/1.1\r\nHost: h\r\n\r\n")
        wait_until(lambda: targets)
        time.sleep(0.2)
        answer_now.set()
        data = b""
        with suppress(ConnectionResetError):
            while part := sock.recv(65536):
                data += part
    assert targets == ["/0"] and not early
    assert re.findall(rb"HTTP/1.1 (\d+) ", data) == [b"200", b"400"]
