"""Bounds the time that callers take for the head of a request, whoever sends it byte by byte."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from gypsumwind.core.rules import DEFAULT_HEADER_S
from gypsumwind.log import Log
from gypsumwind.utils import monotonic

log = Log("heads")


class HeadRead:
    """The head of one request while it is read; `timed_out` once its time has run out."""

    __slots__ = ("sock", "deadline", "timed_out")

    def __init__(self, sock: socket.socket, deadline: float) -> None:
        self.sock = sock
        self.deadline = deadline
        self.timed_out = False


class HeadReads:
    """The heads that are being read; sweep() ends those that are late."""

    def __init__(self) -> None:
        self.limit_s = DEFAULT_HEADER_S
        self._reads: set[HeadRead] = set()
        self._lock = threading.Lock()

    @contextmanager
    def reading(self, sock: socket.socket) -> Iterator[HeadRead]:
        """Bound the time of this block, in which a head is read from a socket."""
        read = HeadRead(sock, monotonic() + self.limit_s)
        with self._lock:
            self._reads.add(read)
        try:
            yield read
        finally:
            with self._lock:
                self._reads.discard(read)

    def sweep(self) -> None:
        """End the reads that are late: the reader sees the end of what the caller sent."""
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
