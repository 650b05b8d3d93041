"""Thread pool of an HTTP server that starts threads on demand.

Saves memory where many VMs share a machine: most serve a few requests at a time, and a fixed pool
large enough for the worst burst would be idle nearly always.
"""

import threading
from collections.abc import Callable
from typing import Any

from cheroot.workers.threadpool import ThreadPool, WorkerThread

MIN_THREADS = 4
"""Threads that a server starts with; starting another takes under a millisecond."""

STOP_TIMEOUT_S = 5
"""Longest wait for threads to end at shutdown, in seconds; as in the library."""


class GrowingPool(ThreadPool):
    """A pool that starts a thread when all of its threads are busy, up to a limit.

    A connection waits only while all threads up to the limit are busy, after a call of `relieve`.
    Threads are kept once started, since a burst may recur.
    """

    _threads: list[WorkerThread]

    def __init__(
        self, server: Any, limit: int, relieve: Callable[[], object] = lambda: None
    ) -> None:
        super().__init__(server, min=min(MIN_THREADS, limit), max=limit)
        self._relieve = relieve
        self._lock = threading.Lock()
        self._current = threading.local()
        self._base_get = self.get
        self.unfinished = 0
        self.get = self._get_next

    @property
    def size(self) -> int:
        """Return the number of threads."""
        return len(self._threads)

    def put(self, obj: Any) -> None:
        """Queue a connection; start a thread for it if all threads are busy."""
        with self._lock:
            self.unfinished += 1
            if self.size < min(self.unfinished, self.max):
                worker = WorkerThread(self.server)
                worker.start()
                self._threads.append(worker)
        super().put(obj)
        if self.waiting > 0:
            self._relieve()

    @property
    def waiting(self) -> int:
        """Return the number of connections that wait for a thread."""
        return max(0, self.unfinished - self.max)

    def stop(self, timeout: int = STOP_TIMEOUT_S) -> None:
        """End the threads; start none from now on: a new one would get no stop signal."""
        with self._lock:
            self.max = 0
        super().stop(timeout)

    def _get_next(self) -> Any:
        """Count the thread's previous connection as finished, if any, and wait for the next."""
        if getattr(self._current, "one", False):
            with self._lock:
                self.unfinished -= 1
        self._current.one = False
        conn = self._base_get()
        self._current.one = True
        return conn
