"""Periodic tasks: threads that do blocking work and send messages to actors."""

import threading
from types import TracebackType

from gypsumwind.log import Log

log = Log("tasks")


class Task(threading.Thread):
    """A thread that calls step() once a period, until its context exits."""

    def __init__(self, name: str, period_s: float) -> None:
        super().__init__(name=name, daemon=True)
        self._period_s = period_s
        self._stopped = threading.Event()
        self._failing = False

    def step(self) -> None:
        """Do the work of one period."""
        raise NotImplementedError

    def pause_s(self) -> float:
        """Return the seconds until the next step."""
        return self._period_s

    def run(self) -> None:
        """Call step() until the task is stopped; log the first error of a series."""
        while not self._stopped.is_set():
            self._step_logging_errors()
            self._stopped.wait(self.pause_s())

    def _step_logging_errors(self) -> None:
        try:
            self.step()
            self._failing = False
        except Exception as exc:
            if not self._failing:
                log.error("task-failed", task=self.name, error=f"{type(exc).__name__}: {exc}")
            self._failing = True

    def stop(self) -> None:
        """Stop the task after its current step."""
        self._stopped.set()

    def __enter__(self) -> "Task":
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()
