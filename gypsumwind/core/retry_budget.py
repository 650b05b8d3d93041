"""Retry budget of a fleet: each VM stays within its own share without coordination.

A service may get `ratio` retries for each request of callers plus `headroom` in any window. The
budget of a VM is a token bucket that starts empty. A request adds a fraction of a retry, and so
does time, for the VM's share of the headroom; what is saved is bounded by the requests of the last
window and the share.

In any window the retries are at most those saved at its begin and those added in it: fractions of
the requests of the window before and of this one. Each request is counted by one process, so this
holds however often VMs restart or are replaced, and wherever callers move: a process that has
started has nothing saved that its predecessor may have used.

Time adds nothing while a VM does not know the size of the fleet, as its share would be too large.
"""

from collections import deque
from dataclasses import dataclass

EARNED_FACTOR = 0.45
SAVED_FACTOR = 0.45
"""Fraction of the ratio that each request adds, and the one that the requests of a window allow to
be saved. Together they are less than 1."""

EARNED_HEADROOM_FACTOR = 0.3
SAVED_HEADROOM_FACTOR = 0.5
"""The same of the headroom: the fraction that is added in a window, and the one that can be saved.
VMs' views of the size of the fleet differ for a while."""

FILL_WINDOWS = SAVED_HEADROOM_FACTOR / EARNED_HEADROOM_FACTOR
"""Windows of time that add all of the headroom that can be saved."""


@dataclass(slots=True, frozen=True)
class RetryLimits:
    """Limits of a service's retries in any window of `window_s` seconds, over all VMs."""

    ratio: float
    headroom: float
    window_s: float


class FleetRetryBudget:
    """Retries to one service from one VM, one of `vms`.

    Time adds tokens from `filled_at` on; -inf if no process can have used any before this one. A
    retry that waits for an instance takes up room in the bucket until it is sent.
    """

    __slots__ = ("_limits", "_requests", "_tokens", "_filled_at", "_waiting")

    def __init__(self, limits: RetryLimits, filled_at: float) -> None:
        self._limits = limits
        self._requests: deque[float] = deque()
        self._tokens = 0.0
        self._filled_at = filled_at
        self._waiting: dict[int, float] = {}

    def set_limits(self, limits: RetryLimits) -> None:
        """Change the limits; retries already granted stay granted."""
        self._limits = limits

    def pause(self, until: float) -> None:
        """Let time add no tokens until then."""
        self._filled_at = max(self._filled_at, until)

    def record_request(self, now: float, vms: int) -> None:
        """Count the first attempt of a request."""
        self._requests.append(now)
        self._tokens += EARNED_FACTOR * self._limits.ratio
        self._refill(now, vms)

    def take(self, ticket: int, deadline: float, now: float, vms: int) -> bool:
        """Grant one retry if there is a token for it.

        It waits, until its deadline at the latest, for `record_sent` or `release`.
        """
        self._refill(now, vms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self._waiting[ticket] = deadline
        return True

    def record_sent(self, ticket: int) -> None:
        """Record that a waiting retry was sent."""
        self._waiting.pop(ticket, None)

    def release(self, ticket: int) -> None:
        """Return the token of a waiting retry that is not sent."""
        if self._waiting.pop(ticket, None) is not None:
            self._tokens += 1.0

    def evidence(self, vms: int) -> dict[str, float]:
        """Return what the last decision rests on; `requests` are those of the window."""
        return {
            "requests": len(self._requests),
            "tokens": round(self._tokens, 2),
            "capacity": round(self._capacity(vms), 1),
            "waiting": len(self._waiting),
        }

    def _refill(self, now: float, vms: int) -> None:
        """Add the tokens of the time since the last call, up to the capacity."""
        limits = self._limits
        for ticket in [t for t, deadline in self._waiting.items() if deadline <= now]:
            self.release(ticket)
        while self._requests and self._requests[0] <= now - limits.window_s:
            self._requests.popleft()
        share = limits.headroom / max(1, vms)
        windows = min(FILL_WINDOWS, max(0.0, now - self._filled_at) / limits.window_s)
        self._tokens += EARNED_HEADROOM_FACTOR * share * windows
        self._tokens = max(0.0, min(self._tokens, self._capacity(vms) - len(self._waiting)))
        self._filled_at = max(self._filled_at, now)

    def _capacity(self, vms: int) -> float:
        limits = self._limits
        by_requests = SAVED_FACTOR * limits.ratio * len(self._requests)
        return by_requests + SAVED_HEADROOM_FACTOR * limits.headroom / max(1, vms)
