"""Cancellation of requests when their caller disconnects, and enforcement of deadlines.

A socket's timeout restarts with each read, so a server that sends a byte now and then would block
its reader for ever. Connections in use are therefore shut down by another thread at the deadline.
"""

import contextvars
import select
import socket
import struct
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any, Protocol

from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.poolmanager import PoolManager
from urllib3.response import HTTPResponse

from gypsumwind.framing import StrictResponse
from gypsumwind.tasks import Task
from gypsumwind.utils import monotonic

POLL_PERIOD_S = 0.1
"""Period in which callers' sockets are polled: a disconnect cancels well within half a second."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""

HANGUP_EVENTS = select.POLLIN | select.POLLRDHUP

_scope: contextvars.ContextVar["CancelScope | None"] = contextvars.ContextVar("scope", default=None)
_limit: contextvars.ContextVar["tuple[DeadlineTask, float] | None"] = contextvars.ContextVar(
    "limit", default=None
)


def current_scope() -> "CancelScope | None":
    """Return the scope of the request that this thread serves."""
    return _scope.get()


def cancelled() -> bool:
    """Return whether the caller of the request that this thread serves has disconnected."""
    scope = _scope.get()
    return scope is not None and scope.cancelled


class Abortable(Protocol):
    """Something that a request waits on and that can be aborted."""

    def abort(self, scope: "CancelScope") -> None:
        """Abort the wait if it is still for this scope."""
        ...


class CancelScope:
    """The waits of one request; cancel() aborts all that still serve it."""

    __slots__ = ("cancelled", "_abortables", "_lock")

    def __init__(self) -> None:
        self.cancelled = False
        self._abortables: list[Abortable] = []
        self._lock = threading.Lock()

    def add(self, conn: Abortable) -> None:
        """Register a wait of the request; abort it at once if the scope is cancelled."""
        with self._lock:
            self._abortables.append(conn)
            late = self.cancelled
        if late:
            conn.abort(self)

    def cancel(self) -> None:
        """Abort all waits; the threads that wait continue with an error."""
        with self._lock:
            self.cancelled = True
            conns = list(self._abortables)
        for conn in conns:
            conn.abort(self)


@contextmanager
def in_scope(scope: CancelScope) -> Iterator[None]:
    """Run a block whose requests another thread may cancel through a scope."""
    token = _scope.set(scope)
    try:
        yield
    finally:
        _scope.reset(token)


class TrackedConnection(HTTPConnection):
    """A connection with the scope and the deadline of its current request; a pool may reuse it.

    Scope and deadline hold until the request ends, by `end_request` or `close`. The library closes
    the connection before that, and leaves its socket to the response, if the response ends with the
    connection.

    `expired`: it was shut down at its deadline; `aborted`: for that or another reason. `reset`: the
    server reset it while the request was written; a response that does not end with the connection
    may still be whole.
    `received`: the bytes of the last response. A pool keeps it only while it is `reusable`.
    `requests`: the number of requests sent since it was opened; `refused_id`: the id of the last of
    them that the server refused.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.response_class = self._make_response  # type: ignore[assignment]
        self.expired = False
        self.aborted = False
        self.reset = False
        self.reusable = True
        self.requests = 0
        self.refused_id = ""
        self.deadline: float | None = None
        self._response: StrictResponse | None = None
        self._awaiting_head = False
        self._body_sock: socket.socket | None = None
        self._body_file: socket.SocketIO | None = None
        self._scope: CancelScope | None = None
        self._scope_lock = threading.Lock()

    def _make_response(self, *args: Any, **kwargs: Any) -> StrictResponse:
        self._response = StrictResponse(*args, abort_reason=self._abort_reason, **kwargs)
        return self._response

    def _abort_reason(self) -> str:
        """Return why the connection's end is not that of a response, empty if it may be."""
        if self.aborted:
            return "shut down before the end of its response"
        return "reset while its request was written" if self.reset else ""

    @property
    def in_body(self) -> bool:
        """Return whether the body of the last response was being read, and not a line of it."""
        return self._response is not None and self._response.reader.in_body

    @property
    def received(self) -> int:
        """Return the number of bytes received in response to the last request."""
        return self._response.reader.received if self._response else 0

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send a request under the scope and the deadline of the running thread."""
        scope, limit = _scope.get(), _limit.get()
        self._response = None
        self.reusable = True
        self.requests += 1
        with self._scope_lock:
            self.expired = self.aborted = self.reset = False
            self._scope = scope
            self.deadline = limit[1] if limit else None
        if scope is not None:
            scope.add(self)
        if limit is not None:
            limit[0].track(self)
        try:
            super().request(*args, **kwargs)
        except (BrokenPipeError, ConnectionResetError):
            # Callers may go on to read the response, whose reader no longer gets this error.
            self.reset = True
            raise

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """Return the response once its head has arrived."""
        self._awaiting_head = True
        try:
            return super().getresponse()
        finally:
            self._awaiting_head = False

    def set_read_timeout(self, seconds: float) -> None:
        """Set the timeout of each further read of the response."""
        sock = self._socket_in_use()
        if sock is not None:
            sock.settimeout(seconds)

    def end_request(self) -> None:
        """Detach the connection from its scope and deadline after a request."""
        with self._scope_lock:
            self._scope = None
            self.deadline = None
            held, self._body_file, self._body_sock = self._body_file, None, None
        if held is not None:
            held.close()

    def close(self) -> None:
        """Close the connection; it may be opened again."""
        if self._awaiting_head and self.sock is not None:
            self._hold_body_socket(self.sock)
            super().close()
            return
        self.end_request()
        self.requests = 0
        self.refused_id = ""
        super().close()
        if self._response is not None:
            self._response.close()

    def _hold_body_socket(self, sock: socket.socket) -> None:
        """Hold a socket that the library closes, lest its descriptor be reused before an abort."""
        with self._scope_lock:
            self._body_sock = sock
            self._body_file = sock.makefile("rb", buffering=0)

    def _socket_in_use(self) -> socket.socket | None:
        return self._body_sock if self.sock is None else self.sock

    def abort_if_expired(self, now: float) -> None:
        """Shut the connection down if its deadline has passed."""
        with self._scope_lock:
            if self.deadline is not None and now >= self.deadline:
                self._shut_down(expired=True)

    def abort(self, scope: CancelScope) -> None:
        """Shut the connection down if it is still in use for this scope."""
        with self._scope_lock:
            if self._scope is scope:
                self._shut_down()

    def _shut_down(self, expired: bool = False) -> None:
        """Shut the socket in use down; its reader then finds the flags set.

        Its close resets the connection: a server that waits for room to send would not notice
        another one for a minute.
        """
        sock = self._socket_in_use()
        if sock is None:
            return
        self.aborted = True
        self.expired = self.expired or expired
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.shutdown(socket.SHUT_RDWR)


class TrackedPool(HTTPConnectionPool):
    """A pool whose connections are shut down when their request is cancelled."""

    ConnectionCls = TrackedConnection

    def _put_conn(self, conn: Any) -> None:
        """Return to the pool a connection that was closed or whose response was read to the end."""
        if conn is not None:
            conn.end_request()
            if not conn.reusable:
                conn.close()
        super()._put_conn(conn)


class TrackedPoolManager(PoolManager):
    """Pools of tracked connections by address, which neither retry nor follow redirects."""

    def __init__(self, **options: Any) -> None:
        super().__init__(retries=False, **options)
        self.pool_classes_by_scheme = {**self.pool_classes_by_scheme, "http": TrackedPool}


class DeadlineTask(Task):
    """Shuts down connections in use whose deadline has passed."""

    def __init__(self, name: str = "cutter") -> None:
        super().__init__(name, POLL_PERIOD_S)
        self._tracked: set[TrackedConnection] = set()

    def track(self, conn: TrackedConnection) -> None:
        """Enforce the deadline of a connection."""
        self._tracked.add(conn)

    @contextmanager
    def enforce(self, deadline: float) -> Iterator[None]:
        """Shut down, at the deadline, the connections on which this block sends requests."""
        token = _limit.set((self, deadline))
        try:
            yield
        finally:
            _limit.reset(token)

    def step(self) -> None:
        """Shut down connections past their deadline; stop tracking those no longer in use."""
        now = monotonic()
        for conn in self._tracked.copy():
            conn.abort_if_expired(now)
            if conn.deadline is None or conn.expired:
                self._tracked.discard(conn)


class HangupTask(DeadlineTask):
    """Polls the sockets of waiting callers and cancels the requests of those that disconnect."""

    def __init__(self) -> None:
        super().__init__("hangup")
        self._waiting: dict[CancelScope, tuple[socket.socket, Callable[[], None] | None]] = {}

    @contextmanager
    def cancel_on_hangup(
        self,
        sock: socket.socket,
        on_readable: Callable[[], None] | None = None,
        scope: CancelScope | None = None,
    ) -> Iterator[CancelScope]:
        """Cancel the work of this block when the caller closes its socket.

        `on_readable` is called while the socket holds unread bytes. A `scope` passed in may also be
        cancelled by another thread.
        """
        scope = scope or CancelScope()
        token = _scope.set(scope)
        self._waiting[scope] = (sock, on_readable)
        try:
            yield scope
        finally:
            self._waiting.pop(scope, None)
            _scope.reset(token)

    def step(self) -> None:
        """Poll all sockets at once; cancel the requests whose callers have disconnected."""
        super().step()
        poll = select.poll()
        by_fd: dict[int, list[tuple[CancelScope, Callable[[], None] | None]]] = {}
        socks: dict[int, socket.socket] = {}
        for scope, (sock, on_readable) in self._waiting.copy().items():
            fd = sock.fileno()
            if fd >= 0:
                by_fd.setdefault(fd, []).append((scope, on_readable))
                socks[fd] = sock
                poll.register(fd, HANGUP_EVENTS)
        for fd, events in poll.poll(0) if by_fd else ():
            self._handle_events(socks[fd], events, by_fd[fd])

    def _handle_events(
        self,
        sock: socket.socket,
        events: int,
        waiting: list[tuple[CancelScope, Callable[[], None] | None]],
    ) -> None:
        closed = events & ~select.POLLIN or _is_closed(sock)
        for scope, on_readable in waiting:
            if closed:
                self._waiting.pop(scope, None)
                scope.cancel()
            elif on_readable is not None:
                on_readable()


def _is_closed(sock: socket.socket) -> bool:
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        return True
