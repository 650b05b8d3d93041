"""HTTP servers on cheroot: one for callers and operators, one for hand-offs from other VMs."""

import json
import math
import socket
import sys
import threading
from collections.abc import Callable
from concurrent.futures import Future
from contextlib import suppress
from http import HTTPStatus
from traceback import format_tb
from types import TracebackType
from typing import Any
from urllib.parse import parse_qs

from cheroot.server import Gateway, HTTPServer

from gypsumwind.callers import CallerConnection, OpenConnections, WaitingConnections
from gypsumwind.calls import (
    H_CODE,
    H_INSTANCE,
    H_VERDICT,
    H_VM,
    Answer,
    Body,
)
from gypsumwind.core.rules import CallerLimits
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.log import Log
from gypsumwind.memory import RECEIVE_BUFFER_BYTES, MemoryBudget
from gypsumwind.pools import GrowingPool
from gypsumwind.transfers import Transfer, Transfers
from gypsumwind.utils import monotonic

log = Log("servers")

BACKLOG = 1024
DEFAULT_MAX_CONNECTIONS = 1024
MAX_DISCARDED_BYTES = 65536
ENDED_AT_ONCE = 4
"""Stalled transfers that are ended at once when memory is short."""

DISCARD_S = 0.03
"""Longest wait for the rest of a body that is not used, before the response, in seconds: callers
send short bodies along with the head."""

LINGER_S = 2.0
"""Longest lingering close after a response to a request whose body was not read, in seconds."""

CLOSE_LINGER_S = 0.3
"""The same after other responses that close the connection: callers close once they read them."""

CONTROL_THREADS = 8

DEFAULT_RETRY_AFTER_S = 1.0
"""Retry-After of a refusal without one of its own: the least that whole seconds can express."""

RESERVED_SHARE = 0.2
"""Share of a VM's threads that each priority leaves to those above it. It exceeds what the
highest needs in planned loads: a fifth of three times the capacity, times a request's duration."""

MIN_SHARE = 0.5
"""Least share of the threads that any priority may use."""

IDLE_CHECK_S = 0.5
"""Period of the check for connections that have been idle for too long, in seconds."""


def _is_temporary(exc: RequestError) -> bool:
    """Return whether an error is a refusal that may pass, so its response has a Retry-After."""
    not_run = exc.verdict is Verdict.NOT_RUN and exc.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return not_run or exc.status == HTTPStatus.SERVICE_UNAVAILABLE


