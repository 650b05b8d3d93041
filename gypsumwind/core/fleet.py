"""A VM's view of the fleet, and its share of fleet-wide limits, without coordination.

A VM's view of its own zone is complete, that of other zones has only a few VMs. So a fleet-wide
limit is split first over the zones named in the settings, and then over the VMs of a zone.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from gypsumwind.core.rendezvous import rank


@dataclass(slots=True, frozen=True)
class Fleet:
    """This VM, its zone, the VMs of that zone (itself included), and all zones of the fleet."""

    vm: str
    zone: str
    vms: tuple[str, ...]
    zones: tuple[str, ...]

    @property
    def size(self) -> int:
        """Return the assumed number of VMs of the fleet: as many in each zone as in this one."""
        return max(1, len(self.vms)) * max(1, len(self.zones))

    def select_local(self, key: str, count: int, preferred: Sequence[str] = ()) -> list[str]:
        """Return the VMs of this zone among the `count` VMs of the fleet selected for a key.

        See local_count() for the `preferred` zones.
        """
        here = self.local_count(key, count, preferred)
        return sorted(self.vms, key=lambda vm: rank(key, vm), reverse=True)[:here]

    def local_count(self, key: str, count: int, preferred: Sequence[str] = ()) -> int:
        """Return how many of the `count` VMs selected for a key are to be in this zone.

        The zones take turns until `count` is reached: the `preferred` ones in their order, then one
        of the others by rank for the key, and again. So each zone has a part, preferred ones more.
        """
        near = [zone for zone in preferred if zone in self.zones]
        others = [zone for zone in self.zones if zone not in preferred]
        others.sort(key=lambda zone: rank(key, zone), reverse=True)
        turns = [zone for other in others for zone in (*near, other)] or near
        rounds, rest = divmod(count, len(turns))
        return rounds * turns.count(self.zone) + turns[:rest].count(self.zone)
