"""Adoption: the instances of a zone without live VMs go to contacts of its region's zones."""

from collections.abc import Mapping, Sequence

from gypsumwind.core.membership import CONTACTS_PER_FOREIGN_ZONE
from gypsumwind.core.rendezvous import named_vm, rank


def contacts(zone: str, vms: Sequence[str]) -> list[str]:
    """Return the VMs of a zone that VMs of other zones know: those of the highest rank."""
    ranked = sorted(vms, key=lambda vm: rank(zone, vm), reverse=True)
    return ranked[:CONTACTS_PER_FOREIGN_ZONE]


def heirs(zone: str, live: Mapping[str, Sequence[str]]) -> list[str]:
    """Return the VMs among which a zone's instances are divided.

    These are its own live VMs or, when it has none, the contacts of the region's other zones.
    `live` holds the live VMs of each zone of the region.
    """
    own = list(live.get(zone, ()))
    if own:
        return own
    return [vm for other, vms in live.items() if other != zone for vm in contacts(other, vms)]


def named_holder(instance: str, zone: str, live: Mapping[str, Sequence[str]]) -> str | None:
    """Return the VM that ought to hold an instance of a zone, None if there is none."""
    return named_vm(instance, heirs(zone, live))
