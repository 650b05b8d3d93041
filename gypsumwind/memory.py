"""Limits the memory that the requests of all connections hold at once."""

import sys
import threading
from collections.abc import Callable

DEFAULT_MEMORY_MB = 300
MEGABYTE = 1024 * 1024

RECEIVE_BUFFER_BYTES = 65536
"""Bytes of a connection that the system keeps until they are read."""

REQUESTS_SHARE = 6
"""The part of a process's memory for requests, as a divisor. The rest is for the program, for its
threads, and for copies and fragmentation, which take as much again."""

RESERVE_WAIT_S = 0.25
"""Longest wait for memory that requests which are being ended give back, in seconds."""


class MemoryBudget:
    """The bytes that all requests of a process may hold together.

    When there are too few, the functions in `on_shortage` are called; they may end requests.
    """

    def __init__(self, memory_mb: int = DEFAULT_MEMORY_MB) -> None:
        self.limit = memory_mb * MEGABYTE // REQUESTS_SHARE
        self.on_shortage: list[Callable[[], object]] = []
        self._held = 0
        self._released = threading.Condition()

    @property
    def held(self) -> int:
        """Return the number of bytes held."""
        return self._held

    def reserve(self, size: int, wait_s: float = 0.0) -> bool:
        """Reserve bytes, after at most `wait_s` seconds; return False if there are too few."""
        with self._released:
            if self._has_room(size):
                self._held += size
                return True
        for relieve in self.on_shortage:
            relieve()
        with self._released:
            if not self._released.wait_for(lambda: self._has_room(size), wait_s):
                return False
            self._held += size
            return True

    def _has_room(self, size: int) -> bool:
        return self._held + size <= self.limit

    def release(self, size: int) -> None:
        """Give reserved bytes back."""
        with self._released:
            self._held -= size
            self._released.notify_all()


class Reservation:
    """The bytes of a budget that one request holds; a context manager that gives them back."""

    __slots__ = ("_budget", "_size")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._size = 0

    def grow(self, size: int, wait_s: float = 0.0) -> bool:
        """Reserve further bytes; return False if the budget has too few."""
        if not self._budget.reserve(size, wait_s):
            return False
        self._size += size
        return True

    def shrink(self, size: int) -> None:
        """Give some of the bytes back."""
        self._size -= size
        self._budget.release(size)

    def close(self) -> None:
        """Give all bytes back."""
        size, self._size = self._size, 0
        if size:
            self._budget.release(size)

    def __enter__(self) -> "Reservation":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


def unlimited() -> Reservation:
    """Return a reservation in a budget of its own that is never used up."""
    return Reservation(MemoryBudget(sys.maxsize))
