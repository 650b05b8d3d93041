"""A caller's request and its response, which pass through a daemon with bounded buffers."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from typing import Protocol

from gypsumwind.core.admission import Priority
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.utils import monotonic, wall

CHUNK_BYTES = 65536
MAX_REPLAY_BYTES = 65536

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
        """Return at most `size` bytes, none at the end."""
        ...


class Body:
    """A request body: a small one is buffered for retries, a large one is streamed once."""

    __slots__ = ("length", "_reader", "_buffered", "_started", "_pending")

    def __init__(self, reader: Reader, length: int | None) -> None:
        self.length = length
        self._reader = reader
        self._buffered: bytes | None = None
        self._started = False
        self._pending: list[bytes] = []

    def buffer_small(self, max_bytes: int = MAX_REPLAY_BYTES) -> None:
        """Buffer a body of a known small length, so that it can be sent again."""
        if self.length is not None and self.length <= max_bytes:
            self._buffered = self._read_exactly(self.length)

    def buffer_chunked(self, max_bytes: int) -> None:
        """Buffer a body of unknown length up to `max_bytes`; if complete, it can be sent again."""
        if self.length is not None:
            return
        parts: list[bytes] = []
        size = 0
        while size <= max_bytes:
            chunk = self._read(CHUNK_BYTES)
            if not chunk:
                self._buffered = b"".join(parts)
                self.length = size
                return
            parts.append(chunk)
            size += len(chunk)
        self._pending = parts

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
        return self._buffered is None and self.length != 0

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; RequestError if the caller truncates it."""
        if self._buffered is not None:
            if self._buffered:
                yield self._buffered
            return
        self._started = True
        yield from self._pending
        self._pending = []
        left = self.length
        while left is None or left > 0:
            size = CHUNK_BYTES if left is None else min(CHUNK_BYTES, left)
            chunk = self._read(size)
            if not chunk and left:
                raise _truncated_body()
            if not chunk:
                return
            left = None if left is None else left - len(chunk)
            yield chunk

    def _read_exactly(self, length: int) -> bytes:
        data = self._read(length) if length else b""
        if len(data) < length:
            raise _truncated_body()
        return data

    def _read(self, size: int) -> bytes:
        try:
            return self._reader.read(size)
        except OSError as exc:
            raise _truncated_body() from exc


def _truncated_body() -> RequestError:
    return RequestError(
        Code.BAD_REQUEST, "the request's body was cut short", Verdict.MAY_HAVE_RUN, 400
    )


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
