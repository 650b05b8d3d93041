"""Malformed, truncated and unbounded responses of instances."""

import math
import random
import socket
import threading
import time
from contextlib import contextmanager, suppress
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumwind import stores
from gypsumwind.calls import Body
from gypsumwind.connections import ConnectionPool
from gypsumwind.core.dispatch import MAX_PAUSE_S
from gypsumwind.core.instances import Outcome
from gypsumwind.core.upstreams import Upstream
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError, StoreError
from gypsumwind.exchanges import Request, UpstreamClient, _parse_retry_after
from gypsumwind.framing import MAX_FRAMING_BYTES
from gypsumwind.hangups import CancelScope, HangupTask, in_scope
from gypsumwind.platform.headers import HEADERS, read_load
from gypsumwind.senders import OutgoingRequest, Sender, Target
from gypsumwind.stores import StoreClient
from gypsumwind.utils import monotonic, wall

DEADLINE_S = 0.6
"""Deadline of the requests in this file, in seconds."""

OK = b"HTTP/1.1 200 OK\r\nGypsumwind-Request-Id: r\r\nGypsumwind-Response-Signature: s\r\n"
END = b"Content-Length: 0\r\n\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Full\r\nGypsumwind-Not-Executed: 1\r\nGypsumwind-Request-Id: r\r\n"

