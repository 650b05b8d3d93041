"""Request forwarding in direct mode: one hop from the VM that the caller chose to an instance."""

import itertools
import math
from collections.abc import Callable, Mapping
from concurrent.futures import Future, InvalidStateError
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import suppress

import pykka
import xxhash

from gypsumwind import messages as msg
from gypsumwind.calls import HOP_BY_HOP, Answer
from gypsumwind.core.decisions import (
    QUARANTINED,
    Decision,
    Placed,
    PlacementRequest,
    Refused,
)
from gypsumwind.core.fingerprints import request_fingerprint
from gypsumwind.core.instances import Outcome
from gypsumwind.core.rules import RequestKind, Rule
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.exchanges import Request, SendResult, UpstreamClient
from gypsumwind.hangups import CancelScope, cancelled, current_scope
from gypsumwind.log import Log
from gypsumwind.metrics import Metrics
from gypsumwind.servers import Exchange
from gypsumwind.snapshots import Snapshots
from gypsumwind.steering import HeaderNames
from gypsumwind.transfers import Transfers
from gypsumwind.utils import monotonic

log = Log("forwarders")

MAX_REPLAY_BODY_BYTES = 1024 * 1024
"""Largest request body that is buffered whole, so that a retry can send it again."""

DEADLINE_MARGIN_S = 0.02
"""Part of a deadline that is reserved for answering the caller before it passes."""

SLOT_WAIT_S = 0.5
"""Time in the queue for a slot after which an upload that stalls at an instance is ended."""

MAX_KEY_CHARS = 64
"""Longest affinity key that is remembered as it is."""

CALLER_HEADERS = ("authorization", "cookie")
"""Headers by which instances tell callers apart."""

DEFAULT_RETRY_AFTER_S = 0.25
"""Retry-After, in seconds, without a configuration or if no slot was assigned in time."""


class _PendingPlacement:
    """A pending dispatch decision, abandoned when the caller disconnects."""

    __slots__ = ("future",)

    def __init__(self) -> None:
        self.future: Future[Decision | None] = Future()

    def abort(self, scope: CancelScope | None = None) -> None:
        """Resolve to None, unless a decision has been made."""
        with suppress(InvalidStateError):
            self.future.set_result(None)


