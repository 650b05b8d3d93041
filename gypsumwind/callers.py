"""Connections of callers and the requests on them, with bounds on what each and all of them hold.

A connection takes a thread only once the head of a request has arrived whole, so that callers who
send it slowly, or not at all, take none.
"""

import errno
import selectors
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from cheroot.connections import ConnectionManager
from cheroot.errors import MaxSizeExceeded
from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection, HTTPRequest
from urllib3.util import wait_for_write

from gypsumwind.log import Log
from gypsumwind.memory import RESERVE_WAIT_S, Reservation
from gypsumwind.request_bodies import ChunkedBody, SizedBody
from gypsumwind.streams import CallerStream
from gypsumwind.utils import monotonic

log = Log("callers")

FIELD_BYTES = 512
"""Memory of a parsed field beyond its bytes: two dictionary entries with four strings."""

CLOSED_SHARE = 16
"""Connections that are closed at once when there are too many, as a divisor of their limit."""

ACCEPT_PAUSE_S = 0.05
"""Pause after a connection could not be accepted for want of descriptors, in seconds."""

SLOW_HEAD_S = 1.0
"""Time after which an unfinished head makes its connection the first to be closed, in seconds."""

MIN_WRITE_WAIT_S = 1.0
"""Shortest limit of a wait for a caller to take bytes, however soon idle connections are closed."""

LAST_CHUNK = b"0\r\n\r\n"

REQUEST_TIMEOUT = "408 Request Timeout"
NO_MEMORY = "503 Service Unavailable\r\nRetry-After: 1"
"""Status of a refusal for want of memory, with a field behind it."""


class _NoMemoryError(Exception):
    """The heads of all requests hold more than their memory."""


class _HeadReader:
    """Reads the lines of a head; MaxSizeExceeded beyond `limit` bytes."""

    def __init__(self, stream: CallerStream, limit: int, memory: Reservation) -> None:
        self._stream = stream
        self._memory = memory
        self._left = limit
        self._limit = limit

    @property
    def received(self) -> int:
        """Return the bytes read so far."""
        return self._limit - self._left

    def readline(self, size: int | None = None) -> bytes:
        """Return a line of the head."""
        line = self._stream.readline(self._left + 1)
        self._left -= len(line)
        if self._left < 0:
            raise MaxSizeExceeded
        if not self._memory.grow(2 * len(line) + FIELD_BYTES, RESERVE_WAIT_S):
            raise _NoMemoryError
        return line


class CallerRequest(HTTPRequest):
    """One request of a caller; `memory` is what it holds until it is answered."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.memory = Reservation(self.server.memory)
        self.head_bytes = 0

    def parse_request(self) -> None:
        """Read and check the head; send an error response unless it is sound and within limits."""
        limit = self.server.max_request_header_size
        self.rfile = reader = _HeadReader(self.conn.rfile, limit, self.memory)
        refusal = ("414 Request-URI Too Long", "The request line is too long.")
        try:
            if self.read_request_line():
                refusal = ("413 Request Entity Too Large", "The head is too long.")
                self.ready = self.read_request_headers()
        except MaxSizeExceeded:
            self.simple_response(*refusal)
        except _NoMemoryError:
            self.simple_response(NO_MEMORY)
        self.head_bytes = reader.received
        if not self.ready:
            self.memory.close()

    def read_request_headers(self) -> bool:
        """Read the fields; a length that is no number is refused (RFC 9112, section 6.3)."""
        if not super().read_request_headers():  # type: ignore[misc]
            return False
        if not self.inheaders.get(b"Content-Length", b"0").isdigit():
            self.simple_response("400 Bad Request", "Malformed Content-Length Header.")
            return False
        return True

    def respond(self) -> None:
        """Pass the request and a reader of its body to the handler."""
        self.rfile = self.body_reader()
        try:
            self.server.gateway(self).respond()
            self.ensure_headers_sent()
            self.end_chunks()
        finally:
            self.memory.close()

    def end_chunks(self) -> None:
        """Send the last chunk of a response in chunks, unless it was sent."""
        if self.chunked_write:
            self.conn.wfile.write(LAST_CHUNK)
            self.chunked_write = False

    @property
    def body_length(self) -> int | None:
        """Return the length of the body that the head states, None for one in chunks."""
        return None if self.chunked_read else int(self.inheaders.get(b"Content-Length", b"0"))

    def body_reader(self) -> SizedBody | ChunkedBody:
        """Return a reader of the request's body, to whose end the next bytes belong to it."""
        stream = self.conn.rfile
        stream.begin_body()
        length = self.body_length
        body = (
            ChunkedBody(stream, self.server.max_request_body_size)
            if length is None
            else SizedBody(stream, length)
        )
        self.conn.body = body
        return body