UNBOUNDED = {
    "head": (OK + b"X-Long: ", b"x"),
    "head of many lines": (OK, b"X-Line: x\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk's extension": (CHUNKED + b"5;", b"x"),
    "trailers": (CHUNKED + b"2\r\nok\r\n0\r\n", b"X-Trailer: x\r\n"),
    "bytes that are no answer": (b"", b"\x00\xff"),
}


BODIES_WITHOUT_END = {
    "no length": (OK + b"\r\n", b"x"),
    "no length, HTTP/1.0": (OK.replace(b"/1.1", b"/1.0") + b"\r\n", b"x"),
    "no length, a failure": (OK.replace(b"200 OK", b"500 Failed") + b"\r\n", b"x"),
    "length, closing": (OK + b"Connection: close\r\nContent-Length: 999999999\r\n\r\n", b"x"),
    "length, kept": (OK + b"Content-Length: 999999999\r\n\r\n", b"x"),
    "chunks, closing": (CHUNKED[:-2] + b"Connection: close\r\n\r\n", b"8\r\nxxxxxxxx\r\n"),
}


@contextmanager
def server(begin, more, pause_s, arrived=None):
    """Answer each request with `begin`, then with `more` until the client closes.

    If `more` is empty, send nothing after `begin`; if it is None, close the connection after
    `begin`. Yield the address, and the times at which connections were closed; `arrived` gets the
    times of the requests.
    """
    closed = []
    arrived = [] if arrived is None else arrived
    listener = socket.create_server(("127.0.0.1", 0))

    def serve(sock):
        with sock, suppress(OSError):
            sock.recv(65536)
            arrived.append(time.monotonic())
            sock.sendall(begin)
            while more:
                sock.sendall(more if pause_s else more * 1000)
                time.sleep(pause_s)
            if more is not None:
                sock.recv(65536)
        closed.append(time.monotonic())

    def accept():
        with suppress(OSError):
            while True:
                sock, _ = listener.accept()
                threading.Thread(target=serve, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield listener.getsockname(), closed
    finally:
        listener.close()


@pytest.fixture
def hangups():
    with HangupTask() as task:
        yield task


def send(
    hangups, address, repeatable=True, request="r", client=None, deadline_s=DEADLINE_S, method="GET"
):
    client = client or UpstreamClient(ConnectionPool("127.0.0.1"), HEADERS, read_load, hangups)
    up = Upstream("i", 1, "s", address[0], address[1], "a1", 4)
    body = Body(SimpleNamespace(read=lambda size: b""), 0)
    deadline = monotonic() + deadline_s
    req = Request(request, method, "/", {"host": "h"}, body, deadline, repeatable)
    return client.send(up, req), deadline


@pytest.mark.parametrize("pause_s", [0.0, 0.02], ids=["flood", "trickle"])
@pytest.mark.parametrize("kind", UNBOUNDED)
def test_unbounded_response_is_aborted_at_the_deadline(hangups, kind, pause_s):
    begin, more = UNBOUNDED[kind]
    with server(begin, more, pause_s) as (address, closed):
        sent, deadline = send(hangups, address)
        ended = monotonic()
        assert sent.answer is None and sent.error.verdict is Verdict.MAY_HAVE_RUN
        assert sent.outcome == Outcome.CUT
        wait_for(lambda: closed)
    # The margin is wide: it only separates an abort at the deadline from a later end by chance.
    assert ended < deadline + 5.0


@pytest.mark.parametrize("kind", UNBOUNDED)
def test_unbounded_lines_are_rejected_at_the_limit(hangups, kind):
    begin, more = UNBOUNDED[kind]
    with server(begin + more * (2 * MAX_FRAMING_BYTES // len(more)), b"", 0.0) as (address, _):
        sent, _ = send(hangups, address)
        assert sent.outcome == Outcome.CUT and sent.error.code is Code.UPSTREAM_FAILED


@pytest.mark.parametrize("more", [None, b""], ids=["closed", "silent"])
def test_signals_in_the_head_of_a_broken_response_take_effect(hangups, more):
    head = OK + b"Server-Leaving: 1\r\nServer-Limit: 2.5\r\nContent-Length: 9\r\n\r\nhalf"
    with server(head, more, 0.0) as (address, _):
        sent, _ = send(hangups, address)
        assert sent.answer is None
        assert sent.leaving and sent.rate_limit == 2.5


@pytest.mark.parametrize("text", ["", "x", "-1", "nan", "inf", "5 5", "0x5"])
def test_malformed_rate_limit_is_ignored(hangups, text):
    head = OK + f"Server-Limit: {text}\r\n".encode() + END
    with server(head, b"", 0.0) as (address, _):
        sent, _ = send(hangups, address)
        assert sent.outcome == Outcome.OK and sent.rate_limit is None


def test_only_a_response_of_the_instance_shows_that_it_states_no_rate_limit(hangups):
    for head, per_s in ((OK, math.inf), (REFUSAL, None)):
        with server(head + END, b"", 0.0) as (address, _):
            assert send(hangups, address)[0].rate_limit == per_s


@pytest.mark.parametrize("pause_s", [0.0, 0.02], ids=["flood", "trickle"])
@pytest.mark.parametrize("head", [b"\r\n", b"Content-Length: 9999\r\n\r\n"], ids=["open", "long"])
def test_refusal_takes_effect_by_the_deadline_whatever_its_body(hangups, head, pause_s):
    with server(REFUSAL + head, b"x", pause_s) as (address, closed):
        sent, deadline = send(hangups, address)
        assert sent.outcome == Outcome.SHED and sent.error.verdict is Verdict.NOT_RUN
        assert monotonic() < deadline
        wait_for(lambda: closed)


def test_refusal_takes_effect_if_its_body_never_arrives(hangups):
    with server(REFUSAL + b"Content-Length: 9\r\n\r\n", b"", 0.0) as (address, closed):
        sent, _ = send(hangups, address)
        assert sent.outcome == Outcome.SHED and sent.error.verdict is Verdict.NOT_RUN
        wait_for(lambda: closed)


@pytest.mark.parametrize("cut_at", range(1, len(OK + END)))
def test_response_truncated_within_its_head_is_not_complete(hangups, cut_at):
    """The signature has arrived; a response without a length may end with its connection."""
    with server((OK + END)[:cut_at], None, 0.0) as (address, _):
        sent, _ = send(hangups, address)
        assert sent.outcome == Outcome.CUT and sent.answer is None


@pytest.mark.parametrize("listens", [False, True], ids=["stopped", "listening"])
@pytest.mark.parametrize("begin", [b"", OK[:-5]], ids=["no-byte", "half-a-head"])
def test_lost_response_is_a_crash_if_the_instance_refuses_connections(hangups, begin, listens):
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            sock, _ = listener.accept()
            with sock:
                sock.recv(65536)
                sock.sendall(begin)
                if not listens:
                    listener.shutdown(socket.SHUT_RDWR)

        threading.Thread(target=serve, daemon=True).start()
        before = wall()
        sent, _ = send(hangups, listener.getsockname())
        assert sent.outcome == Outcome.CUT
        assert sent.crashed_at is None if listens else before <= sent.crashed_at <= wall()


def test_silent_instance_is_late(hangups):
    with server(b"", b"", 0.0) as (address, _):
        assert send(hangups, address)[0].outcome == Outcome.LATE


def test_many_small_chunks_do_not_exceed_the_line_limit(hangups):
    chunks = b"".join(b"8\r\n12345678\r\n" for _ in range(15_000))
    with server(CHUNKED + chunks + b"0\r\n\r\n", b"", 0.0) as (address, _):
        sent, _ = send(hangups, address)
        assert sent.outcome == Outcome.OK
        assert b"".join(sent.answer.chunks) == b"12345678" * 15_000


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("kind", UNBOUNDED)
def test_sender_aborts_unbounded_response_at_the_deadline(hangups, kind, repeatable):
    begin, more = UNBOUNDED[kind]
    with server(begin, more, 0.02) as (address, closed):
        target = Target(*address, Code.UPSTREAM_UNREACHABLE, Code.UPSTREAM_FAILED)
        body = Body(SimpleNamespace(read=lambda size: b""), 0)
        out = OutgoingRequest("GET", "/", {"host": "h"}, body, monotonic() + DEADLINE_S, repeatable)
        with pytest.raises(RequestError) as failed:
            answer = Sender("127.0.0.1", 1.0, hangups).send(target, out)
            with ended_on_exit(answer):
                b"".join(answer.chunks)
        assert failed.value.verdict is Verdict.MAY_HAVE_RUN
        assert monotonic() < out.deadline + 5.0
        wait_for(lambda: closed)


def check_failing_store_call(hangups, ip, port, write):
    """Check that a call fails at its timeout, and that a write then has an unknown outcome."""
    calls = StoreClient(f"http://{ip}:{port}", 0.3, deadlines=hangups)
    with pytest.raises(StoreError) as failed:
        if write:
            calls.write("PUT", "/objects/x", {})
        else:
            calls.read("/objects/x")
    assert failed.value.code is (Code.STORE_OUTCOME_UNKNOWN if write else Code.STORE_UNAVAILABLE)


@pytest.mark.parametrize("kind", UNBOUNDED)
@pytest.mark.parametrize("write", [False, True], ids=["read", "write"])
def test_store_call_with_unbounded_response_fails_at_its_timeout(hangups, kind, write):
    begin, more = UNBOUNDED[kind]
    with server(begin, more, 0.02) as ((ip, port), closed):
        check_failing_store_call(hangups, ip, port, write)
        wait_for(lambda: closed)


def test_reopened_connection_is_aborted_at_its_new_deadline(hangups):
    """The pool reopens a connection that was shut down; its next request has a deadline too."""
    begin, more = UNBOUNDED["chunk's extension"]
    with server(begin, more, 0.02) as ((ip, port), closed):
        calls = StoreClient(f"http://{ip}:{port}", 0.3, deadlines=hangups)
        for count in (1, 2, 3):
            with pytest.raises(StoreError):
                calls.read("/objects/x")
            wait_for(lambda count=count: len(closed) >= count)


def test_store_response_is_bounded_in_bytes(hangups, monkeypatch):
    monkeypatch.setattr(stores, "MAX_RESPONSE_BYTES", 1_000_000)
    with server(OK + b"\r\n[", b"1,", 0.0) as ((ip, port), closed):
        with pytest.raises(StoreError):
            StoreClient(f"http://{ip}:{port}", 30.0, deadlines=hangups).read("/objects/x")
        wait_for(lambda: closed)


@pytest.mark.parametrize("kind", BODIES_WITHOUT_END)
def test_body_without_end_is_aborted_at_the_deadline(hangups, kind):
    """Guards against an answer that is never given up on, whose thread is lost (CONFIG)."""
    with server(*BODIES_WITHOUT_END[kind], 0.02) as (address, closed):
        sent, deadline = send(hangups, address)
        ended = monotonic()
        assert sent.answer is None and sent.error.verdict is Verdict.MAY_HAVE_RUN
        # The deadline may also pass within the line of a chunk's size, which counts as a cut.
        chunked = kind.startswith("chunks")
        assert sent.outcome in ({Outcome.LATE, Outcome.CUT} if chunked else {Outcome.LATE})
        wait_for(lambda: closed)
    assert ended < deadline + 5.0


@pytest.mark.parametrize("kind", BODIES_WITHOUT_END)
def test_body_without_end_that_is_passed_on_is_never_complete(hangups, kind):
    """The deadline passes while the caller already gets the body."""
    with server(*BODIES_WITHOUT_END[kind], 0.0) as (address, closed):
        sent, deadline = send(hangups, address)
        with pytest.raises(RequestError), ended_on_exit(sent.answer):
            for _ in sent.answer.chunks:
                pass
        ended = monotonic()
        wait_for(lambda: closed)
    assert ended < deadline + 5.0


@pytest.mark.parametrize("pause_s", [0.0, 0.02], ids=["flood", "trickle"])
@pytest.mark.parametrize("kind", BODIES_WITHOUT_END)
def test_body_without_end_is_aborted_when_its_caller_disconnects(hangups, kind, pause_s):
    """So it is by a graceful shutdown, which cancels the same scope."""
    scope = CancelScope()
    ended = []

    def run(address):
        with in_scope(scope):
            sent, _ = send(hangups, address, deadline_s=60.0)
            if sent.answer is not None:
                with pytest.raises(RequestError), ended_on_exit(sent.answer):
                    for _ in sent.answer.chunks:
                        pass
            ended.append(sent.outcome)

    arrived = []
    with server(*BODIES_WITHOUT_END[kind], pause_s, arrived) as (address, closed):
        thread = threading.Thread(target=run, args=(address,), daemon=True)
        thread.start()
        wait_for(lambda: arrived)
        time.sleep(0.3)
        assert not ended
        scope.cancel()
        wait_for(lambda: closed and ended)
        thread.join()


@pytest.mark.parametrize("begin", [b"", b"half"], ids=["no-byte", "half"])
def test_body_without_a_length_that_stalls_is_not_complete_at_the_deadline(hangups, begin):
    with server(OK + b"\r\n" + begin, b"", 0.0) as (address, closed):
        sent, _ = send(hangups, address)
        assert sent.answer is None and sent.error.verdict is Verdict.MAY_HAVE_RUN
        wait_for(lambda: closed)


@pytest.mark.parametrize("size", [0, 5, 1_000_000])
def test_body_without_a_length_ends_with_its_connection(hangups, size):
    with server(OK + b"\r\n" + b"x" * size, None, 0.0) as (address, _):
        sent, _ = send(hangups, address)
        assert b"".join(sent.answer.chunks) == b"x" * size
        sent.answer.end(True)


@pytest.mark.parametrize("kind", BODIES_WITHOUT_END)
@pytest.mark.parametrize("write", [False, True], ids=["read", "write"])
def test_store_call_whose_body_has_no_end_fails_at_its_timeout(hangups, kind, write):
    """Also if all that is sent is a document, and then spaces."""
    begin, more = BODIES_WITHOUT_END[kind]
    with server(begin + b"{}", more.replace(b"x", b" "), 0.02) as ((ip, port), closed):
        check_failing_store_call(hangups, ip, port, write)
        wait_for(lambda: closed)


@pytest.mark.parametrize("kind", BODIES_WITHOUT_END)
def test_watch_whose_answer_an_outage_may_have_hit_ends_within_a_body_without_end(hangups, kind):
    begin, more = BODIES_WITHOUT_END[kind]
    scope = CancelScope()
    failed = []

    def watch(calls):
        with pytest.raises(StoreError) as info, in_scope(scope), calls.outages.watching(scope):
            calls.read("/objects/x", 60.0)
        failed.append(info.value.code)

    arrived = []
    with server(begin, more, 0.02, arrived) as ((ip, port), closed):
        calls = StoreClient(f"http://{ip}:{port}", 60.0, deadlines=hangups)
        thread = threading.Thread(target=watch, args=(calls,), daemon=True)
        thread.start()
        wait_for(lambda: arrived)
        time.sleep(0.3)
        scope.cancel()
        wait_for(lambda: failed and closed)
        assert failed == [Code.STORE_HISTORY_GONE]


@contextmanager
def ended_on_exit(answer):
    try:
        yield
    finally:
        answer.end(False)


def wait_for(check):
    """Wait until the client has closed the connection, so that the server can stop."""
    until = time.monotonic() + 10
    while not check() and time.monotonic() < until:
        time.sleep(0.02)
    assert check()


LEAVING = b"Server-Leaving: 1\r\n"


@pytest.mark.parametrize(
    ("answer", "leaving"),
    [
        (OK + LEAVING + END, True),
        (REFUSAL + LEAVING + END, True),
        (OK + b"Server-Leaving: 0\r\n" + END, False),
        (OK.replace(b": r", b": another") + LEAVING + END, False),
        (b"HTTP/1.1 421 Misdirected\r\n" + LEAVING + END, False),
    ],
    ids=["answer", "refusal", "no", "another request's", "another instance's"],
)
def test_drain_signal_is_accepted_only_in_the_instances_own_response(hangups, answer, leaving):
    with server(answer, b"", 0.0) as (address, _):
        assert send(hangups, address)[0].leaving is leaving


@contextmanager
def scripted_instance(*responses):
    """A server that gives these responses, one a request; yields its address and the number run."""
    ran = []

    def serve(sock):
        with sock, suppress(OSError):
            while sock.recv(65536):
                ran.append(responses[len(ran)])
                sock.sendall(ran[-1])

    def accept():
        with suppress(OSError):
            while True:
                sock, _ = listener.accept()
                threading.Thread(target=serve, args=(sock,), daemon=True).start()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(target=accept, daemon=True).start()
        yield listener.getsockname(), ran


@pytest.mark.parametrize("named", [b"", b"Gypsumwind-Request-Id: r0\r\n"], ids=["no-id", "its-id"])
@pytest.mark.parametrize("status", [b"503 Full", b"421 Misdirected", b"429 Too Many"])
def test_refusal_that_an_instance_repeats_on_a_kept_connection_is_not_believed(
    hangups, status, named
):
    refusal = b"HTTP/1.1 " + status + b"\r\nGypsumwind-Not-Executed: 1\r\n" + named
    refusal += b"Content-Length: 0\r\n\r\n"
    client = UpstreamClient(ConnectionPool("127.0.0.1"), HEADERS, read_load, hangups)
    with scripted_instance(refusal, refusal) as (address, ran):
        first, _ = send(hangups, address, request="r0", client=client)
        assert first.error.verdict is Verdict.NOT_RUN
        second, _ = send(hangups, address, request="r", client=client)
        assert second.error.verdict is Verdict.MAY_HAVE_RUN and len(ran) == 2


def test_refused_request_is_not_sent_again_on_the_same_connection(hangups):
    """An instance that has taken over the address may repeat the refusal under the same id."""
    refusal = b"HTTP/1.1 421 Misdirected\r\nGypsumwind-Request-Id: r\r\nContent-Length: 0\r\n\r\n"
    client = UpstreamClient(ConnectionPool("127.0.0.1"), HEADERS, read_load, hangups)
    with scripted_instance(refusal, OK + b"Content-Length: 0\r\n\r\n") as (address, _):
        first, _ = send(hangups, address, client=client)
        used = client._connections.acquire(*address, False)
        assert first.error.verdict is Verdict.NOT_RUN and used[1]
        client._connections.release(used[0], None)
        second, _ = send(hangups, address, client=client)
        assert second.outcome == Outcome.OK
        assert used[0].sock is None


@pytest.mark.parametrize("close", [b"", b"Connection: close\r\n"], ids=["kept", "closing"])
@pytest.mark.parametrize(
    ("method", "status", "length"),
    [
        ("HEAD", b"200 OK", b"Content-Length: 5\r\n"),
        ("HEAD", b"200 OK", b""),
        ("GET", b"204 No Content", b""),
        ("GET", b"304 Not Modified", b""),
    ],
)
def test_responses_without_a_body_follow_each_other(hangups, method, status, length, close):
    response = OK.replace(b"200 OK", status) + length + close + b"\r\n"
    client = UpstreamClient(ConnectionPool("127.0.0.1"), HEADERS, read_load, hangups)
    with scripted_instance(response, response, response) as (address, ran):
        for count in (1, 2, 3):
            sent, _ = send(hangups, address, client=client, method=method)
            assert sent.outcome == Outcome.OK and b"".join(sent.answer.chunks) == b""
            assert len(ran) == count


@given(text=st.text(max_size=20) | st.floats().map(str) | st.integers().map(str))
def test_any_time_to_come_back_is_bounded(text):
    assert (
        0.0
        <= _parse_retry_after(Upstream("i", 1, "s", "127.0.0.1", 1, "a1", 4), text)
        <= MAX_PAUSE_S
    )


def test_retry_after_may_be_fractional():
    up = Upstream("i", 1, "s", "127.0.0.1", 1, "a1", 4)
    seconds = round(random.Random(1).random(), 3)
    assert _parse_retry_after(up, str(seconds)) == seconds
