"""Selection of the entry VMs that a look-up returns to a caller."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

MAX_ENTRIES = 64
MIN_ZONE_ENTRIES = 2
"""A zone with fewer VMs is returned with the rest of its region, so that one VM may fail."""


@dataclass(slots=True, frozen=True)
class Entry:
    """A VM that accepts callers."""

    vm: str
    zone: str
    ip: str
    port: int


def entries_for(
    live: Iterable[Entry],
    regions: Mapping[str, str],
    region: str,
    zone: str,
    home_regions: frozenset[str],
) -> list[Entry]:
    """Return the entry VMs for a caller: of its zone, else of its region, else of others.

    `regions` maps zones to regions. Requests bound to `home_regions` go to no VM of another region
    while the caller's own region or a home region has a live VM.
    """
    found = list(live)
    near = [e for e in found if e.zone == zone]
    if len(near) < MIN_ZONE_ENTRIES:
        near = [e for e in found if regions.get(e.zone) == region]
    if not near and home_regions:
        near = [e for e in found if regions.get(e.zone) in home_regions]
    return (near or found)[:MAX_ENTRIES]
