"""Sends one request to one upstream instance; returns its response or the reason for none."""

import math
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass, field, replace
from http.client import HTTPException
from typing import Any

from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse
from urllib3.util import SKIP_HEADER

from gypsumwind.calls import CHUNK_BYTES, HOP_BY_HOP, Answer, Body
from gypsumwind.connections import ConnectionPool
from gypsumwind.core.dispatch import MAX_PAUSE_S
from gypsumwind.core.instances import Outcome, ReportedLoad
from gypsumwind.core.upstreams import Upstream
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.hangups import DeadlineTask, TrackedConnection, cancelled
from gypsumwind.log import Log
from gypsumwind.memory import Reservation, unlimited
from gypsumwind.response_syntax import BODILESS_STATUSES, malformation
from gypsumwind.steering import HeaderNames
from gypsumwind.utils import monotonic, wall

log = Log("exchanges")

BUFFER_BYTES = 256 * 1024
"""Bodies up to this size are read whole before the caller gets a byte, so that a truncated response
can be retried."""

CONNECT_TIMEOUT_S = 1.0
"""Longest wait for a connection: well over the retransmission of a lost SYN."""

CRASH_CHECK_TIMEOUT_S = 0.5
"""Longest wait, in seconds, for an instance to refuse a connection: well over a round trip."""

MAX_LOGGED_CHARS = 40
"""Characters of a malformed header value that go into a log line."""

MAX_REFUSAL_BYTES = 4096
"""Largest body of a refusal that is read and discarded, so that the connection can be reused."""

REFUSAL_BODY_TIMEOUT_S = 0.25
"""Longest wait for the body of a refusal, in seconds; instances send it along with the head."""

BROKEN_EXCHANGE = (HTTPException, HTTPError, OSError, ValueError)
"""Exceptions that a send without a whole response may raise."""

NOT_RUN_STATUSES = frozenset((400, 421, 429, 503))
SUPPRESSED_HEADERS = ("user-agent", "accept-encoding")
"""Headers that the client library would add by itself."""


@dataclass(slots=True, frozen=True)
class Request:
    """A caller's request as it is sent to any instance; `deadline` is on this VM's clock.

    Repeats of a request have the same `fingerprint`, whatever their ids. What is buffered of its
    response counts towards `memory`.
    """

    id: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: Body
    deadline: float
    repeatable: bool
    fingerprint: str = ""
    memory: Reservation = field(default_factory=unlimited)


@dataclass(slots=True, frozen=True)
class SendResult:
    """The result of a send: a response for the caller, or an error with its verdict.

    `closing`: the response closed its connection. `leaving`: the instance is draining. `pause_s`:
    the pause that the instance requests with Retry-After, in seconds. `rate_limit`: the requests
    per second that it accepts from all VMs, inf if it states no limit, None if that is unknown.
    `crashed_at`: when the instance ended while it had the request, in epoch seconds; None if it
    still listens at its address or if that is unknown. `responded`: bytes of a response arrived;
    None if the send ended before any could be expected. `connect_s`: the part of `elapsed_s` before
    the request was written. `connected`: a new connection was opened and used, False if it was
    refused or ended without a byte of a response, None if an open one was used or that is unknown.
    """

    outcome: str
    answer: Answer | None = None
    error: RequestError | None = None
    reported_load: ReportedLoad | None = None
    closing: bool = False
    leaving: bool = False
    pause_s: float = 0.0
    rate_limit: float | None = None
    crashed_at: float | None = None
    responded: bool | None = None
    elapsed_s: float = 0.0
    connect_s: float = 0.0
    connected: bool | None = None


