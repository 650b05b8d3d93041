"""Token buckets: the budget for retries and the budget of a link."""


class RetryBudget:
    """Retries are paid by successes: each adds a part of a token, each retry takes one."""

    __slots__ = ("_per_success", "_capacity", "_tokens")

    def __init__(self, per_success: float = 0.1, capacity: float = 10.0) -> None:
        self._per_success = per_success
        self._capacity = capacity
        self._tokens = capacity

    def success(self) -> None:
        """Pay in for one success."""
        self._tokens = min(self._capacity, self._tokens + self._per_success)

    def take(self) -> bool:
        """Take the token of one retry; False when there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class LinkBucket:
    """Bytes a second over a link; a reservation may run into debt that later ones wait for."""

    __slots__ = ("_rate", "_burst", "_tokens", "_at")

    def __init__(self, rate: float, now: float, burst_s: float = 0.1) -> None:
        self._rate = rate
        self._burst = rate * burst_s
        self._tokens = self._burst
        self._at = now

    @property
    def rate(self) -> float:
        """Return the rate in bytes a second."""
        return self._rate

    def set_rate(self, rate: float, now: float, burst_s: float = 0.1) -> None:
        """Change the rate, in bytes a second; what was earned before stays earned."""
        self._refill(now)
        self._rate = rate
        self._burst = rate * burst_s
        self._tokens = min(self._tokens, self._burst)

    def reserve(self, size: int, deadline: float, now: float) -> float | None:
        """Reserve `size` bytes; return the seconds to wait, None if that passes the deadline."""
        wait_s = self.wait_s(size, now)
        if now + wait_s >= deadline:
            return None
        self._tokens -= size
        return wait_s

    def wait_s(self, size: int, now: float) -> float:
        """Return the seconds that `size` bytes would have to wait now."""
        self._refill(now)
        return max(0.0, (size - self._tokens) / self._rate)

    def _refill(self, now: float) -> None:
        earned = max(0.0, now - self._at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._at = now
