"""Limits the time for reading the head of a request, also against callers that send it slowly."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from gypsumwind.core.rules import DEFAULT_HEADER_S
from gypsumwind.log import Log
from gypsumwind.utils import monotonic

log = Log("heads")


class HeadRead:
    """The read of one request's head; `timed_out` once its deadline has passed."""

    __slots__ = ("sock", "deadline", "timed_out")

    def __init__(self, sock: socket.socket, deadline: float) -> None:
        self.sock = sock
        self.deadline = deadline
        self.timed_out = False


class HeadTimeouts:
    """The reads of heads in progress; sweep() ends those past their deadline."""

    def __init__(self) -> None:
        self.limit_s = DEFAULT_HEADER_S
        self._reads: set[HeadRead] = set()
        self._lock = threading.Lock()

    @contextmanager
    def reading(self, sock: socket.socket) -> Iterator[HeadRead]:
        """Limit the time of this block, which reads a head from a socket."""
        read = HeadRead(sock, monotonic() + self.limit_s)
        with self._lock:
            self._reads.add(read)
        try:
            yield read
        finally:
            with self._lock:
                self._reads.discard(read)

    def sweep(self) -> None:
        """Shut down late sockets for reading, so that their readers get the end of the stream."""
        now = monotonic()
        with self._lock:
            late = [read for read in self._reads if now >= read.deadline]
            for read in late:
                read.timed_out = True
                with suppress(OSError):
                    read.sock.shutdown(socket.SHUT_RD)
                self._reads.discard(read)
        for _ in late:
            log.info("head-too-slow", limit_s=self.limit_s)
