"""State of one upstream instance in one VM's view: its load, and whether it may get requests.

Handles stale and missing load reports: an instance reports its load only in responses, so the load
is the last report, decayed towards the mean, plus this VM's own requests in flight. Its health is
derived from the outcomes of sends.
"""

import math
from dataclasses import dataclass

from gypsumwind.core.rate_limits import Pacer
from gypsumwind.core.upstreams import Upstream

LOAD_DECAY_S = 0.5
"""Age at which the weight of a load report against the mean load has decayed to a third (1/e)."""

MEAN_LOAD_WEIGHT = 0.1
"""Weight of one report in the moving average of the load by other VMs."""

FAILURE_WEIGHT = 0.25
"""Weight of one result in the moving average of an instance's failure rate."""

EJECT_THRESHOLD = 0.55
"""Failure rate above which an instance is ejected: three failures in a row, starting from 0."""

EJECT_MARGIN = 0.4
"""Minimum excess of an instance's failure rate over that of its service for an ejection: if all
instances fail alike, ejecting some only sends objects to others that have not cached them. Two
standard deviations of the failure rate of an instance that fails half of its requests, each
sqrt(w / (2 - w)) / 2."""

EJECT_S = 1.0
MAX_EJECT_S = 8.0
"""First and longest ejection time, in seconds; doubled while the instance fails again after it."""


class Outcome:
    """Result of a send, from which the health of the instance is derived."""

    OK = "ok"
    FAILED = "failed"
    SHED = "shed"
    SLOW = "slow"
    CUT = "cut"
    UNREACHABLE = "unreachable"
    MISDIRECTED = "misdirected"
    LATE = "late"
    CANCELLED = "cancelled"


NEUTRAL_OUTCOMES = frozenset((Outcome.CANCELLED, Outcome.MISDIRECTED, Outcome.LATE))
"""Outcomes that do not count for or against an instance's health."""


@dataclass(slots=True, frozen=True)
class ReportedLoad:
    """Load report of an instance: its running and queued requests, and its slots."""

    running: int
    waiting: int
    slots: int


class InstanceState:
    """Load, health and availability of one instance in this VM's view."""

    __slots__ = (
        "upstream",
        "region",
        "own_in_flight",
        "other_load",
        "mean_other_load",
        "reported_at",
        "failure_rate",
        "ejected_until",
        "eject_s",
        "cold_until",
        "listed_cold_until",
        "next_cold_send_at",
        "paused_until",
        "rate_limit",
        "pacer",
        "marked_draining",
        "departing",
        "misdirected",
    )

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.region = ""
        self.own_in_flight = 0
        self.other_load = 0.0
        self.mean_other_load = 0.0
        self.reported_at = -math.inf
        self.failure_rate = 0.0
        self.ejected_until = -math.inf
        self.eject_s = EJECT_S
        self.cold_until = -math.inf
        self.listed_cold_until = -math.inf
        self.next_cold_send_at = -math.inf
        self.paused_until = -math.inf
        self.rate_limit = math.inf
        self.pacer = Pacer()
        self.marked_draining = False
        self.departing = False
        self.misdirected = False

    @property
    def available(self) -> bool:
        """Return whether the entry is valid: the instance is not stopping and is at its address."""
        return not self.marked_draining and not self.departing and not self.misdirected

    def load(self, now: float) -> float:
        """Return the estimated number of requests at the instance: this VM's and other VMs'."""
        freshness = math.exp(-max(0.0, now - self.reported_at) / LOAD_DECAY_S)
        return (
            self.own_in_flight
            + self.mean_other_load
            + (self.other_load - self.mean_other_load) * freshness
        )

    def utilization(self, now: float) -> float:
        """Return the load as a fraction of the slots."""
        return self.load(now) / max(1, self.upstream.slots)

    def update_load(self, report: ReportedLoad, now: float) -> None:
        """Update the load by other VMs from a report of the instance."""
        self.other_load = max(0.0, report.running + report.waiting - self.own_in_flight)
        self.mean_other_load += MEAN_LOAD_WEIGHT * (self.other_load - self.mean_other_load)
        self.reported_at = now

    def observe(self, outcome: str, service_failure_rate: float, now: float) -> None:
        """Update the failure rate; eject the instance if it is too far above its service's."""
        self.misdirected |= outcome == Outcome.MISDIRECTED
        if outcome in NEUTRAL_OUTCOMES:
            return
        failed = outcome != Outcome.OK
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate)
        if not failed and self.failure_rate < EJECT_THRESHOLD / 2:
            self.eject_s = EJECT_S
        limit = max(EJECT_THRESHOLD, service_failure_rate + EJECT_MARGIN)
        if outcome == Outcome.UNREACHABLE or self.failure_rate > limit:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Eject the instance for a time that doubles with each ejection."""
        if now < self.ejected_until:
            return
        self.ejected_until = now + self.eject_s
        self.eject_s = min(MAX_EJECT_S, 2 * self.eject_s)
        self.failure_rate = EJECT_THRESHOLD

    def forget_failures(self) -> None:
        """Forget the failures of the instance, and that it may have restarted."""
        self.ejected_until = -math.inf
        self.failure_rate = 0.0
        self.eject_s = EJECT_S
        self.cold_until = self.listed_cold_until

    def mark_cold(self, until: float, listed: bool) -> None:
        """Treat the instance as cold until a time, as `listed` or because of a failure."""
        self.cold_until = max(self.cold_until, until)
        if listed:
            self.listed_cold_until = max(self.listed_cold_until, until)

    def eject_until(self, until: float) -> None:
        """Eject the instance at least until the given time, without counting a failure."""
        self.ejected_until = max(self.ejected_until, until)
