"""HTTP requests to upstreams and to other VMs: each yields exactly one answer, or an error.

A connection whose answer was not read to its end is closed and never reused, so that a late answer
cannot be returned for another request. Neither is a connection reused if the upstream's answer does
not name its attempt: a duplicate answer sent late would look like the answer to the next request.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)
from urllib3.response import BaseHTTPResponse
from urllib3.util import Timeout

from gypsumwind.calls import CHUNK_BYTES, H_ATTEMPT, HOP_BY_HOP, Answer, Body
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.hangups import DeadlineTask, TrackedConnection, TrackedPool, cancelled
from gypsumwind.log import Log
from gypsumwind.response_syntax import BODILESS_STATUSES, malformation
from gypsumwind.utils import monotonic

log = Log("senders")

POOL_CONNECTIONS = 64
CLIENT_CLOSED_STATUS = 499


@dataclass(slots=True, frozen=True)
class Target:
    """The address that a request is sent to, and its error codes, as an upstream or a peer."""

    ip: str
    port: int
    unreachable: Code
    failed: Code


@dataclass(slots=True, frozen=True)
class OutgoingRequest:
    """A request to send; only a `repeatable` one uses a pooled connection, `pace` paces the body.

    If `attempt` is set, an answer that names an attempt in its header has to name this one.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: Body
    deadline: float
    repeatable: bool
    pace: Callable[[Iterator[bytes]], Iterator[bytes]] | None = None
    attempt: str = ""

    def chunks(self) -> Iterator[bytes]:
        """Return the chunks of the body, paced if `pace` is set."""
        chunks = self.body.chunks()
        return self.pace(chunks) if self.pace else chunks


class Sender:
    """Sends requests over connection pools, one for each target."""

    def __init__(self, ip: str, connect_timeout_s: float, deadlines: DeadlineTask) -> None:
        self._ip = ip
        self._deadlines = deadlines
        self._connect_timeout_s = connect_timeout_s
        self._pools: dict[tuple[str, int], urllib3.HTTPConnectionPool] = {}

    def send(self, target: Target, out: OutgoingRequest) -> Answer:
        """Send a request and return its answer; RequestError has the verdict on whether it ran."""
        if cancelled():
            raise RequestError(
                Code.CANCELLED, "the caller has gone away", Verdict.NOT_RUN, CLIENT_CLOSED_STATUS
            )
        left = out.deadline - monotonic()
        if left <= 0:
            raise RequestError(
                Code.DEADLINE_EXCEEDED, "the deadline has passed", Verdict.NOT_RUN, 504
            )
        pool = self._pool(target) if out.repeatable else self._new_pool(target)
        headers = dict(out.headers)
        has_body = out.body.length != 0
        if has_body and out.body.length is not None:
            headers["content-length"] = str(out.body.length)
        if out.attempt:
            headers[H_ATTEMPT] = out.attempt
        try:
            with self._deadlines.enforce(out.deadline):
                response = pool.urlopen(
                    out.method,
                    out.path,
                    body=out.chunks() if has_body else None,
                    headers=headers,
                    retries=False,
                    redirect=False,
                    preload_content=False,
                    decode_content=False,
                    timeout=Timeout(connect=min(left, self._connect_timeout_s), read=left),
                )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise RequestError(
                target.unreachable, f"{target.ip}:{target.port}: {exc}", Verdict.NOT_RUN, 503
            ) from exc
        except ReadTimeoutError as exc:
            raise RequestError(
                Code.DEADLINE_EXCEEDED,
                f"no answer in time: {exc}",
                Verdict.MAY_HAVE_RUN,
                504,
            ) from exc
        except (HTTPError, OSError) as exc:
            _log_malformed(exc, target)
            if monotonic() >= out.deadline:
                text = f"no whole answer in time: {exc}"
                raise RequestError(Code.DEADLINE_EXCEEDED, text, Verdict.MAY_HAVE_RUN, 504) from exc
            raise RequestError(
                target.failed, f"{target.ip}:{target.port}: {exc}", Verdict.MAY_HAVE_RUN, 502
            ) from exc
        _check_attempt(response, target, out)
        return _to_answer(response, target, out)

    def _pool(self, target: Target) -> urllib3.HTTPConnectionPool:
        key = (target.ip, target.port)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = self._new_pool(target)
        return pool

    def _new_pool(self, target: Target) -> urllib3.HTTPConnectionPool:
        return TrackedPool(
            target.ip, target.port, maxsize=POOL_CONNECTIONS, source_address=(self._ip, 0)
        )


def _check_attempt(response: BaseHTTPResponse, target: Target, out: OutgoingRequest) -> None:
    """Reject the answer to another attempt; don't reuse the connection if it names none."""
    answered = response.headers.get(H_ATTEMPT, "")
    if not out.attempt or answered == out.attempt:
        return
    if answered:
        response.close()
        text = f"{target.ip}:{target.port}: the answer is to attempt {answered}"
        raise RequestError(target.failed, text, Verdict.MAY_HAVE_RUN, 502)
    if isinstance(response.connection, TrackedConnection):
        response.connection.reusable = False


def _to_answer(response: BaseHTTPResponse, target: Target, out: OutgoingRequest) -> Answer:
    length = _length(response, out.method)
    if length is None and "transfer-encoding" not in response.headers:
        response.close()
        raise RequestError(
            target.failed,
            "the answer has neither a length nor chunks, so its end cannot be told",
            Verdict.MAY_HAVE_RUN,
            502,
        )
    headers = [
        (name, value) for name, value in response.headers.items() if name.lower() not in HOP_BY_HOP
    ]
    chunks = _chunks(response, target, out.deadline, length)
    return Answer(response.status, headers, chunks, _closer(response), length)


def _length(response: BaseHTTPResponse, method: str) -> int | None:
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return 0
    text = response.headers.get("content-length", "")
    return int(text) if text.isdecimal() else None


def _chunks(
    response: BaseHTTPResponse, target: Target, deadline: float, length: int | None
) -> Iterator[bytes]:
    """Yield the body; raise if it is truncated, stalled or late, lest it look complete."""
    try:
        while length != 0:
            if monotonic() >= deadline:
                raise RequestError(
                    Code.DEADLINE_EXCEEDED,
                    "the answer was late",
                    Verdict.MAY_HAVE_RUN,
                    504,
                )
            chunk = response.read1(CHUNK_BYTES)
            if not chunk:
                break
            yield chunk
    except (HTTPError, OSError) as exc:
        _log_malformed(exc, target)
        raise RequestError(
            target.failed,
            f"the answer was cut: {exc}",
            Verdict.MAY_HAVE_RUN,
            502,
        ) from exc
    response.release_conn()


def _log_malformed(exc: Exception, target: Target) -> None:
    malformed = malformation(exc)
    if malformed is not None:
        address = f"{target.ip}:{target.port}"
        log.warning("answer-malformed", address=address, error=str(malformed))


def _closer(response: BaseHTTPResponse) -> Callable[[], None]:
    def close() -> None:
        """Close the connection unless the answer was fully read and it is back in the pool."""
        if response.connection is not None:
            response.close()

    return close
