"""Homes of objects: which instances keep a key's object warm, derived alike by all VMs.

Answers to the zones' unequal room: a zone whose instances are too few for its callers keeps the
part of its keys that its room carries, and the homes of the rest lie where room is to spare. The
plan follows the instances listed, not their momentary load, so it changes rarely, and with a
change of instances only the keys of those move (weighted rendezvous hashing).

Source of the weights: J. Resch, S. Hahn, "Weighted distributed hash tables" (the score
-w / ln(u) gives each instance a share of the keys in proportion to its weight w).
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from gypsumwind.core.rendezvous import rank

LOCAL_SHARE = 1.15
"""Use of a zone's own room against the mean of all, before its keys get homes elsewhere."""

LEAST_WEIGHT = 0.001
"""Weight of all places without room to spare, so that each instance has a place in the order."""

HASH_RANGE = 2.0**64


@dataclass(slots=True, frozen=True)
class Site:
    """An instance as a place for homes: its id, zone and slots."""

    id: str
    zone: str
    slots: int


@dataclass(slots=True, frozen=True)
class Place:
    """Where callers are: their zone, and the region of every zone of the fleet."""

    zone: str
    regions: Mapping[str, str]


def zone_shares(room: Mapping[str, int], place: Place) -> dict[str, float]:
    """Return the part of a zone's keys that each zone's instances keep, by zone; 1 in sum.

    `room` is the slots of each zone. Every zone is taken to send as many requests as any other. A
    zone keeps what its own room carries; the rest goes to zones with room to spare, first in its
    region, as far as that lasts for all of the region's zones that are short.
    """
    total = sum(room.values())
    if not total:
        return {}
    even = total / max(1, len(place.regions))
    keeps = {zone: min(1.0, LOCAL_SHARE * room.get(zone, 0) / even) for zone in place.regions}
    spare = {zone: max(0.0, slots - even) for zone, slots in room.items()}
    shares = {place.zone: keeps.get(place.zone, 0.0)}
    rest = 1.0 - shares[place.zone]
    region = place.regions.get(place.zone, "")
    near = {z: s for z, s in spare.items() if place.regions.get(z) == region and z != place.zone}
    short = sum(1.0 - keeps[z] for z, r in place.regions.items() if r == region)
    if near and rest > 0:
        taken = min(rest, rest / short * sum(near.values()) / even)
        _spread(shares, near, taken)
        rest -= taken
    _spread(shares, {z: s for z, s in spare.items() if z not in near and z != place.zone}, rest)
    missing = 1.0 - sum(shares.values())
    if missing > 0:
        _spread(shares, dict(room), missing)
    return shares


def _spread(shares: dict[str, float], spare: Mapping[str, float], part: float) -> None:
    total = sum(spare.values())
    for zone, room in spare.items() if total > 0 else ():
        shares[zone] = shares.get(zone, 0.0) + part * room / total


def site_weights(sites: Sequence[Site], place: Place) -> dict[str, float]:
    """Return the weight of each instance for the keys of callers at a place."""
    room: dict[str, int] = {}
    for site in sites:
        room[site.zone] = room.get(site.zone, 0) + site.slots
    shares = zone_shares(room, place)
    total = sum(room.values())
    return {
        site.id: max(
            LEAST_WEIGHT * site.slots / total,
            shares.get(site.zone, 0.0) * site.slots / room[site.zone],
        )
        for site in sites
    }


def homes(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return the instances in the order in which a key has its home at them."""
    return sorted(weights, key=lambda site: _score(key, site, weights[site]), reverse=True)


def _score(key: str, site: str, weight: float) -> float:
    point = (rank(key, site) + 0.5) / HASH_RANGE
    return weight / -math.log(point) if point < 1.0 else math.inf