class UpstreamClient:
    """Sends requests to instances over pooled keep-alive connections."""

    def __init__(
        self,
        connections: ConnectionPool,
        names: HeaderNames,
        read_load: Callable[[str], ReportedLoad | None],
        deadlines: DeadlineTask,
    ) -> None:
        self._deadlines = deadlines
        self._connections = connections
        self._names = names
        self._read_load = read_load

    def send(self, up: Upstream, req: Request) -> SendResult:
        """Send a request and wait for the response until the deadline."""
        if cancelled():
            return _failure(Outcome.CANCELLED, Code.CANCELLED, "caller gone", Verdict.NOT_RUN, 499)
        conn, kept = self._acquire(up, req)
        started = connected_at = monotonic()
        try:
            failed = self._connect(conn, kept, req)
            connected_at = monotonic()
            sent = failed or self._exchange(conn, up, req)
        except BaseException:
            conn.close()
            raise
        elapsed_s, ended_at = monotonic() - started, wall()
        responded = _has_responded(conn, sent)
        crashed = sent.outcome == Outcome.CUT and self._has_crashed(up, req)
        return replace(
            sent,
            elapsed_s=elapsed_s,
            connect_s=connected_at - started,
            crashed_at=ended_at if crashed else None,
            responded=responded,
            connected=None if kept else _has_connected(sent, responded),
        )

    def _acquire(self, up: Upstream, req: Request) -> tuple[TrackedConnection, bool]:
        """Return a connection and whether it is open; none on which this request was refused.

        A refusal that the instance repeats there would pass for a response to the new attempt.
        """
        while True:
            conn, kept = self._connections.acquire(up.ip, up.port, not req.repeatable)
            if not kept or conn.refused_id != req.id:
                return conn, kept
            conn.close()

    def _has_crashed(self, up: Upstream, req: Request) -> bool:
        """Return whether an instance refuses connections; False if that is not known in time."""
        left = min(req.deadline - monotonic(), CRASH_CHECK_TIMEOUT_S)
        return left > 0 and not cancelled() and self._connections.refuses(up.ip, up.port, left)

    def _connect(self, conn: TrackedConnection, kept: bool, req: Request) -> SendResult | None:
        left = req.deadline - monotonic()
        if left <= 0:
            conn.close()
            return _failure(
                Outcome.LATE, Code.DEADLINE_EXCEEDED, "deadline passed", Verdict.NOT_RUN, 504
            )
        if kept:
            return None
        try:
            conn.timeout = min(left, CONNECT_TIMEOUT_S)
            began = monotonic()
            conn.connect()
            self._connections.record_connect(conn.host, conn.port or 0, monotonic() - began)
        except (HTTPError, OSError) as exc:
            conn.close()
            return _failure(
                Outcome.UNREACHABLE, Code.UPSTREAM_UNREACHABLE, str(exc), Verdict.NOT_RUN, 503
            )
        return None

    def _exchange(self, conn: TrackedConnection, up: Upstream, req: Request) -> SendResult:
        left = req.deadline - monotonic()
        if left <= 0:
            conn.close()
            return _failure(
                Outcome.LATE, Code.DEADLINE_EXCEEDED, "deadline passed", Verdict.NOT_RUN, 504
            )
        try:
            with self._deadlines.enforce(req.deadline):
                self._write(conn, up, req, left)
            conn.timeout = max(0.001, req.deadline - monotonic())
            response = conn.getresponse()
        except BROKEN_EXCHANGE as exc:
            return _broken_exchange(conn, exc)
        signals = self._signals(up, req, response)
        try:
            sent = self._read(conn, up, response, req)
        except BROKEN_EXCHANGE as exc:
            sent = _broken_exchange(conn, exc)
        return replace(sent, **signals)

    def _write(self, conn: TrackedConnection, up: Upstream, req: Request, left: float) -> None:
        headers = dict(req.headers)
        headers[self._names.deadline_ms] = str(max(1, int(left * 1000)))
        headers[self._names.target] = up.id
        for name in SUPPRESSED_HEADERS:
            headers.setdefault(name, SKIP_HEADER)
        body = req.body
        has_body = body.length != 0
        if has_body and body.length is not None:
            headers["content-length"] = str(body.length)
        conn.timeout = left
        try:
            conn.request(
                req.method,
                req.target,
                body=body.chunks() if has_body else None,
                headers=headers,
                chunked=has_body and body.length is None,
                preload_content=False,
                decode_content=False,
                enforce_content_length=True,
            )
        except (BrokenPipeError, ConnectionResetError):
            # An instance may respond and close before it has read the body; its response is valid.
            if conn.sock is None:
                raise

    def _read(
        self, conn: TrackedConnection, up: Upstream, response: HTTPResponse, req: Request
    ) -> SendResult:
        names, headers = self._names, response.headers
        report = self._read_load(headers.get(names.load, ""))
        closing = _closes_connection(response)
        answered_id = headers.get(names.request_id)
        # Without an id, it may be an earlier response that the instance repeats.
        ambiguous = answered_id is None and conn.requests > 1
        if ambiguous or answered_id not in (None, req.id):
            conn.close()
            text = f"the answer is that of request {answered_id or 'unknown'}"
            return _failure(Outcome.CUT, Code.UPSTREAM_FAILED, text, Verdict.MAY_HAVE_RUN, 502)
        if response.status in NOT_RUN_STATUSES and (
            names.not_run in headers or response.status == 421
        ):
            conn.refused_id = req.id
            self._discard_body(conn, response)
            misdirected = response.status == 421
            text = f"instance answered {response.status}, not run"
            error = RequestError(Code.UPSTREAM_REFUSED, text, Verdict.NOT_RUN, 503)
            outcome = Outcome.MISDIRECTED if misdirected else Outcome.SHED
            return SendResult(outcome, None, error, report, closing)
        whole = self._buffered_response(conn, up, response, req)
        success = 200 <= response.status < 300
        if success and (names.signature not in headers or answered_id is None):
            whole.end(False)
            text = "a success without the instance's signature or the request's id"
            return _failure(Outcome.CUT, Code.UPSTREAM_FAILED, text, Verdict.MAY_HAVE_RUN, 502)
        outcome = Outcome.FAILED if response.status >= 500 else Outcome.OK
        return SendResult(outcome, whole, None, report, closing)

    def _signals(self, up: Upstream, req: Request, response: HTTPResponse) -> dict[str, Any]:
        """Return the signals in the head of a response (drain, Retry-After, rate limit), as fields.

        A response of another instance or to another request carries no signal of this instance.
        """
        headers = response.headers
        foreign = headers.get(self._names.request_id, req.id) != req.id
        if response.status == 421 or foreign:
            return {}
        pause_s = 0.0
        if response.status == 503 and "retry-after" in headers:
            pause_s = _parse_retry_after(up, headers["retry-after"])
        return {
            "leaving": headers.get(self._names.leaving) == "1",
            "pause_s": pause_s,
            "rate_limit": self._stated_rate_limit(up, req, response),
        }

    def _stated_rate_limit(
        self, up: Upstream, req: Request, response: HTTPResponse
    ) -> float | None:
        """Return the rate limit that a response states, see SendResult.

        Only the response to a request that the instance ran shows that it states none.
        """
        headers, names = response.headers, self._names
        if names.rate_limit in headers:
            return _parse_rate_limit(up, headers[names.rate_limit])
        ran = names.signature in headers and headers.get(names.request_id) == req.id
        return math.inf if ran else None

    def _discard_body(self, conn: TrackedConnection, response: HTTPResponse) -> None:
        """Discard a short body; close the connection if the body is long or late."""
        length = response.headers.get("content-length", "")
        if not length.isdecimal() or int(length) > MAX_REFUSAL_BYTES or conn.sock is None:
            conn.close()
            return
        with suppress(HTTPException, HTTPError, OSError, ValueError):
            conn.sock.settimeout(REFUSAL_BODY_TIMEOUT_S)
            if len(response.read1(MAX_REFUSAL_BYTES)) == int(length):
                self._release(conn, response)
                return
        conn.close()

    def _buffered_response(
        self, conn: TrackedConnection, up: Upstream, response: HTTPResponse, req: Request
    ) -> Answer:
        """Return the response with up to BUFFER_BYTES of its body already read.

        If there is no memory for as much, less of it is read.
        """
        headers = [(n, v) for n, v in response.headers.items() if n.lower() not in HOP_BY_HOP]
        bodiless = req.method == "HEAD" or response.status in BODILESS_STATUSES
        source = iter(()) if bodiless else self._chunks(conn, response, req)
        buffered: deque[bytes] = deque()
        size = 0
        for chunk in source:
            buffered.append(chunk)
            size += len(chunk)
            if not req.memory.grow(len(chunk)) or size >= BUFFER_BYTES:
                text = response.headers.get("content-length", "")
                length = int(text) if text.isdecimal() else None
                chunks = _chain(buffered, source, up, req)
                return Answer(response.status, headers, chunks, conn.close, length)
        self._release(conn, response)
        return Answer(response.status, headers, iter(buffered), _noop, size)

    def _chunks(
        self, conn: TrackedConnection, response: HTTPResponse, req: Request
    ) -> Iterator[bytes]:
        while True:
            left = req.deadline - monotonic()
            if left <= 0:
                raise TimeoutError("the answer was not whole in time")
            conn.set_read_timeout(left)
            try:
                chunk = response.read(CHUNK_BYTES, decode_content=False)
            except (HTTPException, HTTPError, OSError) as exc:
                if conn.expired and conn.in_body:
                    raise TimeoutError("the answer was not whole in time") from exc
                raise
            if not chunk:
                return
            yield chunk

    def _release(self, conn: TrackedConnection, response: HTTPResponse) -> None:
        if conn.sock is None or _closes_connection(response):
            conn.close()
            return
        conn.end_request()
        self._connections.release(
            conn, _keep_alive_timeout_s(response.headers.get("keep-alive", ""))
        )


