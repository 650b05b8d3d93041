"""What a VM knows beyond the lists of a store that has come back from a copy some seconds old.

Answers to a store that forgets: its list brings back instances that have left and closures of
zones that were lifted, and misses what was registered or closed since the copy until that is
written again.
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from gypsumwind.core.lapses import GracedList
from gypsumwind.core.upstreams import Upstream, UpstreamList
from gypsumwind.core.versions import Version

CLOSED_GRACE_S = 10.0
"""Time, after a restore, for which a zone stays closed whose closure the copy misses: operators
write it again, and a zone that is closed for longer only lends less room."""

MAX_LEFT = 10_000
"""Instances that are remembered as having left; beyond it the first are forgotten."""


class InstanceMemory:
    """Incarnations of instances that a VM knew, and those that left by the lists of the store."""

    __slots__ = ("_era", "_listed", "_incarnations", "_left")

    def __init__(self) -> None:
        self._era: int | None = None
        self._listed: Mapping[str, Upstream] = {}
        self._incarnations: dict[str, int] = {}
        self._left: dict[str, int] = {}

    def take(self, found: UpstreamList, graced: bool) -> tuple[list[Upstream], list[Upstream]]:
        """Take in a list; return its entries in force, and those that had left before a restore.

        While `graced`, entries may be missing, or of an earlier start, until they are written
        again.
        """
        listed = found.by_id or {}
        restored = self._era is not None and found.version.era > self._era
        if not restored:
            self._observe(listed, graced)
        returned = [up for up in listed.values() if restored and self._has_left(up)]
        known = self._incarnations if graced else {}
        entries = [up for up in listed.values() if up.incarnation >= known.get(up.id, 0)]
        self._incarnations = {**known, **{up.id: up.incarnation for up in entries}}
        self._era, self._listed = found.version.era, listed
        return entries, returned

    def _observe(self, listed: Mapping[str, Upstream], graced: bool) -> None:
        """Remember who left between two lists of one era, and forget those who are back."""
        for up in listed.values():
            if up.draining:
                self._remember(up)
            else:
                self._left.pop(up.id, None)
        for name, up in self._listed.items():
            if name not in listed and not graced:
                self._remember(up)

    def _remember(self, up: Upstream) -> None:
        if len(self._left) >= MAX_LEFT:
            del self._left[next(iter(self._left))]
        self._left[up.id] = up.incarnation

    def _has_left(self, up: Upstream) -> bool:
        incarnation = self._left.get(up.id)
        return incarnation is not None and up.incarnation <= incarnation


@dataclass(slots=True, frozen=True)
class Closures:
    """The zones that operators have closed, with the store's revision of each such entry."""

    version: Version = Version()
    revisions: Mapping[str, int] = field(default_factory=dict)


def closures_to_json(found: Closures) -> dict[str, Any]:
    """Return the closed zones as the document that VMs give each other."""
    return asdict(found)


def closures_from_json(doc: Mapping[str, Any]) -> Closures:
    """Read such a document; ValueError if it is not one."""
    try:
        version = Version(int(doc["version"]["era"]), int(doc["version"]["revision"]))
        return Closures(version, {str(n): int(r) for n, r in doc["revisions"].items()})
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f"closed zones: {exc!r}") from exc


class ClosedZones:
    """The zones that get nothing, by closures that are listed or may have been lost only."""

    __slots__ = ("_era", "_listed", "_graced", "_lifted")

    def __init__(self) -> None:
        self._era: int | None = None
        self._listed: Mapping[str, int] = {}
        self._graced = GracedList()
        self._lifted: dict[str, int] = {}

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones in force."""
        return frozenset(self._graced.values)

    def take(self, found: Closures, now: float) -> None:
        """Take in a whole list.

        A closure that was lifted before a restore and came back by it has its old revision.
        """
        listed = found.revisions
        restored = self._era is not None and found.version.era > self._era
        if not restored:
            gone = {name: rev for name, rev in self._listed.items() if name not in listed}
            self._lifted.update(gone)
        in_force = {n: rev for n, rev in listed.items() if self._lifted.get(n) != rev}
        self._graced.take(in_force, now + CLOSED_GRACE_S if restored else now, now)
        self._era, self._listed = found.version.era, listed

    def expire(self, now: float) -> bool:
        """Open the zones whose closure was not written again in time; tell if there are any."""
        return self._graced.expire(now)
