"""Delegates: the few VMs of a zone that speak for it to other zones and to the platform."""

import math
from collections.abc import Collection, Iterable

from gypsumwind.core.rendezvous import rank

DELEGATES_PER_ZONE = 2

FOLLOWERS = 16
"""Followers of one VM, about: at three calls a second each, some 50 calls a second."""


def delegates(zone: str, vms: Iterable[str]) -> list[str]:
    """Return the delegates among the live VMs of a zone, the first one first."""
    return _ranked(zone, vms)[:DELEGATES_PER_ZONE]


def _ranked(zone: str, vms: Iterable[str]) -> list[str]:
    return sorted(vms, key=lambda vm: rank(zone, vm), reverse=True)


class Tiers:
    """Who follows whom among the VMs of a zone.

    The first delegate follows the platform, the second one the first. In a zone of more than
    `FOLLOWERS` others `relays`, the next by rank, stand between the delegates and the rest. With f
    followers a VM, these two levels carry some f * f VMs.
    """

    __slots__ = ("delegates", "relays", "followed")

    def __init__(self, zone: str, vms: Collection[str]) -> None:
        ranked = _ranked(zone, vms)
        others = ranked[DELEGATES_PER_ZONE:]
        count = math.ceil(len(others) / FOLLOWERS) if len(others) > FOLLOWERS else 0
        self.delegates = ranked[:DELEGATES_PER_ZONE]
        self.relays = others[:count]
        self.followed = bool(others)
        """Whether any VM follows the delegates: in a zone of delegates alone none does."""

    def sources(self, vm: str) -> list[str]:
        """Return the VMs that one of the zone follows, the first choice first.

        None for one that follows the platform. A VM's relay is its highest by rendezvous: when a
        relay comes or goes, only its own followers move.
        """
        if not self.followed:
            return []
        if vm in self.delegates:
            return self.delegates[: self.delegates.index(vm)]
        if vm in self.relays or not self.relays:
            return self.delegates
        return [max(self.relays, key=lambda relay: rank(relay, vm)), *self.delegates]
