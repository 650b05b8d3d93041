"""Versioned records that VMs spread among themselves by push and by anti-entropy.

A record's era and version only rise: an older one is dropped wherever it comes from. Two VMs
compare one hash a scope first and exchange versions only where the hashes differ.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import xxhash

from gypsumwind.core.versions import Version

CONFIG_SCOPE = "config"
ZONES_SCOPE = "zones"

NONE = Version(-1)
"""Version of a record that a VM does not have."""


@dataclass(slots=True, frozen=True)
class Record:
    """A payload under a key, at a version; `scope` says which VMs keep it.

    `era` is that of the store whose revision the version is, 0 for versions of any other source.
    """

    key: str
    version: int
    scope: str
    payload: bytes
    era: int = 0

    @property
    def order(self) -> Version:
        """Return what tells the newer of two records of one key."""
        return Version(self.era, self.version)


class Records:
    """The records that one VM keeps: configuration, what zones publish, and its own zone's.

    What changes often is in other scopes than what rarely does, so that the versions of the
    whole table are compared only after a change of it.
    """

    __slots__ = ("_records", "_scopes")

    def __init__(self, zone: str) -> None:
        self._records: dict[str, Record] = {}
        self._scopes = (CONFIG_SCOPE, ZONES_SCOPE, zone)

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> Record | None:
        """Return a record or None."""
        return self._records.get(key)

    def with_prefix(self, prefix: str) -> list[Record]:
        """Return the records whose key starts with a prefix."""
        return [r for k, r in self._records.items() if k.startswith(prefix)]

    def put(self, record: Record) -> bool:
        """Keep a record if it is newer than the one kept; tell whether it was."""
        if record.scope not in self._scopes:
            return False
        known = self._records.get(record.key)
        if known is not None and known.order >= record.order:
            return False
        self._records[record.key] = record
        return True

    def drop(self, key: str) -> None:
        """Forget a record."""
        self._records.pop(key, None)

    def digest(self, scope: str, wanted: Callable[[str], bool] = lambda key: True) -> int:
        """Return a hash over the wanted keys and versions of one scope, a 63-bit number."""
        total = 0
        for record in self._records.values():
            if record.scope == scope and wanted(record.key):
                total ^= xxhash.xxh64_intdigest(f"{record.key}\x00{record.order}".encode())
        return total >> 1

    def versions(self, scope: str) -> dict[str, Version]:
        """Return the versions by key of one scope."""
        return {r.key: r.order for r in self._records.values() if r.scope == scope}

    def newer_than(self, scope: str, versions: Mapping[str, Version]) -> list[Record]:
        """Return the records of one scope that are newer here than the versions given."""
        mine = [r for r in self._records.values() if r.scope == scope]
        return [r for r in mine if r.order > versions.get(r.key, NONE)]

    def wanted(self, scope: str, versions: Mapping[str, Version]) -> list[str]:
        """Return the keys that are newer in the versions given than here."""
        mine = self.versions(scope)
        return [key for key, version in versions.items() if version > mine.get(key, NONE)]

    def scopes(self) -> Iterable[str]:
        """Return the scopes that this VM keeps."""
        return self._scopes
