"""Answers on reused connections are never returned for another request."""

import socket
import threading
from contextlib import contextmanager, suppress
from types import SimpleNamespace

import pytest

from gypsumwind.calls import Body
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.hangups import HangupTask
from gypsumwind.senders import OutgoingRequest, Sender, Target
from gypsumwind.utils import monotonic


def answer(attempt, text):
    echo = f"Gypsumwind-Attempt: {attempt}\r\n" if attempt else ""
    return f"HTTP/1.1 200 OK\r\n{echo}Content-Length: {len(text)}\r\n\r\n{text}".encode()


@contextmanager
def server(echoes):
    """Answer each request with its path; on a reused connection, first repeat the last answer.

    The duplicate is sent only after the next request, so a check before that cannot detect it.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    conns = []

    def serve(sock):
        last = b""
        with sock, suppress(OSError, IndexError):
            while head := sock.recv(65536).decode():
                lines = head.split("\r\n")
                sent = [ln.split(": ")[1] for ln in lines if ln.lower().startswith("gypsumwind-a")]
                sock.sendall(last)
                last = answer(sent[0] if echoes else "", lines[0].split()[1])
                sock.sendall(last)

    def accept():
        with suppress(OSError):
            while True:
                conns.append(listener.accept()[0])
                threading.Thread(target=serve, args=(conns[-1],), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield Target(*listener.getsockname(), Code.UPSTREAM_UNREACHABLE, Code.UPSTREAM_FAILED)
    finally:
        listener.close()


@pytest.fixture
def sender():
    with HangupTask() as deadlines:
        yield Sender("127.0.0.1", 1.0, deadlines)


def send(sender, target, path):
    body = Body(SimpleNamespace(read=lambda size: b""), 0)
    headers = {"host": "h"}
    out = OutgoingRequest("GET", path, headers, body, monotonic() + 20.0, True, attempt=f"a{path}")
    found = sender.send(target, out)
    try:
        return b"".join(found.chunks).decode()
    finally:
        found.end(True)


@pytest.mark.parametrize("echoes", [True, False])
def test_duplicate_answer_is_not_returned_for_another_request(sender, echoes):
    with server(echoes) as target:
        got = []
        for n in range(6):
            try:
                got.append((send(sender, target, f"/{n}"), f"/{n}"))
            except RequestError as exc:
                assert exc.verdict is Verdict.MAY_HAVE_RUN
        assert got and all(text == path for text, path in got)


def test_connection_is_reused_if_answers_name_their_attempt(sender):
    """The second request gets the duplicate of the first answer, so both used one connection."""
    with server(True) as target:
        assert send(sender, target, "/1") == "/1"
        with pytest.raises(RequestError, match="the answer is to attempt a/1"):
            send(sender, target, "/2")
