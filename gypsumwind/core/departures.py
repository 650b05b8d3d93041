"""Departures: instances that announced their shutdown in a response.

An announcement is valid for the rest of that incarnation, whatever the lists contain: a list may be
stale, and an instance may stop without ever changing its entry.
"""

from dataclasses import dataclass

from gypsumwind.core.upstreams import Upstream

MAX_DEPARTURES = 10_000
"""Maximum number of departures kept; the oldest are evicted."""

DISSEMINATION_S = 600.0
"""Time for which VMs gossip a departure, in seconds: well over the longest instance shutdown."""


@dataclass(slots=True, frozen=True)
class Departure:
    """An incarnation of an instance that is shutting down; `heard_at` is in epoch seconds."""

    id: str
    incarnation: int
    heard_at: float

    @property
    def expires(self) -> float:
        """Return when VMs stop gossiping it, in epoch seconds."""
        return self.heard_at + DISSEMINATION_S


class Departures:
    """The newest departed incarnation of each instance, as far as a VM has received it."""

    __slots__ = ("_incarnations",)

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}

    def add(self, name: str, incarnation: int) -> bool:
        """Record a departure; return whether it is new."""
        known = self._incarnations.get(name)
        if known is not None and known >= incarnation:
            return False
        if len(self._incarnations) >= MAX_DEPARTURES:
            del self._incarnations[next(iter(self._incarnations))]
        self._incarnations[name] = incarnation
        return True

    def has_departed(self, up: Upstream) -> bool:
        """Return whether an instance has departed, or is older than a departed one of its id."""
        known = self._incarnations.get(up.id)
        return known is not None and up.incarnation <= known
