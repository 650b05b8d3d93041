"""Delegates: the few VMs of a zone that speak for it to other zones and to the platform."""

import math
from collections.abc import Collection, Iterable

from gypsumwind.core.rendezvous import rank

DELEGATES_PER_ZONE = 2

FOLLOWERS = 16
"""Followers of one VM, about: at three calls a second each, some 50 calls a second."""


def delegates(zone: str, vms: Iterable[str]) -> list[str]:
    """Return the delegates among the live VMs of a zone, the first one first."""
    return sorted(vms, key=lambda vm: rank(zone, vm), reverse=True)[:DELEGATES_PER_ZONE]


def relays(zone: str, vms: Collection[str]) -> list[str]:
    """Return the VMs of a large zone that stand between its delegates and the rest, by rank.

    None in a zone of up to `FOLLOWERS` VMs that are no delegates. With f followers a VM, two levels
    carry some f * f VMs.
    """
    others = max(0, len(vms) - DELEGATES_PER_ZONE)
    count = math.ceil(others / FOLLOWERS) if others > FOLLOWERS else 0
    ranked = sorted(vms, key=lambda vm: rank(zone, vm), reverse=True)
    return ranked[DELEGATES_PER_ZONE : DELEGATES_PER_ZONE + count]


def sources(vm: str, zone: str, vms: Collection[str]) -> list[str]:
    """Return the VMs of a zone that one of them follows, the first choice first.

    None for the first delegate, which follows the platform, nor in a zone of delegates alone. The
    second delegate and the relays follow the delegates, each of the rest the relay that is its
    highest by rendezvous: when a relay comes or goes, only its own followers move.
    """
    if len(vms) <= DELEGATES_PER_ZONE:
        return []
    named, between = delegates(zone, vms), relays(zone, vms)
    if vm in named:
        return named[: named.index(vm)]
    if vm in between or not between:
        return named
    return [max(between, key=lambda relay: rank(relay, vm)), *named]
