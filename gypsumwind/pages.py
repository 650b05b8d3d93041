"""Request handlers of a daemon: calls, hand-offs, look-ups, and pages for operators."""

import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import pykka

from gypsumwind import messages as msg
from gypsumwind.calls import (
    H_ATTEMPT,
    H_CLASS,
    H_DEADLINE,
    H_HOP,
    H_KEY,
    H_ORIGIN_REGION,
    H_TENANT,
    H_TIMEOUT,
    Answer,
    Call,
    forwarded,
)
from gypsumwind.core.admission import Priority
from gypsumwind.core.verdict import Verdict
from gypsumwind.entries import entries_page
from gypsumwind.errors import Code, RequestError
from gypsumwind.gateways import ZoneGateway
from gypsumwind.handoffs import HOP_GATE, HOP_HOME, HOP_OWNER
from gypsumwind.hangups import HangupTask
from gypsumwind.homes import Home
from gypsumwind.links import LinkBudgets
from gypsumwind.log import Log
from gypsumwind.metrics import Metrics, histogram_rows, prometheus_text
from gypsumwind.routers import ZoneRouter
from gypsumwind.servers import CONTROL_THREADS, ConcurrencyLimiter, Exchange, internal_error
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.statuses import status_page
from gypsumwind.utils import jittered, monotonic, unpack_json, wall

log = Log("pages")

CALL_PREFIX = "/v1/call/"
TABLE_PREFIX = "/v1/table/"
DEFAULT_TENANT = "-"
BUSY_RETRY_S = 1.0
CLOCK_SKEW_S = 2.0
MAX_KEY_CHARS = 256
"""Longest idempotency key and id of an attempt; many are remembered."""


@dataclass(slots=True, frozen=True)
class HandlerDependencies:
    """The components that the handlers use."""

    snapshots: Snapshots
    gate_actor: pykka.ActorRef
    records: pykka.ActorRef
    gateway: ZoneGateway
    router: ZoneRouter
    home: Home
    metrics: Metrics
    hangups: HangupTask
    links: LinkBudgets
    ready: Callable[[], bool]


def read_call(cfg: Settings, ex: Exchange, service: str, path: str) -> Call:
    """Parse a request into a call; RequestError names the invalid header."""
    headers = ex.headers
    return Call(
        service=service,
        method=ex.method,
        path=path,
        headers=forwarded(headers),
        body=ex.body,
        priority=_priority(headers.get(H_CLASS, "normal")),
        tenant=headers.get(H_TENANT, DEFAULT_TENANT),
        deadline=_deadline(cfg, headers),
        origin_region=headers.get(H_ORIGIN_REGION, cfg.region),
        key=_bounded(H_KEY, _key(ex)),
        attempt=_bounded(H_ATTEMPT, headers.get(H_ATTEMPT, "")),
    )


def _bounded(name: str, text: str) -> str:
    if len(text) > MAX_KEY_CHARS:
        raise _bad_request(f"{name}: {len(text)} characters, allowed {MAX_KEY_CHARS}")
    return text


def _key(ex: Exchange) -> str:
    return ex.headers.get(H_KEY, "").strip('"')


def _priority(text: str) -> Priority:
    try:
        return Priority[text.upper()]
    except KeyError:
        raise _bad_request(f"{H_CLASS}: {text!r} is not high, normal or low") from None


def _priority_or_lowest(ex: Exchange) -> int:
    """Return the priority of a request before it is parsed; the lowest if its name is invalid."""
    try:
        return _priority(ex.headers.get(H_CLASS, "normal"))
    except RequestError:
        return Priority.LOW


def _deadline(cfg: Settings, headers: Mapping[str, str]) -> float:
    """Return the deadline on this process's clock.

    The timeout of a request restarts on arrival, so time spent in buffers before does not count.
    Hand-offs from other VMs therefore also carry their deadline by the wall clock, which may be
    off by up to CLOCK_SKEW_S.
    """
    timeout_s = _timeout_s(cfg, headers.get(H_TIMEOUT))
    text = headers.get(H_DEADLINE, "")
    if text.isdecimal():
        timeout_s = min(timeout_s, int(text) / 1000.0 - wall() + CLOCK_SKEW_S)
    return monotonic() + timeout_s


