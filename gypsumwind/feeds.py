"""Feeds: what the platform lists, as it changes, followed by a task each."""

import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from gypsumwind.core.lapses import LAPSE_GRACE_S
from gypsumwind.core.versions import Version
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

FRESH_S = 2.0
"""Time after the last answer for which a feed counts as up to date: while nothing changes nobody
knows more, and after a change the next answer is due well within it."""

MAX_FAULTS = 1000
"""Malformed entries that are remembered, so that each is logged once a revision."""


@dataclass(slots=True, frozen=True)
class Changes:
    """Values by name (None: removed or malformed), the version, and what was malformed.

    For `grace_s` values may be missing that lapsed while the source was without the store.
    """

    values: Mapping[str, Any]
    version: Version
    faults: list[tuple[str, int, str]] = field(default_factory=list)
    grace_s: float = 0.0


class Feed(Protocol):
    """A list of named values that changes; StoreError if it cannot be read."""

    def read(self) -> Changes:
        """Return the whole list."""
        ...

    def changes(self, after: Version, wait_s: float) -> Changes:
        """Wait for changes after a version; STORE_HISTORY_GONE asks for a new read()."""
        ...


Publish = Callable[[Mapping[str, Any], Version, float], None]
"""Takes a whole list, its version, and the time for which entries may be missing from it."""


class FeedTask(Task):
    """Follows a feed and hands on the whole list after each change, as the store told it.

    `pace_s` is the least time between two calls, so that frequent changes come in batches.
    """

    def __init__(
        self,
        name: str,
        feed: Feed,
        pace_s: float,
        publish: Publish,
        rng: random.Random,
    ) -> None:
        super().__init__(f"feed-{name}", pace_s)
        self._feed = feed
        self._pace_s = pace_s
        self._publish = publish
        self._rng = rng
        self._values: dict[str, Any] = {}
        self._version: Version | None = None
        self._era: int | None = None
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
            if self._version is None:
                self._take(self._feed.read(), whole=True)
            else:
                self._take(self._feed.changes(self._version, WAIT_S), whole=False)
        except StoreError as exc:
            self._failed(exc)
            return
        self._retry_s = 0.0
        self._heard_at = monotonic()

    def _take(self, found: Changes, whole: bool) -> None:
        self._regained()
        self._notice_restore(found.version.era)
        self._grace_until = max(self._grace_until, monotonic() + found.grace_s)
        self._log_faults(found)
        merged = found.values if whole else {**self._values, **found.values}
        values = {name: value for name, value in merged.items() if value is not None}
        changed = whole or values != self._values
        self._version, self._values = found.version, values
        if changed:
            grace_s = max(0.0, self._grace_until - monotonic())
            self._publish(dict(values), found.version, grace_s)

    def _regained(self) -> None:
        if self._lost:
            log.info("store-regained", feed=self.name)
            self._grace_until = monotonic() + LAPSE_GRACE_S
        self._lost = False

    def _notice_restore(self, era: int) -> None:
        """Give entries that a restored store has lost the time to be written again."""
        if self._era is not None and era > self._era:
            log.info("list-restored", feed=self.name, era=era, was=self._era)
            self._grace_until = monotonic() + LAPSE_GRACE_S
        self._era = era

    def _failed(self, exc: StoreError) -> None:
        if exc.code is Code.STORE_HISTORY_GONE:
            log.info("history-gone", feed=self.name, version=str(self._version))
            self._version = None
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
