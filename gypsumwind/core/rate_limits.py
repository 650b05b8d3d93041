"""Rate limits that instances state in their responses, for the requests of all VMs together."""

import math
from dataclasses import dataclass

from gypsumwind.core.upstreams import Upstream

MAX_LIMITS = 10_000
"""Maximum number of instances whose limits are kept; the oldest are evicted."""


@dataclass(slots=True, frozen=True)
class RateLimit:
    """The limit that an incarnation of an instance states; `per_s` is inf if it states none.

    `heard_at` is in epoch seconds.
    """

    id: str
    incarnation: int
    per_s: float
    heard_at: float


class RateLimits:
    """The last limit of each instance that has stated one, as far as a VM knows."""

    __slots__ = ("_limits", "_confirmed_at")

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}
        self._confirmed_at: dict[str, float] = {}

    def per_s(self, up: Upstream) -> float:
        """Return the limit of an instance in requests per second, inf if it has none."""
        known = self._limits.get(up.id)
        return known.per_s if known and known.incarnation == up.incarnation else math.inf

    def observe(
        self, up: Upstream, per_s: float, sent_at: float, now: float, epoch: float
    ) -> RateLimit | None:
        """Record what a response states; return the new limit if it differs from the known one.

        A response does not lift a limit that became known after its request was sent.
        """
        known = self.per_s(up)
        if per_s == math.inf and (known == math.inf or sent_at <= self._confirmed_at[up.id]):
            return None
        return self._set(RateLimit(up.id, up.incarnation, per_s, epoch), now, known)

    def _set(self, limit: RateLimit, now: float, known: float) -> RateLimit | None:
        if limit.id not in self._limits and len(self._limits) >= MAX_LIMITS:
            oldest = next(iter(self._limits))
            del self._limits[oldest], self._confirmed_at[oldest]
        self._limits[limit.id] = limit
        self._confirmed_at[limit.id] = now
        return limit if limit.per_s != known else None
