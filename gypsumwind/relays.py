"""Relays: changelogs of a VM's feeds, served to the VMs of its zone that follow it.

The first delegate of a zone follows the platform's store and the other VMs follow a delegate, in a
large zone through a few relays (`followers.py`, `core/delegates.py`). Calls to the store thus grow
with the number of zones and not of VMs, and no VM has many followers.
"""

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from gypsumwind.core.propagation import DELEGATE_MAX_STALENESS_S, FOLLOW_LONG_POLL_S
from gypsumwind.core.versions import Version
from gypsumwind.eras import EraTracker
from gypsumwind.utils import monotonic

INFINITE_STALENESS_S = 1e6
"""Staleness of a VM that never got an answer from the store; in milliseconds it fits 32 bits."""

MAX_TOMBSTONES = 10_000
"""Removed names that a changelog keeps; beyond that many, followers get a snapshot."""


@dataclass(slots=True, frozen=True)
class Codec:
    """JSON encoding of a feed's values between VMs; `decode` may raise ValueError."""

    encode: Callable[[Any], Any]
    decode: Callable[[Any], Any]


@dataclass(slots=True, frozen=True)
class RelayUpdate:
    """An update from a relay's changelog: its id and position, the store's version, and values.

    `whole` marks a snapshot: names that are not in `values` are removed. `age_s` is the time since
    the store's last answer. For `grace_s` entries may be missing whose lease expired during an
    outage of the store.
    """

    log: int
    position: int
    version: Version
    age_s: float
    whole: bool
    values: Mapping[str, Any]
    grace_s: float = 0.0


class RelayLog:
    """The changelog of one feed on this VM, which followers read by long polls."""

    def __init__(self, log_id: int) -> None:
        self._log_id = log_id
        self._values: dict[str, Any] = {}
        self._positions: dict[str, int] = {}
        self._position = 0
        self._version = Version()
        self._compacted_at = 0
        self._changed = threading.Condition()

    def put(self, values: Mapping[str, Any], version: Version) -> None:
        """Replace the list; names that changed get the next position."""
        with self._changed:
            self._position += 1
            self._version = version
            for name in {*values, *self._values}:
                if values.get(name) != self._values.get(name):
                    self._positions[name] = self._position
            self._values = dict(values)
            if len(self._positions) > len(values) + MAX_TOMBSTONES:
                self._positions = {n: p for n, p in self._positions.items() if n in values}
                self._compacted_at = self._position
            self._changed.notify_all()

    def follow(
        self,
        log_id: int,
        position: int,
        wait_s: float,
        staleness: Callable[[], float],
        max_staleness_s: float = DELEGATE_MAX_STALENESS_S,
    ) -> RelayUpdate:
        """Return the changes after a position, waiting for them; a snapshot for a new follower.

        The wait ends early at the staleness from which followers leave this VM.
        """
        deadline = monotonic() + wait_s
        with self._changed:
            resumable = log_id == self._log_id and self._compacted_at <= position <= self._position
            while resumable and position == self._position:
                remaining_s = min(deadline - monotonic(), max_staleness_s - staleness())
                if remaining_s <= 0:
                    break
                self._changed.wait(remaining_s)
            after = position if resumable else -1
            changed = [n for n, p in self._positions.items() if p > after]
            values = {n: self._values.get(n) for n in changed if resumable or n in self._values}
            age_s = staleness() if self._position else INFINITE_STALENESS_S
            return RelayUpdate(
                self._log_id, self._position, self._version, age_s, not resumable, values
            )


class RelayHub:
    """The changelogs of this VM's feeds, and the time of the store's last answer for each.

    `log_id` distinguishes the changelogs of two starts of a process. Feeds in `high_rate` change so
    often that a pause between their calls batches the changes. `eras` tracks the store's era.
    `max_staleness_s`: the staleness from which this VM, a delegate or a relay, is not followed.
    """

    def __init__(
        self,
        log_id: int,
        codecs: Mapping[str, Codec],
        high_rate: frozenset[str] = frozenset(),
        eras: EraTracker | None = None,
    ) -> None:
        self.eras = eras or EraTracker()
        self.codecs = codecs
        self.high_rate = high_rate
        self.max_staleness_s = DELEGATE_MAX_STALENESS_S
        self._logs = {feed: RelayLog(log_id) for feed in codecs}
        self._last_answer_at = dict.fromkeys(codecs, -INFINITE_STALENESS_S)
        self._grace_until = dict.fromkeys(codecs, -INFINITE_STALENESS_S)

    def record_answer(self, feed: str, age_s: float = 0.0) -> None:
        """Record that a feed got an answer from the store, `age_s` ago if through another VM."""
        self._last_answer_at[feed] = max(self._last_answer_at[feed], monotonic() - age_s)

    def age_s(self, feed: str) -> float:
        """Return the time since the last answer for a feed, at most INFINITE_STALENESS_S."""
        return min(INFINITE_STALENESS_S, monotonic() - self._last_answer_at[feed])

    def extend_grace(self, feed: str, seconds: float) -> None:
        """Extend the time in which entries whose lease expired in a store outage may be missing."""
        self._grace_until[feed] = max(self._grace_until[feed], monotonic() + seconds)

    def put(self, feed: str, values: Mapping[str, Any], version: Version) -> None:
        """Replace the list of a feed, as the store reports it."""
        self._logs[feed].put(values, version)

    def follow(self, feed: str, log_id: int, position: int, wait_s: float) -> RelayUpdate:
        """Serve a follower, with the values as JSON documents; KeyError for an unknown feed."""
        wait_s = min(wait_s, FOLLOW_LONG_POLL_S)
        update = self._logs[feed].follow(
            log_id, position, wait_s, lambda: self.age_s(feed), self.max_staleness_s
        )
        encode = self.codecs[feed].encode
        docs = {n: None if value is None else encode(value) for n, value in update.values.items()}
        grace_s = max(0.0, self._grace_until[feed] - monotonic())
        return replace(update, values=docs, grace_s=grace_s)
