"""Zone failover: VMs of the same region's other zones hold instances of a zone without live VMs."""

from collections.abc import Mapping, Sequence

from gypsumwind.core.membership import CONTACTS_PER_FOREIGN_ZONE
from gypsumwind.core.rendezvous import rank, top_ranked_vm


def contacts(zone: str, vms: Sequence[str]) -> list[str]:
    """Return the VMs of a zone that members of other zones track: those of the highest rank."""
    ranked = sorted(vms, key=lambda vm: rank(zone, vm), reverse=True)
    return ranked[:CONTACTS_PER_FOREIGN_ZONE]


def candidate_holders(zone: str, live: Mapping[str, Sequence[str]]) -> list[str]:
    """Return the VMs that may hold a zone's instances.

    These are its own live VMs or, if it has none, the contacts of the region's other zones.
    `live` maps each zone of the region to its live VMs.
    """
    own = list(live.get(zone, ()))
    if own:
        return own
    return [vm for other, vms in live.items() if other != zone for vm in contacts(other, vms)]


def preferred_holder(instance: str, zone: str, live: Mapping[str, Sequence[str]]) -> str | None:
    """Return the highest-ranked candidate for an instance of a zone, None without candidates."""
    return top_ranked_vm(instance, candidate_holders(zone, live))
