"""Pool of keep-alive connections to upstream instances, one request at a time on each."""

import socket
import threading

from urllib3.exceptions import HTTPError
from urllib3.util import wait_for_read

from gypsumwind.hangups import TrackedConnection
from gypsumwind.utils import monotonic

DEFAULT_KEEP_ALIVE_S = 4.0
"""Idle timeout assumed for an instance that sends none, in seconds."""

REUSE_SHARE = 0.6
"""Share of the idle timeout up to which a connection is reused for a repeatable request."""

FRESH_SHARE = 0.3
"""The same for other requests, which may have run if the instance closes the connection
meanwhile."""

MAX_IDLE = 16
"""Idle connections kept per instance; those beyond it are closed."""

USER_TIMEOUT_MS = 2500
"""Time for which sent data may stay unacknowledged before a connection ends, in milliseconds."""

KEEPALIVE_INTERVAL_S = 1
"""Idle time before the first TCP keep-alive probe, and between probes, in seconds."""

KEEPALIVE_PROBES = 2
"""Unacknowledged probes after which a connection ends."""

SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]

KEEPALIVE_OPTIONS = [
    *SOCKET_OPTIONS,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]
"""For connections that wait long for a response: a dead peer is detected within three seconds."""


SPARE_MIN_CONNECT_S = 0.03
"""Connect time from which a spare connection is kept: a round trip between regions takes a large
part of a latency objective, one within a region does not."""

SPARE_MAX_UNUSED_S = 2.0
"""Time since the last request to an instance up to which a spare connection is kept, in seconds."""


class _Idle:
    __slots__ = ("conn", "idle_since", "keep_alive_s")

    def __init__(self, conn: TrackedConnection, idle_since: float, keep_alive_s: float) -> None:
        self.conn = conn
        self.idle_since = idle_since
        self.keep_alive_s = keep_alive_s


class _Distant:
    """An instance with a long connect time: its last use and its idle timeout for connections."""

    __slots__ = ("used_at", "keep_alive_s")

    def __init__(self, used_at: float) -> None:
        self.used_at = used_at
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S


class ConnectionPool:
    """Idle connections by address; the last used is reused first."""

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self._idle: dict[tuple[str, int], list[_Idle]] = {}
        self._distant: dict[tuple[str, int], _Distant] = {}
        self._lock = threading.Lock()

    def acquire(self, ip: str, port: int, fresh_only: bool) -> tuple[TrackedConnection, bool]:
        """Return a connection and whether it was pooled; a new one is not connected yet.

        With `fresh_only`, a pooled connection is returned only if it has been idle so briefly that
        its instance is unlikely to be closing it.
        """
        share = FRESH_SHARE if fresh_only else REUSE_SHARE
        distant = self._distant.get((ip, port))
        if distant is not None:
            distant.used_at = monotonic()
        while (idle := self._pop(ip, port)) is not None:
            fresh = monotonic() - idle.idle_since < idle.keep_alive_s * share
            if fresh and idle.conn.sock is not None and not _readable(idle.conn.sock):
                return idle.conn, True
            idle.conn.close()
        return self._new(ip, port), False

    def has_idle(self, ip: str, port: int) -> bool:
        """Return whether an open connection to an instance is free."""
        return (ip, port) in self._idle

    def release(self, conn: TrackedConnection, keep_alive_s: float | None) -> None:
        """Return a connection to the pool after its last response was read to the end."""
        idle = _Idle(
            conn, monotonic(), DEFAULT_KEEP_ALIVE_S if keep_alive_s is None else keep_alive_s
        )
        distant = self._distant.get((conn.host, conn.port or 0))
        if distant is not None:
            distant.keep_alive_s = idle.keep_alive_s
        with self._lock:
            kept = self._idle.setdefault((conn.host, conn.port or 0), [])
            kept.append(idle)
            surplus = kept[:-MAX_IDLE]
            del kept[:-MAX_IDLE]
        for old in surplus:
            old.conn.close()

    def record_connect(self, ip: str, port: int, seconds: float) -> None:
        """Record the duration of a connect to an instance."""
        if seconds >= SPARE_MIN_CONNECT_S:
            self._distant[ip, port] = _Distant(monotonic())
        else:
            self.stop_sparing(ip, port)

    def stop_sparing(self, ip: str, port: int) -> None:
        """Open no spare connection to an instance until a request has connected to it."""
        self._distant.pop((ip, port), None)

    def spares_wanted(self) -> list[tuple[str, int]]:
        """Return the addresses of distant instances in use that have no idle connection."""
        now = monotonic()
        addresses = list(self._distant.items())
        for address, distant in addresses:
            if now >= distant.used_at + SPARE_MAX_UNUSED_S:
                self._distant.pop(address, None)
        with self._lock:
            return [
                address
                for address, _ in addresses
                if address in self._distant and address not in self._idle
            ]

    def keep_spare(self, ip: str, port: int, sock: socket.socket) -> None:
        """Add a connected socket to the pool as a spare connection."""
        conn = self._new(ip, port)
        conn.sock = sock
        distant = self._distant.get((ip, port))
        self.release(conn, distant.keep_alive_s if distant else None)

    def refuses(self, ip: str, port: int, timeout_s: float) -> bool:
        """Return whether an instance refuses a connection; one that it accepts is pooled.

        False if there is no reply within `timeout_s` seconds.
        """
        conn = self._new(ip, port)
        conn.timeout = timeout_s
        try:
            conn.connect()
        except (HTTPError, OSError) as exc:
            conn.close()
            return isinstance(exc.__cause__, ConnectionRefusedError)
        self.release(conn, None)
        return False

    def sweep(self) -> None:
        """Close the connections that have been idle too long to be reused."""
        now = monotonic()
        stale: list[_Idle] = []
        with self._lock:
            for address, kept in list(self._idle.items()):
                stale += [i for i in kept if now - i.idle_since >= i.keep_alive_s * REUSE_SHARE]
                kept[:] = [i for i in kept if now - i.idle_since < i.keep_alive_s * REUSE_SHARE]
                if not kept:
                    del self._idle[address]
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
    """Return whether an idle connection was closed by its peer or has unexpected bytes."""
    try:
        return wait_for_read(sock, timeout=0.0)
    except (OSError, ValueError):
        return True
