"""Feeds: lists of the platform that change, each followed by a task."""

import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from gypsumwind.core.lapses import EXPIRY_GRACE_S
from gypsumwind.core.versions import Version
from gypsumwind.errors import Code, StoreError
from gypsumwind.log import Log
from gypsumwind.outages import OutageHistory
from gypsumwind.tasks import Task
from gypsumwind.utils import jittered, monotonic

log = Log("feeds")

MAX_LONG_POLL_S = 1.75
"""Longest wait of one call for changes (long poll), in seconds. Only its own answers show that a
subscription is alive: each is due before the feed counts as stale, and a lost one is noticed, and
made up for, within the time that a VM has to be up to date again."""

MIN_BACKOFF_S = 0.3
MAX_BACKOFF_S = 0.8
"""First and longest backoff after a failed call, in seconds; doubled in between. An unanswered call
and the jittered backoff after it pass within the time that a VM has to be up to date again."""

MAX_STALENESS_S = 2.0
"""Time after the last answer for which a feed counts as fresh: while nothing changes no VM has
later data, and after a change the next answer is due well within this time."""

MAX_LOGGED_ERRORS = 1000
"""Maximum number of malformed entries recorded, so that each is logged once per revision."""


@dataclass(slots=True, frozen=True)
class Changes:
    """Values by name (None: removed or malformed), their version, and the decode errors.

    For `grace_s` values may be missing whose lease expired while the source could not reach the
    store. `age_s` is the time since the store's answer on which they rest, as the source reports
    it.
    """

    values: Mapping[str, Any]
    version: Version
    decode_errors: list[tuple[str, int, str]] = field(default_factory=list)
    grace_s: float = 0.0
    age_s: float = 0.0


class Feed(Protocol):
    """A changing list of named values; its methods raise StoreError if it cannot be read."""

    def read(self) -> Changes:
        """Return the whole list."""
        ...

    def changes(self, after: Version, wait_s: float) -> Changes:
        """Wait for changes after a version; STORE_HISTORY_GONE requires a new read()."""
        ...


PublishSnapshot = Callable[[Mapping[str, Any], Version, float], None]
"""Receives a snapshot, its version, and the grace period in which entries may be missing."""


class FeedTask(Task):
    """Follows a feed and publishes the whole list after each change, as the store reports it.

    `min_interval_s` is the minimum time between two calls; it batches frequent changes. `in_force`
    returns the version of the list in force, which a peer may have reported in an outage: a later
    answer replaces it, also if the feed itself saw no change. None if no list replaces a later one.
    `outages` is shared by the feeds of a VM. `max_interval_s` returns the longest pause that the
    VM's role allows.
    """

    def __init__(
        self,
        name: str,
        feed: Feed,
        min_interval_s: float,
        publish: PublishSnapshot,
        rng: random.Random,
        in_force: Callable[[], Version] | None = None,
        outages: OutageHistory | None = None,
        max_interval_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        super().__init__(f"feed-{name}", min_interval_s)
        self._outages = outages or OutageHistory()
        self._in_force = in_force
        self._published = Version()
        self._feed = feed
        self._min_interval_s = min_interval_s
        self._max_interval_s = max_interval_s
        self._publish = publish
        self._rng = rng
        self._values: dict[str, Any] = {}
        self._version: Version | None = None
        self._era: int | None = None
        self._backoff_s = 0.0
        self._store_unavailable = False
        self._grace_until = 0.0
        self._logged_errors: set[tuple[str, int]] = set()
        self._last_answer_at = -math.inf

    @property
    def fresh(self) -> bool:
        """Return whether the last answer is so recent that no peer can have later data."""
        return self.age_s < MAX_STALENESS_S

    @property
    def age_s(self) -> float:
        """Return the time since the last answer to this task, inf if there was none."""
        return monotonic() - self._last_answer_at

    @property
    def _silent_s(self) -> float:
        """Return `age_s` as log lines have it."""
        return round(self.age_s, 3)

    def pause_s(self) -> float:
        """Return the pause before the next call: the jittered backoff, or the minimum interval."""
        if self._backoff_s:
            return jittered(self._backoff_s, self._rng)
        return min(self._min_interval_s, self._max_interval_s())

    def step(self) -> None:
        """Read the list, or wait for changes to it."""
        try:
            if self._version is None:
                self._apply(self._feed.read(), is_snapshot=True)
            else:
                self._apply(self._feed.changes(self._version, MAX_LONG_POLL_S), is_snapshot=False)
        except StoreError as exc:
            self._handle_error(exc)
            return
        self._backoff_s = 0.0
        self._last_answer_at = monotonic()

    def _apply(self, found: Changes, is_snapshot: bool) -> None:
        self._outages.record_answer(monotonic() - found.age_s)
        self._grace_until = max(self._grace_until, self._outages.grace_until)
        self._log_recovery()
        restored = self._detect_restore(found.version.era)
        self._grace_until = max(self._grace_until, monotonic() + found.grace_s)
        self._log_decode_errors(found)
        merged = found.values if is_snapshot else {**self._values, **found.values}
        values = {name: value for name, value in merged.items() if value is not None}
        changed = is_snapshot or restored or values != self._values
        self._version, self._values = found.version, values
        if changed or self._replaces_list_of_peer(found.version):
            log.info(
                "list-changed",
                feed=self.name,
                version=str(found.version),
                silent_s=self._silent_s,
                age_s=round(found.age_s, 3),
            )
            grace_s = max(0.0, self._grace_until - monotonic())
            self._published = found.version
            self._publish(dict(values), found.version, grace_s)

    def _replaces_list_of_peer(self, version: Version) -> bool:
        """Return whether the list in force is later than the feed's last, and earlier than this."""
        return self._in_force is not None and self._published < self._in_force() < version

    def _log_recovery(self) -> None:
        if self._store_unavailable:
            grace_s = round(max(0.0, self._grace_until - monotonic()), 3)
            log.info("store-regained", feed=self.name, silent_s=self._silent_s, grace_s=grace_s)
        self._store_unavailable = False

    def _detect_restore(self, era: int) -> bool:
        """Start a grace period in which entries that a restore lost can be written again.

        Return whether the store was restored: its first list is published even if it is the same as
        the last one before, as only later closures and departures are known to be new.
        """
        restored = self._era is not None and era > self._era
        if restored:
            log.info("list-restored", feed=self.name, era=era, was=self._era)
            self._grace_until = monotonic() + EXPIRY_GRACE_S
        self._era = era
        return restored

    def _handle_error(self, exc: StoreError) -> None:
        if exc.code is Code.STORE_HISTORY_GONE:
            log.info(
                "history-gone",
                feed=self.name,
                version=str(self._version),
                silent_s=self._silent_s,
                error=exc.message,
            )
            self._version = None
            return
        if not self._store_unavailable:
            log.warning("store-lost", feed=self.name, silent_s=self._silent_s, error=exc.message)
        self._store_unavailable = True
        self._outages.record_failure()
        self._backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * self._backoff_s))

    def _log_decode_errors(self, found: Changes) -> None:
        for name, revision, text in found.decode_errors:
            if (name, revision) in self._logged_errors:
                continue
            if len(self._logged_errors) >= MAX_LOGGED_ERRORS:
                self._logged_errors.clear()
            self._logged_errors.add((name, revision))
            log.warning("entry-malformed", feed=self.name, name=name, error=text)
