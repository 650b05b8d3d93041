"""Tests of callers' connections on a server without a daemon."""

import errno
import re
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager

import pytest

from gypsumwind.callers import SLOW_HEAD_S, CallerWriter
from gypsumwind.calls import Answer
from gypsumwind.core.rules import CallerLimits
from gypsumwind.memory import RECEIVE_BUFFER_BYTES, REQUESTS_SHARE, MemoryBudget
from gypsumwind.servers import Exchange, Server
from tests.standins.fleet import wait_until

PORT = 18497
LIMITS = CallerLimits(header_bytes=1000, body_bytes=5000, header_s=60, idle_s=60)
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


@contextmanager
def serving(handler=None, limits=LIMITS, **values):
    handler = handler or (lambda ex: ex.send_bytes(b"page", "text/plain"))
    values = {"limits": lambda: limits, **values}
    with Server("test", "127.0.0.1", PORT, 4, handler, **values) as server:
        yield server


def connect():
    return socket.create_connection(("127.0.0.1", PORT), 30)


def status_of(sock):
    """Return the status of the next response, 0 if the connection ends before it."""
    try:
        data = sock.recv(65536)
    except ConnectionResetError:
        return 0
    return int(data.split()[1]) if data else 0


def statuses_until_the_end(sock):
    """Return the statuses of all responses until the connection ends."""
    received = b""
    while part := sock.recv(65536):
        received += part
    return [int(status) for status in re.findall(rb"HTTP/1.1 (\d+) ", received)]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /" + b"x" * 1000, 414),
        (b"GET / HTTP/1.1\r\nName: " + b"x" * 1000, 413),
        (b"POST / HTTP/1.1\r\nContent-Length: 5001\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", 400),
        (b"GET / HTTP/1.1\n\n", 400),
    ],
)
def test_unsound_head_on_the_first_connection_is_refused(data, status):
    with serving(), connect() as sock:
        sock.sendall(data)
        assert status_of(sock) == status


def test_head_that_arrives_in_parts_takes_no_thread():
    with serving(), ExitStack() as stack:
        slow = [stack.enter_context(connect()) for _ in range(20)]
        for sock in slow:
            sock.sendall(GET[:9])
        with connect() as sock:
            sock.sendall(GET)
            assert status_of(sock) == 200
        for sock in slow:
            sock.sendall(GET[9:])
            assert status_of(sock) == 200


def test_head_that_does_not_arrive_in_time_gets_408():
    limits = CallerLimits(header_s=0.2)
    with serving(limits=limits), connect() as sock:
        sock.sendall(GET[:9])
        assert status_of(sock) == 408


def test_beyond_the_limit_of_connections_slow_and_idle_ones_are_closed():
    with serving(max_connections=16) as server, ExitStack() as stack:
        idle = [stack.enter_context(connect()) for _ in range(40)]
        with connect() as sock:
            sock.sendall(GET)
            assert status_of(sock) == 200
        assert status_of(idle[0]) == 0
        wait_until(lambda: len(server._http.open_connections) <= 16, text="few are left open")


def test_idle_connections_are_closed_when_descriptors_are_used_up():
    """The process may have fewer than its settings say."""
    with serving() as server, ExitStack() as stack:
        idle = [stack.enter_context(connect()) for _ in range(4)]
        waiting = server._http._connections
        wait_until(lambda: len(server._http.open_connections) == 4, text="all are accepted")
        time.sleep(SLOW_HEAD_S)
        accept = waiting._from_server_socket
        failures = [OSError(errno.EMFILE, "too many open files")]

        def accept_later(sock):
            if failures:
                raise failures.pop()
            return accept(sock)

        waiting._from_server_socket = accept_later
        with connect() as sock:
            sock.sendall(GET)
            assert status_of(sock) == 200
        assert status_of(idle[0]) == 0


def test_rest_of_a_body_that_no_page_reads_is_not_taken_for_a_request():
    body = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"
    last = GET[:-2] + b"Connection: close\r\n\r\n"
    with serving(), connect() as sock:
        sock.sendall(body + b"cde\r\n0\r\nA: b\r\n\r\n" + last)
        assert statuses_until_the_end(sock) == [200, 200]
    with serving(), connect() as sock:
        sock.sendall(body)
        assert statuses_until_the_end(sock) == [200]


def test_heads_beyond_the_memory_for_requests_are_refused_and_it_is_given_back():
    memory = MemoryBudget(REQUESTS_SHARE)
    fields = b"".join(b"n%d:\r\n" % n for n in range(8000))
    head = GET[:-2] + fields + b"\r\n"
    with serving(limits=CallerLimits(), memory=memory), connect() as sock:
        sock.sendall(head)
        assert status_of(sock) == 503
        wait_until(lambda: memory.held == 0, text="the memory is given back")
        with connect() as other:
            other.sendall(GET)
            assert status_of(other) == 200


def test_bytes_that_wait_unread_are_bounded():
    """Guards against receive buffers that the system enlarges for callers that send fast."""
    stop = threading.Event()

    def read_some(ex):
        for _, part in zip(range(200), ex.body.chunks(), strict=False):
            del part
        stop.wait(60)

    limits = CallerLimits(body_bytes=2**30)
    with serving(read_some, limits), connect() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        sock.sendall(b"POST / HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n")
        sock.settimeout(2)
        sent = 0
        try:
            while sent < 200_000_000:
                sent += sock.send(b"x" * 65536)
        except TimeoutError:
            pass
        stop.set()
        read = 200 * 65536
        assert sent <= read + 2 * 131072 + 4 * RECEIVE_BUFFER_BYTES


ANSWER = bytes(range(256)) * 16384


