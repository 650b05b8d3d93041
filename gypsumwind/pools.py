"""Threads of an HTTP server, started as they are needed.

Answers to the number of VMs on one machine and to a VM's memory: most VMs serve a few requests at
a time, and a fixed pool large enough for the worst burst is idle nearly always.
"""

import threading
from typing import Any

from cheroot.workers.threadpool import ThreadPool, WorkerThread

MIN_THREADS = 4
"""Threads that a server begins with; starting one more takes under a millisecond."""

STOP_TIMEOUT_S = 5
"""Time that threads have to end at a stop, as in the library."""


class GrowingPool(ThreadPool):
    """A pool that starts a thread when all of its threads are busy, up to a limit.

    A connection waits only while as many are served as the limit allows. Threads that were started
    stay, for a burst that came once may come again.
    """

    _threads: list[WorkerThread]

    def __init__(self, server: Any, limit: int) -> None:
        super().__init__(server, min=min(MIN_THREADS, limit), max=limit)
        self._lock = threading.Lock()
        self._current = threading.local()
        self._base_get = self.get
        self.unfinished = 0
        self.get = self._get_next

    @property
    def size(self) -> int:
        """Return the threads there are."""
        return len(self._threads)

    def put(self, obj: Any) -> None:
        """Hand a connection to a thread, to a new one if there are as many others as threads."""
        with self._lock:
            self.unfinished += 1
            if self.size < min(self.unfinished, self.max):
                worker = WorkerThread(self.server)
                worker.start()
                self._threads.append(worker)
        super().put(obj)

    def stop(self, timeout: int = STOP_TIMEOUT_S) -> None:
        """End the threads; none is started from now on, as it would not be told to end."""
        with self._lock:
            self.max = 0
        super().stop(timeout)

    def _get_next(self) -> Any:
        """A thread has finished its connection, if it had one, and waits for the next."""
        if getattr(self._current, "one", False):
            with self._lock:
                self.unfinished -= 1
        self._current.one = False
        conn = self._base_get()
        self._current.one = True
        return conn