def _timeout_s(cfg: Settings, text: str | None) -> float:
    if text is None:
        return cfg.default_deadline_s
    if not text.isdecimal() or int(text) == 0:
        raise _bad_request(f"{H_TIMEOUT}: {text!r} is not a whole number of milliseconds from 1")
    return min(int(text) / 1000.0, cfg.max_deadline_s)


def _bad_request(text: str) -> RequestError:
    return RequestError(Code.BAD_REQUEST, text, Verdict.NOT_RUN, 400)


class CallerHandler:
    """Handles the port for callers and operators."""

    def __init__(self, cfg: Settings, parts: HandlerDependencies, rng: random.Random) -> None:
        self._cfg = cfg
        self._parts = parts
        self._rng = rng
        self.in_flight = ConcurrencyLimiter(cfg.threads - CONTROL_THREADS)
        self._pages: dict[str, Callable[[Exchange], None]] = {
            "/v1/entries": self._entries,
            "/v1/status": self._status,
            "/v1/histograms": self._histograms,
            "/metrics": self._metrics,
            "/healthz": self._healthz,
            "/readyz": self._readyz,
        }

    def handle(self, ex: Exchange) -> None:
        """Answer one request."""
        if ex.path.startswith(CALL_PREFIX):
            self._call(ex)
            return
        page = self._pages.get(ex.path)
        if page is None and ex.path.startswith(TABLE_PREFIX):
            page = self._table
        if page is None:
            ex.send_json(404, {"error": f"no page {ex.path}"})
            return
        page(ex)

    def _call(self, ex: Exchange) -> None:
        started = time.monotonic()
        service, _, rest = ex.target[len(CALL_PREFIX) :].partition("/")
        tenant = ex.headers.get(H_TENANT, DEFAULT_TENANT)
        priority = Priority(_priority_or_lowest(ex)).name.lower()
        verdict, code = Verdict.MAY_HAVE_RUN, "cut"
        try:
            verdict, code = self._serve(ex, service, "/" + rest)
        finally:
            known = service if service in self._parts.snapshots.routes else "unknown"
            self._parts.metrics.request(
                known, tenant, priority, verdict.value, code, time.monotonic() - started
            )

    def _serve(self, ex: Exchange, service: str, path: str) -> tuple[Verdict, str]:
        if not self.in_flight.try_acquire(_priority_or_lowest(ex)):
            return self._send_error(ex, self._with_rejection_verdict(_key(ex), self._overloaded()))
        try:
            return self._serve_watched(ex, service, path)
        except RequestError as exc:
            return self._send_error(ex, exc)
        except OSError:
            raise
        except Exception as exc:
            if ex.response_started:
                raise
            return self._send_error(ex, internal_error(exc))
        finally:
            self.in_flight.release()

    def _serve_watched(self, ex: Exchange, service: str, path: str) -> tuple[Verdict, str]:
        """Serve a call; cancel its work if the caller disconnects."""
        call = read_call(self._cfg, ex, service, path)
        ex.limit_body(call.deadline)
        call.body.buffer_small()
        with self._parts.hangups.cancel_on_hangup(ex.socket):
            answer = self._route(call)
            ex.send_response(answer, self._cfg.vm, self._parts.snapshots.leaving)
        return answer.verdict, str(answer.status)

    def _route(self, call: Call) -> Answer:
        if not self._parts.ready():
            text = "this VM has not read the table yet"
            exc = RequestError(Code.TABLE_NOT_READY, text, Verdict.NOT_RUN, 503, 1.0)
            raise self._with_rejection_verdict(call.key, exc)
        if call.key and self._needs_home(call):
            return self._parts.home.serve(call)
        return self._parts.router.route(call)

    def _needs_home(self, call: Call) -> bool:
        route = self._parts.snapshots.routes.get(call.service)
        return route is not None and call.method not in route.row(self._cfg.region).repeatable

    def _with_rejection_verdict(self, key: str, exc: RequestError) -> RequestError:
        """Set the verdict of an error that rejects a call before it reaches the key's home."""
        if key:
            exc.verdict = self._parts.home.verdict_if_rejected(key)
        return exc

    def _overloaded(self) -> RequestError:
        wait = jittered(BUSY_RETRY_S, self._rng)
        text = "too many requests are in flight at this VM"
        return RequestError(Code.NO_CAPACITY, text, Verdict.NOT_RUN, 503, wait)

    def _send_error(self, ex: Exchange, exc: RequestError) -> tuple[Verdict, str]:
        ex.send_error(exc, self._cfg.vm)
        return exc.verdict, exc.code.value

    def _entries(self, ex: Exchange) -> None:
        service = ex.query.get("service", "")
        page = entries_page(self._cfg, self._parts.snapshots, self._parts.home, service, self._rng)
        if page is None:
            ex.send_json(404, {"error": f"no service {service!r} in the table"})
            return
        ex.send_json(200, page)

    def _status(self, ex: Exchange) -> None:
        ex.send_json(200, status_page(self._cfg, self._parts.snapshots))

    def _table(self, ex: Exchange) -> None:
        key = "table/" + ex.path[len(TABLE_PREFIX) :]
        found = msg.ask(self._parts.records, msg.GetRecords((key,)))
        if not found:
            ex.send_json(404, {"error": "no such service in the table"})
            return
        ex.send_json(200, unpack_json(found[0].payload))

    def _histograms(self, ex: Exchange) -> None:
        ex.send_json(200, {"histograms": histogram_rows()})

    def _metrics(self, ex: Exchange) -> None:
        ex.send_bytes(prometheus_text(), "text/plain; version=0.0.4; charset=utf-8")

    def _healthz(self, ex: Exchange) -> None:
        ex.send_json(200, {"state": "ok"})

    def _readyz(self, ex: Exchange) -> None:
        ready = self._parts.ready() and not self._parts.snapshots.leaving
        ex.send_json(200 if ready else 503, {"ready": ready})


