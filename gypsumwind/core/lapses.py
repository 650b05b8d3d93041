"""Grace period of entries whose lease expired during an outage of the store.

After an outage, entries that their owners could not renew are missing from the list until they are
renewed, although the owners are still there.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

EXPIRY_GRACE_S = 2.0
"""Grace period, in seconds after the end of an outage, for entries whose lease expired during it;
the platform renews them within this time."""


RENEWAL_SLACK = 1.25
"""Longest time between two renewals of a live owner, in renewal intervals."""


@dataclass(slots=True, frozen=True)
class Lease:
    """A lease that its owner renews every `renewal_s` seconds and that lasts `renewals` of them."""

    renewal_s: float = 0.0
    renewals: int = 0

    def __post_init__(self) -> None:
        if not 0.0 <= self.renewal_s < math.inf:
            raise ValueError(f"{self.renewal_s} is not a time between renewals in seconds")

    @property
    def max_renewal_s(self) -> float:
        """Return the longest time between two renewals, in seconds."""
        return RENEWAL_SLACK * self.renewal_s

    @property
    def min_outage_s(self) -> float:
        """Return the length of the shortest outage in which a lease can expire, in seconds."""
        return max(0.0, self.renewals * self.renewal_s - self.max_renewal_s)


class GracePeriodList:
    """The entries in force on one VM: those listed, and those missing ones in their grace period.

    Entries in their grace period are this VM's own view and are not passed on to other VMs.
    """

    __slots__ = ("_values", "_until")

    def __init__(self) -> None:
        self._values: dict[str, Any] = {}
        self._until: dict[str, float] = {}

    @property
    def values(self) -> Mapping[str, Any]:
        """Return the entries in force by name."""
        return self._values

    @property
    def kept(self) -> frozenset[str]:
        """Return the names of the entries in their grace period."""
        return frozenset(self._until)

    def apply_list(self, listed: Mapping[str, Any], grace_until: float, now: float) -> None:
        """Apply a complete list; entries in force that it lacks stay until `grace_until`."""
        self.expire(now)
        values = dict(listed)
        until = {}
        for name, value in self._values.items():
            if name not in listed and (name in self._until or now < grace_until):
                until[name] = self._until.get(name, grace_until)
                values[name] = value
        self._values, self._until = values, until

    def expire(self, now: float) -> bool:
        """Drop the entries whose grace period has ended; return whether there were any."""
        expired = [name for name, until in self._until.items() if now >= until]
        for name in expired:
            del self._until[name], self._values[name]
        return bool(expired)