class Exchange:
    """One HTTP request, with methods that send its response."""

    __slots__ = (
        "method",
        "path",
        "head_bytes",
        "memory",
        "_query",
        "headers",
        "body",
        "target",
        "response_started",
        "early_result",
        "on_abandon",
        "_req",
    )

    def __init__(self, req: Any) -> None:
        self._req = req
        self.response_started = False
        self.early_result: Future | None = None
        self.on_abandon: Callable[[], None] | None = None
        self.method = req.method.decode("ascii", "replace")
        self.target = req.uri.decode("latin-1")
        self.path, _, self._query = self.target.partition("?")
        self.head_bytes = req.head_bytes
        self.memory = req.memory
        self.headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in req.inheaders.items()
        }
        self.body = Body(req.rfile, req.body_length, req.memory)

    @property
    def query(self) -> dict[str, str]:
        """Return the last value of each parameter in the query."""
        return {name: values[-1] for name, values in parse_qs(self._query).items()}

    @property
    def socket(self) -> Any:
        """Return the caller's socket."""
        return self._req.conn.socket

    def limit_body(self, deadline: float) -> None:
        """Set the time by which the body has to arrive, on this process's clock."""
        self._req.conn.rfile.deadline = deadline

    def pass_on_body(self) -> None:
        """Record that an instance gets the body as it arrives, and waits for it."""
        self._req.conn.rfile.pass_on_body()

    def on_readable(self) -> None:
        """Start to read the caller's pipelined requests, whose bytes arrived during this one."""
        more = getattr(self._req.conn, "more", None)
        if more is not None:
            more()

    def abandon(self) -> None:
        """Abandon a request that started early and whose connection closed before its turn."""
        if self.on_abandon is not None:
            self.on_abandon()

    @property
    def has_pipelined(self) -> bool:
        """Return whether pipelined requests that were read ahead wait behind this one."""
        return bool(getattr(self._req.conn, "ahead", ()))

    def send_json(self, status: int, doc: Any) -> None:
        """Send a JSON document."""
        data = (json.dumps(doc, indent=2) + "\n").encode()
        self._send_page(status, data, "application/json")

    def send_bytes(self, data: bytes, content_type: str) -> None:
        """Send bytes with status 200."""
        self._send_page(200, data, content_type)

    def _send_page(self, status: int, data: bytes, content_type: str) -> None:
        """Send a page; the connection is closed if the request has a body that does not end."""
        linger_s = self._linger_after(not self._discard_body(), closing=False)
        self._send_head(status, [("Content-Type", content_type)], len(data))
        self._req.write(data)
        self._linger(linger_s)

    def send_response(self, answer: Answer, vm: str, closing: bool) -> None:
        """Stream a response; abort the connection on a failure, so that it never looks complete."""
        whole = False
        try:
            own = (H_VERDICT, H_VM, H_INSTANCE) if answer.instance else (H_VERDICT, H_VM)
            headers = [(n, v) for n, v in answer.headers if n.lower() not in own]
            headers += [(H_VERDICT, answer.verdict.value), (H_VM, vm)]
            if answer.instance:
                headers.append((H_INSTANCE, answer.instance))
            linger_s = self._linger_after(self.body.unread, closing)
            self._send_head(answer.status, headers, answer.length)
            transfer = Transfer(self.socket, socket.SHUT_RDWR)
            for chunk in answer.chunks:
                transfer.expect(len(chunk))
                with self._transfers.waiting(transfer):
                    self._req.write(chunk)
            self._req.end_chunks()
            whole = True
            answer.end(whole)
            self._linger(linger_s)
        except RequestError as exc:
            if answer.length is None and not self._req.chunked_write:
                self._req.conn.resets = True
            raise ConnectionAbortedError(exc.message) from exc
        finally:
            answer.end(whole)

    def send_error(
        self, exc: RequestError, vm: str, closing: bool = False, fractions: bool = False
    ) -> None:
        """Send an error with its code, verdict and Retry-After.

        With `fractions`, for callers that parse them, Retry-After is not rounded to whole seconds.
        """
        linger_s = self._linger_after(not self._discard_body(), closing)
        doc = {"code": exc.code.value, "message": exc.message, "verdict": exc.verdict.value}
        data = (json.dumps(doc) + "\n").encode()
        headers = [
            ("Content-Type", "application/json"),
            (H_VERDICT, exc.verdict.value),
            (H_CODE, exc.code.value),
            (H_VM, vm),
        ]
        retry_s = exc.retry_after_s
        if retry_s is None and _is_temporary(exc):
            retry_s = DEFAULT_RETRY_AFTER_S
        if retry_s is not None:
            wait = f"{retry_s:.2f}" if fractions else max(1, round(retry_s))
            headers.append(("Retry-After", str(wait)))
        self._send_head(exc.status, headers, len(data))
        self._req.write(data)
        self._linger(linger_s)

    def _discard_body(self) -> bool:
        """Discard a short rest of the body that arrives at once; return whether it has ended."""
        if self.body.unread:
            self.limit_body(monotonic() + DISCARD_S)
            self.body.discard(MAX_DISCARDED_BYTES)
        return not self.body.unread

    def _linger_after(self, has_rest: bool, closing: bool) -> float:
        """Close the connection after the response if its request has a rest, or to send the caller
        away unless others wait behind it; return how long to linger then, 0 if it stays open."""
        closing = closing and not self.has_pipelined
        if closing or has_rest:
            self._req.close_connection = True
        return LINGER_S if has_rest else CLOSE_LINGER_S if closing else 0.0

    def _linger(self, seconds: float) -> None:
        """Keep reading for a while after the response: a reset would discard it at the caller."""
        if not seconds:
            return
        until = monotonic() + seconds
        transfer = Transfer(self.socket, socket.SHUT_RD, 0.0)
        with suppress(Exception), self._transfers.waiting(transfer):
            self._req.conn.wfile.flush()
            self.socket.settimeout(seconds)
            while monotonic() < until and self.socket.recv(MAX_DISCARDED_BYTES):
                continue

    @property
    def _transfers(self) -> Transfers:
        transfers: Transfers = self._req.server.transfers
        return transfers

    def _send_head(self, status: int, headers: list[tuple[str, str]], length: int | None) -> None:
        req = self._req
        self.response_started = True
        req.status = _status_line(status)
        pairs = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
        if length is not None:
            pairs.append((b"Content-Length", str(length).encode()))
        req.outheaders = pairs
        req.sent_headers = True
        req.send_headers()


def _status_line(status: int) -> bytes:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"{status} {phrase}".encode("ascii")


def internal_error(exc: Exception) -> RequestError:
    """Log an unexpected exception and return the error for the caller."""
    where = "".join(format_tb(exc.__traceback__)[-2:])
    log.error("request-failed", error=f"{type(exc).__name__}: {exc}", where=where)
    return RequestError(Code.INTERNAL, "a fault of the program", Verdict.MAY_HAVE_RUN, 500)


Handler = Callable[[Exchange], None]


