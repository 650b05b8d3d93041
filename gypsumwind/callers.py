"""Connections of callers and the requests on them, with bounds on what each and all of them hold.

A connection takes a thread only once the head of a request has arrived whole, so that callers who
send it slowly, or not at all, take none.
"""

import selectors
import socket
import time
from contextlib import suppress
from typing import Any

from cheroot.connections import ConnectionManager
from cheroot.errors import MaxSizeExceeded
from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection, HTTPRequest

from gypsumwind.log import Log
from gypsumwind.request_bodies import ChunkedBody, SizedBody
from gypsumwind.streams import CallerStream
from gypsumwind.utils import monotonic

log = Log("callers")

ACCEPT_PAUSE_S = 0.05
"""Pause after a connection could not be accepted for want of descriptors, in seconds."""

REQUEST_TIMEOUT = "408 Request Timeout"


class _HeadReader:
    """Reads the lines of a head; MaxSizeExceeded beyond `limit` bytes."""

    def __init__(self, stream: CallerStream, limit: int) -> None:
        self._stream = stream
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
        return line


class CallerRequest(HTTPRequest):
    """One request of a caller; its head has `head_bytes`."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.head_bytes = 0

    def parse_request(self) -> None:
        """Read and check the head; send an error response unless it is sound and within limits."""
        limit = self.server.max_request_header_size
        self.rfile = reader = _HeadReader(self.conn.rfile, limit)
        refusal = ("414 Request-URI Too Long", "The request line is too long.")
        try:
            if self.read_request_line():
                refusal = ("413 Request Entity Too Large", "The head is too long.")
                self.ready = self.read_request_headers()
        except MaxSizeExceeded:
            self.simple_response(*refusal)
        self.head_bytes = reader.received

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
        self.server.gateway(self).respond()
        self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def body_reader(self) -> SizedBody | ChunkedBody:
        """Return a reader of the request's body."""
        stream = self.conn.rfile
        stream.begin_body()
        if self.chunked_read:
            return ChunkedBody(stream, self.server.max_request_body_size)
        return SizedBody(stream, int(self.inheaders.get(b"Content-Length", 0)))


class CallerConnection(HTTPConnection):
    """A caller's connection."""

    RequestHandlerClass: Any = CallerRequest

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = MakeFile) -> None:
        def open_file(sock: socket.socket, mode: str, size: int) -> Any:
            return CallerStream(sock) if "r" in mode else makefile(sock, mode, size)

        super().__init__(server, sock, open_file)
        self.head_began_at: float | None = None

    def has_head(self) -> bool:
        """Return whether the head of a request, or one beyond the limit, has arrived."""
        return self.rfile.has_head(self.server.max_request_header_size)

    def refuse(self, status: str) -> None:
        """Send an error response if that takes no wait, and close the connection."""
        text = f"{self.server.protocol} {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        with suppress(OSError):
            self.socket.settimeout(0)
            self.socket.send(text.encode())
        self.close()


class WaitingConnections(ConnectionManager):
    """Connections that wait for the head of a request; those with a whole one go to a thread.

    All but `put` runs in the server's own thread, which alone closes connections that wait.
    """

    server: Any
    _selector: Any
    _stop_requested: bool

    def put(self, conn: CallerConnection) -> None:
        """Wait for the next request on a connection, unless it has arrived."""
        conn.last_used = time.time()
        if conn.rfile.has_data() and conn.has_head():
            conn.head_began_at = None
            self.server.requests.put(conn)
        else:
            if conn.rfile.has_data() and conn.head_began_at is None:
                conn.head_began_at = monotonic()
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
            if monotonic() >= check_at:
                check_at = monotonic() + expiration_interval
                self._expire(time.time() - self.server.timeout)

    def _accept(self) -> None:
        try:
            conn = self._from_server_socket(self.server.socket)  # type: ignore[attr-defined]
        except OSError as exc:
            log.warning("connection-not-accepted", error=str(exc))
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

    def _expire(self, threshold: float) -> None:
        """Close connections that were idle for too long, and those with heads that are late."""
        self._expire_heads(self.server.limits().header_s)
        for conn in self._waiting():
            if conn.head_began_at is None and conn.last_used < threshold:
                self._remove(conn)

    def _expire_heads(self, limit_s: float) -> None:
        """Refuse requests whose heads have been arriving for longer than `limit_s` seconds."""
        began_before = monotonic() - limit_s
        for conn in self._waiting():
            if conn.head_began_at is not None and conn.head_began_at < began_before:
                log.info("head-too-slow", limit_s=limit_s)
                self._remove(conn, REQUEST_TIMEOUT)

    def _waiting(self) -> list[CallerConnection]:
        return [conn for _, conn in self._selector.connections if conn is not self.server]

    def _remove(self, conn: CallerConnection, status: str = "") -> None:
        """Close a connection that waits, with an error response if a status is given."""
        self._selector.unregister(conn.socket.fileno())
        if status:
            conn.refuse(status)
        else:
            conn.close()
