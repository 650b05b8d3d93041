"""Warm-up of cold instances: a rate limit of the whole fleet without coordination between VMs.

Rendezvous hashing selects a few VMs for each instance. Each of them sends at most one request per
`MIN_SEND_INTERVAL_S`, and no other VM sends any. So the sum over the fleet stays within the limit,
even while VMs are partitioned from each other.
"""

from gypsumwind.core.fleet import Fleet

MIN_SEND_INTERVAL_S = 1.1
"""Seconds between two sends of a VM: at most one in any second, with a margin for late timers."""

SAFETY_FACTOR = 0.8
"""Fraction of the limit that is used: VMs' views of a zone differ for a while after a change."""


def warmup_senders(instance: str, fleet: Fleet, bound_per_s: float) -> list[str]:
    """Return the VMs of this zone that may send to a cold instance under a limit of the fleet."""
    return fleet.select_local(instance, max(1, int(bound_per_s * SAFETY_FACTOR)))