class _Server(HTTPServer):
    """A cheroot server with limits from the first connection on, also on what it holds in all.

    It logs its exceptions as structured events, not as stack traces.
    """

    def __init__(
        self,
        address: tuple[str, int],
        gateway: type[Gateway],
        limits: Callable[[], CallerLimits],
        memory: MemoryBudget,
        max_connections: int,
    ) -> None:
        super().__init__(address, gateway)
        self.limits = limits
        self.memory = memory
        self.transfers = Transfers()
        self.open_connections = OpenConnections(max_connections)
        self.listening = True
        memory.on_shortage.append(self.free_memory)

    @property
    def max_request_header_size(self) -> int:  # type: ignore[override]
        """Return the most bytes of a head."""
        return self.limits().header_bytes

    @property
    def max_request_body_size(self) -> int:  # type: ignore[override]
        """Return the most bytes of a body."""
        return self.limits().body_bytes

    @property
    def timeout(self) -> int:  # type: ignore[override]
        """Return the longest time, in seconds, for which a connection may be idle.

        It is 0 once the listener is closed, so it is no timeout for a socket.
        """
        return math.ceil(self.limits().idle_s) if self.listening else 0

    def prepare(self) -> None:
        """Listen, and start the first threads."""
        super().prepare()
        vars(self)["_connections"].close()
        self._connections = WaitingConnections(self)

    def bind(self, family: Any, kind: Any, proto: int = 0) -> Any:
        """Return the bound socket; the connections that it accepts inherit its buffer's size."""
        sock = super().bind(family, kind, proto)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return sock

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log unexpected exceptions; an OSError is a connection that was closed."""
        fault = sys.exc_info()[1]
        if isinstance(fault, Exception) and not isinstance(fault, OSError):
            internal_error(fault)

    def relieve(self) -> None:
        """End stalled transfers if connections wait for a thread."""
        self.transfers.end_stalled(self.requests.waiting, "no thread is free")

    def free_memory(self) -> None:
        """End a few stalled transfers, whose requests hold memory."""
        self.transfers.end_stalled(ENDED_AT_ONCE, "memory is short")

    def close_listener(self) -> None:
        """Stop accepting connections; the library has no call for it except a full stop."""
        self.listening = False
        sock = self.socket
        self._connections.stop_accepting(sock)
        sock.close()


class Server:
    """An HTTP server that passes requests to a handler, each in a thread, up to a limit.

    `limits` returns those of callers that are in force. All servers of a process share the `memory`
    for requests.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        port: int,
        threads: int,
        handler: Handler,
        connections: type[CallerConnection] = CallerConnection,
        limits: Callable[[], CallerLimits] = CallerLimits,
        memory: MemoryBudget | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        class HandlerGateway(Gateway):
            """Passes each request to the handler."""

            def respond(self) -> None:
                """Handle the request."""
                handler(getattr(self.req, "exchange", None) or Exchange(self.req))

        memory = memory or MemoryBudget()
        self._http = _Server((ip, port), HandlerGateway, limits, memory, max_connections)
        self._http.requests = GrowingPool(self._http, threads, self._http.relieve)
        self._http.ConnectionClass = connections
        self._http.request_queue_size = BACKLOG
        self._http.server_name = "gypsumwind"
        self._http.expiration_interval = IDLE_CHECK_S
        self._http.keep_alive_conn_limit = max_connections
        self._thread = threading.Thread(target=self._serve, name=name, daemon=True)

    @property
    def transfers(self) -> Transfers:
        """Return the transfers that wait for callers."""
        return self._http.transfers

    def _serve(self) -> None:
        self._http.serve()

    def close_listener(self) -> None:
        """Stop accepting connections; idle ones are closed within `IDLE_CHECK_S`."""
        self._http.close_listener()

    def __enter__(self) -> "Server":
        self._http.prepare()
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._http.stop()


class ConcurrencyLimiter:
    """Limits the requests in flight; sheds those of the lowest priorities first.

    `transfers` are those of the server whose requests are counted.

    Without the shares, queued requests of low priorities occupy all threads of an overloaded VM,
    and those of the highest are refused unread. Priority 0 is the highest.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._count = 0
        self._lock = threading.Lock()
        self.transfers = Transfers()

    @property
    def count(self) -> int:
        """Return the number of requests in flight."""
        return self._count

    def limit_for(self, priority: int) -> int:
        """Return the number of requests in flight from which a priority is refused."""
        return int(self._limit * max(MIN_SHARE, 1.0 - RESERVED_SHARE * priority))

    def try_acquire(self, priority: int = 0) -> bool:
        """Count a request in; return False at the limit of its priority.

        At the limit, a request whose transfer has stalled is ended, and this one takes its place.
        """
        with self._lock:
            admitted = self._count < self.limit_for(priority)
            self._count += admitted
        if not admitted and self.transfers.end_stalled(1, "too many requests are in flight"):
            admitted = True
            with self._lock:
                self._count += 1
        return admitted

    def release(self) -> None:
        """Count a request out."""
        with self._lock:
            self._count -= 1
