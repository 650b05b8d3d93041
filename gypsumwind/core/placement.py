"""Homes of objects: which instances keep a key's object warm, derived alike by all VMs.

Answers to unequal room: an area whose instances are too few for its callers keeps the part of its
keys that its room carries, and the homes of the rest lie where room is to spare. The
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
"""Use of an area's own room against the mean of all, before its keys get homes elsewhere."""

LEAST_WEIGHT = 0.001
"""Weight of all places without room to spare, so that each instance has a place in the order."""

HASH_RANGE = 2.0**64


@dataclass(slots=True, frozen=True)
class Site:
    """An instance as a place for homes: its id, its area (a zone or a region) and slots."""

    id: str
    area: str
    slots: int


@dataclass(slots=True, frozen=True)
class Place:
    """Where callers are: their area, and the group of every area of the fleet.

    Areas are zones in groups that are regions, or regions that are each a group of their own.
    """

    area: str
    groups: Mapping[str, str]


def area_shares(room: Mapping[str, int], place: Place) -> dict[str, float]:
    """Return the part of an area's keys that each area's instances keep; 1 in sum.

    `room` is the slots of each area. Every area is taken to send as many requests as any other.
    An area keeps what its own room carries; the rest goes to areas with room to spare, first in
    its group, as far as that lasts for all of the group's areas that are short.
    """
    total = sum(room.values())
    if not total:
        return {}
    even = total / max(1, len(place.groups))
    keeps = {area: min(1.0, LOCAL_SHARE * room.get(area, 0) / even) for area in place.groups}
    spare = {area: max(0.0, slots - even) for area, slots in room.items() if area != place.area}
    shares = {place.area: keeps.get(place.area, 0.0)}
    rest = 1.0 - shares[place.area]
    group = place.groups.get(place.area, "")
    near = {area: left for area, left in spare.items() if place.groups.get(area) == group}
    if near and rest > 0:
        short = sum(1.0 - keeps[area] for area, g in place.groups.items() if g == group)
        taken = min(rest, rest / short * sum(near.values()) / even)
        _spread(shares, near, taken)
        rest -= taken
    _spread(shares, {area: left for area, left in spare.items() if area not in near}, rest)
    missing = 1.0 - sum(shares.values())
    if missing > 0:
        _spread(shares, room, missing)
    return shares


def _spread(shares: dict[str, float], spare: Mapping[str, float], part: float) -> None:
    """Add `part` to the shares in proportion to the room to spare."""
    total = sum(spare.values())
    for area, left in spare.items() if total > 0 else ():
        shares[area] = shares.get(area, 0.0) + part * left / total


def site_weights(sites: Sequence[Site], place: Place) -> dict[str, float]:
    """Return the weight of each instance for the keys of callers at a place."""
    room: dict[str, int] = {}
    for site in sites:
        room[site.area] = room.get(site.area, 0) + site.slots
    shares = area_shares(room, place)
    total = sum(room.values())
    return {
        site.id: max(
            LEAST_WEIGHT * site.slots / total,
            shares.get(site.area, 0.0) * site.slots / room[site.area],
        )
        for site in sites
    }


def homes(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return the instances in the order in which a key has its home at them."""
    return sorted(weights, key=lambda site: _score(key, site, weights[site]), reverse=True)


def _score(key: str, site: str, weight: float) -> float:
    point = (rank(key, site) + 0.5) / HASH_RANGE
    return weight / -math.log(point) if point < 1.0 else math.inf
