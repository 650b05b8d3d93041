"""A caller's request and its response, which pass through a daemon with bounded buffers."""

from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Protocol

from gypsumwind.core.admission import Priority
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.memory import RESERVE_WAIT_S, Reservation, unlimited
from gypsumwind.streams import BodyError
from gypsumwind.utils import monotonic, wall

CHUNK_BYTES = 65536
MAX_REPLAY_BYTES = 65536

BODY_RETRY_S = 0.5
"""Retry-After of a VM that has no room for a body, in seconds."""

H_TIMEOUT = "gypsumwind-timeout-ms"
H_DEADLINE = "gypsumwind-deadline"
H_CLASS = "gypsumwind-class"
H_TENANT = "gypsumwind-tenant"
H_KEY = "idempotency-key"
H_ATTEMPT = "gypsumwind-attempt"
H_HOP = "gypsumwind-hop"
H_ORIGIN_REGION = "gypsumwind-origin-region"
H_VERDICT = "gypsumwind-verdict"
H_CODE = "gypsumwind-code"
H_VM = "gypsumwind-vm"
H_INSTANCE = "gypsumwind-instance"
H_DRAINING = "upstream-draining"

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    )
)
INTERNAL_HEADERS = frozenset(
    (H_TIMEOUT, H_DEADLINE, H_ATTEMPT, H_HOP, H_ORIGIN_REGION, H_CLASS, H_TENANT)
)


class Reader(Protocol):
    """A source of the bytes of a body."""

    def read(self, size: int) -> bytes:
        """Return at most `size` bytes, none at the end; BodyError if the body is not sound."""
        ...


