"""Reads responses strictly: heads, interim responses, chunk sizes, trailers.

Their syntax is that of `response_syntax`. The library bounds each line but not their number, so a
server that sends unbounded lines blocks its reader whatever the timeout of a single read. The
library also treats the end of the connection within a head as the end of the head, so a response
truncated there would look complete. So would a body without a length whose connection was aborted:
what ends it is known to the connection alone.
"""

import io
from collections.abc import Callable
from http import HTTPStatus
from http.client import HTTPException, HTTPMessage, HTTPResponse
from typing import Any

from gypsumwind.response_syntax import (
    BODILESS_STATUSES,
    BodyFraming,
    MalformedResponseError,
    StatusLine,
    ends_fields,
    parse_chunk_size,
    parse_field,
    parse_framing,
    parse_status_line,
)

MAX_FRAMING_BYTES = 65536
"""Maximum bytes of the lines in one response outside its body; the library allows as much for one
line."""


class FramingError(HTTPException):
    """The lines of a response exceed the bound or are truncated."""


class _CountingRaw(io.RawIOBase):
    """A raw stream that counts the bytes read from a socket.

    Its end is a ConnectionAbortedError if `abort_reason` returns a text.
    """

    def __init__(self, raw: io.RawIOBase, abort_reason: Callable[[], str]) -> None:
        self._raw = raw
        self._abort_reason = abort_reason
        self.count = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        size = self._raw.readinto(buffer)  # type: ignore[attr-defined]
        if size == 0 and (reason := self._abort_reason()):
            raise ConnectionAbortedError(reason)
        self.count += size or 0
        return size

    def close(self) -> None:
        self._raw.close()
        super().close()


class BoundedReader(io.BufferedReader):
    """A reader whose lines may sum up to `MAX_FRAMING_BYTES` plus the bytes read otherwise.

    `abort_reason`: returns why the connection was aborted, empty if it was not; its end is a
    ConnectionAbortedError if it was. `in_body`: whether the last read was one of the body.
    """

    def __init__(self, raw: io.RawIOBase, abort_reason: Callable[[], str]) -> None:
        self._counter = _CountingRaw(raw, abort_reason)
        super().__init__(self._counter)
        self._budget = MAX_FRAMING_BYTES
        self.in_body = False

    @property
    def received(self) -> int:
        """Return the number of bytes received."""
        return self._counter.count

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line; FramingError beyond the bound or if the connection ends within it."""
        self.in_body = False
        budget = self._budget + 1
        limit = budget if size is None or size < 0 else min(size, budget)
        line = super().readline(limit)
        self._budget -= len(line)
        if self._budget < 0:
            raise FramingError(f"more than {MAX_FRAMING_BYTES} bytes of lines beyond the body")
        if not line.endswith(b"\n") and len(line) < limit:
            raise FramingError("the connection ended within a head, a chunk's size or trailers")
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Read bytes of the body."""
        self.in_body = True
        data = super().read(size)
        self._budget += len(data)
        return data

    def readinto(self, buffer: Any, /) -> int:
        """Read bytes of the body."""
        self.in_body = True
        size = super().readinto(buffer)
        self._budget += size
        return size

    def read1(self, size: int = -1, /) -> bytes:
        """Read bytes of the body."""
        self.in_body = True
        data = super().read1(size)
        self._budget += len(data)
        return data


class StrictResponse(HTTPResponse):
    """The library's response, read through a BoundedReader; a malformed one is an error.

    It replaces the library's reading of heads, chunk sizes and trailers, of which the last two are
    private methods there.
    """

    def __init__(
        self, sock: Any, *args: Any, abort_reason: Callable[[], str], **kwargs: Any
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        self.reader = BoundedReader(self.fp.detach(), abort_reason)
        self.fp = self.reader

    def begin(self) -> None:
        """Read the head of the final response; interim ones are skipped.

        MalformedResponseError if any of them is malformed, FramingError if they are too long.
        """
        if self.headers is not None:
            return
        while True:
            line = parse_status_line(self.reader.readline())
            fields = self._read_fields()
            framing = _framing_of(line, fields)
            if line.status == HTTPStatus.SWITCHING_PROTOCOLS:
                raise MalformedResponseError("switch to a protocol that was not requested")
            if line.status >= HTTPStatus.OK:
                break
        self.code = self.status = line.status
        self.reason = line.reason
        self.version = 11 if line.minor else 10
        self.headers = self.msg = fields
        bodiless = self._method == "HEAD" or line.status in BODILESS_STATUSES
        self.chunked = framing.chunked and not bodiless
        self.chunk_left = None
        self.length = 0 if bodiless else framing.length
        self.will_close = self._check_close() or (not self.chunked and self.length is None)

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of a chunk, the next one's at its end; None after the last."""
        if self.chunk_left == 0:
            end = self.reader.read(2)
            if len(end) < 2:
                raise FramingError("the connection ended behind a chunk")
            if end != b"\r\n":
                raise MalformedResponseError("chunk without its line end")
            self.chunk_left = None
        return super()._get_chunk_left()  # type: ignore[misc]

    def _read_next_chunk_size(self) -> int:
        return parse_chunk_size(self.reader.readline())

    def _read_and_discard_trailer(self) -> None:
        self._read_fields()

    def _read_fields(self) -> HTTPMessage:
        fields = HTTPMessage()
        while not ends_fields(line := self.reader.readline()):
            fields.set_raw(*parse_field(line))
        return fields


def _framing_of(line: StatusLine, fields: HTTPMessage) -> BodyFraming:
    """Return the framing of a body by its head; a length that is repeated is reduced to one."""
    lengths = fields.get_all("content-length", [])
    framing = parse_framing(line.minor, fields.get_all("transfer-encoding", []), lengths)
    if framing.length is not None and lengths != [str(framing.length)]:
        del fields["content-length"]
        fields.set_raw("Content-Length", str(framing.length))
    return framing
