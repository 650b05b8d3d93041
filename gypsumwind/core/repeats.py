"""The budget for repeats that a fleet shares: each VM keeps to its own share without asking.

A service may get `ratio` repeats for each request of callers plus `headroom` in any window. A VM
adds up its own requests, and takes an equal part of the headroom.
"""

from collections import deque

SAFETY = 0.8
"""Part of the share that is used: the VMs' views of how many they are differ for a while."""


class RepeatBudget:
    """Repeats to one service from one VM, over a sliding window of `window_s` seconds."""

    __slots__ = ("_ratio", "_headroom", "_window_s", "_requests", "_repeats")

    def __init__(self, ratio: float, headroom: float, window_s: float) -> None:
        self._ratio = ratio
        self._headroom = headroom
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def set_bound(self, ratio: float, headroom: float, window_s: float) -> None:
        """Change the bound; what was taken stays counted."""
        self._ratio = ratio
        self._headroom = headroom
        self._window_s = window_s

    def request(self, now: float) -> None:
        """Count the first send of a request."""
        self._requests.append(now)

    def take(self, now: float, vms: int) -> bool:
        """Take one repeat if the share of one of `vms` VMs allows it."""
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window_s:
                times.popleft()
        share = self._ratio * len(self._requests) + self._headroom / max(1, vms)
        if len(self._repeats) + 1 > share * SAFETY:
            return False
        self._repeats.append(now)
        return True
