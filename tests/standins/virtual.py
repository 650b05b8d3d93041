"""Threads that run one at a time on a clock that jumps to the next time at which one is due."""

import heapq
import itertools
import threading


class _OverError(BaseException):
    """Ends a thread that sleeps when the play ends."""


class VirtualTime:
    """A clock for threads that only wait by `sleep`; a context manager that ends them."""

    def __init__(self, now=1000.0):
        self.now = now
        self.frozen_until = {}
        """Times until which threads stand still, by the thread's name."""
        self._due = []
        self._numbers = itertools.count()
        self._asleep = threading.Semaphore(0)
        self._over = False

    def start(self, name, body, delay_s):
        """Run a function in a thread that starts after a delay."""

        def run():
            try:
                self.sleep(delay_s)
                body()
            except _OverError:
                pass
            finally:
                self._asleep.release()

        threading.Thread(target=run, name=name, daemon=True).start()
        self._asleep.acquire()

    def sleep(self, seconds):
        """Let other threads run for some seconds, and for longer while this one stands still."""
        woken = threading.Event()
        heapq.heappush(self._due, (self.now + max(0.0, seconds), next(self._numbers), woken))
        self._asleep.release()
        woken.wait()
        if self._over:
            raise _OverError
        frozen_s = self.frozen_until.get(threading.current_thread().name, 0.0) - self.now
        if frozen_s > 0:
            self.sleep(frozen_s)

    def run_for(self, seconds):
        """Run the threads for some seconds."""
        until = self.now + seconds
        while self._due and self._due[0][0] <= until:
            self._wake()
        self.now = until

    def _wake(self):
        self.now, _, woken = heapq.heappop(self._due)
        woken.set()
        self._asleep.acquire()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._over = True
        while self._due:
            self._wake()
