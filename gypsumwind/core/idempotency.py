"""Idempotency keys: each has one home VM, which runs it at most once and remembers how.

A key starts with the prefix that the look-up gave out: home VM, incarnation, expiry. The home
keeps running keys and outcomes until that expiry; after it, or on another incarnation, a key
is never run again.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

SEPARATOR = "."
PREFIX_PARTS = 3

Outcome = TypeVar("Outcome")


@dataclass(slots=True, frozen=True)
class KeyPrefix:
    """The home of a key: a VM, its incarnation, and the epoch second the key expires at."""

    vm: str
    incarnation: int
    expires: int

    def text(self) -> str:
        """Return the prefix as callers put it before their own part of the key."""
        return f"{self.vm}{SEPARATOR}{self.incarnation}{SEPARATOR}{self.expires}{SEPARATOR}"


def parse_prefix(key: str) -> KeyPrefix | None:
    """Return the prefix of a key, None for a foreign key that has none."""
    parts = key.split(SEPARATOR, PREFIX_PARTS)
    if len(parts) != PREFIX_PARTS + 1 or not parts[0]:
        return None
    if not (parts[1].isdecimal() and parts[2].isdecimal()):
        return None
    return KeyPrefix(parts[0], int(parts[1]), int(parts[2]))


class Begin(Enum):
    """What the home says of a key that arrives."""

    RUN = "run"
    RUNNING = "running"
    DONE = "done"
    EXPIRED = "expired"
    REUSED = "reused"
    FULL = "full"
    MOVED = "moved"


@dataclass(slots=True)
class KeyEntry(Generic[Outcome]):
    """A key that was begun: what it asked for, when it expires, and its outcome if it ended."""

    key: str
    fingerprint: str
    expires: float
    outcome: Outcome | None = None


class KeyTable(Generic[Outcome]):
    """The home's memory of keys, bounded in number; a full table refuses new keys.

    A home that stops closes its table and hands it to an heir, which goes on as the home.
    """

    __slots__ = ("_entries", "_capacity", "_closed")

    def __init__(self, capacity: int) -> None:
        self._entries: dict[str, KeyEntry[Outcome]] = {}
        self._capacity = capacity
        self._closed = False

    def __len__(self) -> int:
        return len(self._entries)

    def entries(self) -> Iterable[KeyEntry[Outcome]]:
        """Return all entries."""
        return self._entries.values()

    def __contains__(self, key: str) -> bool:
        return key in self._entries

    def begin(
        self, key: str, fingerprint: str, expires: float, now: float
    ) -> tuple[Begin, Outcome | None]:
        """Begin a key; only one caller ever gets RUN until the key is forgotten.

        The fingerprint tells what is asked for: another one under the same key is REUSED.
        """
        if self._closed:
            return Begin.MOVED, None
        if now >= expires:
            return Begin.EXPIRED, None
        entry = self._entries.get(key)
        if entry is not None and entry.fingerprint != fingerprint:
            return Begin.REUSED, None
        if entry is not None:
            state = Begin.RUNNING if entry.outcome is None else Begin.DONE
            return state, entry.outcome
        if len(self._entries) >= self._capacity:
            self.expire(now)
        if len(self._entries) >= self._capacity:
            return Begin.FULL, None
        self._entries[key] = KeyEntry(key, fingerprint, expires)
        return Begin.RUN, None

    def finish(self, key: str, outcome: Outcome) -> None:
        """Remember the outcome of a key that ran or may have run."""
        entry = self._entries.get(key)
        if entry is not None:
            entry.outcome = outcome

    def forget(self, key: str) -> None:
        """The key certainly did not run: let it be begun again."""
        self._entries.pop(key, None)

    def close(self) -> list[KeyEntry[Outcome]]:
        """Begin no more keys, and return all entries for the heir."""
        self._closed = True
        return list(self._entries.values())

    def inherit(self, entries: Iterable[KeyEntry[Outcome]]) -> None:
        """Take in the entries of a home that stopped; one without outcome never ends here."""
        for entry in entries:
            self._entries.setdefault(entry.key, entry)

    def expire(self, now: float) -> None:
        """Forget keys past their expiry; begin() refuses them by the expiry itself."""
        self._entries = {k: e for k, e in self._entries.items() if e.expires > now}
