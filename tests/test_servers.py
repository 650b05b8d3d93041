"""Tests of the HTTP server and its concurrency limiter without a daemon."""

import socket
import time

import pytest

from gypsumwind import servers
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.servers import ConcurrencyLimiter, Server

PORT = 18499


@pytest.fixture
def send_error_response():
    """Return a function that serves one error and returns the response."""

    def ask(exc, **values):
        server = Server("test", "127.0.0.1", PORT, 2, lambda ex: ex.send_error(exc, "vm", **values))
        with server, socket.create_connection(("127.0.0.1", PORT), 5) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            data = b""
            while part := sock.recv(65536):
                data += part
        return data.decode()

    return ask


def test_refusal_always_has_retry_after(send_error_response):
    exc = RequestError(Code.PEER_UNREACHABLE, "no VM is reached", Verdict.NOT_RUN, 503)
    assert "Retry-After: 1\r\n" in send_error_response(exc)


def test_refusal_past_its_deadline_has_retry_after(send_error_response):
    exc = RequestError(Code.DEADLINE_EXCEEDED, "the deadline has passed", Verdict.NOT_RUN, 504)
    assert "Retry-After: 1\r\n" in send_error_response(exc)


def test_retry_after_is_rounded_unless_callers_parse_fractions(send_error_response):
    exc = RequestError(Code.NO_CAPACITY, "full", Verdict.NOT_RUN, 503, 0.25)
    assert "Retry-After: 1\r\n" in send_error_response(exc)
    assert "Retry-After: 0.25\r\n" in send_error_response(exc, fractions=True)


def test_other_errors_have_no_retry_after(send_error_response):
    exc = RequestError(Code.UPSTREAM_FAILED, "cut", Verdict.MAY_HAVE_RUN, 502)
    assert "Retry-After" not in send_error_response(exc)


def test_error_that_closes_the_connection_reaches_a_caller_that_still_sends(monkeypatch):
    """Closing at once would send a reset, after which the caller cannot read the response."""
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
def test_lower_priorities_leave_capacity_for_the_highest(low):
    """Overload: admitted requests never finish, further ones are refused at the limit."""
    limiter = ConcurrencyLimiter(50)
    admitted = sum(limiter.try_acquire(low) for _ in range(200))
    assert 25 <= admitted <= 40
    assert all(limiter.try_acquire(0) for _ in range(10))


def test_requests_in_flight_never_exceed_the_limit():
    limiter = ConcurrencyLimiter(50)
    assert sum(limiter.try_acquire(priority % 3) for priority in range(300)) == limiter.count == 50
    limiter.release()
    assert limiter.try_acquire(0) and not limiter.try_acquire(0)
