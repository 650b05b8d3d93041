"""Eras of the platform's store, observed in its answers and from other VMs.

A restore from a backup begins a new era, in which revisions are assigned again.
"""

import threading
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

from gypsumwind.errors import Code, StoreError
from gypsumwind.hangups import CancelScope, in_scope
from gypsumwind.log import Log

log = Log("eras")

MAX_ERA_DIGITS = 9
"""Digits beyond which an era header counts as malformed: after an absurdly high era no later one
could follow."""

EraCallback = Callable[[int], None]
"""Receives the era that has begun."""


class EraTracker:
    """Tracks the highest era observed, 0 at first; logs each advance and its source."""

    def __init__(self) -> None:
        self._current = 0
        self._lock = threading.Lock()
        self._callbacks: list[EraCallback] = []

    @property
    def current(self) -> int:
        """Return the highest era observed."""
        return self._current

    def on_advance(self, callback: EraCallback) -> None:
        """Register a callback, which runs on the observing thread when the era has advanced."""
        self._callbacks.append(callback)

    def observe(self, era: int, source: str) -> bool:
        """Record an era; return False if it is superseded, so that the source's data is old."""
        with self._lock:
            before = self._current
            self._current = max(before, era)
        if era > before:
            log.info("store-era", era=era, was=before, source=source)
            for callback in self._callbacks:
                callback(era)
        return era >= before


class EraGuard:
    """Rejects answers from superseded eras of the store, and cancels watches that began in them."""

    def __init__(self, eras: EraTracker, header: str) -> None:
        self._eras = eras
        self._header = header
        self._watches: dict[CancelScope, int] = {}
        self._malformed_logged = False
        eras.on_advance(self._cancel_outdated_watches)

    def era_of(self, headers: Mapping[str, str]) -> int:
        """Return the era of an answer by its headers; if none is valid, the highest observed."""
        text = headers.get(self._header)
        if text is None:
            return self._eras.current
        if not text.isascii() or not text.isdecimal() or len(text) > MAX_ERA_DIGITS:
            if not self._malformed_logged:
                log.warning("store-era-malformed", text=text[:20])
            self._malformed_logged = True
            return self._eras.current
        self._eras.observe(int(text), "store")
        return int(text)

    def require_current(self, headers: Mapping[str, str]) -> int:
        """Return the era of an answer; STORE_UNAVAILABLE if it is superseded."""
        era = self.era_of(headers)
        if era < self._eras.current:
            raise StoreError(Code.STORE_UNAVAILABLE, f"answer from superseded era {era}")
        return era

    @contextmanager
    def watching(self, era: int) -> Iterator[CancelScope]:
        """Guard a watch from a revision of an era; STORE_HISTORY_GONE once that era is superseded.

        Yields the scope by which the watch can be ended. As revisions are assigned again, the watch
        would miss changes below its own revision.
        """
        scope = CancelScope()
        self._watches[scope] = era
        try:
            self._raise_if_superseded(era)
            with in_scope(scope):
                yield scope
        except StoreError as exc:
            self._raise_if_superseded(era, exc)
            raise
        finally:
            self._watches.pop(scope, None)
        self._raise_if_superseded(era)

    def _raise_if_superseded(self, era: int, cause: StoreError | None = None) -> None:
        if self._eras.current > era:
            text = f"era {era} of the store is superseded"
            raise StoreError(Code.STORE_HISTORY_GONE, text) from cause

    def _cancel_outdated_watches(self, current: int) -> None:
        """Cancel the watches of earlier eras, which might wait in vain for their revisions."""
        for scope, era in self._watches.copy().items():
            if era < current:
                scope.cancel()
