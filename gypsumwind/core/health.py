"""Health of an upstream instance: request results, and health reports that expire."""

from dataclasses import dataclass
from enum import Enum

from gypsumwind.core.choice import PeakEwma

FAILURES_TO_EJECT = 5
EJECT_S = 2.0
MAX_EJECT_S = 30.0
SLOW_START_S = 5.0
UNHEALTHY_TTL_S = 10.0
DRAIN_SIGNAL_TTL_S = 30.0
UNLIMITED = 1_000_000


class Result(Enum):
    """Result of a request to an instance, as input to outlier ejection."""

    OK = "ok"
    FAILED = "failed"
    CUT = "cut"
    UNREACHABLE = "unreachable"
    SHED = "shed"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


@dataclass(slots=True, frozen=True)
class LoadReport:
    """In-flight count from the load endpoint, and when it was received."""

    in_flight: int
    received_at: float


class Health:
    """Health of one instance: outlier ejection, slow start, and drain state by source."""

    __slots__ = (
        "latency",
        "load",
        "_failures",
        "_eject_s",
        "_ejected_until",
        "_on_trial",
        "_draining_sources",
        "_drain_signal_until",
        "_unhealthy_at",
        "_slow_start_from",
    )

    def __init__(self) -> None:
        self.latency = PeakEwma()
        self.load: LoadReport | None = None
        self._failures = 0
        self._eject_s = EJECT_S
        self._ejected_until = 0.0
        self._on_trial = False
        self._draining_sources: set[str] = set()
        self._drain_signal_until = 0.0
        self._unhealthy_at: float | None = None
        self._slow_start_from: float | None = None

    def serving(self, now: float) -> bool:
        """Return whether the instance accepts new work: neither draining nor ejected."""
        return not self.draining(now) and not self.ejected(now)

    def ejected(self, now: float) -> bool:
        """Return whether the instance is ejected for failures."""
        return now < self._ejected_until

    def draining(self, now: float) -> bool:
        """Return whether any source reports the instance as draining."""
        return bool(self._draining_sources) or now < self._drain_signal_until

    def unhealthy(self, now: float) -> bool:
        """Return whether the last health check failed recently; this only lowers preference."""
        return self._unhealthy_at is not None and now - self._unhealthy_at < UNHEALTHY_TTL_S

    def allowance(self, now: float) -> int:
        """Return the limit on requests in flight: 1 on trial after an ejection, then slow start."""
        if self._on_trial:
            return 1
        if self._slow_start_from is None:
            return UNLIMITED
        age = now - self._slow_start_from
        if age >= SLOW_START_S:
            self._slow_start_from = None
            return UNLIMITED
        return 1 + int(age)

    def set_draining(self, source: str, draining: bool) -> None:
        """Set the drain state from a persistent source (table, health endpoint, VM list)."""
        if draining:
            self._draining_sources.add(source)
        else:
            self._draining_sources.discard(source)

    def signal_draining(self, now: float) -> None:
        """Record a drain signal from an answer; it expires after DRAIN_SIGNAL_TTL_S."""
        self._drain_signal_until = now + DRAIN_SIGNAL_TTL_S

    def set_unhealthy(self, unhealthy: bool, now: float) -> None:
        """Record the result of a health check."""
        self._unhealthy_at = now if unhealthy else None

    def observe(self, result: Result, latency_s: float, now: float, may_eject: bool) -> bool:
        """Record the result of a request; return True if it ejects the instance."""
        if result in (Result.CANCELLED, Result.SHED, Result.NOT_SENT):
            return False
        if result is Result.OK:
            self._recover(now)
            self.latency.observe(latency_s)
            return False
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT and not self._on_trial:
            return False
        if not may_eject:
            return False
        self._ejected_until = now + self._eject_s
        self._eject_s = min(MAX_EJECT_S, self._eject_s * 2)
        self._on_trial = True
        return True

    def _recover(self, now: float) -> None:
        if self._on_trial:
            self._slow_start_from = now
        self._on_trial = False
        self._failures = 0
        self._eject_s = EJECT_S