def _has_responded(conn: TrackedConnection, sent: SendResult) -> bool | None:
    """Return whether bytes of a response arrived; None if there was no time or no need for any."""
    if sent.outcome == Outcome.CANCELLED:
        return None
    never_sent = sent.error is not None and sent.error.verdict is Verdict.NOT_RUN
    if sent.outcome == Outcome.LATE and never_sent:
        return None
    return conn.received > 0


def _has_connected(sent: SendResult, responded: bool | None) -> bool | None:
    """Return whether a send opened a connection on which the instance serves; None if unknown."""
    if responded is not False:
        return responded
    if sent.outcome in (Outcome.UNREACHABLE, Outcome.CUT):
        return False
    return None


def _broken_exchange(conn: TrackedConnection, exc: Exception) -> SendResult:
    """Close the connection and return the result of a send without a whole response."""
    conn.close()
    if isinstance(exc, TimeoutError):
        return _failure(
            Outcome.LATE, Code.DEADLINE_EXCEEDED, f"no answer: {exc}", Verdict.MAY_HAVE_RUN, 504
        )
    if conn.expired:
        return _deadline_failure(conn)
    if cancelled():
        return _failure(Outcome.CANCELLED, Code.CANCELLED, "caller gone", Verdict.MAY_HAVE_RUN, 499)
    return _failure(Outcome.CUT, Code.UPSTREAM_FAILED, _cut_text(exc), Verdict.MAY_HAVE_RUN, 502)


