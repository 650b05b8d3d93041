"""Signals that stop a daemon.

A handler runs in the main thread between any two bytecode instructions, even while the standard
library holds a lock; so it must not acquire a lock. For each signal the interpreter writes a byte
to a socket, whichever thread the kernel delivered the signal to, and wakes the waiting main thread.
"""

import signal
import socket
from typing import Any

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Waits in the main thread for a stop signal; a context manager.

    A signal that arrives before the wait, but after the construction, is not lost.
    """

    def __init__(self) -> None:
        self._signalled = False
        self._reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._old_fd = signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        self._old = {number: signal.signal(number, self._handle) for number in STOP_SIGNALS}

    def __enter__(self) -> "StopSignals":
        return self

    def __exit__(self, *_: object) -> None:
        for number, handler in self._old.items():
            signal.signal(number, handler)
        signal.set_wakeup_fd(self._old_fd)
        self._reader.close()
        self._writer.close()

    def _handle(self, *_: Any) -> None:
        self._signalled = True

    def wait(self) -> None:
        """Return once a stop signal has arrived."""
        while not self._signalled:
            self._reader.recv(1)
