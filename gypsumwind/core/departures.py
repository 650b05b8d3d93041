"""Instances that said in an answer that they leave.

Such a word holds for the rest of that incarnation, whatever lists say meanwhile: a list may be old,
and an instance may leave without ever changing its entry.
"""

from dataclasses import dataclass

from gypsumwind.core.upstreams import Upstream

MAX_DEPARTURES = 10_000
"""Instances that are remembered; beyond it the first heard are forgotten."""

SPREAD_S = 600.0
"""Time for which VMs tell each other of a departure: well over the longest stop of an instance."""


@dataclass(slots=True, frozen=True)
class Departure:
    """An incarnation of an instance that leaves, heard at `heard_at` in epoch seconds."""

    id: str
    incarnation: int
    heard_at: float

    @property
    def expires(self) -> float:
        """Return until when VMs tell each other of it, in epoch seconds."""
        return self.heard_at + SPREAD_S


class Departures:
    """What a VM knows of departures: the newest incarnation by instance that leaves."""

    __slots__ = ("_incarnations",)

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}

    def add(self, name: str, incarnation: int) -> bool:
        """Take in that an incarnation leaves; tell whether that is news."""
        known = self._incarnations.get(name)
        if known is not None and known >= incarnation:
            return False
        if len(self._incarnations) >= MAX_DEPARTURES:
            del self._incarnations[next(iter(self._incarnations))]
        self._incarnations[name] = incarnation
        return True

    def covers(self, up: Upstream) -> bool:
        """Tell whether an instance leaves, or is older than one of its name that does."""
        known = self._incarnations.get(up.id)
        return known is not None and up.incarnation <= known
