"""Versioned records that VMs replicate by push and by anti-entropy.

A record's era and version only increase; older ones are dropped, whatever their source. Two VMs
first compare one hash per scope, and exchange versions only where the hashes differ.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import xxhash

from gypsumwind.core.versions import Version

CONFIG_SCOPE = "config"
ZONES_SCOPE = "zones"
HEALTH_SCOPE = "health"

NO_VERSION = Version(-1)
"""Version of a missing record; sorts before that of any record."""


@dataclass(slots=True, frozen=True)
class Record:
    """A payload under a key, at a version; `scope` selects the VMs that replicate it.

    If the version is a revision of the store, `era` is the store's era; otherwise it is 0.
    """

    key: str
    version: int
    scope: str
    payload: bytes
    era: int = 0

    @property
    def full_version(self) -> Version:
        """Return the era and version, which order the records of one key."""
        return Version(self.era, self.version)


class Records:
    """Records of one VM, in the scopes of configuration, zone digests, health and its own zone.

    Often changed records are in other scopes than rarely changed ones, so that the versions of
    the whole table are compared only after it changes.
    """

    __slots__ = ("_records", "_scopes")

    def __init__(self, zone: str) -> None:
        self._records: dict[str, Record] = {}
        self._scopes = (CONFIG_SCOPE, ZONES_SCOPE, HEALTH_SCOPE, zone)

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> Record | None:
        """Return a record or None."""
        return self._records.get(key)

    def with_prefix(self, prefix: str) -> list[Record]:
        """Return the records whose key starts with a prefix."""
        return [r for k, r in self._records.items() if k.startswith(prefix)]

    def put(self, record: Record) -> bool:
        """Store a record of a replicated scope if it is newer; return whether it was stored."""
        if record.scope not in self._scopes:
            return False
        known = self._records.get(record.key)
        if known is not None and known.full_version >= record.full_version:
            return False
        self._records[record.key] = record
        return True

    def drop(self, key: str) -> None:
        """Remove a record."""
        self._records.pop(key, None)

    def digest(self, scope: str, wanted: Callable[[str], bool] = lambda key: True) -> int:
        """Return a 63-bit hash over the selected keys and versions of one scope."""
        total = 0
        for record in self._records.values():
            if record.scope == scope and wanted(record.key):
                total ^= xxhash.xxh64_intdigest(f"{record.key}\x00{record.full_version}".encode())
        return total >> 1

    def versions(self, scope: str) -> dict[str, Version]:
        """Return the versions of one scope by key."""
        return {r.key: r.full_version for r in self._records.values() if r.scope == scope}

    def newer_than(self, scope: str, versions: Mapping[str, Version]) -> list[Record]:
        """Return the local records of one scope that are newer than the given versions."""
        local = [r for r in self._records.values() if r.scope == scope]
        return [r for r in local if r.full_version > versions.get(r.key, NO_VERSION)]

    def wanted(self, scope: str, versions: Mapping[str, Version]) -> list[str]:
        """Return the keys whose given versions are newer than the local ones."""
        local = self.versions(scope)
        return [key for key, version in versions.items() if version > local.get(key, NO_VERSION)]

    def scopes(self) -> Iterable[str]:
        """Return the scopes that this VM replicates."""
        return self._scopes
