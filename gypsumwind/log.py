"""Logging: lines of `event key=value ...` with stable event names, on standard output.

A token bucket per event limits the rate of lines, and callers never block on the output: a thread
writes queued lines, and lines that find the queue full are dropped. Lines that are suppressed by
the rate limit or dropped are counted.
"""

import queue
import sys
import threading
import time
from typing import TextIO

from logbook import Handler, Logger, LogRecord

FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel} {record.message}"

LINES_PER_S = 200.0
"""Sustained rate of lines of one event: two for each request of the planned load."""

BURST_LINES = 400.0
"""Lines of one event that may be written in a burst."""

MAX_QUEUED_LINES = 5000
"""Bound of the queue of lines to write: about 1 MB."""

MAX_VALUE_CHARS = 1000
"""Longest text in a line; ids and paths are as long as callers make them."""

BATCH_PAUSE_S = 0.05
"""Pause of the writer, so that one write covers many lines."""

REPORT_PERIOD_S = 5.0
"""Period of reports of suppressed and dropped lines."""

FLUSH_TIMEOUT_S = 0.5
"""Longest wait for queued lines to be written when the process exits."""


class LineTokenBucket:
    """Token bucket for the lines of one event: `rate` tokens a second, `burst` at most."""

    __slots__ = ("_rate", "_burst", "_tokens", "_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = now

    def take(self, now: float) -> bool:
        """Take the token of one line; return False if there is none."""
        self._tokens = min(self._burst, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class LogCounts:
    """Counts of lines not written: suppressed by the rate limit, or dropped at a full queue."""

    __slots__ = ("suppressed", "dropped")

    def __init__(self) -> None:
        self.suppressed = 0
        self.dropped = 0


line_counts = LogCounts()
_buckets: dict[str, LineTokenBucket] = {}


class Log:
    """A logger whose lines start with an event name, followed by key=value pairs."""

    __slots__ = ("_logger", "_channel")

    def __init__(self, channel: str) -> None:
        self._logger = Logger(channel)
        self._channel = channel

    def info(self, event: str, **values: object) -> None:
        """Log a decision or a change of state."""
        if self._within_budget(event):
            self._logger.info("{}", _LazyLine(event, values))

    def warning(self, event: str, **values: object) -> None:
        """Log a change of state that may require an operator's attention."""
        if self._within_budget(event):
            self._logger.warning("{}", _LazyLine(event, values))

    def error(self, event: str, **values: object) -> None:
        """Log a fault of the program or its environment."""
        if self._within_budget(event):
            self._logger.error("{}", _LazyLine(event, values))

    def _within_budget(self, event: str) -> bool:
        now = time.monotonic()
        key = f"{self._channel} {event}"
        bucket = _buckets.get(key)
        if bucket is None:
            bucket = _buckets.setdefault(key, LineTokenBucket(LINES_PER_S, BURST_LINES, now))
        if bucket.take(now):
            return True
        line_counts.suppressed += 1
        return False


class _LazyLine:
    """A line that is formatted only when a handler emits it."""

    __slots__ = ("_event", "_values")

    def __init__(self, event: str, values: dict[str, object]) -> None:
        self._event = event
        self._values = values

    def __str__(self) -> str:
        pairs = "".join(f" {key}={_shortened(value)}" for key, value in self._values.items())
        return self._event + pairs

    def __format__(self, spec: str) -> str:
        return str(self)


def _shortened(value: object) -> str:
    """Return the representation of a value, of a long one its begin and its length."""
    if isinstance(value, str) and len(value) > MAX_VALUE_CHARS:
        return f"{value[:MAX_VALUE_CHARS]!r}...({len(value)})"
    return repr(value)


class QueueHandler(Handler):
    """Queues lines for a writer thread; never blocks on the output."""

    def __init__(self, stream: TextIO, level: str) -> None:
        super().__init__(level=level)
        self.format_string = FORMAT
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self._report_at = time.monotonic() + REPORT_PERIOD_S
        self._reported = (0, 0)
        self._idle = threading.Event()
        self._thread = threading.Thread(target=self._run_writer, name="log", daemon=True)
        self._thread.start()

    def emit(self, record: LogRecord) -> None:
        """Queue a line, or drop it if the queue is full."""
        self._idle.clear()
        try:
            self._lines.put_nowait(FORMAT.format(record=record))
        except queue.Full:
            line_counts.dropped += 1

    def wait_until_written(self) -> None:
        """Wait up to FLUSH_TIMEOUT_S until the queued lines are written."""
        self._idle.wait(FLUSH_TIMEOUT_S)

    def _run_writer(self) -> None:
        while True:
            lines = [self._lines.get()]
            time.sleep(BATCH_PAUSE_S)
            lines += [self._lines.get_nowait() for _ in range(self._lines.qsize())]
            try:
                self._stream.write("\n".join(lines) + "\n" + self._report())
                self._stream.flush()
            except (OSError, ValueError):
                line_counts.dropped += len(lines)
            if self._lines.empty():
                self._idle.set()

    def _report(self) -> str:
        """Return a line with the counts of lines not written, at most once a period."""
        now, current = time.monotonic(), (line_counts.suppressed, line_counts.dropped)
        if now < self._report_at or current == self._reported:
            return ""
        self._report_at, self._reported = now + REPORT_PERIOD_S, current
        return f"lines-not-written suppressed={current[0]} dropped={current[1]}\n"


_handler: QueueHandler | None = None


def start_logging(level: str) -> None:
    """Log lines of at least `level` to standard output."""
    global _handler
    _handler = QueueHandler(sys.stdout, level)
    _handler.push_application()


def flush_logging() -> None:
    """Wait for queued lines to be written, before the process exits."""
    if _handler is not None:
        _handler.wait_until_written()
