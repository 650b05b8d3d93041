"""Buffered reads from a caller's socket, which hold what is asked for and a block at most."""

import socket
from contextlib import AbstractContextManager
from http import HTTPStatus

from gypsumwind.transfers import Transfer, Transfers
from gypsumwind.utils import monotonic

BLOCK_BYTES = 16384
"""Most bytes received at once into the buffer."""

MAX_WAIT_S = 30.0
"""Longest wait for the next bytes of a body without a deadline, in seconds."""

HEAD_ENDS = (b"\n\r\n", b"\n\n")
"""What ends a head; the second one only ends a malformed head."""


class BodyError(Exception):
    """A body cannot be read to its end; `status` is that of the response."""

    def __init__(self, status: HTTPStatus, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


class CallerStream:
    """Bytes of a caller in their order; `bytes_read` counts those received.

    Heads are received by `receive` when bytes have arrived, bodies by reads that wait for them
    until `deadline` and leave their timeout on the socket.
    """

    def __init__(self, sock: socket.socket, transfers: Transfers) -> None:
        self.buffer = bytearray()
        self.bytes_read = 0
        self.deadline: float | None = None
        self._sock = sock
        self._transfers = transfers
        self._transfer = Transfer(sock, socket.SHUT_RD)
        self._searched = 0

    def has_data(self) -> bool:
        """Return whether bytes are buffered."""
        return bool(self.buffer)

    def has_head(self, limit: int) -> bool:
        """Return whether a whole head is buffered, or more than `limit` bytes of one."""
        buf = self.buffer
        start = max(0, self._searched - 2)
        self._searched = len(buf)
        return len(buf) > limit or any(buf.find(end, start) >= 0 for end in HEAD_ENDS)

    def receive(self) -> bool:
        """Buffer bytes that have arrived; return False at the end of the stream."""
        data = self._sock.recv(BLOCK_BYTES)
        self.bytes_read += len(data)
        self.buffer += data
        return bool(data)

    def skip(self, size: int) -> None:
        """Drop buffered bytes."""
        self._searched = 0
        if size < len(self.buffer):
            del self.buffer[:size]
        else:
            self.buffer = bytearray()

    def begin_body(self) -> None:
        """Count the stalls of another body."""
        self.deadline = None
        self._transfer = Transfer(self._sock, socket.SHUT_RD)

    def pass_on_body(self) -> None:
        """Record that an instance gets the body as it arrives, and waits for it."""
        self._transfer.holds_slot = True

    def read(self, size: int) -> bytes:
        """Return at most `size` bytes as soon as there are any, none at the end of the stream."""
        if not self.buffer:
            return self._wait(size)
        data = bytes(self.buffer[:size])
        self.skip(len(data))
        return data

    def readline(self, size: int) -> bytes:
        """Return bytes up to a line's end, or `size` of them, or fewer at the end of the stream."""
        start = 0
        while (end := self.buffer.find(b"\n", start, size) + 1) == 0:
            start = len(self.buffer)
            if start >= size or not (data := self._wait(BLOCK_BYTES)):
                end = min(start, size)
                break
            self.buffer += data
        line = bytes(self.buffer[:end])
        self.skip(end)
        return line

    def waiting(self) -> AbstractContextManager:
        """Return the context manager of a wait for the caller's body."""
        return self._transfers.waiting(self._transfer)

    def check_time(self) -> None:
        """Raise BodyError if the body is past its deadline, or its transfer was ended."""
        if self._transfer.ended:
            text = "the request's body stalled while this VM was short of room"
            raise BodyError(HTTPStatus.REQUEST_TIMEOUT, text)
        if self.deadline is not None and monotonic() >= self.deadline:
            text = "the request's body did not arrive in time"
            raise BodyError(HTTPStatus.REQUEST_TIMEOUT, text)

    def _wait(self, size: int) -> bytes:
        """Receive at most `size` bytes; BodyError if they do not come in time."""
        left = MAX_WAIT_S if self.deadline is None else self.deadline - monotonic()
        try:
            with self.waiting():
                self._sock.settimeout(max(0.001, left))
                data = self._sock.recv(size)
        except TimeoutError as exc:
            text = "the request's body did not arrive in time"
            raise BodyError(HTTPStatus.REQUEST_TIMEOUT, text) from exc
        except OSError:
            data = b""
        if not data:
            self.check_time()
        self._transfer.progress(len(data))
        self.bytes_read += len(data)
        return data

    def close(self) -> None:
        """Drop what is buffered."""
        self.buffer = bytearray()
