"""The instance stand-in logs no run for an incomplete body: tests of daemons rely on its log."""

import socket

import pytest

from tests.standins.steered import Instance

HEAD = "POST /put/a HTTP/1.1\r\nHost: h\r\nGypsumwind-Target-Instance: i-1\r\n"
TRUNCATED = {
    "length": "Content-Length: 20000\r\n\r\n" + 10_000 * "x",
    "chunk": "Transfer-Encoding: chunked\r\n\r\n4000\r\nxxxx",
    "last chunk": "Transfer-Encoding: chunked\r\n\r\n4\r\nxxxx\r\n",
    "end": "Transfer-Encoding: chunked\r\n\r\n4\r\nxxxx\r\n0\r\n",
}


@pytest.mark.parametrize("where", TRUNCATED)
def test_instance_does_not_run_a_truncated_body(where):
    with Instance("i-1") as up:
        ip, _, port = up.address.partition(":")
        with socket.create_connection((ip, int(port)), 5) as sock:
            sock.sendall((HEAD + TRUNCATED[where]).encode())
            sock.shutdown(socket.SHUT_WR)
            assert not sock.recv(100)
        assert up.ran == []
