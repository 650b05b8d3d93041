"""Count of the bytes that control takes: probes, records, claims and hand-overs."""

import threading

from thriftpy2.transport import TServerSocket, TSocket


class Traffic:
    """Bytes sent and received for control since the start of the process."""

    def __init__(self) -> None:
        self._total = 0
        self._lock = threading.Lock()

    @property
    def total(self) -> int:
        """Return the bytes so far."""
        return self._total

    def add(self, size: int) -> None:
        """Count bytes."""
        with self._lock:
            self._total += size


control = Traffic()


class CountedSocket(TSocket):
    """A Thrift socket that counts what goes through it."""

    def read(self, sz: int) -> bytes:
        """Read and count."""
        data = super().read(sz)
        control.add(len(data))
        return data

    def write(self, buff: bytes) -> None:
        """Write and count."""
        control.add(len(buff))
        super().write(buff)


class CountedServerSocket(TServerSocket):
    """A Thrift server socket whose connections count what goes through them."""

    def accept(self) -> CountedSocket:
        """Accept a connection."""
        plain = super().accept()
        counted = CountedSocket(sock=plain.sock)
        counted.socket_timeout = plain.socket_timeout
        return counted
