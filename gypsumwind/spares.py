"""Spare connections to far instances, opened before a request needs them.

Answers to round trips between regions: a new connection takes one more, which is a good part of
what an objective allows. One idle connection is kept to each far instance that is in use.
"""

import errno
import os
import select
import socket

from gypsumwind.connections import SOCKET_OPTIONS, Connections
from gypsumwind.log import Log
from gypsumwind.tasks import Task
from gypsumwind.utils import monotonic

log = Log("spares")

PERIOD_S = 0.1
"""Period in which connections are begun and looked after, in seconds."""

GIVE_UP_S = 1.0
"""Time after which a connection that is not established is given up, in seconds."""

MAX_PENDING = 16
"""Connections that are being established at a time."""


class SpareTask(Task):
    """Opens spare connections without waiting for any of them."""

    def __init__(self, connections: Connections, ip: str) -> None:
        super().__init__("spares", PERIOD_S)
        self._connections = connections
        self._ip = ip
        self._pending: dict[tuple[str, int], tuple[socket.socket, float]] = {}

    def step(self) -> None:
        """Hand over what is established, and begin what is missing."""
        self._collect()
        for place in self._connections.spares_wanted():
            if place not in self._pending and len(self._pending) < MAX_PENDING:
                self._begin(place)

    def _begin(self, place: tuple[str, int]) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            for option in SOCKET_OPTIONS:
                sock.setsockopt(*option)
            sock.bind((self._ip, 0))
            sock.setblocking(False)
            code = sock.connect_ex(place)
        except OSError as exc:
            self._failed(place, sock, str(exc))
            return
        if code in (0, errno.EINPROGRESS):
            self._pending[place] = (sock, monotonic() + GIVE_UP_S)
        else:
            self._failed(place, sock, os.strerror(code))

    def _collect(self) -> None:
        """Keep the connections that are established, and close those that failed or take long."""
        poll = select.poll()
        for sock, _ in self._pending.values():
            poll.register(sock, select.POLLOUT)
        ready = {fd for fd, _ in poll.poll(0)} if self._pending else set()
        now = monotonic()
        for place, (sock, until) in list(self._pending.items()):
            if sock.fileno() not in ready and now < until:
                continue
            del self._pending[place]
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if sock.fileno() in ready and code == 0:
                sock.setblocking(True)
                self._connections.keep_spare(*place, sock)
            else:
                self._failed(place, sock, os.strerror(code) if code else "not in time")

    def _failed(self, place: tuple[str, int], sock: socket.socket, error: str) -> None:
        sock.close()
        self._connections.forget(*place)
        log.info("spare-not-opened", address=place[0], error=error)
