"""Which entry VMs a caller is told to use."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

MAX_ENTRIES = 64
FEW = 2
"""A zone with fewer VMs is told together with the others of its region, so that one may fail."""


@dataclass(slots=True, frozen=True)
class Entry:
    """A VM that takes callers."""

    vm: str
    zone: str
    ip: str
    port: int


def entries_for(
    live: Iterable[Entry],
    regions: Mapping[str, str],
    region: str,
    zone: str,
    homes: frozenset[str],
) -> list[Entry]:
    """Return the VMs for a caller in a zone: of the zone, else of its region, else of others.

    `regions` maps zones to regions. Requests bound to `homes` go to no VM of another region
    while the caller's own region or a home has one.
    """
    found = list(live)
    near = [e for e in found if e.zone == zone]
    if len(near) < FEW:
        near = [e for e in found if regions.get(e.zone) == region]
    if not near and homes:
        near = [e for e in found if regions.get(e.zone) in homes]
    return (near or found)[:MAX_ENTRIES]
