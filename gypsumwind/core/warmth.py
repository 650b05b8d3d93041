"""Cache affinity: the objects that instances cache, inferred from this VM's recent requests.

Avoids cache misses: the first request for an object at an instance takes several times as long, and
so delays the requests for the objects at home there. An instance caches an object from the start of
the first request for it.
"""

import math

WARM_S = 10.0
"""Time for which an object is assumed to stay cached after a send, in seconds."""

MAX_PAIRS = 20_000
"""Maximum number of tracked pairs of a key and an instance; the oldest are evicted."""

RATE_DECAY_S = 2.0
"""Time constant of the exponential decay of a key's request rate, in seconds."""


class WarmObjects:
    """Time of this VM's last send by key and instance, and the request rate by key."""

    __slots__ = ("_sent_at", "_rates")

    def __init__(self) -> None:
        self._sent_at: dict[tuple[str, str], float] = {}
        self._rates: dict[str, tuple[float, float]] = {}

    def record_send(self, key: str, instance: str, now: float) -> None:
        """Record that a request for a key is sent to an instance."""
        pair = (key, instance)
        self._sent_at.pop(pair, None)
        if len(self._sent_at) >= MAX_PAIRS:
            del self._sent_at[next(iter(self._sent_at))]
        self._sent_at[pair] = now
        if key not in self._rates and len(self._rates) >= MAX_PAIRS:
            del self._rates[next(iter(self._rates))]
        self._rates[key] = (self.rate(key, now) + 1.0 / RATE_DECAY_S, now)

    def rate(self, key: str, now: float) -> float:
        """Return the recent requests per second for a key."""
        rate, at = self._rates.get(key, (0.0, now))
        return rate * math.exp((at - now) / RATE_DECAY_S)

    def is_warm(self, key: str, instance: str, now: float) -> bool:
        """Return whether a key's object is assumed to be cached at an instance."""
        sent_at = self._sent_at.get((key, instance))
        return sent_at is not None and now < sent_at + WARM_S
