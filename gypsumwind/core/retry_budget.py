"""Retry budget of a fleet: each VM stays within its own share without coordination.

A service may get `ratio` retries for each request of callers plus `headroom` in any window. A VM
counts its own requests, and uses an equal share of the headroom.
"""

from collections import deque

SAFETY_FACTOR = 0.8
"""Fraction of the share that is used: VMs' views of the size of the fleet differ for a while."""


class FleetRetryBudget:
    """Retries to one service from one VM, over a sliding window of `window_s` seconds."""

    __slots__ = ("_ratio", "_headroom", "_window_s", "_requests", "_retries")

    def __init__(self, ratio: float, headroom: float, window_s: float) -> None:
        self._ratio = ratio
        self._headroom = headroom
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def set_bound(self, ratio: float, headroom: float, window_s: float) -> None:
        """Change the limits; retries already granted stay counted."""
        self._ratio = ratio
        self._headroom = headroom
        self._window_s = window_s

    def record_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._requests.append(now)
        self._expire(now)

    def take(self, now: float, vms: int) -> bool:
        """Grant one retry if the share of one of `vms` VMs allows it."""
        self._expire(now)
        if len(self._retries) + 1 > self._allowed(vms):
            return False
        self._retries.append(now)
        return True

    def evidence(self, vms: int) -> dict[str, float]:
        """Return what the last decision rests on: counts of the window, and the retries allowed."""
        return {
            "requests": len(self._requests),
            "retries": len(self._retries),
            "allowed": round(self._allowed(vms), 1),
        }

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()

    def _allowed(self, vms: int) -> float:
        return SAFETY_FACTOR * (self._ratio * len(self._requests) + self._headroom / max(1, vms))
