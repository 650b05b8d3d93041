"""Kept connections from a VM to upstream instances, one request at a time on each."""

import socket
import threading

from urllib3.util import wait_for_read

from gypsumwind.hangups import TrackedConnection
from gypsumwind.utils import monotonic

DEFAULT_KEEP_S = 4.0
"""Time that an instance is taken to keep an idle connection if it does not say."""

REUSE_SHARE = 0.6
"""Part of that time up to which an idle connection is used again for what may be repeated."""

CERTAIN_SHARE = 0.3
"""The same for what must not be repeated: a close that crosses the request would be doubtful."""

MAX_IDLE = 16
"""Idle connections kept to one instance; above it they are closed."""

SILENCE_MS = 2500
"""Time without an acknowledgement after which a connection ends, in milliseconds."""

KEEPALIVE_S = 1
"""Idle time before a keep-alive probe, and the time between two of them, in seconds."""

KEEPALIVE_PROBES = 2
"""Probes without an answer after which a connection ends."""

SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS),
]

WAITING_OPTIONS = [
    *SOCKET_OPTIONS,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]
"""For connections that wait long for an answer: a silent one ends within three seconds."""


SPARE_FROM_S = 0.03
"""Time of a connect from which a spare connection is worth its while: a round trip between regions
takes a good part of an objective, one within a region does not."""

SPARE_USED_S = 2.0
"""Time since the last request to an instance for which a spare connection is kept, in seconds."""


class _Idle:
    __slots__ = ("conn", "since", "keep_s")

    def __init__(self, conn: TrackedConnection, since: float, keep_s: float) -> None:
        self.conn = conn
        self.since = since
        self.keep_s = keep_s


class _Far:
    """An instance that takes long to connect to: its last use, and how long it keeps idle ones."""

    __slots__ = ("used_at", "keep_s")

    def __init__(self, used_at: float) -> None:
        self.used_at = used_at
        self.keep_s = DEFAULT_KEEP_S


class Connections:
    """Idle connections by address, the last used first."""

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self._idle: dict[tuple[str, int], list[_Idle]] = {}
        self._far: dict[tuple[str, int], _Far] = {}
        self._lock = threading.Lock()

    def lease(self, ip: str, port: int, certain: bool) -> tuple[TrackedConnection, bool]:
        """Return a connection and whether it is a kept one; a new one is not connected yet.

        With `certain`, only a connection that its instance can hardly be closing just now.
        """
        share = CERTAIN_SHARE if certain else REUSE_SHARE
        far = self._far.get((ip, port))
        if far is not None:
            far.used_at = monotonic()
        while (idle := self._pop(ip, port)) is not None:
            fresh = monotonic() - idle.since < idle.keep_s * share
            if fresh and idle.conn.sock is not None and not _readable(idle.conn.sock):
                return idle.conn, True
            idle.conn.close()
        return self._new(ip, port), False

    def give_back(self, conn: TrackedConnection, keep_s: float | None) -> None:
        """Keep a connection whose last answer was read to its end."""
        idle = _Idle(conn, monotonic(), DEFAULT_KEEP_S if keep_s is None else keep_s)
        far = self._far.get((conn.host, conn.port or 0))
        if far is not None:
            far.keep_s = idle.keep_s
        with self._lock:
            kept = self._idle.setdefault((conn.host, conn.port or 0), [])
            kept.append(idle)
            surplus = kept[:-MAX_IDLE]
            del kept[:-MAX_IDLE]
        for old in surplus:
            old.conn.close()

    def connected(self, ip: str, port: int, seconds: float) -> None:
        """A connect to an instance took so long."""
        if seconds >= SPARE_FROM_S:
            self._far[ip, port] = _Far(monotonic())
        else:
            self.forget(ip, port)

    def forget(self, ip: str, port: int) -> None:
        """No spare connection is wanted to an instance until a request has connected to it."""
        self._far.pop((ip, port), None)

    def spares_wanted(self) -> list[tuple[str, int]]:
        """Return the addresses of far instances in use to which no idle connection is kept."""
        now = monotonic()
        places = list(self._far.items())
        for place, far in places:
            if now >= far.used_at + SPARE_USED_S:
                self._far.pop(place, None)
        with self._lock:
            return [place for place, _ in places if place in self._far and place not in self._idle]

    def keep_spare(self, ip: str, port: int, sock: socket.socket) -> None:
        """Keep a connection that no request has used yet."""
        conn = self._new(ip, port)
        conn.sock = sock
        far = self._far.get((ip, port))
        self.give_back(conn, far.keep_s if far else None)

    def sweep(self) -> None:
        """Close the connections that are too old to be used again."""
        now = monotonic()
        stale: list[_Idle] = []
        with self._lock:
            for place, kept in list(self._idle.items()):
                stale += [i for i in kept if now - i.since >= i.keep_s * REUSE_SHARE]
                kept[:] = [i for i in kept if now - i.since < i.keep_s * REUSE_SHARE]
                if not kept:
                    del self._idle[place]
        for idle in stale:
            idle.conn.close()

    def _new(self, ip: str, port: int) -> TrackedConnection:
        """Return a connection that is not connected yet."""
        return TrackedConnection(
            ip, port, source_address=(self._ip, 0), socket_options=SOCKET_OPTIONS
        )

    def _pop(self, ip: str, port: int) -> _Idle | None:
        with self._lock:
            kept = self._idle.get((ip, port))
            if not kept:
                return None
            last = kept.pop()
            if not kept:
                del self._idle[ip, port]
            return last


def _readable(sock: socket.socket) -> bool:
    """Tell whether an idle connection has been closed or has bytes that nobody asked for."""
    try:
        return wait_for_read(sock, timeout=0.0)
    except (OSError, ValueError):
        return True
