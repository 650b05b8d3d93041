"""The port for callers on the direct way: every request on it is to be forwarded."""

from gypsumwind.board import Board
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.forwarders import Forwarder
from gypsumwind.hangups import HangupTask
from gypsumwind.log import Log
from gypsumwind.metrics import Metrics
from gypsumwind.servers import Exchange, InFlight, internal_error
from gypsumwind.settings import Settings
from gypsumwind.steering import HeaderNames
from gypsumwind.utils import monotonic

log = Log("fronts")

SPARE_THREADS = 8
"""Threads that stay free to refuse what is beyond the limit."""

BUSY_RETRY_S = 0.5
"""When to come back to a VM that has as many requests as it can hold."""


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

    def handle(self, ex: Exchange) -> None:
        """Answer one request."""
        arrived = monotonic()
        rule_name, code = "none", "cut"
        verdict = Verdict.MAY_HAVE_RUN
        entered = self.in_flight.enter()
        try:
            if not entered:
                text = "too many requests are in flight at this VM"
                raise RequestError(Code.NO_CAPACITY, text, Verdict.NOT_RUN, 503, BUSY_RETRY_S)
            rule = self._forwarder.rule_for(ex)
            rule_name = rule.name
            with self._hangups.watching(ex.socket):
                answer = self._forwarder.serve(ex, rule, arrived)
                verdict, code = answer.verdict, str(answer.status)
                ex.send_answer(answer, self._cfg.vm, self._board.leaving)
        except RequestError as exc:
            verdict, code = exc.verdict, exc.code.value
            self._send_error(ex, exc)
        except OSError:
            raise
        except Exception as exc:
            if ex.started:
                raise
            fault = internal_error(exc)
            code = fault.code.value
            self._send_error(ex, fault)
        finally:
            if entered:
                self.in_flight.leave()
            seconds = monotonic() - arrived
            self._metrics.request(rule_name, "-", "-", verdict.value, code, seconds)

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
