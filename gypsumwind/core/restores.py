"""State that a VM keeps across a restore of the store from a backup that is some seconds old.

After a restore, the store lists instances that have left and zones that were reopened, and misses
what was registered or closed since the backup until that is written again.
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from gypsumwind.core.lapses import GracePeriodList
from gypsumwind.core.upstreams import Upstream, UpstreamList
from gypsumwind.core.versions import Version

CLOSURE_GRACE_S = 10.0
"""Time, in seconds after a restore, for which a zone stays closed whose closure is missing from the
backup: operators write it again, and a zone closed for too long only reduces capacity."""

RELISTED_GRACE_S = 3.0
"""Time, in seconds after a restore, for which a zone stays open that was reopened before it and
that the restored list has as closed: its reopening is written again. The closure may also be a new
one, whose revision was assigned again, so it is in force after that."""

MAX_DEPARTED = 10_000
"""Maximum number of departed instances kept; the oldest are evicted."""


class InstanceHistory:
    """Incarnations of instances that a VM observed, and those that left according to the lists."""

    __slots__ = ("_era", "_listed", "_incarnations", "_departed")

    def __init__(self) -> None:
        self._era: int | None = None
        self._listed: Mapping[str, Upstream] = {}
        self._incarnations: dict[str, int] = {}
        self._departed: dict[str, int] = {}

    def apply_list(
        self, found: UpstreamList, in_grace: bool
    ) -> tuple[list[Upstream], list[Upstream]]:
        """Apply a list; return its entries in force, and those that had left before a restore.

        While `in_grace`, entries may be missing, or be of an earlier incarnation, until they are
        written again.
        """
        listed = found.by_id or {}
        restored = self._era is not None and found.version.era > self._era
        if not restored:
            self._observe(listed, in_grace)
        returned = [up for up in listed.values() if restored and self._has_departed(up)]
        known = self._incarnations if in_grace else {}
        entries = [up for up in listed.values() if up.incarnation >= known.get(up.id, 0)]
        self._incarnations = {**known, **{up.id: up.incarnation for up in entries}}
        self._era, self._listed = found.version.era, listed
        return entries, returned

    def _observe(self, listed: Mapping[str, Upstream], in_grace: bool) -> None:
        """Record which instances left between two lists of one era; clear those that returned."""
        for up in listed.values():
            if up.draining:
                self._remember(up)
            else:
                self._departed.pop(up.id, None)
        for name, up in self._listed.items():
            if name not in listed and not in_grace:
                self._remember(up)

    def _remember(self, up: Upstream) -> None:
        if len(self._departed) >= MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        self._departed[up.id] = up.incarnation

    def _has_departed(self, up: Upstream) -> bool:
        incarnation = self._departed.get(up.id)
        return incarnation is not None and up.incarnation <= incarnation


@dataclass(slots=True, frozen=True)
class ZoneClosures:
    """The closed zones, with the store's revision of each entry."""

    version: Version = Version()
    revisions: Mapping[str, int] = field(default_factory=dict)


def zone_closures_to_json(found: ZoneClosures) -> dict[str, Any]:
    """Return the closed zones as the document that VMs exchange."""
    return asdict(found)


def zone_closures_from_json(doc: Mapping[str, Any]) -> ZoneClosures:
    """Decode closed zones from a document; ValueError if it is malformed."""
    try:
        version = Version(int(doc["version"]["era"]), int(doc["version"]["revision"]))
        return ZoneClosures(version, {str(n): int(r) for n, r in doc["revisions"].items()})
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f"malformed list of closed zones: {exc!r}") from exc


class ClosedZones:
    """The zones that get no requests: closed, or with a closure that a restore may have lost."""

    __slots__ = ("_era", "_listed", "_zones", "_lifted", "_relisted", "_relisted_until")

    def __init__(self) -> None:
        self._era: int | None = None
        self._listed: Mapping[str, int] = {}
        self._zones = GracePeriodList()
        self._lifted: dict[str, int] = {}
        self._relisted: Mapping[str, int] = {}
        self._relisted_until = 0.0

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones that are treated as closed."""
        return frozenset(self._zones.values)

    @property
    def relisted(self) -> frozenset[str]:
        """Return the zones that are listed as closed but were reopened before a restore."""
        return frozenset(self._relisted)

    def apply_list(self, found: ZoneClosures, now: float) -> None:
        """Apply a complete list.

        Only the first list of an era can contain a closure from the backup that was lifted before
        the restore. A closure that appears later was written in that era, whatever its revision.
        """
        listed = found.revisions
        restored = self._era is not None and found.version.era > self._era
        self._zones.expire(now)
        if restored:
            self._relisted = {n: rev for n, rev in listed.items() if self._was_lifted(n, rev)}
            self._relisted_until = now + RELISTED_GRACE_S
        else:
            for name, rev in self._listed.items():
                if name not in listed:
                    self._lifted[name] = max(rev, self._lifted.get(name, rev))
            unchanged = {n: rev for n, rev in self._relisted.items() if listed.get(n) == rev}
            self._relisted = unchanged if now < self._relisted_until else {}
        self._era, self._listed = found.version.era, listed
        self._apply(now + CLOSURE_GRACE_S if restored else now, now)

    def expire(self, now: float) -> bool:
        """End the grace periods that have passed; return whether a zone was closed or reopened."""
        before = self.zones
        if self._relisted and now >= self._relisted_until:
            self._relisted = {}
            self._apply(now, now)
        self._zones.expire(now)
        return self.zones != before

    def _was_lifted(self, name: str, revision: int) -> bool:
        """Return whether a closure in the first list of an era may be one lifted before it."""
        lifted = self._lifted.get(name)
        return lifted is not None and revision <= lifted and name not in self._zones.values

    def _apply(self, grace_until: float, now: float) -> None:
        in_force = {n: rev for n, rev in self._listed.items() if n not in self._relisted}
        self._zones.apply_list(in_force, grace_until, now)
