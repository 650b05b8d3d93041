"""Logs: lines of `event key=value ...` with stable event names, on standard output.

The volume is bounded by a budget of lines for each event, and nobody waits for the output: a
thread writes what is queued, and lines that find the queue full are dropped. Both are counted.
"""

import queue
import sys
import threading
import time
from typing import TextIO

from logbook import Handler, Logger, LogRecord

FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel} {record.message}"

LINES_PER_S = 200.0
"""Lines of one event a second that are written in the long run: two for each request planned."""

BURST_LINES = 400.0
"""Lines of one event that may come at once."""

QUEUE_LINES = 5000
"""Lines that wait for the output at most: about 1 MB."""

BATCH_S = 0.05
"""Pause of the writer, so that many lines go out in one write."""

REPORT_S = 5.0
"""Period in which suppressed and dropped lines are told."""

END_S = 0.5
"""Longest wait for the output at the end of the process."""


class LineBudget:
    """Tokens for the lines of one event, `rate` a second and `burst` at most."""

    __slots__ = ("_rate", "_burst", "_tokens", "_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = now

    def take(self, now: float) -> bool:
        """Take the token of one line; False when there is none."""
        self._tokens = min(self._burst, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class LogCounts:
    """Lines that were not written: suppressed by the budget, or dropped at a full queue."""

    __slots__ = ("suppressed", "dropped")

    def __init__(self) -> None:
        self.suppressed = 0
        self.dropped = 0


counts = LogCounts()
_budgets: dict[str, LineBudget] = {}


class Log:
    """A logger whose lines start with an event name; values follow as key=value."""

    __slots__ = ("_logger", "_channel")

    def __init__(self, channel: str) -> None:
        self._logger = Logger(channel)
        self._channel = channel

    def info(self, event: str, **values: object) -> None:
        """Log a decision or a change of state."""
        if self._allowed(event):
            self._logger.info("{}", _Line(event, values))

    def warning(self, event: str, **values: object) -> None:
        """Log a change of state that an operator may want to look into."""
        if self._allowed(event):
            self._logger.warning("{}", _Line(event, values))

    def error(self, event: str, **values: object) -> None:
        """Log a fault of the program or its surroundings."""
        if self._allowed(event):
            self._logger.error("{}", _Line(event, values))

    def _allowed(self, event: str) -> bool:
        now = time.monotonic()
        key = f"{self._channel} {event}"
        budget = _budgets.get(key)
        if budget is None:
            budget = _budgets.setdefault(key, LineBudget(LINES_PER_S, BURST_LINES, now))
        if budget.take(now):
            return True
        counts.suppressed += 1
        return False


class _Line:
    """A line that is put together only when it is written."""

    __slots__ = ("_event", "_values")

    def __init__(self, event: str, values: dict[str, object]) -> None:
        self._event = event
        self._values = values

    def __str__(self) -> str:
        pairs = "".join(f" {key}={value!r}" for key, value in self._values.items())
        return self._event + pairs

    def __format__(self, spec: str) -> str:
        return str(self)


class QueueHandler(Handler):
    """Hands lines to a thread that writes them; never waits for the output."""

    def __init__(self, stream: TextIO, level: str) -> None:
        super().__init__(level=level)
        self.format_string = FORMAT
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(QUEUE_LINES)
        self._report_at = time.monotonic() + REPORT_S
        self._reported = (0, 0)
        self._idle = threading.Event()
        self._thread = threading.Thread(target=self._write_on, name="log", daemon=True)
        self._thread.start()

    def emit(self, record: LogRecord) -> None:
        """Queue a line, or drop it when too many wait."""
        self._idle.clear()
        try:
            self._lines.put_nowait(FORMAT.format(record=record))
        except queue.Full:
            counts.dropped += 1

    def end(self) -> None:
        """Give the writer a moment for what is queued."""
        self._idle.wait(END_S)

    def _write_on(self) -> None:
        while True:
            lines = [self._lines.get()]
            time.sleep(BATCH_S)
            lines += [self._lines.get_nowait() for _ in range(self._lines.qsize())]
            try:
                self._stream.write("\n".join(lines) + "\n" + self._report())
                self._stream.flush()
            except (OSError, ValueError):
                counts.dropped += len(lines)
            if self._lines.empty():
                self._idle.set()

    def _report(self) -> str:
        """Return a line on what was not written, at most once a period."""
        now, present = time.monotonic(), (counts.suppressed, counts.dropped)
        if now < self._report_at or present == self._reported:
            return ""
        self._report_at, self._reported = now + REPORT_S, present
        return f"lines-not-written suppressed={present[0]} dropped={present[1]}\n"


_handler: QueueHandler | None = None


def start_logging(level: str) -> None:
    """Send lines of at least `level` to standard output."""
    global _handler
    _handler = QueueHandler(sys.stdout, level)
    _handler.push_application()


def end_logging() -> None:
    """Write what is queued, before the process ends."""
    if _handler is not None:
        _handler.end()