def _chain(
    buffered: deque[bytes], source: Iterator[bytes], up: Upstream, req: Request
) -> Iterator[bytes]:
    """Yield the buffered and remaining chunks; raise if truncated, lest the body look complete."""
    while buffered:
        yield buffered.popleft()
    try:
        yield from source
    except (HTTPException, HTTPError, OSError) as exc:
        text = _cut_text(exc)
        log.info("answer-cut", id=req.id, instance=up.id, error=text)
        raise RequestError(Code.UPSTREAM_FAILED, text, Verdict.MAY_HAVE_RUN, 502) from exc


def _cut_text(exc: Exception) -> str:
    cause = malformation(exc) or exc
    return f"answer cut: {type(cause).__name__}: {cause}"


def _closes_connection(response: HTTPResponse) -> bool:
    return "close" in response.headers.get("connection", "").lower()


def _parse_retry_after(up: Upstream, text: str) -> float:
    """Return the seconds of a Retry-After header, at most MAX_PAUSE_S; 0 if malformed."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0.0 <= seconds <= MAX_PAUSE_S:
        log.warning(
            "retry-after-odd", instance=up.id, text=text[:MAX_LOGGED_CHARS], most=MAX_PAUSE_S
        )
    return min(seconds, MAX_PAUSE_S) if seconds > 0 else 0.0


def _parse_rate_limit(up: Upstream, text: str) -> float | None:
    """Return the requests per second of a rate limit header; None if malformed."""
    try:
        per_s = float(text)
    except ValueError:
        per_s = math.nan
    if 0.0 <= per_s < math.inf:
        return per_s
    log.warning("rate-limit-odd", instance=up.id, text=text[:MAX_LOGGED_CHARS])
    return None


def _deadline_failure(conn: TrackedConnection) -> SendResult:
    """Return the result of a send aborted at its deadline, before or during its response."""
    text = f"no whole answer in time, {conn.received} bytes of one"
    outcome = Outcome.CUT if conn.received else Outcome.LATE
    return _failure(outcome, Code.DEADLINE_EXCEEDED, text, Verdict.MAY_HAVE_RUN, 504)


def _noop() -> None:
    return


def _keep_alive_timeout_s(text: str) -> float | None:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return float(value)
    return None


def _failure(outcome: str, code: Code, text: str, verdict: Verdict, status: int) -> SendResult:
    return SendResult(outcome, None, RequestError(code, text, verdict, status))