class CallerWriter:
    """Writes to a caller's socket, whatever timeout a reader has left there.

    `wait_s` returns the longest wait, in seconds, for a caller to take more bytes.
    """

    def __init__(self, sock: socket.socket, wait_s: Callable[[], float]) -> None:
        self.bytes_written = 0
        self._sock = sock
        self._wait_s = wait_s
        self._lock = threading.Lock()

    def write(self, data: bytes) -> int:
        """Write all bytes; OSError, such as TimeoutError, if the caller does not take them."""
        left = memoryview(data)
        with self._lock:
            while left:
                sent = self._send(left)
                self.bytes_written += sent
                left = left[sent:]
        return len(data)

    def _send(self, data: memoryview) -> int:
        """Send what the system takes, at least a byte; return the number of bytes."""
        deadline = monotonic() + self._wait_s()
        while True:
            try:
                return self._sock.send(data)
            except (BlockingIOError, TimeoutError) as exc:
                if exc.errno == errno.ETIMEDOUT:
                    raise
            if not wait_for_write(self._sock, max(0.0, deadline - monotonic())):
                raise TimeoutError("the caller does not take its response")

    def flush(self) -> None:
        """Do nothing: nothing is buffered."""


class CallerConnection(HTTPConnection):
    """A caller's connection, of which at most RECEIVE_BUFFER_BYTES wait unread in the system."""

    RequestHandlerClass: Any = CallerRequest

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = MakeFile) -> None:
        def wait_s() -> float:
            return max(MIN_WRITE_WAIT_S, server.limits().idle_s)

        def open_file(sock: socket.socket, mode: str, size: int) -> Any:
            reads = "r" in mode
            return CallerStream(sock, server.transfers) if reads else CallerWriter(sock, wait_s)

        sock.settimeout(wait_s())
        super().__init__(server, sock, open_file)
        self.head_began_at: float | None = None
        self.body: SizedBody | ChunkedBody | None = None
        self._memory = Reservation(server.memory)
        self._held = 0
        server.open_connections.add(self)

    def communicate(self) -> bool:
        """Answer a request; return whether to keep the connection.

        What is left of a body is never read as the next request.
        """
        keep = super().communicate()
        if keep and self.body is not None and not self.body.ended:
            log.info("closed-within-body")
            return False
        return bool(keep)

    def has_head(self) -> bool:
        """Return whether the head of a request, or one beyond the limit, has arrived."""
        return self.rfile.has_head(self.server.max_request_header_size)

    def hold_head(self) -> bool:
        """Count the part of a head that has arrived; return False if there is no memory for it."""
        size = len(self.rfile.buffer)
        if size and self.head_began_at is None:
            self.head_began_at = monotonic()
        held, self._held = self._held, max(size, self._held)
        return self._memory.grow(self._held - held)

    def begin_request(self) -> None:
        """End the wait for a head, which has arrived."""
        self.head_began_at = None
        self._held = 0
        self._memory.close()

    def refuse(self, status: str) -> None:
        """Send an error response if that takes no wait, and close the connection."""
        text = f"{self.server.protocol} {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        with suppress(OSError):
            self.socket.settimeout(0)
            self.socket.send(text.encode())
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self.server.open_connections.discard(self)
        self._memory.close()
        super().close()


