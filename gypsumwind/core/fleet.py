"""The VMs of a fleet as one of them sees it, and the parts of bounds that all keep without talk.

A VM knows every VM of its own zone, and of other zones only a few. So what the fleet shares is
split by zone first, over the zones that the settings name, and then over the VMs of a zone.
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
        """Return the VMs that the shares are made for: as many in each zone as in this one."""
        return max(1, len(self.vms)) * max(1, len(self.zones))

    def named(self, key: str, count: int) -> list[str]:
        """Return those VMs of this zone that are among the `count` of the fleet named for a key.

        The zones that rank first for the key name one more where `count` does not go up evenly.
        """
        zones = sorted(self.zones, key=lambda zone: rank(key, zone), reverse=True)
        each, rest = divmod(count, len(zones))
        here = each + (zones.index(self.zone) < rest)
        return sorted(self.vms, key=lambda vm: rank(key, vm), reverse=True)[:here]
