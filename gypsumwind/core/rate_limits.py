"""Rate limits that instances state in their responses, for the requests of all VMs together.

A VM knows a limit from its own sends and by gossip. Rendezvous hashing selects a few VMs for each
limited instance; each of them sends at most one request per interval, and no other VM sends any. So
the fleet stays within the limit without coordination, even while VMs are partitioned.
"""

import math
import random
from dataclasses import dataclass

from gypsumwind.core.fleet import Fleet
from gypsumwind.core.upstreams import Upstream

BURST = 4
"""Senders of an instance whose limit is near zero; all may send at once, which exceeds its limit
for a moment. Each request per second of the limit adds one sender."""

USED_FRACTION = 0.9
"""Fraction of a limit that is used: VMs' views of a zone differ for a while after a change."""

MIN_RATE_PER_S = 0.1
"""Rate at which the fleet sends to an instance with a lower limit, to learn when it is lifted."""

MAX_RATE_PER_S = 1e6
"""Limits from this rate on have no effect."""

MAX_AGE_S = 600.0
"""Time, in seconds, after which a limit that was not confirmed is forgotten, with jitter of up to
the same time: a VM that is no sender would otherwise keep a limit whose end it never learned. VMs
gossip a limit for as long."""

MIN_ANNOUNCE_INTERVAL_S = 1.0
"""Minimum interval, in seconds, between announcements of an instance's changing limit."""

MAX_LIMITS = 10_000
"""Maximum number of instances whose limits are kept; the oldest are evicted."""


def send_interval_s(up: Upstream, per_s: float, fleet: Fleet, region_zones: list[str]) -> float:
    """Return the minimum interval between this VM's sends to an instance, in seconds.

    0 if the instance has no limit, inf if this VM is not among its senders. The zones of its
    region, its own first, have the largest parts of the limit, since most of its callers are there.
    """
    if per_s >= MAX_RATE_PER_S:
        return 0.0
    rate = max(MIN_RATE_PER_S, USED_FRACTION * per_s)
    count = int(BURST + per_s)
    preferred = [up.zone, *(zone for zone in region_zones if zone != up.zone)]
    senders = fleet.select_local(up.id, count, preferred)
    if fleet.vm not in senders:
        return math.inf
    zone_rate = rate * fleet.local_count(up.id, count, preferred) / count
    return len(senders) / zone_rate


@dataclass(slots=True, frozen=True)
class RateLimit:
    """The limit that an incarnation of an instance states; `per_s` is inf if it states none.

    `heard_at` is in epoch seconds.
    """

    id: str
    incarnation: int
    per_s: float
    heard_at: float

    @property
    def expires(self) -> float:
        """Return when VMs stop gossiping it, in epoch seconds."""
        return self.heard_at + MAX_AGE_S


@dataclass(slots=True)
class _Known:
    limit: RateLimit
    confirmed_at: float
    expires_at: float
    announced_per_s: float
    announced_at: float


class RateLimits:
    """The last limit of each instance that has stated one, as far as a VM knows."""

    __slots__ = ("_known", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._known: dict[str, _Known] = {}
        self._rng = rng

    def per_s(self, up: Upstream) -> float:
        """Return the limit of an instance in requests per second, inf if it has none."""
        known = self._known.get(up.id)
        same = known is not None and known.limit.incarnation == up.incarnation
        return known.limit.per_s if known is not None and same else math.inf

    def observe(
        self, up: Upstream, per_s: float, sent_at: float, now: float, epoch: float
    ) -> RateLimit | None:
        """Record what a response states; return the limit if it has to be announced to other VMs.

        A response does not lift a limit that became known after its request was sent.
        """
        before = self.per_s(up)
        if per_s == math.inf:
            known = self._known.get(up.id)
            if before == math.inf or known is None or sent_at <= known.confirmed_at:
                return None
        limit = RateLimit(up.id, up.incarnation, per_s, epoch)
        known = self._set(limit, now)
        unchanged = per_s == known.announced_per_s
        early = now < known.announced_at + MIN_ANNOUNCE_INTERVAL_S
        if math.inf not in (before, per_s) and (unchanged or early):
            return None
        known.announced_per_s, known.announced_at = per_s, now
        return limit

    def apply(self, limit: RateLimit, now: float) -> bool:
        """Apply the limit that another VM announced; return whether it is newer than the known."""
        known = self._known.get(limit.id)
        if known is not None:
            mine = known.limit
            if (limit.incarnation, limit.heard_at) <= (mine.incarnation, mine.heard_at):
                return False
        elif limit.per_s == math.inf:
            return False
        known = self._set(limit, now)
        known.announced_per_s, known.announced_at = limit.per_s, now
        return True

    def expire(self, now: float) -> list[str]:
        """Forget the limits that were not confirmed for long; return the ids of their instances."""
        expired = [name for name, known in self._known.items() if known.expires_at <= now]
        for name in expired:
            del self._known[name]
        return expired

    def _set(self, limit: RateLimit, now: float) -> _Known:
        known = self._known.get(limit.id)
        if known is None:
            if len(self._known) >= MAX_LIMITS:
                del self._known[next(iter(self._known))]
            known = self._known[limit.id] = _Known(limit, now, now, math.inf, -math.inf)
        known.limit = limit
        known.confirmed_at = now
        known.expires_at = now + MAX_AGE_S * (1.0 + self._rng.random())
        return known
