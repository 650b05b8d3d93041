"""What part of its keys a region keeps at its own instances, by how much of their room is in use.

Answers to load that differs from region to region and in time: a region whose room is idle keeps
more of its keys at home, where no round trip to another region is added, and one whose room is
used up gives some away. Each change makes objects cold, so it goes by small steps, with a pause
between them, and only outside a band of use.

The VMs of a region tell each other of their steps and take the latest one over: a VM that has just
started sees a use that the others have settled, and would never come to their share by itself.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

FIRST_SHARE = 1.15
"""Use of an area's own room against the mean of all that is allowed for before any is seen."""

LOW_USE = 0.65
HIGH_USE = 0.95
"""Parts of the slots in use below which a region keeps more, and above which it keeps less."""

STEP = 1.15
"""Factor between two shares: all services of a region together stay under the owners' cap on
shifts, of 0.15 in two seconds."""

PERIOD_S = 2.0
"""Least time between two steps, in seconds."""

MOST_SHARE = 8.0
"""Share at which any region keeps all of its keys, however little of the room it has."""


@dataclass(slots=True, frozen=True)
class RegionShares:
    """The shares that a VM of a region has, by service."""

    region: str
    shares: Mapping[str, float]


def shares_from_json(doc: Mapping[str, Any]) -> RegionShares:
    """Read shares as VMs tell each other; ValueError if malformed."""
    try:
        shares = {str(name): float(share) for name, share in doc["shares"].items()}
        found = RegionShares(str(doc["region"]), shares)
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f"shares of a region: {exc!r}") from exc
    if not all(math.isfinite(share) for share in shares.values()):
        raise ValueError("shares of a region: not a number")
    return found


class Locality:
    """The share of one service in this VM's region; starts anew with the process."""

    __slots__ = ("share", "_use", "_since")

    def __init__(self) -> None:
        self.share = FIRST_SHARE
        self._use: float | None = None
        self._since = math.inf

    def adopt(self, share: float, now: float) -> bool:
        """Take the share of another VM of the region over; tell whether it is another one."""
        share = min(MOST_SHARE, max(FIRST_SHARE, share))
        if share == self.share:
            return False
        self.share = share
        self._since = now
        return True

    def observe(self, use: float, now: float) -> bool:
        """Take in the part of the region's slots that is in use; tell whether the share changed."""
        self._use = use if self._use is None else self._use + (use - self._use) / 4
        if self._since == math.inf:
            self._since = now
        if now < self._since + PERIOD_S:
            return False
        before = self.share
        if self._use < LOW_USE:
            self.share = min(MOST_SHARE, self.share * STEP)
        elif self._use > HIGH_USE:
            self.share = max(FIRST_SHARE, self.share / STEP)
        if self.share == before:
            return False
        self._since = now
        return True
