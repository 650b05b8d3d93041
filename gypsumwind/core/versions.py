"""Versions of what a store tells.

A store that comes back from a copy has lost its last changes and gives their revisions out again;
it tells so by an era that rises. A version is the era and then the revision, compared as a pair.
"""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True, order=True)
class Version:
    """A revision within an era; a store that tells no eras stays in era 0."""

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        return f"{self.era}.{self.revision}" if self.era else str(self.revision)
