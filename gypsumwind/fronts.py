"""Handles the callers' port in direct mode: forwards every request to an instance."""

from gypsumwind.calls import Answer
from gypsumwind.core.rules import Rule
from gypsumwind.core.stops import GracefulShutdown
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.forwarders import Forwarder
from gypsumwind.hangups import CancelScope, HangupTask
from gypsumwind.log import Log
from gypsumwind.metrics import Metrics
from gypsumwind.pipelines import PipelinedRequest
from gypsumwind.servers import ConcurrencyLimiter, Exchange, internal_error
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.steering import HeaderNames
from gypsumwind.utils import monotonic, wall

log = Log("fronts")

RESERVED_THREADS = 8
"""Threads kept free to refuse requests beyond the limit."""

STARTUP_WAIT_S = 1.0
"""Time after the start within which requests wait for the configuration, which takes a few round
trips to the store; a refusal and a retry would take longer. After it they are refused."""

STOPPING_RETRY_S = 0.1
"""Retry-After, for a retry at another VM, while this one stops."""

BUSY_RETRY_S = 0.5
"""Retry-After of a VM at its limit of requests in flight."""


class RequestResult:
    """The result of a request before it is written to its caller.

    `scope` cancels the rest of the answer, which may still be read while it is written.
    """

    __slots__ = ("arrived_at", "admitted", "rule", "verdict", "answer", "error", "scope")

    def __init__(self, arrived_at: float) -> None:
        self.arrived_at = arrived_at
        self.admitted = False
        self.rule = "none"
        self.verdict = Verdict.MAY_HAVE_RUN
        self.answer: Answer | None = None
        self.error: RequestError | None = None
        self.scope: CancelScope | None = None


class ForwardingHandler:
    """Answers callers with an instance's response, unchanged, or with an error and its verdict."""

    def __init__(
        self,
        cfg: Settings,
        snapshots: Snapshots,
        forwarder: Forwarder,
        hangups: HangupTask,
        metrics: Metrics,
        names: HeaderNames,
    ) -> None:
        self._cfg = cfg
        self._snapshots = snapshots
        self._forwarder = forwarder
        self._hangups = hangups
        self._metrics = metrics
        self._names = names
        self.in_flight = ConcurrencyLimiter(cfg.threads - RESERVED_THREADS)
        self.shutdown: GracefulShutdown | None = None
        self._cancelled_all = False
        self._scopes: set[CancelScope] = set()
        self._startup_until = monotonic() + STARTUP_WAIT_S

    def cancel_all(self) -> None:
        """Cancel all requests in flight, since this process ends before their instances respond."""
        self._cancelled_all = True
        for scope in self._scopes.copy():
            scope.cancel()

    def handle(self, ex: Exchange) -> None:
        """Answer one request in order of arrival on its connection."""
        served: RequestResult = ex.early_result.result() if ex.early_result else self._serve(ex)
        code = "cut"
        try:
            with self._hangups.cancel_on_hangup(ex.socket, scope=served.scope):
                code = self._reply(ex, served)
        finally:
            self._release(served)
            seconds = monotonic() - served.arrived_at
            self._metrics.request(served.rule, "-", "-", served.verdict.value, code, seconds)

    def start_pipelined(self, req: PipelinedRequest) -> None:
        """Start a request that was read ahead of its turn, if it is repeatable."""
        ex = Exchange(req)
        try:
            rule = self._forwarder.rule_for(ex)
        except RequestError:
            return
        if not rule.kind.repeatable:
            return
        scope = CancelScope()
        ex.early_result = req.conn.helpers.submit(self._serve, ex, scope)
        ex.on_abandon = lambda: self._abandon(ex, scope)
        req.exchange = ex

    def _abandon(self, ex: Exchange, scope: CancelScope) -> None:
        scope.cancel()
        assert ex.early_result is not None
        ex.early_result.add_done_callback(lambda fut: self._drop(fut.result()))

    def _drop(self, served: "RequestResult") -> None:
        if served.answer is not None:
            served.answer.end(False)
        self._release(served)

    def _serve(self, ex: Exchange, scope: CancelScope | None = None) -> "RequestResult":
        """Get the response to a request, or the error, and write nothing yet."""
        served = RequestResult(monotonic())
        try:
            rule = self._admit(ex, served)
            with self._hangups.cancel_on_hangup(ex.socket, ex.on_readable, scope) as watched:
                served.scope = watched
                self._scopes.add(watched)
                try:
                    served.answer = self._forwarder.serve(ex, rule, served.arrived_at)
                finally:
                    self._scopes.discard(watched)
                served.verdict = served.answer.verdict
        except RequestError as exc:
            served.error = _as_stopped(exc) if self._cancelled_all else exc
        except Exception as exc:
            served.error = internal_error(exc)
        if served.error is not None:
            served.verdict = served.error.verdict
        return served

    def _admit(self, ex: Exchange, served: "RequestResult") -> Rule:
        """Count a request in and return its rule; also count one whose rule lookup fails."""
        request_priority = 0
        try:
            self._await_config()
            rule = self._forwarder.rule_for(ex)
            served.rule, request_priority = rule.name, rule.priority
        finally:
            served.admitted = self.in_flight.try_acquire(request_priority)
        if not served.admitted:
            text = "too many requests are in flight at this VM"
            raise RequestError(Code.NO_CAPACITY, text, Verdict.NOT_RUN, 503, BUSY_RETRY_S)
        if self.shutdown is not None:
            deadline = self._forwarder.deadline_of(ex, rule, served.arrived_at)
            if not self.shutdown.accepts(monotonic(), deadline):
                text = "this VM stops"
                raise RequestError(Code.NO_CAPACITY, text, Verdict.NOT_RUN, 503, STOPPING_RETRY_S)
        return rule

    def _await_config(self) -> None:
        """Wait for rules and upstreams if this VM has just started."""
        left = self._startup_until - monotonic()
        if left > 0:
            self._snapshots.steering_ready.wait(left)

    def _reply(self, ex: Exchange, served: "RequestResult") -> str:
        """Write the response; return its status or the code of the error."""
        if served.answer is not None:
            ex.send_response(served.answer, self._cfg.vm, self._sends_away())
            return str(served.answer.status)
        assert served.error is not None
        self._send_error(ex, served.error)
        return served.error.code.value

    def _release(self, served: "RequestResult") -> None:
        if served.admitted:
            served.admitted = False
            self.in_flight.release()

    def _send_error(self, ex: Exchange, exc: RequestError) -> None:
        log.info(
            "request-failed-here",
            id=ex.headers.get(self._names.request_id, ""),
            code=exc.code.value,
            status=exc.status,
            verdict=exc.verdict.value,
            error=exc.message,
        )
        ex.send_error(exc, self._cfg.vm, self._sends_away(), fractions=True)

    def _sends_away(self) -> bool:
        """Return whether callers should use other VMs: this one leaves or reaches no instance."""
        return self._snapshots.leaving or self._snapshots.isolated(self._cfg.vm, wall())


def _as_stopped(exc: RequestError) -> RequestError:
    """Return the error for a request that was cancelled by a shutdown; others are unchanged."""
    if exc.code is not Code.CANCELLED:
        return exc
    text = "this VM stops before an instance has answered"
    if exc.verdict is Verdict.NOT_RUN:
        return RequestError(Code.STOPPED, text, exc.verdict, 503, STOPPING_RETRY_S)
    return RequestError(Code.STOPPED, text, exc.verdict, 504)