class Body:
    """A request body: a small one is buffered for retries, a large one is streamed once.

    What it buffers counts towards `memory`.
    """

    __slots__ = (
        "length",
        "_reader",
        "_memory",
        "_buffered",
        "_pending",
        "_received",
        "_started",
        "_ended",
        "_broken",
    )

    def __init__(
        self, reader: Reader, length: int | None, memory: Reservation | None = None
    ) -> None:
        self.length = length
        self._reader = reader
        self._memory = memory or unlimited()
        self._buffered: bytes | None = None
        self._pending = bytearray()
        self._received = 0
        self._started = False
        self._ended = length == 0
        self._broken = False

    def buffer_small(self, max_bytes: int = MAX_REPLAY_BYTES) -> None:
        """Buffer a body of a known small length, so that it can be sent again."""
        if self.length is not None and self.length <= max_bytes:
            self._buffer(self.length)

    def buffer_chunked(self, max_bytes: int) -> None:
        """Buffer a body of unknown length up to `max_bytes`; if complete, it can be sent again."""
        if self.length is None:
            self._buffer(max_bytes + 1)

    def _buffer(self, max_bytes: int) -> None:
        """Buffer up to `max_bytes`; RequestError if there is no memory for them."""
        data = self._pending
        while not self._ended and len(data) < max_bytes:
            chunk = self._read(min(CHUNK_BYTES, max_bytes - len(data)))
            if not self._memory.grow(len(chunk), RESERVE_WAIT_S):
                text = "too many bodies are in memory at this VM"
                raise RequestError(Code.NO_CAPACITY, text, Verdict.NOT_RUN, 503, BODY_RETRY_S)
            data += chunk
        if self._ended:
            self._buffered, self.length = bytes(data), len(data)
            self._pending = bytearray()

    @property
    def replayable(self) -> bool:
        """Return whether the body can be sent (again)."""
        return self._buffered is not None or not self._started

    @property
    def buffered(self) -> bytes | None:
        """Return the whole body, or None if it is streamed."""
        return self._buffered

    @property
    def unread(self) -> bool:
        """Return whether bytes of the body may be left on the caller's connection."""
        return not self._ended

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; RequestError if the caller truncates it."""
        if self._buffered is not None:
            if self._buffered:
                yield self._buffered
            return
        self._started = True
        while self._pending:
            chunk = bytes(self._pending[:CHUNK_BYTES])
            del self._pending[:CHUNK_BYTES]
            yield chunk
            self._memory.shrink(len(chunk))
        while not self._ended and (chunk := self._read(CHUNK_BYTES)):
            yield chunk

    def discard(self, max_bytes: int) -> None:
        """Read and drop the rest of the body if it is sound and has at most `max_bytes`."""
        if self.length is not None and self.length - self._received > max_bytes:
            return
        with suppress(RequestError):
            while not self._ended and not self._broken and max_bytes > 0:
                max_bytes -= len(self._read(min(CHUNK_BYTES, max_bytes)))

    def _read(self, size: int) -> bytes:
        """Read at most `size` bytes; RequestError if the body is malformed, late or cut short."""
        if self.length is not None:
            size = min(size, self.length - self._received)
        try:
            chunk = self._reader.read(size)
            if not chunk and self.length is not None:
                raise BodyError(HTTPStatus.BAD_REQUEST, "the request's body was cut short")
        except BodyError as exc:
            self._broken = True
            raise self._failure(exc) from exc
        self._received += len(chunk)
        self._ended = not chunk if self.length is None else self._received == self.length
        return chunk

    def _failure(self, exc: BodyError) -> RequestError:
        """Return the error for the caller; nothing has run unless a part was passed on."""
        status = exc.status
        if not self._started:
            retry_s = BODY_RETRY_S if status == HTTPStatus.REQUEST_TIMEOUT else None
            return RequestError(Code.BAD_REQUEST, exc.message, Verdict.NOT_RUN, status, retry_s)
        if status == HTTPStatus.REQUEST_TIMEOUT:
            status = HTTPStatus.GATEWAY_TIMEOUT
        return RequestError(Code.BAD_REQUEST, exc.message, Verdict.MAY_HAVE_RUN, status)


@dataclass(slots=True, frozen=True)
class Call:
    """A request to be routed to an upstream; `deadline` is on this process's clock."""

    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: Body
    priority: Priority
    tenant: str
    deadline: float
    origin_region: str
    key: str = ""
    attempt: str = ""
    exclude: frozenset[str] = frozenset()

    def remaining_s(self) -> float:
        """Return the seconds until the deadline; RequestError once it has passed."""
        left = self.deadline - monotonic()
        if left <= 0:
            raise RequestError(
                Code.DEADLINE_EXCEEDED, "the deadline has passed", Verdict.NOT_RUN, 504
            )
        return left

    def hop_headers(self, hop: str) -> dict[str, str]:
        """Return the headers for sending this call to another VM or to an upstream."""
        headers = dict(self.headers)
        left_s = self.remaining_s()
        headers[H_TIMEOUT] = str(max(1, int(left_s * 1000)))
        headers[H_DEADLINE] = str(int((wall() + left_s) * 1000))
        headers[H_CLASS] = self.priority.name.lower()
        headers[H_TENANT] = self.tenant
        headers[H_ATTEMPT] = self.attempt
        headers[H_ORIGIN_REGION] = self.origin_region
        headers[H_HOP] = hop
        if self.key:
            headers[H_KEY] = self.key
        return headers

    def with_attempt(self, attempt: str) -> "Call":
        """Return the call under another attempt id."""
        return replace(self, attempt=attempt)


@dataclass(slots=True)
class Answer:
    """A streamed response; its consumer must call end() when it is done."""

    status: int
    headers: list[tuple[str, str]]
    chunks: Iterator[bytes]
    close: Callable[[], None]
    length: int | None = None
    verdict: Verdict = Verdict.ANSWERED
    instance: str = ""
    on_end: list[Callable[[bool], None]] = field(default_factory=list)
    _ended: bool = False

    def end(self, whole: bool) -> None:
        """Notify the listeners whether the whole body was sent, then release the connection."""
        if self._ended:
            return
        self._ended = True
        for listener in self.on_end:
            listener(whole)
        self.close()


def forwarded(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward to an upstream or to another VM."""
    dropped = HOP_BY_HOP | INTERNAL_HEADERS
    return tuple((name, value) for name, value in headers.items() if name not in dropped)
