"""Answers of the HTTP server that need no daemon."""

import socket
import time

import pytest

from gypsumwind import servers
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.servers import ConcurrencyLimiter, Server

PORT = 18499


@pytest.fixture
def answer():
    """Serve one error and return how its answer begins."""

    def ask(exc, **values):
        server = Server("test", "127.0.0.1", PORT, 2, lambda ex: ex.send_error(exc, "vm", **values))
        with server, socket.create_connection(("127.0.0.1", PORT), 5) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            data = b""
            while part := sock.recv(65536):
                data += part
        return data.decode()

    return ask


def test_refusal_always_says_when_to_come_back(answer):
    exc = RequestError(Code.PEER_UNREACHABLE, "no VM is reached", Verdict.NOT_RUN, 503)
    assert "Retry-After: 1\r\n" in answer(exc)


def test_refusal_says_so_too_if_its_deadline_has_passed_before_it_was_sent_on(answer):
    exc = RequestError(Code.DEADLINE_EXCEEDED, "the deadline has passed", Verdict.NOT_RUN, 504)
    assert "Retry-After: 1\r\n" in answer(exc)


def test_time_to_come_back_is_whole_unless_the_callers_read_fractions(answer):
    exc = RequestError(Code.NO_CAPACITY, "full", Verdict.NOT_RUN, 503, 0.25)
    assert "Retry-After: 1\r\n" in answer(exc)
    assert "Retry-After: 0.25\r\n" in answer(exc, fractions=True)


def test_other_errors_say_nothing_of_it(answer):
    exc = RequestError(Code.UPSTREAM_FAILED, "cut", Verdict.MAY_HAVE_RUN, 502)
    assert "Retry-After" not in answer(exc)


def test_caller_that_sends_behind_an_error_that_closes_can_still_read_it(monkeypatch):
    """A connection that is closed at once resets what comes; callers read no more after that."""
    monkeypatch.setattr(servers, "CLOSE_LINGER_S", 10.0)
    exc = RequestError(Code.STOPPED, "this VM stops", Verdict.MAY_HAVE_RUN, 504)
    server = Server("test", "127.0.0.1", PORT, 2, lambda ex: ex.send_error(exc, "vm", closing=True))
    with server, socket.create_connection(("127.0.0.1", PORT), 5) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        sock.recv(1, socket.MSG_PEEK)
        for _ in range(4):
            time.sleep(0.05)
            sock.sendall(b"GET /next HTTP/1.1\r\n")
        assert sock.recv(65536).startswith(b"HTTP/1.1 504 ")


@pytest.mark.parametrize("low", [1, 2, 7])
def test_requests_of_lower_classes_leave_room_for_the_highest(low):
    """An overloaded VM: all that come stay in flight until the limit refuses them."""
    in_flight = ConcurrencyLimiter(50)
    taken = sum(in_flight.try_acquire(low) for _ in range(200))
    assert 25 <= taken <= 40
    assert all(in_flight.try_acquire(0) for _ in range(10))


def test_requests_in_flight_never_pass_the_limit():
    in_flight = ConcurrencyLimiter(50)
    assert sum(in_flight.try_acquire(rank % 3) for rank in range(300)) == in_flight.count == 50
    in_flight.release()
    assert in_flight.try_acquire(0) and not in_flight.try_acquire(0)
