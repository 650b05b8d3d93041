"""HTTP pipelining: requests sent before the first response start at once, answered in order.

A worker thread reads and answers one request after the other. While it serves a request, a helper
thread reads the heads of the next ones on the connection, up to one with a body, and starts them;
the worker answers them in order of arrival. Only repeatable requests start early.
"""

import socket
import threading
from collections import deque
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from typing import Any

from urllib3.util import wait_for_read

from gypsumwind.callers import CallerConnection, CallerRequest
from gypsumwind.hangups import RESET_ON_CLOSE
from gypsumwind.log import Log

log = Log("pipelines")

MAX_PIPELINED = 8
"""Requests read ahead on one connection; further ones wait unread."""

HELPER_THREADS = 48
"""Threads for pipelined requests that start before their turn."""

Begin = Callable[["PipelinedRequest"], None]


class PipelinedRequest(CallerRequest):
    """A request that may be read, and started, before its turn on the connection."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.exchange: Any = None
        self.early_result: Future | None = None
        self._read_ahead = False
        self._refusal: tuple[str, str] | None = None

    @property
    def bodiless(self) -> bool:
        """Return whether the next bytes on the connection belong to another request."""
        return self.ready and self.body_length == 0

    def read_ahead(self) -> None:
        """Read the request before its turn; the error response to a malformed one waits for it."""
        self._read_ahead = True
        super().parse_request()
        if self.bodiless:
            self.rfile = self.body_reader()

    def parse_request(self) -> None:
        """Read the request unless it was read ahead; send a deferred error response."""
        if not self._read_ahead:
            super().parse_request()
        elif self._refusal is not None:
            self._read_ahead = False
            super().simple_response(*self._refusal)

    def simple_response(self, status: str, msg: str = "") -> None:
        """Send the error response to a malformed request, deferred to its turn."""
        if self._read_ahead and not self.ready:
            self._refusal = (status, msg)
            self.close_connection = True
            return
        super().simple_response(status, msg)

    def respond(self) -> None:
        """Answer the request; meanwhile others may be read ahead."""
        with self.conn.serving():
            super().respond()


class PipelinedConnection(CallerConnection):
    """A caller's connection and the requests that were read ahead on it.

    `is_serving`: its worker serves a request. `last_read` is the request whose head was read last,
    by the worker or a helper: the next bytes are its body, if it has one, whichever request is
    being served. `resets`: its response was cut, and only a reset tells its caller so.
    """

    helpers: ThreadPoolExecutor
    begin: Begin
    allowed: Callable[[], bool]

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.lock = threading.Lock()
        self.resets = False
        self.is_serving = False
        self.last_read: PipelinedRequest | None = None
        self.ahead: deque[PipelinedRequest] = deque()
        self._reading = False

    def RequestHandlerClass(self, server: Any, conn: Any) -> PipelinedRequest:  # noqa: N802
        """Return the next request: the first one read ahead, or else one still to be read."""
        with self.lock:
            if self.ahead:
                return self.ahead.popleft()
            self.last_read = PipelinedRequest(server, conn)
            return self.last_read

    def communicate(self) -> bool:
        """Answer requests until none read ahead is left; return whether to keep the connection."""
        while super().communicate():
            with self.lock:
                if not self.ahead:
                    return True
        return False

    @contextmanager
    def serving(self) -> Iterator[None]:
        """Return the context manager in which the worker serves a request and reads no head."""
        with self.lock:
            self.is_serving = True
        if self.rfile.has_data():
            self.more()
        try:
            yield
        finally:
            with self.lock:
                self.is_serving = False

    def _may_read_ahead(self) -> bool:
        """Return whether the next bytes are a head that a helper may read now.

        A body is read by the worker, when its request is served. Nothing is read behind a request
        that closes the connection, nor during a shutdown: the request in service may last until the
        process ends, and those behind it would get no response.
        """
        last = self.last_read
        return (
            self.is_serving
            and last is not None
            and last.bodiless
            and not last.close_connection
            and len(self.ahead) < MAX_PIPELINED
            and self.allowed()
        )

    def more(self) -> None:
        """Start to read ahead when bytes arrive while a request is served."""
        if not self._reading and self._may_read_ahead():
            self._reading = True
            self.helpers.submit(self._read)

    def _read(self) -> None:
        try:
            with self.lock:
                self._read_requests()
        except OSError as exc:
            log.info("read-ahead-ended", error=str(exc))
        except Exception as exc:
            log.error("read-ahead-failed", error=repr(exc))
        finally:
            self._reading = False

    def _read_requests(self) -> None:
        """Read the requests whose heads have arrived."""
        while self._may_read_ahead():
            if not self.has_head():
                if wait_for_read(self.socket, timeout=0.0) and self.rfile.receive():
                    continue
                return
            req = PipelinedRequest(self.server, self)
            # First of all, so that its connection closes if reading it fails.
            self.last_read = req
            self.ahead.append(req)
            req.read_ahead()
            if req.bodiless:
                type(self).begin(req)

    def close(self) -> None:
        """Close the connection and abandon the requests that started early on it."""
        for req in self.ahead:
            req.memory.close()
            if req.exchange is not None:
                req.exchange.abandon()
        super().close()

    def _close_kernel_socket(self) -> None:
        if self.resets:
            # A shutdown would announce the end of the response; without it, close() resets.
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        else:
            super()._close_kernel_socket()  # type: ignore[misc]


def connection_class(begin: Begin, allowed: Callable[[], bool]) -> type[PipelinedConnection]:
    """Return a connection class; `begin` starts a request, `allowed` permits to read ahead."""
    helpers = ThreadPoolExecutor(HELPER_THREADS, thread_name_prefix="ahead")
    return type(
        "PipelinedConnection",
        (PipelinedConnection,),
        {
            "helpers": helpers,
            "begin": staticmethod(begin),
            "allowed": staticmethod(allowed),
        },
    )
