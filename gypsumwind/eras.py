"""Eras of the platform's store, as this VM learns of them from answers and from other VMs."""

import threading
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

from gypsumwind.errors import Code, StoreError
from gypsumwind.hangups import CancelScope, in_scope
from gypsumwind.log import Log

log = Log("eras")

MAX_DIGITS = 9
"""Digits beyond which a header is taken for malformed: an absurd era could never be followed by a
later one."""

Rise = Callable[[int], None]
"""Takes the era that has begun."""


class Eras:
    """The highest era known, 0 before any was told; logs each rise and who told of it."""

    def __init__(self) -> None:
        self._current = 0
        self._lock = threading.Lock()
        self._callbacks: list[Rise] = []

    @property
    def current(self) -> int:
        """Return the highest era known."""
        return self._current

    def on_rise(self, callback: Rise) -> None:
        """Call back, on the thread that learns of it, when the era has risen."""
        self._callbacks.append(callback)

    def learn(self, era: int, source: str) -> bool:
        """Take in an era; False if a later one is known, so that what came with it is old."""
        with self._lock:
            before = self._current
            self._current = max(before, era)
        if era > before:
            log.info("store-era", era=era, was=before, source=source)
            for callback in self._callbacks:
                callback(era)
        return era >= before


class EraGuard:
    """Keeps answers of an era that is over from those who call the store."""

    def __init__(self, eras: Eras, header: str) -> None:
        self._eras = eras
        self._header = header
        self._watches: dict[CancelScope, int] = {}
        self._malformed = False
        eras.on_rise(self._end_watches)

    def hear(self, headers: Mapping[str, str]) -> int:
        """Return the era that an answer tells; without a sound one, the era known."""
        text = headers.get(self._header)
        if text is None:
            return self._eras.current
        if not text.isascii() or not text.isdecimal() or len(text) > MAX_DIGITS:
            if not self._malformed:
                log.warning("store-era-malformed", text=text[:20])
            self._malformed = True
            return self._eras.current
        self._eras.learn(int(text), "store")
        return int(text)

    def check(self, headers: Mapping[str, str]) -> int:
        """Return the era of an answer; STORE_UNAVAILABLE if it is over."""
        era = self.hear(headers)
        if era < self._eras.current:
            raise StoreError(Code.STORE_UNAVAILABLE, f"an answer of era {era}, which is over")
        return era

    @contextmanager
    def watching(self, era: int) -> Iterator[None]:
        """Watch from a revision of an era; STORE_HISTORY_GONE as soon as that era is over.

        A watch by revisions that are given out again would miss what changes below its own.
        """
        scope = CancelScope()
        self._watches[scope] = era
        try:
            self._require(era)
            with in_scope(scope):
                yield
        except StoreError as exc:
            self._require(era, exc)
            raise
        finally:
            self._watches.pop(scope, None)
        self._require(era)

    def _require(self, era: int, cause: StoreError | None = None) -> None:
        if self._eras.current > era:
            text = f"era {era} of the store is over"
            raise StoreError(Code.STORE_HISTORY_GONE, text) from cause

    def _end_watches(self, current: int) -> None:
        """Cut the watches that may wait in vain."""
        for scope, era in self._watches.copy().items():
            if era < current:
                scope.cancel()
