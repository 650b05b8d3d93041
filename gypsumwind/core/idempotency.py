"""Idempotency keys: each has one home VM, which runs it at most once and stores the outcome.

A key starts with the prefix that the look-up returned: home VM, incarnation, expiry. The home
stores running keys and outcomes until that expiry; after it, or on another incarnation, a key
is never run again.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

SEPARATOR = "."
PREFIX_PARTS = 3

OutcomeT = TypeVar("OutcomeT")


@dataclass(slots=True, frozen=True)
class KeyPrefix:
    """The home of a key: VM, incarnation, and expiry in epoch seconds."""

    vm: str
    incarnation: int
    expires: int

    def text(self) -> str:
        """Return the text that callers prepend to their own part of the key."""
        return f"{self.vm}{SEPARATOR}{self.incarnation}{SEPARATOR}{self.expires}{SEPARATOR}"


def parse_prefix(key: str) -> KeyPrefix | None:
    """Return the prefix of a key, None for a caller's own key without one."""
    parts = key.split(SEPARATOR, PREFIX_PARTS)
    if len(parts) != PREFIX_PARTS + 1 or not parts[0]:
        return None
    if not (parts[1].isdecimal() and parts[2].isdecimal()):
        return None
    return KeyPrefix(parts[0], int(parts[1]), int(parts[2]))


class BeginResult(Enum):
    """Result of KeyTable.begin()."""

    RUN = "run"
    RUNNING = "running"
    DONE = "done"
    EXPIRED = "expired"
    REUSED = "reused"
    FULL = "full"
    MOVED = "moved"


@dataclass(slots=True)
class KeyEntry(Generic[OutcomeT]):
    """A key that was begun: request fingerprint, expiry, and the outcome once it has ended."""

    key: str
    fingerprint: str
    expires: float
    outcome: OutcomeT | None = None


class KeyTable(Generic[OutcomeT]):
    """The keys of one home, bounded in number; a full table refuses new keys.

    On shutdown a home closes its table and transfers it to an heir, which becomes the home.
    """

    __slots__ = ("_entries", "_capacity", "_closed")

    def __init__(self, capacity: int) -> None:
        self._entries: dict[str, KeyEntry[OutcomeT]] = {}
        self._capacity = capacity
        self._closed = False

    def __len__(self) -> int:
        return len(self._entries)

    def entries(self) -> Iterable[KeyEntry[OutcomeT]]:
        """Return all entries."""
        return self._entries.values()

    def __contains__(self, key: str) -> bool:
        return key in self._entries

    def begin(
        self, key: str, fingerprint: str, expires: float, now: float
    ) -> tuple[BeginResult, OutcomeT | None]:
        """Begin a key; only one call returns RUN until the key is removed.

        The fingerprint identifies the request: a different one under the same key is REUSED.
        """
        if self._closed:
            return BeginResult.MOVED, None
        if now >= expires:
            return BeginResult.EXPIRED, None
        entry = self._entries.get(key)
        if entry is not None and entry.fingerprint != fingerprint:
            return BeginResult.REUSED, None
        if entry is not None:
            state = BeginResult.RUNNING if entry.outcome is None else BeginResult.DONE
            return state, entry.outcome
        if len(self._entries) >= self._capacity:
            self.expire(now)
        if len(self._entries) >= self._capacity:
            return BeginResult.FULL, None
        self._entries[key] = KeyEntry(key, fingerprint, expires)
        return BeginResult.RUN, None

    def finish(self, key: str, outcome: OutcomeT) -> None:
        """Store the outcome of a key that ran or may have run."""
        entry = self._entries.get(key)
        if entry is not None:
            entry.outcome = outcome

    def forget(self, key: str) -> None:
        """Remove a key that certainly did not run, so that it may begin again."""
        self._entries.pop(key, None)

    def close(self) -> list[KeyEntry[OutcomeT]]:
        """Reject further keys and return all entries for the heir."""
        self._closed = True
        return list(self._entries.values())

    def inherit(self, entries: Iterable[KeyEntry[OutcomeT]]) -> None:
        """Add the entries of a home that stopped; those without an outcome stay RUNNING."""
        for entry in entries:
            self._entries.setdefault(entry.key, entry)

    def expire(self, now: float) -> None:
        """Remove expired keys; begin() rejects them by their expiry."""
        self._entries = {k: e for k, e in self._entries.items() if e.expires > now}
