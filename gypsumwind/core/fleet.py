"""A VM's view of the fleet, and its share of fleet-wide limits, without coordination.

A VM's view of its own zone is complete, that of other zones has only a few VMs. So a fleet-wide
limit is split first over the zones named in the settings, and then over the VMs of a zone.
"""

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

    def select_local(self, key: str, count: int) -> list[str]:
        """Return the VMs of this zone among the `count` VMs of the fleet selected for a key.

        If `count` is not a multiple of the zones, the zones that rank first for the key select one
        more.
        """
        zones = sorted(self.zones, key=lambda zone: rank(key, zone), reverse=True)
        per_zone, rest = divmod(count, len(zones))
        here = per_zone + (zones.index(self.zone) < rest)
        return self.rank_local(key)[:here]

    def rank_local(self, key: str) -> list[str]:
        """Return the VMs of this zone, the highest rank for a key first."""
        return sorted(self.vms, key=lambda vm: rank(key, vm), reverse=True)