def read_slowly(sock, block=16384):
    """Return all bytes until the connection ends, read in small blocks."""
    data = bytearray()
    while part := sock.recv(block):
        data += part
        if len(data) % 7 == 0:
            time.sleep(0.001)
    return bytes(data)


@pytest.mark.parametrize("timeout_s", [0, 0.0001, 5.0, None], ids=str)
def test_writer_sends_all_bytes_whatever_timeout_is_left_on_the_socket(timeout_s):
    """Guards against answers cut by a write that the socket refused, and nobody noticed."""
    ours, theirs = socket.socketpair()
    with ours, theirs, ThreadPoolExecutor(1) as pool:
        received = pool.submit(read_slowly, theirs)
        writer = CallerWriter(ours, lambda: 10.0)
        ours.settimeout(timeout_s)
        assert writer.write(ANSWER) == len(ANSWER) == writer.bytes_written
        ours.shutdown(socket.SHUT_WR)
        assert received.result(30) == ANSWER


def test_writer_gives_up_on_a_caller_that_takes_nothing():
    """Guards against threads that wait without end for callers that do not read."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.settimeout(0)
        with pytest.raises(TimeoutError):
            CallerWriter(ours, lambda: 0.0).write(ANSWER * 8)


class FrontLike:
    """A handler that answers with ANSWER once it may, after the request's body has been read."""

    def __init__(self, chunked):
        self.answer_now, self.waiting = threading.Event(), threading.Event()
        self._length = None if chunked else len(ANSWER)
        self.reads_body = True

    def __call__(self, ex):
        if self.reads_body:
            assert b"".join(ex.body.chunks()) in (b"", b"body")
        self.waiting.set()
        self.answer_now.wait(30)
        parts = [ANSWER[n : n + 262144] for n in range(0, len(ANSWER), 262144)]
        answer = Answer(200, [], iter(parts), lambda: None, self._length)
        ex.send_response(answer, "vm-1", closing=self.reads_body)


FIELDS = b"PUT / HTTP/1.1\r\nHost: h\r\n"
REQUESTS_WITH_ANSWERS = {
    "no-body": [GET],
    "late-body": [FIELDS + b"Content-Length: 4\r\n\r\n", b"bo", b"dy"],
    "chunks": [FIELDS + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbo", b"dy\r\n0\r\n\r\n"],
    "expect": [FIELDS + b"Content-Length: 4\r\nExpect: 100-continue\r\n\r\n", b"body"],
}


@pytest.mark.parametrize("chunked", [False, True], ids=["sized", "chunked-answer"])
@pytest.mark.parametrize("form", REQUESTS_WITH_ANSWERS)
def test_large_answer_is_whole_though_the_listener_was_closed(form, chunked):
    """Guards against answers that are cut during a planned stop."""
    handler = FrontLike(chunked)
    with serving(handler) as server, connect() as sock:
        for part in REQUESTS_WITH_ANSWERS[form]:
            sock.sendall(part)
            time.sleep(0.05)
        assert handler.waiting.wait(10)
        server.close_listener()
        handler.answer_now.set()
        data = read_slowly(sock)
    head, _, body = data.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n").partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 OK")
    assert (dechunked(body) if chunked else body) == ANSWER


def dechunked(data):
    """Return the data of the chunks of an answer, which has to end with the last one."""
    found, position = bytearray(), 0
    while size := int(data[position : (end := data.index(b"\r\n", position))], 16):
        found += data[end + 2 : end + 2 + size]
        position = end + 2 + size + 2
    assert data[position:] == b"0\r\n\r\n"
    return bytes(found)


def test_connection_that_is_accepted_while_the_listener_closes_gets_a_whole_answer():
    """Guards against connections whose sockets get the idle time of a server that stops."""
    handler = FrontLike(chunked=False)
    handler.answer_now.set()
    with serving(handler) as server:
        server._http.listening = False
        with connect() as sock:
            sock.sendall(GET)
            assert read_slowly(sock).endswith(ANSWER)


def test_answer_is_whole_though_its_request_was_not_read_to_the_end():
    """Guards against a reset, by the close with unread bytes, that discards the answer's end."""
    handler = FrontLike(chunked=False)
    handler.reads_body = False
    with serving(handler), connect() as sock:
        sock.sendall(FIELDS + b"Content-Length: 4000\r\n\r\n")
        assert handler.waiting.wait(10)
        sock.sendall(b"b" * 2000)
        handler.answer_now.set()
        time.sleep(0.3)
        assert read_slowly(sock).endswith(ANSWER)


def test_answer_in_chunks_ends_before_its_connection_lingers(monkeypatch):
    """Guards against callers who wait for the end of an answer until the connection closes."""
    handler, ended = FrontLike(chunked=True), []
    handler.answer_now.set()
    monkeypatch.setattr(Exchange, "_linger", lambda ex, _: ended.append(not ex._req.chunked_write))
    with serving(handler), connect() as sock:
        sock.sendall(GET)
        _, _, body = read_slowly(sock).partition(b"\r\n\r\n")
    assert dechunked(body) == ANSWER and ended == [True]


def test_page_is_whole_though_its_request_was_not_read_to_the_end():
    """Guards against the same reset after a response of the VM's own."""
    waiting, answer_now = threading.Event(), threading.Event()

    def handle(ex):
        waiting.set()
        answer_now.wait(30)
        ex.send_bytes(ANSWER, "text/plain")

    with serving(handle), connect() as sock:
        sock.sendall(FIELDS + b"Content-Length: 4000\r\n\r\n")
        assert waiting.wait(10)
        answer_now.set()
        time.sleep(0.2)
        sock.sendall(b"b" * 2000)
        assert read_slowly(sock).endswith(ANSWER)
