"""Feeds: what the platform lists, as it changes, followed by a task each."""

import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from gypsumwind.errors import Code, StoreError
from gypsumwind.log import Log
from gypsumwind.tasks import Task
from gypsumwind.utils import jittered, monotonic

log = Log("feeds")

WAIT_S = 20.0
"""Longest wait of one call for changes, in seconds."""

RETRY_S = 0.3
MAX_RETRY_S = 2.0
"""First and longest pause after a call that failed; doubled between them."""

LAPSE_GRACE_S = 2.0
"""After the store is back, entries that lapsed meanwhile get so long to return."""

FRESH_S = 2.0
"""Time after the last answer for which a feed counts as up to date: while nothing changes nobody
knows more, and after a change the next answer is due well within it."""

MAX_FAULTS = 1000
"""Malformed entries that are remembered, so that each is logged once a revision."""


@dataclass(slots=True, frozen=True)
class Changes:
    """Values by name (None: removed or malformed), the revision, and what was malformed.

    For `grace_s` values may be missing that lapsed while the source was without the store.
    """

    values: Mapping[str, Any]
    revision: int
    faults: list[tuple[str, int, str]] = field(default_factory=list)
    grace_s: float = 0.0


class Feed(Protocol):
    """A list of named values that changes; StoreError if it cannot be read."""

    def read(self) -> Changes:
        """Return the whole list."""
        ...

    def changes(self, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision; STORE_HISTORY_GONE asks for a new read()."""
        ...


class FeedTask(Task):
    """Follows a feed and hands on the whole list after each change.

    What peers told meanwhile is `known`, with its revision: a list that is newer than the last one
    read here takes its place, so that nothing older comes back. `pace_s` is the least time between
    two calls, so that frequent changes come in batches. An entry that is missing from a list read
    after a failure is kept for `LAPSE_GRACE_S`.
    """

    def __init__(
        self,
        name: str,
        feed: Feed,
        pace_s: float,
        publish: Callable[[Mapping[str, Any], int], None],
        rng: random.Random,
        known: Callable[[], tuple[Mapping[str, Any], int]] = lambda: ({}, 0),
    ) -> None:
        super().__init__(f"feed-{name}", pace_s)
        self._feed = feed
        self._pace_s = pace_s
        self._publish = publish
        self._rng = rng
        self._known = known
        self._values: dict[str, Any] = {}
        self._missing: dict[str, float] = {}
        self._revision: int | None = None
        self._newest = 0
        self._retry_s = 0.0
        self._lost = False
        self._grace_until = 0.0
        self._faults: set[tuple[str, int]] = set()
        self._heard_at = -math.inf

    @property
    def fresh(self) -> bool:
        """Tell whether an answer came so lately that no peer needs to be asked."""
        return monotonic() - self._heard_at < FRESH_S

    def pause_s(self) -> float:
        """Return the pause before the next call."""
        return jittered(self._retry_s, self._rng) if self._retry_s else self._pace_s

    def step(self) -> None:
        """Read the list, or wait for what changes in it."""
        try:
            if self._revision is None:
                self._read()
            else:
                wait_s = 0.5 if self._missing else WAIT_S
                self._take(self._feed.changes(self._revision, wait_s))
        except StoreError as exc:
            self._failed(exc)
            return
        self._retry_s = 0.0
        self._heard_at = monotonic()

    def _read(self) -> None:
        found = self._feed.read()
        known, revision = self._known()
        if revision > self._newest:
            self._values = dict(known)
        gone = {name: None for name in self._values if name not in found.values}
        self._take(replace(found, values={**gone, **found.values}))

    def _take(self, found: Changes) -> None:
        self._regained()
        self._grace_until = max(self._grace_until, monotonic() + found.grace_s)
        self._log_faults(found)
        changed = self._revision is None
        self._revision = self._newest = found.revision
        for name, value in found.values.items():
            changed |= self._set(name, value)
        for name, until in list(self._missing.items()):
            if monotonic() >= until:
                del self._missing[name]
                changed |= self._values.pop(name, None) is not None
        if changed:
            self._publish(dict(self._values), found.revision)

    def _set(self, name: str, value: Any) -> bool:
        """Keep or drop a value; tell whether the list is another one now."""
        if value is None and name in self._values and monotonic() < self._grace_until:
            self._missing.setdefault(name, self._grace_until)
            return False
        self._missing.pop(name, None)
        before = self._values.get(name)
        if value is None:
            self._values.pop(name, None)
        else:
            self._values[name] = value
        return before != value

    def _regained(self) -> None:
        if self._lost:
            log.info("store-regained", feed=self.name)
            self._grace_until = monotonic() + LAPSE_GRACE_S
        self._lost = False

    def _failed(self, exc: StoreError) -> None:
        if exc.code is Code.STORE_HISTORY_GONE:
            log.info("history-gone", feed=self.name, revision=self._revision)
            self._revision = None
            return
        if not self._lost:
            log.warning("store-lost", feed=self.name, error=exc.message)
        self._lost = True
        self._retry_s = min(MAX_RETRY_S, max(RETRY_S, 2 * self._retry_s))

    def _log_faults(self, found: Changes) -> None:
        for name, revision, text in found.faults:
            if (name, revision) in self._faults:
                continue
            if len(self._faults) >= MAX_FAULTS:
                self._faults.clear()
            self._faults.add((name, revision))
            log.warning("entry-malformed", feed=self.name, name=name, error=text)
