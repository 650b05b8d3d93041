"""State of one service in one VM's view: its mean service time, failure rate and queue."""

from collections import deque
from dataclasses import dataclass, field

from gypsumwind.core.decisions import PlacementRequest
from gypsumwind.core.instances import NEUTRAL_OUTCOMES, Outcome

SERVICE_TIME_WEIGHT = 0.05
"""Weight of one response in the moving average of the service time."""

INITIAL_SERVICE_TIME_S = 0.5
"""Assumed service time before the first response, in seconds."""

SERVICE_FAILURE_WEIGHT = 0.02
"""Weight of one result in the moving average of a service's failure rate: it covers about fifty
results, over all of its instances."""

RATE_WINDOW_S = 1.0
"""Window over which placed requests are counted, in seconds, to estimate the wait in the queue."""


@dataclass(slots=True)
class QueuedRequest:
    """A request in the queue and the time at which it was queued."""

    request: PlacementRequest
    enqueued_at: float


@dataclass(slots=True)
class ServiceState:
    """Mean service time, failure rate, queue and recent placements of a service."""

    service_time_s: float = INITIAL_SERVICE_TIME_S
    failure_rate: float = 0.0
    queue: list[QueuedRequest] = field(default_factory=list)
    placement_times: deque[float] = field(default_factory=deque)

    def record_service_time(self, seconds: float) -> None:
        """Update the mean service time by the duration of a successful send."""
        self.service_time_s += SERVICE_TIME_WEIGHT * (seconds - self.service_time_s)

    def observe(self, outcome: str) -> None:
        """Update the failure rate by the outcome of a send to any instance of the service."""
        if outcome not in NEUTRAL_OUTCOMES:
            failed = outcome != Outcome.OK
            self.failure_rate += SERVICE_FAILURE_WEIGHT * (failed - self.failure_rate)

    def meets_objective(self, request: PlacementRequest, now: float) -> bool:
        """Return whether a request can still meet its objective."""
        return now + self.service_time_s <= (request.objective or request.deadline)

    def queue_order(self, entry: QueuedRequest, now: float) -> tuple[int, bool, float]:
        """Return the sort key in the queue: priority, then those in time first, then deadline."""
        request = entry.request
        return request.priority, not self.meets_objective(request, now), request.deadline

    def placement_rate(self, minimum: float, now: float) -> float:
        """Return the recent placements per second, at least `minimum`."""
        while self.placement_times and self.placement_times[0] <= now - RATE_WINDOW_S:
            self.placement_times.popleft()
        return max(minimum, len(self.placement_times) / RATE_WINDOW_S)
