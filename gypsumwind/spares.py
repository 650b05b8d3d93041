"""Spare connections to distant instances, opened before a request needs them (preconnect).

A new connection takes one more round trip, which between regions is a large part of a latency
objective. One idle connection is kept to each distant instance in use.
"""

import errno
import os
import select
import socket

from gypsumwind.connections import SOCKET_OPTIONS, ConnectionPool
from gypsumwind.log import Log
from gypsumwind.tasks import Task
from gypsumwind.utils import monotonic

log = Log("spares")

POLL_INTERVAL_S = 0.1
"""Interval at which connection attempts are started and checked, in seconds."""

CONNECT_TIMEOUT_S = 1.0
"""Time after which a connection attempt is abandoned, in seconds."""

MAX_PENDING = 16
"""Maximum number of simultaneous connection attempts."""


class SpareTask(Task):
    """Opens spare connections by non-blocking connects."""

    def __init__(self, connections: ConnectionPool, ip: str) -> None:
        super().__init__("spares", POLL_INTERVAL_S)
        self._connections = connections
        self._ip = ip
        self._pending: dict[tuple[str, int], tuple[socket.socket, float]] = {}

    def step(self) -> None:
        """Move established connections to the pool, and start the missing ones."""
        self._poll_pending()
        for address in self._connections.spares_wanted():
            if address not in self._pending and len(self._pending) < MAX_PENDING:
                self._connect(address)

    def _connect(self, address: tuple[str, int]) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            for option in SOCKET_OPTIONS:
                sock.setsockopt(*option)
            sock.bind((self._ip, 0))
            sock.setblocking(False)
            code = sock.connect_ex(address)
        except OSError as exc:
            self._discard(address, sock, str(exc))
            return
        if code in (0, errno.EINPROGRESS):
            self._pending[address] = (sock, monotonic() + CONNECT_TIMEOUT_S)
        else:
            self._discard(address, sock, os.strerror(code))

    def _poll_pending(self) -> None:
        """Move established connections to the pool; close those that failed or timed out."""
        poll = select.poll()
        for sock, _ in self._pending.values():
            poll.register(sock, select.POLLOUT)
        ready = {fd for fd, _ in poll.poll(0)} if self._pending else set()
        now = monotonic()
        for address, (sock, deadline) in list(self._pending.items()):
            if sock.fileno() not in ready and now < deadline:
                continue
            del self._pending[address]
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if sock.fileno() in ready and code == 0:
                sock.setblocking(True)
                self._connections.keep_spare(*address, sock)
            else:
                self._discard(address, sock, os.strerror(code) if code else "connect timed out")

    def _discard(self, address: tuple[str, int], sock: socket.socket, error: str) -> None:
        sock.close()
        self._connections.stop_sparing(*address)
        log.info("spare-not-opened", address=address[0], error=error)
