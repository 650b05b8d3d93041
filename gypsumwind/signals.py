"""The signals that ask a daemon to stop.

A handler runs in the main thread between any two of its steps, also within the library's own locks:
it takes none here. The interpreter writes a byte to a socket for each signal, whichever thread
the kernel gave it to, so that a main thread that waits is woken.
"""

import signal
import socket
from typing import Any

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Waits in the main thread for a signal to stop; a context manager.

    From its construction on a signal is not lost, however early it comes.
    """

    def __init__(self) -> None:
        self._asked = False
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
        self._asked = True

    def wait(self) -> None:
        """Return once a signal has asked for a stop."""
        while not self._asked:
            self._reader.recv(1)
