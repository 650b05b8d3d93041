"""Which objects this VM has lately sent to which instances, so that they are warm there.

Answers to cold runs: an object that runs at an instance for the first time takes several times as
long and takes that time from the objects at home there. An instance has an object warm from the
start of its first run on.
"""

import math

WARM_S = 10.0
"""Time for which an object is taken to stay warm after a send, in seconds; 4 and 30 s measured the
same in the emulator."""

MAX_PAIRS = 20_000
"""Pairs of a key and an instance that are remembered; beyond it the oldest are forgotten."""

RATE_S = 2.0
"""Time over which the rate of a key is averaged, in seconds."""


class Warmth:
    """The last sends of this VM by key and instance."""

    __slots__ = ("_sent_at", "_rates")

    def __init__(self) -> None:
        self._sent_at: dict[tuple[str, str], float] = {}
        self._rates: dict[str, tuple[float, float]] = {}

    def note(self, key: str, instance: str, now: float) -> None:
        """Take in that a request for a key is sent to an instance."""
        pair = (key, instance)
        self._sent_at.pop(pair, None)
        if len(self._sent_at) >= MAX_PAIRS:
            del self._sent_at[next(iter(self._sent_at))]
        self._sent_at[pair] = now
        if key not in self._rates and len(self._rates) >= MAX_PAIRS:
            del self._rates[next(iter(self._rates))]
        self._rates[key] = (self.rate(key, now) + 1.0 / RATE_S, now)

    def rate(self, key: str, now: float) -> float:
        """Return the requests a second for a key lately."""
        rate, at = self._rates.get(key, (0.0, now))
        return rate * math.exp((at - now) / RATE_S)

    def warm(self, key: str, instance: str, now: float) -> bool:
        """Tell whether a key's object is taken to be warm at an instance."""
        sent_at = self._sent_at.get((key, instance))
        return sent_at is not None and now < sent_at + WARM_S
