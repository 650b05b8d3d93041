"""Relays: what the feeds of a VM brought, for the VMs of its zone that follow it.

The first delegate of a zone follows the platform's store, the other VMs follow a delegate, in a
large zone by way of a few of them (`followers.py`, `core/delegates.py`); so the calls to the store
grow with the zones and not with the VMs, and no VM has many followers.
"""

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from gypsumwind.core.versions import Version
from gypsumwind.eras import Eras
from gypsumwind.utils import monotonic

RELAY_WAIT_S = 1.0
"""Longest wait of a follower's call, and of a delegate's call to the store for what changes often:
each tells that the way is sound."""

RELAY_AGE_S = 2.0
"""Age of the store's last answer from which a VM is not followed: such a call of a delegate waits
a second, half a second passes before the next, and the rest is for the way and late timers."""

NEVER_S = 1e6
"""Age that stands for: has not heard from the store at all; as milliseconds it fits 32 bits."""

MAX_REMOVED = 10_000
"""Removed names that a log keeps; after that many it is told whole."""


@dataclass(slots=True, frozen=True)
class Codec:
    """How the values of a feed go between VMs as JSON; `decode` may raise ValueError."""

    encode: Callable[[Any], Any]
    decode: Callable[[Any], Any]


@dataclass(slots=True, frozen=True)
class News:
    """What a relay's log tells: its name and position, the store's version, and the values.

    With `whole`, names that are not in `values` are gone. `age_s` is the time since the relay
    last heard from the store. For `grace_s` entries may be missing that lapsed while the store was
    away.
    """

    log: int
    position: int
    version: Version
    age_s: float
    whole: bool
    values: Mapping[str, Any]
    grace_s: float = 0.0


class RelayLog:
    """What one feed brought on this VM, in the order in which it came; followers wait for more."""

    def __init__(self, name: int) -> None:
        self._name = name
        self._values: dict[str, Any] = {}
        self._positions: dict[str, int] = {}
        self._position = 0
        self._version = Version()
        self._since = 0
        self._changed = threading.Condition()

    def put(self, values: Mapping[str, Any], version: Version) -> None:
        """Take in the whole list as it is now."""
        with self._changed:
            self._position += 1
            self._version = version
            for name in {*values, *self._values}:
                if values.get(name) != self._values.get(name):
                    self._positions[name] = self._position
            self._values = dict(values)
            if len(self._positions) > len(values) + MAX_REMOVED:
                self._positions = {n: p for n, p in self._positions.items() if n in values}
                self._since = self._position
            self._changed.notify_all()

    def follow(self, name: int, position: int, wait_s: float, age: Callable[[], float]) -> News:
        """Return what came after a position, waiting for it; the whole list to a new follower."""
        until = monotonic() + wait_s
        with self._changed:
            known = name == self._name and self._since <= position <= self._position
            while known and position == self._position:
                left = min(until - monotonic(), RELAY_AGE_S - age())
                if left <= 0:
                    break
                self._changed.wait(left)
            after = position if known else -1
            changed = [n for n, p in self._positions.items() if p > after]
            values = {n: self._values.get(n) for n in changed if known or n in self._values}
            age_s = age() if self._position else NEVER_S
            return News(self._name, self._position, self._version, age_s, not known, values)


class RelayHub:
    """The logs of this VM's feeds, and when the store was last heard, here or by another VM.

    `name` tells the logs of two starts of a process apart. Feeds named in `often` call the store so
    often that each tells its own age; the others wait long for changes, and count as sound while
    any feed hears from the store. `eras` are those of the store, as this VM learns of them.
    """

    def __init__(
        self,
        name: int,
        codecs: Mapping[str, Codec],
        often: frozenset[str] = frozenset(),
        eras: Eras | None = None,
    ) -> None:
        self.eras = eras or Eras()
        self.codecs = codecs
        self.often = often
        self._logs = {feed: RelayLog(name) for feed in codecs}
        self._heard_at = dict.fromkeys(codecs, -NEVER_S)
        self._grace_until = dict.fromkeys(codecs, -NEVER_S)

    def heard(self, feed: str, age_s: float = 0.0) -> None:
        """A feed has an answer from the store, so long ago if by way of another VM."""
        self._heard_at[feed] = max(self._heard_at[feed], monotonic() - age_s)

    def age_s(self, feed: str) -> float:
        """Return the time since the store's last answer that counts for a feed, at most NEVER_S."""
        at = self._heard_at[feed] if feed in self.often else max(self._heard_at.values())
        return min(NEVER_S, monotonic() - at)

    def keep(self, feed: str, seconds: float) -> None:
        """For so long entries may be missing that lapsed while the store was away."""
        self._grace_until[feed] = max(self._grace_until[feed], monotonic() + seconds)

    def put(self, feed: str, values: Mapping[str, Any], version: Version) -> None:
        """Take in the whole list of a feed as the store tells it."""
        self._logs[feed].put(values, version)

    def follow(self, feed: str, name: int, position: int, wait_s: float) -> News:
        """Answer a follower, with the values as documents; KeyError for an unknown feed."""
        wait_s = min(wait_s, RELAY_WAIT_S)
        news = self._logs[feed].follow(name, position, wait_s, lambda: self.age_s(feed))
        encode = self.codecs[feed].encode
        docs = {n: None if value is None else encode(value) for n, value in news.values.items()}
        grace_s = max(0.0, self._grace_until[feed] - monotonic())
        return replace(news, values=docs, grace_s=grace_s)
