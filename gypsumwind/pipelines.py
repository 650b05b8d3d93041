"""Requests that a caller sends before the first one is answered: begun at once, answered in turn.

A worker thread reads and answers one request after the other. While it serves a request without
a body, a helper thread reads what else has arrived on the connection and begins it; the worker
takes these in the order in which they came. Only requests that may be repeated are begun.
"""

import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from cheroot.server import HTTPConnection, HTTPRequest, KnownLengthRFile

from gypsumwind.heads import HeadRead, HeadReads
from gypsumwind.log import Log

log = Log("pipelines")

MAX_PIPELINED = 8
"""Requests read ahead on one connection; what follows waits unread."""

HELPER_THREADS = 48
"""Threads for requests that are begun ahead of their turn."""

REQUEST_TIMEOUT = "408 Request Timeout"
"""Answer to a head that did not come in time: the request has not run."""

Begin = Callable[["PipelinedRequest"], None]


class PipelinedRequest(HTTPRequest):
    """A request that may have been read, and begun, before its turn."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.exchange: Any = None
        self.early_result: Future | None = None
        self._read_ahead = False
        self._refusal: tuple[str, str] | None = None
        self._head: HeadRead | None = None

    @property
    def bodiless(self) -> bool:
        """Tell whether the next bytes on the connection are another request."""
        length = self.inheaders.get(b"Content-Length", b"0")
        return not self.chunked_read and length in (b"", b"0")

    def read_ahead(self) -> None:
        """Read the request before its turn; an answer to a malformed one waits for its turn."""
        self._read_ahead = True
        self._read_head()
        if self.ready and self.bodiless:
            self.rfile = KnownLengthRFile(self.conn.rfile, 0)

    def parse_request(self) -> None:
        """Read the request, unless that was done; now an answer may be given."""
        if not self._read_ahead:
            self._read_head()
        elif self._refusal is not None:
            self._read_ahead = False
            super().simple_response(*self._refusal)

    def _read_head(self) -> None:
        """Read the head of the request in the time that callers have for it."""
        with self.conn.heads.reading(self.conn.socket) as self._head:
            super().parse_request()
        if self._head.timed_out and self.ready:
            self.ready = False
            self.simple_response(REQUEST_TIMEOUT)

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer a request that is malformed or came too slowly, in its turn."""
        if self._head is not None and self._head.timed_out:
            status, msg = REQUEST_TIMEOUT, ""
        if self._read_ahead and not self.ready:
            self._refusal = (status, msg)
            self.close_connection = True
            return
        super().simple_response(status, msg)

    def respond(self) -> None:
        """Answer the request while others may be read ahead."""
        with self.conn.serving(self):
            super().respond()


class _ReadAheadScope:
    """Marks a connection as serving a request after which others may be read ahead."""

    __slots__ = ("_conn", "_allowed")

    def __init__(self, conn: "PipelinedConnection", allowed: bool) -> None:
        self._conn = conn
        self._allowed = allowed

    def __enter__(self) -> None:
        with self._conn.lock:
            self._conn.may_read_ahead = self._allowed
        if self._allowed and self._conn.rfile.has_data():
            self._conn.more()

    def __exit__(self, *_: object) -> None:
        with self._conn.lock:
            self._conn.may_read_ahead = False


class PipelinedConnection(HTTPConnection):
    """A caller's connection with the requests that were read ahead on it."""

    helpers: ThreadPoolExecutor
    begin: Begin
    allowed: Callable[[], bool]
    heads: HeadReads

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.lock = threading.Lock()
        self.may_read_ahead = False
        self.ahead: deque[PipelinedRequest] = deque()
        self._reading = False

    def RequestHandlerClass(self, server: Any, conn: Any) -> PipelinedRequest:  # noqa: N802
        """Return the request whose turn it is: the next one read ahead, or one still to be read."""
        with self.lock:
            if self.ahead:
                return self.ahead.popleft()
        return PipelinedRequest(server, conn)

    def communicate(self) -> bool:
        """Answer requests until none that was read ahead is left; tell whether to keep open."""
        while super().communicate():
            with self.lock:
                if not self.ahead:
                    return True
        return False

    def serving(self, req: PipelinedRequest) -> _ReadAheadScope:
        """Return the context in which a request is answered."""
        return _ReadAheadScope(self, req.bodiless and self.allowed())

    def more(self) -> None:
        """More bytes have arrived while a request is served: have them read.

        Not once that is no longer allowed, as at a stop: the request that is served may outlast it.
        """
        if (
            self.may_read_ahead
            and self.allowed()
            and not self._reading
            and len(self.ahead) < MAX_PIPELINED
        ):
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
        """Read one request, and those whose bytes are here already."""
        while self.may_read_ahead and self.allowed() and len(self.ahead) < MAX_PIPELINED:
            req = PipelinedRequest(self.server, self)
            req.read_ahead()
            self.ahead.append(req)
            if not req.ready or not req.bodiless:
                self.may_read_ahead = False
                return
            type(self).begin(req)
            if not self.rfile.has_data():
                return

    def close(self) -> None:
        """Close the connection; what was begun on it ends."""
        for req in self.ahead:
            if req.exchange is not None:
                req.exchange.abandon()
        super().close()


def connection_class(
    begin: Begin, allowed: Callable[[], bool], heads: HeadReads
) -> type[PipelinedConnection]:
    """Return the class of a server's connections; `begin` starts a request, `allowed` permits."""
    helpers = ThreadPoolExecutor(HELPER_THREADS, thread_name_prefix="ahead")
    return type(
        "PipelinedConnection",
        (PipelinedConnection,),
        {
            "helpers": helpers,
            "begin": staticmethod(begin),
            "allowed": staticmethod(allowed),
            "heads": heads,
        },
    )
