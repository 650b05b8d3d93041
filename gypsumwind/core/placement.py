"""Homes of objects: the instances that cache a key's object, computed identically by all VMs.

Handles uneven capacity: an area with too few instances for its callers keeps the share of its keys
that its capacity can serve; the homes of the other keys are in areas with spare capacity. The
assignment depends on the listed instances, not on their current load, so it changes rarely, and a
change of instances moves only their keys (weighted rendezvous hashing).

Source of the weights: J. Resch, S. Hahn, "Weighted distributed hash tables" (the score
-w / ln(u) gives each instance a share of the keys in proportion to its weight w).
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from gypsumwind.core.rendezvous import rank

MAX_LOCAL_UTILIZATION = 1.15
"""Utilization of an area, relative to the mean of all, above which keys get homes elsewhere."""

MIN_WEIGHT = 0.001
"""Sum of the minimum weights of all instances, so that each of them has a rank for each key."""

HASH_RANGE = 2.0**64


@dataclass(slots=True, frozen=True)
class Candidate:
    """An instance that can be a home: its id, its area (a zone or a region) and its slots.

    `slots` is a fraction if the instance has a rate limit.
    """

    id: str
    area: str
    slots: float


@dataclass(slots=True, frozen=True)
class CallerLocality:
    """The callers' area, and the group of every area of the fleet.

    Areas are zones in groups that are regions, or regions that are each a group of their own.
    """

    area: str
    groups: Mapping[str, str]


def area_shares(capacity: Mapping[str, float], locality: CallerLocality) -> dict[str, float]:
    """Return the share of the keys of `locality.area` that each area serves; the sum is 1.

    `capacity` is the slots of each area. All areas are assumed to send the same number of requests.
    An area keeps what its own capacity can serve. The rest goes to areas with spare capacity, first
    in its group, as far as that suffices for all areas of the group that are short of capacity.
    """
    total = sum(capacity.values())
    if not total:
        return {}
    mean_capacity = total / max(1, len(locality.groups))
    kept = {
        area: min(1.0, MAX_LOCAL_UTILIZATION * capacity.get(area, 0) / mean_capacity)
        for area in locality.groups
    }
    spare = {
        area: max(0.0, slots - mean_capacity)
        for area, slots in capacity.items()
        if area != locality.area
    }
    shares = {locality.area: kept.get(locality.area, 0.0)}
    rest = 1.0 - shares[locality.area]
    group = locality.groups.get(locality.area, "")
    same_group = {
        area: surplus for area, surplus in spare.items() if locality.groups.get(area) == group
    }
    if same_group and rest > 0:
        short = sum(1.0 - kept[area] for area, g in locality.groups.items() if g == group)
        assigned = min(rest, rest / short * sum(same_group.values()) / mean_capacity)
        _distribute(shares, same_group, assigned)
        rest -= assigned
    _distribute(
        shares, {area: surplus for area, surplus in spare.items() if area not in same_group}, rest
    )
    missing = 1.0 - sum(shares.values())
    if missing > 0:
        _distribute(shares, capacity, missing)
    return shares


def _distribute(shares: dict[str, float], spare: Mapping[str, float], amount: float) -> None:
    """Add `amount` to the shares in proportion to the spare capacity."""
    total = sum(spare.values())
    for area, surplus in spare.items() if total > 0 else ():
        shares[area] = shares.get(area, 0.0) + amount * surplus / total


def candidate_weights(
    candidates: Sequence[Candidate], locality: CallerLocality
) -> dict[str, float]:
    """Return the weight of each instance for the keys of the callers of an area."""
    capacity: dict[str, float] = {}
    for candidate in candidates:
        capacity[candidate.area] = capacity.get(candidate.area, 0) + candidate.slots
    shares = area_shares(capacity, locality)
    total = sum(capacity.values())
    return {
        candidate.id: max(
            MIN_WEIGHT * candidate.slots / total,
            shares.get(candidate.area, 0.0) * candidate.slots / capacity[candidate.area],
        )
        for candidate in candidates
    }


def rank_homes(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return the instances in the order in which they are homes of a key."""
    return sorted(
        weights, key=lambda candidate: _score(key, candidate, weights[candidate]), reverse=True
    )


def _score(key: str, candidate: str, weight: float) -> float:
    point = (rank(key, candidate) + 0.5) / HASH_RANGE
    return weight / -math.log(point) if point < 1.0 else math.inf
