"""Counts the bytes of the control plane: probes, records, claims and hand-overs."""

import socket
import threading

from thriftpy2.transport import TServerSocket, TSocket

RECEIVE_BUFFER_BYTES = 262144
"""Bytes of a connection that the system keeps until they are read; calls cross regions."""


class ByteCounter:
    """A thread-safe count of bytes sent and received since the start of the process."""

    def __init__(self) -> None:
        self._total = 0
        self._lock = threading.Lock()

    @property
    def total(self) -> int:
        """Return the number of bytes so far."""
        return self._total

    def add(self, size: int) -> None:
        """Count bytes."""
        with self._lock:
            self._total += size


control_bytes = ByteCounter()


class CountedSocket(TSocket):
    """A Thrift socket that counts the bytes that it sends and receives."""

    def read(self, sz: int) -> bytes:
        """Read bytes and count them as control traffic."""
        data = super().read(sz)
        control_bytes.add(len(data))
        return data

    def write(self, buff: bytes) -> None:
        """Write bytes and count them as control traffic."""
        control_bytes.add(len(buff))
        super().write(buff)


class CountedServerSocket(TServerSocket):
    """A Thrift server socket whose connections count their bytes."""

    def listen(self) -> None:
        """Listen; the connections accepted inherit the size of the buffer."""
        super().listen()
        assert self.sock is not None
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def accept(self) -> CountedSocket:
        """Accept a connection as a CountedSocket."""
        plain = super().accept()
        counted = CountedSocket(sock=plain.sock)
        counted.socket_timeout = plain.socket_timeout
        return counted
