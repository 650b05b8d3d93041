"""Token buckets for retries and for the bandwidth of a link."""


class RetryBudget:
    """Retry budget: each success adds a fraction of a token, each retry takes one."""

    __slots__ = ("_per_success", "_capacity", "_tokens")

    def __init__(self, per_success: float = 0.1, capacity: float = 10.0) -> None:
        self._per_success = per_success
        self._capacity = capacity
        self._tokens = capacity

    def record_success(self) -> None:
        """Add the tokens of one success."""
        self._tokens = min(self._capacity, self._tokens + self._per_success)

    def take(self) -> bool:
        """Take the token for one retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class LinkBucket:
    """Rate limit of a link in bytes per second; a reservation may overdraw, and later ones wait."""

    __slots__ = ("_rate", "_burst", "_tokens", "_at")

    def __init__(self, rate: float, now: float, burst_s: float = 0.1) -> None:
        self._rate = rate
        self._burst = rate * burst_s
        self._tokens = self._burst
        self._at = now

    @property
    def rate(self) -> float:
        """Return the rate in bytes per second."""
        return self._rate

    def set_rate(self, rate: float, now: float, burst_s: float = 0.1) -> None:
        """Change the rate, in bytes per second; tokens added before stay, up to the burst."""
        self._refill(now)
        self._rate = rate
        self._burst = rate * burst_s
        self._tokens = min(self._tokens, self._burst)

    def reserve(self, size: int, deadline: float, now: float) -> float | None:
        """Reserve `size` bytes; return the wait in seconds, None if it reaches the deadline."""
        wait_s = self.wait_s(size, now)
        if now + wait_s >= deadline:
            return None
        self._tokens -= size
        return wait_s

    def wait_s(self, size: int, now: float) -> float:
        """Return the seconds that a reservation of `size` bytes would have to wait now."""
        self._refill(now)
        return max(0.0, (size - self._tokens) / self._rate)

    def _refill(self, now: float) -> None:
        added = max(0.0, now - self._at) * self._rate
        self._tokens = min(self._burst, self._tokens + added)
        self._at = now