class Forwarder:
    """Matches a request to its rule, sends it to an instance, and retries where that is safe.

    `transfers` are those of the callers' server.
    """

    def __init__(
        self,
        snapshots: Snapshots,
        dispatch: pykka.ActorRef,
        client: UpstreamClient,
        names: HeaderNames,
        metrics: Metrics,
        list_age_s: Callable[[], float] = lambda: 0.0,
        rules_age_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._list_age_s = list_age_s
        self._rules_age_s = rules_age_s
        self._snapshots = snapshots
        self._dispatch = dispatch
        self._client = client
        self._names = names
        self._metrics = metrics
        self._tickets = itertools.count(1)
        self.transfers = Transfers()

    def rule_for(self, ex: Exchange) -> Rule:
        """Return the rule of a request; RequestError if none matches or the request is too long."""
        rules = self._snapshots.rules
        if rules is None:
            text = "this VM has not learnt its configuration yet"
            raise RequestError(
                Code.TABLE_NOT_READY, text, Verdict.NOT_RUN, 503, DEFAULT_RETRY_AFTER_S
            )
        rule = rules.find(ex.headers.get("host", ""), ex.path)
        if rule is None:
            text = f"no rule of version {rules.version} takes {ex.path!r}"
            raise RequestError(Code.UNKNOWN_SERVICE, text, Verdict.NOT_RUN, 404)
        if ex.head_bytes > rules.limits.header_bytes:
            # It was read before the configuration was known.
            raise RequestError(Code.BAD_REQUEST, "the head is too long", Verdict.NOT_RUN, 413)
        length = ex.body.length
        if length is not None and length > rules.limits.body_bytes:
            raise RequestError(Code.BAD_REQUEST, "the body is too long", Verdict.NOT_RUN, 413)
        return rule

    def deadline_of(self, ex: Exchange, rule: Rule, arrived: float) -> float:
        """Return the time by which a request has to be answered, on this VM's clock."""
        text = ex.headers.get(self._names.deadline_ms, "")
        requested_timeout_s = int(text) / 1000.0 if text.isdecimal() else rule.timeout_s
        return arrived + min(requested_timeout_s, rule.timeout_s) - DEADLINE_MARGIN_S

    def serve(self, ex: Exchange, rule: Rule, arrived: float) -> Answer:
        """Return the response to a request; RequestError if no instance responds in time."""
        ex.limit_body(self.deadline_of(ex, rule, arrived))
        ex.body.buffer_small(MAX_REPLAY_BODY_BYTES)
        ex.body.buffer_chunked(MAX_REPLAY_BODY_BYTES)
        if ex.body.buffered is None:
            ex.pass_on_body()
        req = self._request(ex, rule, arrived)
        key = _bounded_key(ex.headers.get(self._names.affinity, "")) if rule.sticky else ""
        service = rule.service_for(req.id)
        exclude: frozenset[str] = frozenset()
        ambiguous_error: RequestError | None = None
        last_error: RequestError | None = None
        for attempt in range(1, rule.attempts + 1):
            ticket = next(self._tickets)
            if attempt > 1 and not self._may_retry(service, req, ambiguous_error, ticket):
                break
            placement_request = PlacementRequest(
                ticket,
                service,
                key and f"{service}\x00{key}",
                rule.priority,
                req.deadline,
                rule.regions,
                exclude,
                rule.kind is RequestKind.UPLOAD,
                arrived + rule.objective_s,
                req.fingerprint,
            )
            placed = self._place(placement_request, req)
            if isinstance(placed, RequestError):
                last_error = last_error or placed
                break
            sent = self._send(placed, req, rule, attempt, ticket)
            if sent.answer is not None and not self._should_retry_failure(sent, req, rule, attempt):
                return sent.answer
            last_error = self._error_of(sent)
            exclude |= {placed.upstream.id}
            if last_error.verdict is not Verdict.NOT_RUN:
                ambiguous_error = last_error
            if sent.outcome in (Outcome.CANCELLED, Outcome.LATE):
                break
        assert last_error is not None
        raise self._final_error(service, ambiguous_error, last_error)

    def _request(self, ex: Exchange, rule: Rule, arrived: float) -> Request:
        names = self._names
        return Request(
            ex.headers.get(names.request_id, ""),
            ex.method,
            ex.target,
            _forwarded_headers(ex.headers, names),
            ex.body,
            self.deadline_of(ex, rule, arrived),
            rule.kind.repeatable,
            _fingerprint(ex),
            ex.memory,
        )

    def _place(self, placement_request: PlacementRequest, req: Request) -> Placed | RequestError:
        """Wait for a slot; return an error if none is free in time or the caller disconnects."""
        wait = _PendingPlacement()
        scope = current_scope()
        if scope is not None:
            scope.add(wait)
        self._dispatch.tell(msg.PlaceRequest(placement_request, wait.future))
        decision = self._decision(wait, placement_request)
        if isinstance(decision, Placed):
            return decision
        if decision is None:
            self._dispatch.tell(msg.CancelPlacement(placement_request.ticket))
            return RequestError(Code.CANCELLED, "the caller has gone away", Verdict.NOT_RUN, 499)
        self._end_stalled_upload()
        log.info(
            "request-refused",
            id=req.id,
            service=placement_request.service,
            reason=decision.reason,
            waited_s=round(decision.waited_s, 3),
            retry_s=round(decision.retry_after_s, 2),
        )
        if decision.reason == QUARANTINED:
            text = "this request crashed the instances that ran it"
            return RequestError(
                Code.QUARANTINED, text, Verdict.NOT_RUN, 503, decision.retry_after_s
            )
        text = f"no instance of {placement_request.service} has room: {decision.reason}"
        return RequestError(Code.NO_CAPACITY, text, Verdict.NOT_RUN, 503, decision.retry_after_s)

    def _decision(
        self, wait: _PendingPlacement, placement_request: PlacementRequest
    ) -> Decision | None:
        """Wait for a decision until the deadline; None if the caller disconnects."""
        deadline = placement_request.deadline
        while (left := deadline - monotonic()) > 0:
            try:
                return wait.future.result(timeout=min(left, SLOT_WAIT_S))
            except FutureTimeoutError:
                self._end_stalled_upload()
        wait.abort()
        self._dispatch.tell(msg.CancelPlacement(placement_request.ticket))
        return wait.future.result() or Refused("no-room-in-time", DEFAULT_RETRY_AFTER_S)

    def _end_stalled_upload(self) -> None:
        self.transfers.end_stalled(1, "requests wait for slots", holding_slots=True)

    def _send(
        self, placed: Placed, req: Request, rule: Rule, attempt: int, ticket: int
    ) -> SendResult:
        up = placed.upstream
        version, list_age_s = self._snapshots.upstreams.version, self._list_age_s()
        rules, rules_age_s = self._snapshots.rules, self._rules_age_s()
        sent = SendResult(Outcome.CANCELLED)
        try:
            sent = self._client.send(up, req)
        finally:
            self._dispatch.tell(
                msg.SendFinished(
                    up,
                    sent.outcome,
                    sent.reported_load,
                    sent.elapsed_s,
                    sent.closing,
                    sent.leaving,
                    sent.pause_s,
                    sent.rate_limit,
                    req.fingerprint,
                    sent.crashed_at,
                    ticket,
                    sent.responded,
                    sent.connected,
                )
            )
        if sent.rate_limit is not None and sent.rate_limit < math.inf:
            self._metrics.event("rate-limited-response")
        log.info(
            "request-sent",
            id=req.id,
            rule=rule.name,
            rules=rules.version if rules else 0,
            rules_age_s=round(rules_age_s, 3),
            service=up.service,
            attempt=attempt,
            instance=up.id,
            zone=up.zone,
            home=placed.home,
            load=placed.load,
            load_age_s=placed.load_age_s,
            list=str(version),
            list_age_s=round(list_age_s, 3),
            waited_s=round(placed.waited_s, 3),
            outcome=sent.outcome,
            status=sent.answer.status if sent.answer else 0,
            error=sent.error.message if sent.error else "",
            took_s=round(sent.elapsed_s, 3),
            connect_s=round(sent.connect_s, 3),
            connected=sent.connected,
            closing=sent.closing,
            leaving=sent.leaving,
            rate_limit=sent.rate_limit,
            fingerprint=req.fingerprint,
            crashed=sent.crashed_at is not None,
        )
        if sent.crashed_at is not None:
            self._metrics.event("instance-crashed")
        return sent

    def _should_retry_failure(
        self, sent: SendResult, req: Request, rule: Rule, attempt: int
    ) -> bool:
        """Return whether a failure response of an instance is worth a retry on another one."""
        if sent.outcome != Outcome.FAILED or not req.repeatable or attempt >= rule.attempts:
            return False
        return req.deadline - monotonic() > sent.elapsed_s

    def _error_of(self, sent: SendResult) -> RequestError:
        if sent.error is not None:
            return sent.error
        assert sent.answer is not None
        sent.answer.end(True)
        text = f"the instance failed with {sent.answer.status}"
        return RequestError(Code.UPSTREAM_FAILED, text, Verdict.MAY_HAVE_RUN, 502)

    def _may_retry(
        self, service: str, req: Request, ambiguous_error: RequestError | None, ticket: int
    ) -> bool:
        if cancelled() or not req.body.replayable or (ambiguous_error and not req.repeatable):
            return False
        return bool(msg.ask(self._dispatch, msg.TakeRetry(service, req.id, ticket, req.deadline)))

    def _final_error(
        self, service: str, ambiguous_error: RequestError | None, last_error: RequestError
    ) -> RequestError:
        """Return the last error, or that of an earlier attempt if only that may have run."""
        if ambiguous_error is None or last_error.verdict is not Verdict.NOT_RUN:
            if last_error.verdict is Verdict.NOT_RUN and last_error.retry_after_s is None:
                last_error.retry_after_s = msg.ask(self._dispatch, msg.EstimateWait(service))
            return last_error
        return RequestError(
            ambiguous_error.code,
            ambiguous_error.message,
            ambiguous_error.verdict,
            ambiguous_error.status,
        )


def _bounded_key(key: str) -> str:
    """Return an affinity key, or the hash of a long one: many keys are remembered."""
    if len(key) <= MAX_KEY_CHARS:
        return key
    return str(xxhash.xxh3_128_hexdigest(key.encode("utf-8", "replace")))


def _fingerprint(ex: Exchange) -> str:
    """Return the fingerprint of a request, once its body is buffered or known to be streamed."""
    caller = (ex.headers.get(name, "") for name in CALLER_HEADERS)
    parts = (ex.method, ex.headers.get("host", ""), ex.target, *caller)
    return request_fingerprint(parts, ex.body.buffered, ex.body.length)


def _forwarded_headers(headers: Mapping[str, str], names: HeaderNames) -> dict[str, str]:
    """Return the headers to forward: all but the hop-by-hop ones and those set for each send."""
    listed = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    dropped = (HOP_BY_HOP - {"host"}) | listed | {names.deadline_ms, names.target}
    return {name: value for name, value in headers.items() if name not in dropped}
