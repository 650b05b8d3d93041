"""Requests to cold instances: a rate that the whole fleet keeps although no VM asks another.

A few VMs are named for each instance by rendezvous hashing; each of them sends at most one
request in any `SPACING_S`, and no other VM sends any. So the sum over the fleet stays under the
bound, also while VMs are out of touch with each other.
"""

from gypsumwind.core.fleet import Fleet

SPACING_S = 1.1
"""Seconds between two sends: at most one in any second, with a margin for late timers."""

SAFETY = 0.8
"""Part of the bound that is used: views of a zone differ for a while after a change."""


def senders(instance: str, fleet: Fleet, bound_per_s: float) -> list[str]:
    """Return the VMs of a zone that may send to a cold instance under a bound of the fleet."""
    return fleet.named(instance, max(1, int(bound_per_s * SAFETY)))
