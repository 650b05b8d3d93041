"""Bounds on what an answer may send that is no body: heads, interim answers, chunk sizes, trailers.

The library bounds each line and loops over lines, so that a server that sends lines without end
holds its reader for as long, whatever the time limit of a single read. It also takes the end of a
connection within a head for the end of the head, so that an answer cut there looked whole.
"""

import io
from http.client import HTTPException, HTTPResponse
from typing import Any

MAX_FRAMING_BYTES = 65536
"""Bytes of lines in one answer beyond those of its body; the same as the library's for one line."""


class FramingError(HTTPException):
    """An answer's lines go on beyond the bound."""


class _CountingRaw(io.RawIOBase):
    """The bytes of a socket, counted."""

    def __init__(self, raw: io.RawIOBase) -> None:
        self._raw = raw
        self.count = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        size = self._raw.readinto(buffer)  # type: ignore[attr-defined]
        self.count += size or 0
        return size

    def close(self) -> None:
        self._raw.close()
        super().close()


class BoundedReader(io.BufferedReader):
    """A reader whose lines may be as long in sum as `MAX_FRAMING_BYTES` and what else was read."""

    def __init__(self, raw: io.RawIOBase) -> None:
        self._counter = _CountingRaw(raw)
        super().__init__(self._counter)
        self._budget = MAX_FRAMING_BYTES

    @property
    def received(self) -> int:
        """Return the bytes that have come."""
        return self._counter.count

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line; FramingError beyond the bound, or if the connection ends before it does."""
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
        data = super().read(size)
        self._budget += len(data)
        return data

    def readinto(self, buffer: Any, /) -> int:
        """Read bytes of the body."""
        size = super().readinto(buffer)
        self._budget += size
        return size

    def read1(self, size: int = -1, /) -> bytes:
        """Read bytes of the body."""
        data = super().read1(size)
        self._budget += len(data)
        return data


class BoundedResponse(HTTPResponse):
    """The library's response over a bounded reader."""

    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self.reader = BoundedReader(self.fp.detach())
        self.fp = self.reader
