"""What one VM knows of one service: how long it takes, how often it fails, and who waits for it."""

from collections import deque
from dataclasses import dataclass, field

from gypsumwind.core.instances import NO_EVIDENCE, Outcome
from gypsumwind.core.placing import Wanted

WORK_WEIGHT = 0.05
"""Weight of one answer in the mean time of a service."""

FIRST_WORK_S = 0.5
"""Time that a request is taken to need before any answer was seen, in seconds."""

SERVICE_FAILURE_WEIGHT = 0.02
"""Weight of one result in a service's share of failures: some fifty results, over its instances."""

RATE_WINDOW_S = 1.0
"""Time over which the requests placed are counted, to tell how long a queue will last."""


@dataclass(slots=True)
class Waiting:
    """A request that waits for room, and since when."""

    wanted: Wanted
    since: float


@dataclass(slots=True)
class ServiceState:
    """Mean time of a service's requests, its share of failures, and those that wait for room."""

    work_s: float = FIRST_WORK_S
    failures: float = 0.0
    waiting: list[Waiting] = field(default_factory=list)
    placed: deque[float] = field(default_factory=deque)

    def took(self, seconds: float) -> None:
        """Take in the time of an answer."""
        self.work_s += WORK_WEIGHT * (seconds - self.work_s)

    def observe(self, outcome: str) -> None:
        """Take in how a send to any instance of the service ended."""
        if outcome not in NO_EVIDENCE:
            bad = outcome != Outcome.OK
            self.failures += SERVICE_FAILURE_WEIGHT * (bad - self.failures)

    def in_time(self, wanted: Wanted, now: float) -> bool:
        """Tell whether a request can still be answered within its objective."""
        return now + self.work_s <= (wanted.objective or wanted.deadline)

    def order(self, entry: Waiting, now: float) -> tuple[int, bool, float]:
        """Return the place in the queue: priority, then those still in time, then the deadline."""
        wanted = entry.wanted
        return wanted.priority, not self.in_time(wanted, now), wanted.deadline

    def rate(self, least: float, now: float) -> float:
        """Return the requests that were placed a second lately, `least` while there were few."""
        while self.placed and self.placed[0] <= now - RATE_WINDOW_S:
            self.placed.popleft()
        return max(least, len(self.placed) / RATE_WINDOW_S)
