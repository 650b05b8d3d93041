"""What one VM knows of one instance: its load, and whether it may get requests.

Answers to lagging and missing measurements: an instance's load is told on its answers only, so it
is what was told last, aged to its mean, plus this VM's own sends; its health is how sends end.
"""

import math
from dataclasses import dataclass

from gypsumwind.core.upstreams import Upstream

LOAD_DECAY_S = 0.5
"""Age at which a report of an instance's load counts for a third against its mean."""

MEAN_WEIGHT = 0.1
"""Weight of one report in the mean load by other VMs."""

FAILURE_WEIGHT = 0.25
"""Weight of one result in an instance's share of failures."""

EJECT_ABOVE = 0.55
"""Share of failures above which an instance is left out: three in a row, from none."""

EJECT_MARGIN = 0.4
"""How far an instance's share of failures has to lie above its service's for that: where all
instances fail alike, leaving some out only makes objects cold at the others. Two standard
deviations of the share of an instance that fails half of its requests: sqrt(w / (2 - w)) / 2."""

EJECT_S = 1.0
MAX_EJECT_S = 8.0
"""First and longest time for which an instance is left out; doubled while its trials fail."""


class Outcome:
    """How a send ended, as evidence about the instance."""

    OK = "ok"
    FAILED = "failed"
    SHED = "shed"
    SLOW = "slow"
    CUT = "cut"
    UNREACHABLE = "unreachable"
    MISDIRECTED = "misdirected"
    LATE = "late"
    CANCELLED = "cancelled"


NO_EVIDENCE = frozenset((Outcome.CANCELLED, Outcome.MISDIRECTED, Outcome.LATE))
"""Outcomes that tell nothing of an instance's health."""


@dataclass(slots=True, frozen=True)
class ReportedLoad:
    """What an instance says of itself: requests that run and wait, and its slots."""

    running: int
    waiting: int
    slots: int


class Lane:
    """What this VM knows of one instance."""

    __slots__ = (
        "upstream",
        "region",
        "own",
        "others",
        "mean_others",
        "heard_at",
        "failures",
        "ejected_until",
        "eject_s",
        "cold_until",
        "cold_next",
        "paused_until",
        "leaving",
        "departing",
        "misdirected",
    )

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.region = ""
        self.own = 0
        self.others = 0.0
        self.mean_others = 0.0
        self.heard_at = -math.inf
        self.failures = 0.0
        self.ejected_until = -math.inf
        self.eject_s = EJECT_S
        self.cold_until = -math.inf
        self.cold_next = -math.inf
        self.paused_until = -math.inf
        self.leaving = False
        self.departing = False
        self.misdirected = False

    @property
    def listed(self) -> bool:
        """Tell whether the entry holds: the instance stays, and is where the entry says."""
        return not self.leaving and not self.departing and not self.misdirected

    def load(self, now: float) -> float:
        """Return the requests that the instance is taken to have: own ones and other VMs'."""
        fresh = math.exp(-max(0.0, now - self.heard_at) / LOAD_DECAY_S)
        return self.own + self.mean_others + (self.others - self.mean_others) * fresh

    def share(self, now: float) -> float:
        """Return the load as a part of the slots."""
        return self.load(now) / max(1, self.upstream.slots)

    def hear(self, report: ReportedLoad, now: float) -> None:
        """Take in what the instance said of its load."""
        self.others = max(0.0, report.running + report.waiting - self.own)
        self.mean_others += MEAN_WEIGHT * (self.others - self.mean_others)
        self.heard_at = now

    def observe(self, outcome: str, usual: float, now: float) -> None:
        """Take in how a send ended; `usual` is the share of failures of its whole service."""
        self.misdirected |= outcome == Outcome.MISDIRECTED
        if outcome in NO_EVIDENCE:
            return
        bad = outcome != Outcome.OK
        self.failures += FAILURE_WEIGHT * (bad - self.failures)
        if not bad and self.failures < EJECT_ABOVE / 2:
            self.eject_s = EJECT_S
        limit = max(EJECT_ABOVE, usual + EJECT_MARGIN)
        if outcome == Outcome.UNREACHABLE or self.failures > limit:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Leave the instance out for a while; a trial follows."""
        if now < self.ejected_until:
            return
        self.ejected_until = now + self.eject_s
        self.eject_s = min(MAX_EJECT_S, 2 * self.eject_s)
        self.failures = EJECT_ABOVE

    def leave_out(self, until: float) -> None:
        """Leave the instance out, if there is another, for a reason that is no failure."""
        self.ejected_until = max(self.ejected_until, until)
