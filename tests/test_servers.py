"""Answers of the HTTP server that need no daemon."""

import socket

import pytest

from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.servers import Server

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


def test_time_to_come_back_is_whole_unless_the_callers_read_fractions(answer):
    exc = RequestError(Code.NO_CAPACITY, "full", Verdict.NOT_RUN, 503, 0.25)
    assert "Retry-After: 1\r\n" in answer(exc)
    assert "Retry-After: 0.25\r\n" in answer(exc, fractions=True)


def test_other_errors_say_nothing_of_it(answer):
    exc = RequestError(Code.UPSTREAM_FAILED, "cut", Verdict.MAY_HAVE_RUN, 502)
    assert "Retry-After" not in answer(exc)
