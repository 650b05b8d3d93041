"""Rate limits that instances state in their responses, for the requests of all VMs together.

A VM knows a limit from its own sends and by gossip. It is divided into equal parts: each zone gets
parts by the share of the instance's requests that its callers send, and rendezvous hashing selects
the VMs of the zone that use them. So the fleet stays within the limit without coordination, even
while VMs are partitioned.
"""

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass

from gypsumwind.core.fleet import Fleet
from gypsumwind.core.placement import rank_homes
from gypsumwind.core.upstreams import Upstream

MIN_PARTS = 4
MAX_PARTS = 50
"""Number of parts of a limit near zero, and of a high one; each request per second adds one. A part
allows one request at once, so all of them together exceed the limit for a moment."""

USED_FRACTION = 0.9
"""Fraction of a limit that is used: VMs' views of a zone differ for a while after a change."""

MIN_RATE_PER_S = 0.1
"""Rate at which the fleet sends to an instance with a lower limit, to learn when it is lifted."""

MAX_RATE_PER_S = 1e6
"""Limits from this rate on have no effect."""

MIN_SLOT_SHARE = 1 / 16
"""Minimum share of its slots with which an instance is the home of objects, however low its limit:
their requests show when it is lifted."""

MAX_AGE_S = 600.0
"""Time, in seconds, after which a limit that was not confirmed is forgotten, with jitter of up to
the same time: a VM that is no sender would otherwise keep a limit whose end it never learned. VMs
gossip a limit for as long."""

MIN_ANNOUNCE_INTERVAL_S = 1.0
"""Minimum interval, in seconds, between announcements of an instance's changing limit."""

MAX_LIMITS = 10_000
"""Maximum number of instances whose limits are kept; the oldest are evicted."""


@dataclass(slots=True, frozen=True)
class SendPace:
    """A VM's share of a rate limit: the mean interval between its sends to the instance, in
    seconds, and how many it may send at once.

    The interval is 0 if the instance has no limit, and inf if this VM has no share of it.
    """

    interval_s: float
    burst: int = 1


UNLIMITED = SendPace(0.0)
NO_SHARE = SendPace(math.inf)


def send_pace(
    instance: str, per_s: float, fleet: Fleet, zone_weights: Mapping[str, float]
) -> SendPace:
    """Return this VM's share of an instance's limit; zones get parts in proportion to weights."""
    if per_s >= MAX_RATE_PER_S:
        return UNLIMITED
    count = min(MAX_PARTS, int(MIN_PARTS + per_s))
    parts = zone_parts(instance, count, zone_weights).get(fleet.zone, 0)
    senders = fleet.rank_local(instance)[:parts]
    if fleet.vm not in senders:
        return NO_SHARE
    part_per_s = max(MIN_RATE_PER_S, USED_FRACTION * per_s) / count
    return SendPace(len(senders) / (parts * part_per_s), parts // len(senders))


def zone_parts(instance: str, count: int, weights: Mapping[str, float]) -> dict[str, int]:
    """Divide `count` parts over zones; those that rank first for the instance get the remainders.

    The weights have a positive sum.
    """
    total = sum(weights.values())
    exact = {zone: count * weight / total for zone, weight in weights.items()}
    parts = {zone: int(part) for zone, part in exact.items()}
    remainders = {zone: exact[zone] - parts[zone] for zone in exact}
    for zone in rank_homes(instance, remainders)[: count - sum(parts.values())]:
        parts[zone] += 1
    return parts


def effective_slots(slots: int, per_s: float, service_time_s: float) -> float:
    """Return the slots that an instance with a rate limit can keep busy, at most `slots`.

    Powers of the square root of 2, so that small changes of a limit do not move homes.
    """
    if per_s >= MAX_RATE_PER_S:
        return slots
    busy = max(MIN_SLOT_SHARE * slots, per_s * service_time_s)
    return min(slots, 2.0 ** (round(2 * math.log2(busy)) / 2))


class Pacer:
    """Token bucket of this VM's sends to one instance; `pace.burst` tokens at most.

    `next_at` is when the next send is allowed: -inf without a limit, inf without a share of it.
    """

    __slots__ = ("pace", "next_at", "_full_at")

    def __init__(self) -> None:
        self.pace = UNLIMITED
        self.next_at = -math.inf
        self._full_at = -math.inf

    @property
    def rate_per_s(self) -> float:
        """Return the sends per second that are allowed, inf without a limit."""
        return 1.0 / self.pace.interval_s if self.pace.interval_s > 0 else math.inf

    def set_pace(self, pace: SendPace, now: float, delay: float) -> None:
        """Change the pace; the first send of a new sender waits for `delay` intervals, below 1."""
        before, self.pace = self.pace, pace
        if pace not in (UNLIMITED, NO_SHARE):
            empty_until = now + pace.burst * pace.interval_s
            if before in (UNLIMITED, NO_SHARE):
                self._full_at = max(self._full_at, empty_until - (1.0 - delay) * pace.interval_s)
            self._full_at = min(self._full_at, empty_until)
        self._set_next()

    def record_send(self, now: float) -> None:
        """Take the token of a send."""
        self._full_at = max(now, self._full_at) + self.pace.interval_s
        self._set_next()

    def _set_next(self) -> None:
        if self.pace.interval_s == 0.0:
            self.next_at = -math.inf
        elif self.pace.interval_s == math.inf:
            self.next_at = math.inf
        else:
            self.next_at = self._full_at - (self.pace.burst - 1) * self.pace.interval_s


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
