"""Homes of objects: which instances keep a key's object warm, derived alike by all VMs.

Answers to the regions' unequal room: a region whose instances are too few for its callers keeps
the part of its keys that its room carries, and the homes of the rest lie in regions with room to
spare. The plan follows the instances listed, not their momentary load, so it changes rarely, and
with a change of instances only the keys of those move (weighted rendezvous hashing).

Source of the weights: J. Resch, S. Hahn, "Weighted distributed hash tables" (the score
-w / ln(u) gives each instance a share of the keys in proportion to its weight w).
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from gypsumwind.core.rendezvous import rank

LOCAL_SHARE = 1.15
"""Use of a region's own room against the mean of all, before its keys get homes elsewhere."""

LEAST_WEIGHT = 0.001
"""Weight of all regions without room to spare, so that each instance has a place in the order."""

HASH_RANGE = 2.0**64


@dataclass(slots=True, frozen=True)
class Site:
    """An instance as a place for homes: its id, region and slots."""

    id: str
    region: str
    slots: int


def region_room(sites: Sequence[Site]) -> dict[str, int]:
    """Return the slots of each region."""
    room: dict[str, int] = {}
    for site in sites:
        room[site.region] = room.get(site.region, 0) + site.slots
    return room


def local_part(room: Mapping[str, int], region: str, regions: int) -> float:
    """Return the part of a region's keys that its own instances keep.

    Each of `regions` regions is taken to send as much as any other.
    """
    total = sum(room.values())
    if not total:
        return 0.0
    return min(1.0, LOCAL_SHARE * room.get(region, 0) * max(1, regions) / total)


def site_weights(sites: Sequence[Site], region: str, regions: int) -> dict[str, float]:
    """Return the weight of each instance for keys of a region's callers."""
    room = region_room(sites)
    total = sum(room.values())
    part = local_part(room, region, regions)
    even = total / max(1, regions)
    spare = {r: max(0.0, 1.0 - even / slots) for r, slots in room.items() if r != region and slots}
    outside = sum(room[r] * share for r, share in spare.items())
    weights = {}
    for site in sites:
        if site.region == region:
            weight = part * site.slots / max(1, room[region])
        elif outside > 0:
            weight = (1.0 - part) * site.slots * spare[site.region] / outside
        else:
            weight = (1.0 - part) * site.slots / max(1, total - room.get(region, 0))
        weights[site.id] = max(LEAST_WEIGHT * site.slots / total, weight)
    return weights


def homes(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return the instances in the order in which a key has its home at them."""
    return sorted(weights, key=lambda site: _score(key, site, weights[site]), reverse=True)


def _score(key: str, site: str, weight: float) -> float:
    point = (rank(key, site) + 0.5) / HASH_RANGE
    return weight / -math.log(point) if point < 1.0 else math.inf
