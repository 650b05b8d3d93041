"""Reads the bodies of requests: by length or in chunks, with a bound on each line.

A body holds nothing beyond its stream's buffer. The grammar of chunks and trailers is that of
`response_syntax`. Trailers are read and dropped, so that what follows them is the next request.
"""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus

from gypsumwind.response_syntax import (
    MalformedResponseError,
    ends_fields,
    parse_chunk_size,
    parse_field,
)
from gypsumwind.streams import BodyError, CallerStream
from gypsumwind.utils import monotonic

MAX_TRAILER_BYTES = 65536
"""Most bytes of the line of a chunk's size with its extensions, and of all trailers of a body; as
much as a head may have where no configuration limits it."""

LINE_END = b"\r\n"

FREE_CHUNKS = 64
"""Chunks that a read may decode without the decoding limit: a block of 16 KB has as many of 250
bytes."""

TURN_CHECK_S = 0.1
"""Period of the check, while a body waits to be decoded, for the end of its time, in seconds."""

BATCH_CHUNKS = 512
"""Chunks decoded in one turn under the decoding limit, which take about half a millisecond."""


class DecodingLimit:
    """Lets one thread at a time decode small chunks, and for at most half of the time.

    The interpreter runs one thread at a time, so decoders that never pause starve all others.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()

    @contextmanager
    def turn(self, stream: CallerStream) -> Iterator[None]:
        """Wait for a turn, and pause after it; BodyError once the body's time is over."""
        with stream.waiting():
            while not self._lock.acquire(timeout=TURN_CHECK_S):
                stream.check_time()
        try:
            began_at = monotonic()
            stream.check_time()
            yield
            time.sleep(monotonic() - began_at)
        finally:
            self._lock.release()


decoding_limit = DecodingLimit()


class SizedBody:
    """A body of a stated length in bytes."""

    def __init__(self, stream: CallerStream, length: int) -> None:
        self._stream = stream
        self._left = length

    @property
    def ended(self) -> bool:
        """Return whether the body has been read to its end."""
        return not self._left

    def read(self, size: int) -> bytes:
        """Return at most `size` bytes, none at the end; BodyError if there are fewer in all."""
        data = self._stream.read(min(size, self._left)) if self._left else b""
        if self._left and not data:
            raise _cut_short()
        self._left -= len(data)
        return data


class ChunkedBody:
    """A body in chunks of at most `max_bytes` in all."""

    def __init__(self, stream: CallerStream, max_bytes: int) -> None:
        self._stream = stream
        self._max_bytes = max_bytes
        self._received = 0
        self._chunk_left = 0
        self._within_chunk = False
        self._ended = False
        self._last_line = (b"", 0)

    @property
    def ended(self) -> bool:
        """Return whether the body has been read to its end, with its trailers."""
        return self._ended

    def read(self, size: int) -> bytes:
        """Return at most `size` bytes, none at the end; BodyError if the body is not sound."""
        try:
            if not self._within_chunk and not self._ended:
                if data := self._decode_buffered(size):
                    return data
                self._begin_chunk()
            return b"" if self._ended else self._read_chunk(size)
        except MalformedResponseError as exc:
            raise BodyError(HTTPStatus.BAD_REQUEST, f"{exc} in the request's body") from exc

    def _read_chunk(self, size: int) -> bytes:
        """Return bytes of the current chunk as they arrive."""
        if not self._chunk_left:
            self._end_chunk()
            return self.read(size)
        data = self._stream.read(min(size, self._chunk_left))
        if not data:
            raise _cut_short()
        self._chunk_left -= len(data)
        return data

    def _decode_buffered(self, size: int) -> bytes:
        """Return the data of the chunks that are whole in the buffer, at most `size` bytes."""
        data = bytearray()
        count = self._decode(data, size, FREE_CHUNKS)
        while count >= FREE_CHUNKS and len(data) < size:
            with decoding_limit.turn(self._stream):
                count = self._decode(data, size, BATCH_CHUNKS)
        return bytes(data)

    def _decode(self, data: bytearray, size: int, count: int) -> int:
        """Move the data of up to `count` whole chunks off the buffer, as long as `data` has at most
        `size` bytes; return the number of chunks."""
        buf, position, decoded = self._stream.buffer, 0, 0
        while decoded < count and (start := buf.find(b"\n", position) + 1):
            length = self._parse_size(bytes(buf[position:start]))
            end = start + length
            if not 0 < length <= size - len(data) or len(buf) < end + len(LINE_END):
                break
            if buf[end : end + len(LINE_END)] != LINE_END:
                raise MalformedResponseError("chunk without its line end")
            self._count(length)
            data += buf[start:end]
            position = end + len(LINE_END)
            decoded += 1
        self._stream.skip(position)
        return decoded

    def _begin_chunk(self) -> None:
        """Read the size of the next chunk; after the last one, read the trailers."""
        line = self._stream.readline(MAX_TRAILER_BYTES)
        length = self._parse_size(self._whole(line, MAX_TRAILER_BYTES))
        if length:
            self._count(length)
            self._chunk_left, self._within_chunk = length, True
        else:
            self._read_trailers()
            self._ended = True

    def _end_chunk(self) -> None:
        end = self._stream.readline(len(LINE_END))
        if len(end) < len(LINE_END) and not end.endswith(b"\n"):
            raise _cut_short()
        if end != LINE_END:
            raise MalformedResponseError("chunk without its line end")
        self._within_chunk = False

    def _read_trailers(self) -> None:
        left = MAX_TRAILER_BYTES
        while not ends_fields(line := self._whole(self._stream.readline(left), left)):
            parse_field(line)
            left -= len(line)

    def _whole(self, line: bytes, limit: int) -> bytes:
        """Return a line; BodyError if it is cut short or too long."""
        if line.endswith(b"\n"):
            return line
        if len(line) < limit:
            raise _cut_short()
        raise BodyError(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the body's chunk sizes or trailers"
        )

    def _parse_size(self, line: bytes) -> int:
        if line != self._last_line[0]:
            self._last_line = (line, parse_chunk_size(line))
        return self._last_line[1]

    def _count(self, length: int) -> None:
        self._received += length
        if self._received > self._max_bytes:
            raise BodyError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")


def _cut_short() -> BodyError:
    return BodyError(HTTPStatus.BAD_REQUEST, "the request's body was cut short")
