"""Cancellation: a caller that goes away ends the work that was begun for it elsewhere."""

import contextvars
import select
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from typing import Any

from urllib3.connection import HTTPConnection

from gypsumwind.tasks import Task

SWEEP_S = 0.1

_scope: contextvars.ContextVar["CancelScope | None"] = contextvars.ContextVar("scope", default=None)


def cancelled() -> bool:
    """Tell whether the caller of the request that this thread serves has gone away."""
    scope = _scope.get()
    return scope is not None and scope.cancelled


class CancelScope:
    """The outgoing connections of one request; cancel() cuts those that still serve it."""

    __slots__ = ("cancelled", "_conns", "_lock")

    def __init__(self) -> None:
        self.cancelled = False
        self._conns: list[TrackedConnection] = []
        self._lock = threading.Lock()

    def add(self, conn: "TrackedConnection") -> None:
        """Take in a connection that a request is about to be sent on."""
        with self._lock:
            self._conns.append(conn)

    def cancel(self) -> None:
        """Cut the connections, so that those who wait on them go on with an error."""
        with self._lock:
            self.cancelled = True
            conns = list(self._conns)
        for conn in conns:
            conn.abort(self)


class TrackedConnection(HTTPConnection):
    """A connection that knows for which scope it is in use; a pool may pass it on."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._scope: CancelScope | None = None
        self._scope_lock = threading.Lock()

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send a request for the scope of the running thread."""
        scope = _scope.get()
        with self._scope_lock:
            self._scope = scope
        if scope is not None:
            scope.add(self)
        super().request(*args, **kwargs)

    def abort(self, scope: CancelScope) -> None:
        """Cut the connection if it is still in use for this scope."""
        with self._scope_lock:
            if self._scope is scope and self.sock is not None:
                with suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)


class HangupTask(Task):
    """Looks at the sockets of callers that wait, and cancels for those that have closed."""

    def __init__(self) -> None:
        super().__init__("hangup", SWEEP_S)
        self._waiting: dict[socket.socket, CancelScope] = {}

    @contextmanager
    def watching(self, sock: socket.socket) -> Iterator[CancelScope]:
        """Cancel the work of this block when the caller's socket is closed by its end."""
        scope = CancelScope()
        token = _scope.set(scope)
        self._waiting[sock] = scope
        try:
            yield scope
        finally:
            self._waiting.pop(sock, None)
            _scope.reset(token)

    def step(self) -> None:
        """Cancel for every socket that is readable and at its end."""
        for sock, scope in list(self._waiting.items()):
            if _closed(sock):
                self._waiting.pop(sock, None)
                scope.cancel()


def _closed(sock: socket.socket) -> bool:
    try:
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        return bool(poll.poll(0)) and not sock.recv(1, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True
