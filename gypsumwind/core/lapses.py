"""Entries of a list that may have lapsed only, because their store was away.

Answers to a store that comes back: entries whose owners could not renew them are missing from its
list until they are renewed, though nothing has become of the owners.
"""

from collections.abc import Mapping
from typing import Any

LAPSE_GRACE_S = 2.0
"""Time, after the store is back, that entries which lapsed meanwhile get to return; the platform
renews them within it."""


class GracedList:
    """The entries in force on one VM: those listed, and for a while those that may have lapsed.

    What is kept beyond the list is this VM's own belief, and is told to no other.
    """

    __slots__ = ("_values", "_until")

    def __init__(self) -> None:
        self._values: dict[str, Any] = {}
        self._until: dict[str, float] = {}

    @property
    def values(self) -> Mapping[str, Any]:
        """Return the entries in force by name."""
        return self._values

    def take(self, listed: Mapping[str, Any], grace_until: float, now: float) -> None:
        """Take in a whole list; entries in force that it misses stay until `grace_until`."""
        self.expire(now)
        values = dict(listed)
        until = {}
        for name, value in self._values.items():
            if name not in listed and (name in self._until or now < grace_until):
                until[name] = self._until.get(name, grace_until)
                values[name] = value
        self._values, self._until = values, until

    def expire(self, now: float) -> bool:
        """Drop the entries whose time to return is over; tell whether there were any."""
        over = [name for name, until in self._until.items() if now >= until]
        for name in over:
            del self._until[name], self._values[name]
        return bool(over)
