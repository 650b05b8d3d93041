"""Upstream instances as the platform lists them."""

from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass
from typing import Any

from gypsumwind.core.documents import from_fields
from gypsumwind.core.lapses import EXPIRY_GRACE_S
from gypsumwind.core.versions import Version

MAX_SLOTS = 1_000_000
MAX_COLD_S = 86_400.0
"""Slots, and seconds for which an instance stays cold, beyond which its entry is malformed."""


@dataclass(slots=True, frozen=True)
class Upstream:
    """An instance of a service as it registered itself; ValueError if its slots are out of range.

    `incarnation` distinguishes two starts under one id. `cold_until` is in epoch seconds, so that
    it is valid on other VMs.
    """

    id: str
    incarnation: int
    service: str
    ip: str
    port: int
    zone: str
    slots: int
    draining: bool = False
    cold_until: float = 0.0

    def __post_init__(self) -> None:
        if not 1 <= self.slots <= MAX_SLOTS:
            raise ValueError(f"instance {self.id}: {self.slots} slots")


@dataclass(slots=True, frozen=True)
class UpstreamList:
    """All instances by id, at a version of the store.

    Until `grace_until`, in epoch seconds, entries whose lease expired during an outage of the store
    may be missing.
    """

    version: Version = Version()
    by_id: Mapping[str, Upstream] | None = None
    grace_until: float = 0.0

    def __iter__(self) -> Iterator[Upstream]:
        return iter((self.by_id or {}).values())

    def grace_s(self, epoch: float) -> float:
        """Return the remaining grace period, at most EXPIRY_GRACE_S, as clocks may differ.

        `epoch` is the current time in epoch seconds.
        """
        return min(EXPIRY_GRACE_S, max(0.0, self.grace_until - epoch))


def upstream_from_json(doc: Mapping[str, Any]) -> Upstream:
    """Decode the document of one instance; ValueError if it is malformed."""
    try:
        return from_fields(Upstream, doc)
    except TypeError as exc:
        raise ValueError(f"malformed upstream: {exc!r}") from exc


def upstreams_to_json(found: UpstreamList) -> dict[str, Any]:
    """Return a list of instances as the document that VMs exchange."""
    return {
        "era": found.version.era,
        "revision": found.version.revision,
        "upstreams": [asdict(up) for up in found],
        "grace_until": found.grace_until,
    }


def upstreams_from_json(doc: Mapping[str, Any]) -> UpstreamList:
    """Decode a list of instances from a document; ValueError if it is malformed."""
    try:
        found = [upstream_from_json(item) for item in doc["upstreams"]]
        grace_until = float(doc.get("grace_until", 0.0))
        version = Version(int(doc["era"]), int(doc["revision"]))
        return UpstreamList(version, {up.id: up for up in found}, grace_until)
    except (KeyError, TypeError) as exc:
        raise ValueError(f"malformed list of upstreams: {exc!r}") from exc
