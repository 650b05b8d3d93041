"""Delegates: the few VMs of a zone that speak for it to other zones and to the platform."""

from collections.abc import Iterable

from gypsumwind.core.rendezvous import rank

DELEGATES_PER_ZONE = 2


def delegates(zone: str, vms: Iterable[str]) -> list[str]:
    """Return the delegates among the live VMs of a zone, the first one first."""
    return sorted(vms, key=lambda vm: rank(zone, vm), reverse=True)[:DELEGATES_PER_ZONE]
