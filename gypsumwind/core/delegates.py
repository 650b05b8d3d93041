"""Delegates: the VMs of a zone that communicate for it with other zones and the platform."""

import math
from collections.abc import Collection, Iterable

from gypsumwind.core.rendezvous import rank

DELEGATES_PER_ZONE = 2

FANOUT = 16
"""Target number of followers of a VM: at three calls a second each, some 50 calls a second."""


def delegates(zone: str, vms: Iterable[str]) -> list[str]:
    """Return the delegates among the live VMs of a zone, the highest rank first."""
    return _ranked(zone, vms)[:DELEGATES_PER_ZONE]


def _ranked(zone: str, vms: Iterable[str]) -> list[str]:
    return sorted(vms, key=lambda vm: rank(zone, vm), reverse=True)


class RelayTree:
    """Distribution tree of updates among the VMs of a zone.

    The first delegate follows the platform, the second one the first. If there are more than
    `FANOUT` other VMs, the next by rank are `relays` between the delegates and the rest. With f
    followers per VM, these two levels serve some f * f VMs.
    """

    __slots__ = ("delegates", "relays", "followed")

    def __init__(self, zone: str, vms: Collection[str]) -> None:
        ranked = _ranked(zone, vms)
        others = ranked[DELEGATES_PER_ZONE:]
        count = math.ceil(len(others) / FANOUT) if len(others) > FANOUT else 0
        self.delegates = ranked[:DELEGATES_PER_ZONE]
        self.relays = others[:count]
        self.followed = bool(others)
        """Whether any VM follows the delegates: none does in a zone that has only delegates."""

    def sources(self, vm: str) -> list[str]:
        """Return the VMs that a VM of the zone follows, in order of preference.

        Empty for a VM that follows the platform. A VM's relay is the one with the highest
        rendezvous rank: when a relay joins or leaves, only its own followers move.
        """
        if not self.followed:
            return []
        if vm in self.delegates:
            return self.delegates[: self.delegates.index(vm)]
        if vm in self.relays or not self.relays:
            return self.delegates
        return [max(self.relays, key=lambda relay: rank(relay, vm)), *self.delegates]
