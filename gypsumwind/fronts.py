"""The port for callers on the direct way: every request on it is to be forwarded."""

from gypsumwind.board import Board
from gypsumwind.calls import Answer
from gypsumwind.core.rules import Rule
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.forwarders import Forwarder
from gypsumwind.hangups import CancelScope, HangupTask
from gypsumwind.log import Log
from gypsumwind.metrics import Metrics
from gypsumwind.pipelines import AheadRequest
from gypsumwind.servers import Exchange, InFlight, internal_error
from gypsumwind.settings import Settings
from gypsumwind.steering import HeaderNames
from gypsumwind.utils import monotonic

log = Log("fronts")

SPARE_THREADS = 8
"""Threads that stay free to refuse what is beyond the limit."""

START_S = 1.0
"""Time after the start within which requests wait for the configuration, as it is learnt in some
round trips to the store: callers that come back later are worse off. After it they are refused."""

ENDING_RETRY_S = 0.1
"""When to come back, to another VM, after this one has stopped."""

BUSY_RETRY_S = 0.5
"""When to come back to a VM that has as many requests as it can hold."""


class Served:
    """What became of a request before it is written to its caller."""

    __slots__ = ("arrived", "entered", "rule", "verdict", "answer", "error")

    def __init__(self, arrived: float) -> None:
        self.arrived = arrived
        self.entered = False
        self.rule = "none"
        self.verdict = Verdict.MAY_HAVE_RUN
        self.answer: Answer | None = None
        self.error: RequestError | None = None


class FrontPages:
    """Answers callers: an instance's answer unchanged, or an error that says what is known."""

    def __init__(
        self,
        cfg: Settings,
        board: Board,
        forwarder: Forwarder,
        hangups: HangupTask,
        metrics: Metrics,
        names: HeaderNames,
    ) -> None:
        self._cfg = cfg
        self._board = board
        self._forwarder = forwarder
        self._hangups = hangups
        self._metrics = metrics
        self._names = names
        self.in_flight = InFlight(cfg.threads - SPARE_THREADS)
        self.ending = False
        self._given_up = False
        self._scopes: set[CancelScope] = set()
        self._started_until = monotonic() + START_S

    def give_up(self) -> None:
        """Answer now for the instances that still work: this process ends before they do."""
        self._given_up = True
        for scope in self._scopes.copy():
            scope.cancel()

    def handle(self, ex: Exchange) -> None:
        """Answer one request, in its turn on its connection."""
        served: Served = ex.begun.result() if ex.begun else self._serve(ex)
        code = "cut"
        try:
            with self._hangups.watching(ex.socket):
                code = self._reply(ex, served)
        finally:
            self._leave(served)
            seconds = monotonic() - served.arrived
            self._metrics.request(served.rule, "-", "-", served.verdict.value, code, seconds)

    def begin(self, req: AheadRequest) -> None:
        """Begin a request that was read ahead of its turn, if it may be repeated."""
        ex = Exchange(req)
        try:
            rule = self._forwarder.rule_for(ex)
        except RequestError:
            return
        if not rule.kind.repeatable:
            return
        scope = CancelScope()
        ex.begun = req.conn.helpers.submit(self._serve, ex, scope)
        ex.abandoned = lambda: self._abandon(ex, scope)
        req.exchange = ex

    def _abandon(self, ex: Exchange, scope: CancelScope) -> None:
        scope.cancel()
        assert ex.begun is not None
        ex.begun.add_done_callback(lambda fut: self._drop(fut.result()))

    def _drop(self, served: "Served") -> None:
        if served.answer is not None:
            served.answer.end(False)
        self._leave(served)

    def _serve(self, ex: Exchange, scope: CancelScope | None = None) -> "Served":
        """Get the answer to a request, or the error; nothing is written yet."""
        served = Served(monotonic())
        try:
            rule = self._enter(ex, served)
            with self._hangups.watching(ex.socket, ex.more, scope) as watched:
                self._scopes.add(watched)
                try:
                    served.answer = self._forwarder.serve(ex, rule, served.arrived)
                finally:
                    self._scopes.discard(watched)
                served.verdict = served.answer.verdict
        except RequestError as exc:
            served.error = _stopped(exc) if self._given_up else exc
        except Exception as exc:
            served.error = internal_error(exc)
        if served.error is not None:
            served.verdict = served.error.verdict
        return served

    def _enter(self, ex: Exchange, served: "Served") -> Rule:
        """Count a request in and return its rule; an error of its rule is counted in as well."""
        rank = 0
        try:
            self._await_start()
            rule = self._forwarder.rule_for(ex)
            served.rule, rank = rule.name, rule.priority
        finally:
            served.entered = self.in_flight.enter(rank)
        if not served.entered:
            text = "too many requests are in flight at this VM"
            raise RequestError(Code.NO_CAPACITY, text, Verdict.NOT_RUN, 503, BUSY_RETRY_S)
        if self.ending:
            text = "this VM stops"
            raise RequestError(Code.NO_CAPACITY, text, Verdict.NOT_RUN, 503, ENDING_RETRY_S)
        return rule

    def _await_start(self) -> None:
        """Wait until this VM knows where to send, if it has only just started."""
        left = self._started_until - monotonic()
        if left > 0:
            self._board.steerable.wait(left)

    def _reply(self, ex: Exchange, served: "Served") -> str:
        """Write the answer; returns its status or the code of the error."""
        if served.answer is not None:
            ex.send_answer(served.answer, self._cfg.vm, self._board.leaving)
            return str(served.answer.status)
        assert served.error is not None
        self._send_error(ex, served.error)
        return served.error.code.value

    def _leave(self, served: "Served") -> None:
        if served.entered:
            served.entered = False
            self.in_flight.leave()

    def _send_error(self, ex: Exchange, exc: RequestError) -> None:
        log.info(
            "request-failed-here",
            id=ex.headers.get(self._names.request_id, ""),
            code=exc.code.value,
            status=exc.status,
            verdict=exc.verdict.value,
            error=exc.message,
        )
        ex.send_error(exc, self._cfg.vm, self._board.leaving, fractions=True)


def _stopped(exc: RequestError) -> RequestError:
    """Return what the caller of a request is told that was given up at a stop."""
    if exc.code is not Code.CANCELLED:
        return exc
    text = "this VM stops before an instance has answered"
    if exc.verdict is Verdict.NOT_RUN:
        return RequestError(Code.STOPPED, text, exc.verdict, 503, ENDING_RETRY_S)
    return RequestError(Code.STOPPED, text, exc.verdict, 504)