class HandoffHandler:
    """Handles the port for calls that other VMs hand off."""

    def __init__(self, cfg: Settings, parts: HandlerDependencies, rng: random.Random) -> None:
        self._cfg = cfg
        self._parts = parts
        self._rng = rng
        self.in_flight = ConcurrencyLimiter(cfg.threads - CONTROL_THREADS)

    def handle(self, ex: Exchange) -> None:
        """Answer one hand-off."""
        if not self.in_flight.try_acquire(_priority_or_lowest(ex)):
            text = "too many hand-offs are in flight at this VM"
            wait = jittered(BUSY_RETRY_S, self._rng)
            exc = RequestError(Code.NO_CAPACITY, text, Verdict.NOT_RUN, 503, wait)
            ex.send_error(exc, self._cfg.vm)
            return
        try:
            with self._parts.hangups.cancel_on_hangup(ex.socket):
                answer = self._serve(ex)
                ex.send_response(answer, self._cfg.vm, self._parts.snapshots.leaving)
        except RequestError as exc:
            ex.send_error(exc, self._cfg.vm)
        except OSError:
            raise
        except Exception as exc:
            if ex.response_started:
                raise
            ex.send_error(internal_error(exc), self._cfg.vm)
        finally:
            self.in_flight.release()

    def _serve(self, ex: Exchange) -> Answer:
        service, _, rest = ex.target.lstrip("/").partition("/")
        call = read_call(self._cfg, ex, service, "/" + rest)
        if service not in self._parts.snapshots.routes:
            text = f"no service {service!r} in the table here"
            raise RequestError(Code.UNKNOWN_SERVICE, text, Verdict.NOT_RUN, 404)
        admit = msg.AdmitAttempt(call.attempt, call.deadline)
        if not msg.ask(self._parts.gate_actor, admit):
            text = "the attempt was voided, came twice, or came late"
            raise RequestError(Code.ATTEMPT_VOIDED, text, Verdict.NOT_RUN, 409)
        try:
            ex.limit_body(call.deadline)
            call.body.buffer_small()
            answer = self._hop(ex.headers.get(H_HOP, ""), call)
        except RequestError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                self._parts.gate_actor.tell(msg.RefuseAttempt(call.attempt))
            raise
        links = self._parts.links
        answer.chunks = links.pace_chunks(call.origin_region, answer.chunks, call.deadline)
        return answer

    def _hop(self, hop: str, call: Call) -> Answer:
        if hop == HOP_OWNER:
            return self._parts.gateway.serve_owned(call)
        if hop == HOP_GATE:
            return self._parts.gateway.serve(call)
        if hop == HOP_HOME:
            return self._parts.home.serve_locally(call)
        raise _bad_request(f"{H_HOP}: {hop!r} is unknown")
