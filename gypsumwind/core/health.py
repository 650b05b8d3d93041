"""Evidence about an upstream instance: passive results first, its endpoints with an age."""

from dataclasses import dataclass
from enum import Enum

from gypsumwind.core.choice import PeakEwma

FAILURES_TO_EJECT = 5
EJECT_S = 2.0
MAX_EJECT_S = 30.0
WARM_S = 5.0
EVIDENCE_AGE_S = 10.0
SIGNAL_S = 30.0
UNLIMITED = 1_000_000


class Result(Enum):
    """How a request to an instance ended, as evidence of its health."""

    OK = "ok"
    FAILED = "failed"
    CUT = "cut"
    UNREACHABLE = "unreachable"
    SHED = "shed"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What the load endpoint said, and when it was heard."""

    in_flight: int
    heard_at: float


class Health:
    """Health of one instance: ejection, slow start, and whether any source says it leaves."""

    __slots__ = (
        "latency",
        "load",
        "_failures",
        "_eject_s",
        "_ejected_until",
        "_trial",
        "_leaving",
        "_signal_until",
        "_ill_at",
        "_warm_from",
    )

    def __init__(self) -> None:
        self.latency = PeakEwma()
        self.load: LoadReport | None = None
        self._failures = 0
        self._eject_s = EJECT_S
        self._ejected_until = 0.0
        self._trial = False
        self._leaving: set[str] = set()
        self._signal_until = 0.0
        self._ill_at: float | None = None
        self._warm_from: float | None = None

    def serving(self, now: float) -> bool:
        """Tell whether the instance takes new work: not leaving and not ejected."""
        return not self.leaving(now) and not self.ejected(now)

    def ejected(self, now: float) -> bool:
        """Tell whether failures keep the instance out for now."""
        return now < self._ejected_until

    def leaving(self, now: float) -> bool:
        """Tell whether any source says that the instance is leaving."""
        return bool(self._leaving) or now < self._signal_until

    def ill(self, now: float) -> bool:
        """Tell whether the health endpoint lately said ill; only a preference follows."""
        return self._ill_at is not None and now - self._ill_at < EVIDENCE_AGE_S

    def allowance(self, now: float) -> int:
        """Return the requests in flight that slow start allows."""
        if self._trial:
            return 1
        if self._warm_from is None:
            return UNLIMITED
        age = now - self._warm_from
        if age >= WARM_S:
            self._warm_from = None
            return UNLIMITED
        return 1 + int(age)

    def set_leaving(self, source: str, leaving: bool) -> None:
        """Take what a lasting source (table, health endpoint, VM list) says."""
        if leaving:
            self._leaving.add(source)
        else:
            self._leaving.discard(source)

    def signal_leaving(self, now: float) -> None:
        """An answer carried the signal that the instance is draining."""
        self._signal_until = now + SIGNAL_S

    def set_ill(self, ill: bool, now: float) -> None:
        """Take what the health endpoint says."""
        self._ill_at = now if ill else None

    def observe(self, result: Result, latency_s: float, now: float, may_eject: bool) -> bool:
        """Take in how a request ended; True when the instance is now ejected."""
        if result in (Result.CANCELLED, Result.SHED, Result.NOT_SENT):
            return False
        if result is Result.OK:
            self._recover(now)
            self.latency.observe(latency_s)
            return False
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT and not self._trial:
            return False
        if not may_eject:
            return False
        self._ejected_until = now + self._eject_s
        self._eject_s = min(MAX_EJECT_S, self._eject_s * 2)
        self._trial = True
        return True

    def _recover(self, now: float) -> None:
        if self._trial:
            self._warm_from = now
        self._trial = False
        self._failures = 0
        self._eject_s = EJECT_S
