"""Logs: lines of `event key=value ...` with stable event names, for changes of state only."""

import sys

from logbook import Logger, StreamHandler

FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel} {record.message}"


class Log:
    """A logger whose lines start with an event name; values follow as key=value."""

    __slots__ = ("_logger",)

    def __init__(self, channel: str) -> None:
        self._logger = Logger(channel)

    def info(self, event: str, **values: object) -> None:
        """Log a change of state."""
        self._logger.info("{}", _Line(event, values))

    def warning(self, event: str, **values: object) -> None:
        """Log a change of state that an operator may want to look into."""
        self._logger.warning("{}", _Line(event, values))

    def error(self, event: str, **values: object) -> None:
        """Log a fault of the program or its surroundings."""
        self._logger.error("{}", _Line(event, values))


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


def start_logging(level: str) -> None:
    """Send lines of at least `level` to standard error."""
    StreamHandler(sys.stderr, level=level, format_string=FORMAT).push_application()
