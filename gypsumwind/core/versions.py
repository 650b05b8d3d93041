"""Versions of the documents of a store.

A store restored from a backup has lost its last changes and reuses their revisions; it reports the
restore by a higher era. Versions are compared by era, then by revision.
"""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True, order=True)
class Version:
    """A revision within an era; a store that reports no eras stays in era 0."""

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        return f"{self.era}.{self.revision}" if self.era else str(self.revision)