class OpenConnections:
    """The open connections of a server; thread-safe."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._open: set[Any] = set()
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._open)

    def add(self, conn: Any) -> None:
        """Add a connection that was accepted."""
        with self._lock:
            self._open.add(conn)

    def discard(self, conn: Any) -> None:
        """Remove a connection that is closed."""
        with self._lock:
            self._open.discard(conn)


class WaitingConnections(ConnectionManager):
    """Connections that wait for the head of a request; those with a whole one go to a thread.

    All but `put` runs in the server's own thread, which alone closes connections that wait.
    """

    server: Any
    _selector: Any
    _stop_requested: bool

    def __init__(self, server: Any) -> None:
        super().__init__(server)
        self.short_of_memory = False
        self.short_of_descriptors = False

    def put(self, conn: CallerConnection) -> None:
        """Wait for the next request on a connection, unless it has arrived."""
        conn.last_used = time.time()
        if conn.rfile.has_data() and conn.has_head():
            conn.begin_request()
            self.server.requests.put(conn)
        elif not conn.hold_head():
            self.short_of_memory = True
            conn.refuse(NO_MEMORY)
        else:
            try:
                self._selector.register(conn.socket.fileno(), selectors.EVENT_READ, data=conn)
            except (OSError, ValueError) as exc:
                log.info("connection-was-closed", error=str(exc))
                conn.close()

    def stop_accepting(self, listener: socket.socket) -> None:
        """Accept no more connections."""
        self._selector.unregister(listener.fileno())

    def _run(self, expiration_interval: float) -> None:
        """Accept connections and receive heads until the server stops."""
        check_at = monotonic() + expiration_interval
        while not self._stop_requested:
            try:
                ready = list(self._selector.select(timeout=expiration_interval))
            except OSError:
                self._remove_invalid_sockets()  # type: ignore[attr-defined]
                continue
            for fd, conn in ready:
                if conn is self.server:
                    self._accept()
                else:
                    self._selector.unregister(fd)
                    self._receive(conn)
            # Only here, as descriptors of closed connections may be those of new ones.
            self._bound()
            if monotonic() >= check_at:
                check_at = monotonic() + expiration_interval
                self._expire(time.time() - self.server.timeout)

    def _accept(self) -> None:
        try:
            conn = self._from_server_socket(self.server.socket)  # type: ignore[attr-defined]
        except OSError as exc:
            log.warning("connection-not-accepted", error=str(exc))
            self.short_of_descriptors = True
            time.sleep(ACCEPT_PAUSE_S)
            return
        if conn is not None:
            self.put(conn)

    def _receive(self, conn: CallerConnection) -> None:
        """Receive what has arrived on a connection."""
        try:
            received = conn.rfile.receive()
        except OSError:
            received = False
        if received:
            self.put(conn)
        else:
            conn.close()

    def _bound(self) -> None:
        """Close connections that wait, if descriptors or memory are short."""
        if self.short_of_memory:
            self.short_of_memory = False
            self._expire_heads(SLOW_HEAD_S, NO_MEMORY)
        limit = self.server.open_connections.limit
        over = len(self.server.open_connections) - limit
        if self.short_of_descriptors:
            self.short_of_descriptors = False
            over = max(over, 1)
        if over > 0:
            self._close_oldest(over, limit // CLOSED_SHARE)

    def _close_oldest(self, over: int, further: int) -> None:
        """Close connections: with slow heads, idle for longest, with stalled transfers, new ones.

        Of the first two, `further` ones are closed, so that this is rare.
        """
        slow_before, idle_before = monotonic() - SLOW_HEAD_S, time.time() - SLOW_HEAD_S
        slow: list[CallerConnection] = []
        idle: list[CallerConnection] = []
        new: list[CallerConnection] = []
        for conn in sorted(self._waiting(), key=lambda conn: conn.last_used):
            if conn.head_began_at is not None and conn.head_began_at < slow_before:
                slow.append(conn)
            else:
                (idle if conn.last_used < idle_before else new).append(conn)
        closed = (slow + idle)[: over + further]
        ended = self.server.transfers.end_stalled(over - len(closed), "too many connections")
        closed += new[: max(0, over - len(closed) - ended)]
        for conn in closed:
            self._remove(conn)
        log.info("connections-closed", count=len(closed), slow=len(slow), idle=len(idle))

    def _expire(self, threshold: float) -> None:
        """Close connections that were idle for too long, and those with heads that are late."""
        self._expire_heads(self.server.limits().header_s, REQUEST_TIMEOUT)
        for conn in self._waiting():
            if conn.head_began_at is None and conn.last_used < threshold:
                self._remove(conn)
        self.server.relieve()

    def _expire_heads(self, limit_s: float, status: str) -> None:
        """Refuse requests whose heads have been arriving for longer than `limit_s` seconds."""
        began_before = monotonic() - limit_s
        for conn in self._waiting():
            if conn.head_began_at is not None and conn.head_began_at < began_before:
                log.info("head-too-slow", limit_s=limit_s)
                self._remove(conn, status)

    def _waiting(self) -> list[CallerConnection]:
        return [conn for _, conn in self._selector.connections if conn is not self.server]

    def _remove(self, conn: CallerConnection, status: str = "") -> None:
        """Close a connection that waits, with an error response if a status is given."""
        self._selector.unregister(conn.socket.fileno())
        if status:
            conn.refuse(status)
        else:
            conn.close()
