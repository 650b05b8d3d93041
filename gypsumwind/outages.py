"""Outages of the platform's store, as this VM's calls notice them.

A call that reaches the store during an outage may never be answered, although its connection stays
open. A watch that waits for changes would then wait for its whole time after the outage. So watches
that may have been hit are ended as soon as a later call is answered.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager

from gypsumwind.errors import Code, StoreError
from gypsumwind.hangups import CancelScope, cancelled
from gypsumwind.utils import monotonic


class GuardedCall:
    """A call that began at a time; `refused` if the store answered that it is unavailable."""

    __slots__ = ("began", "refused")

    def __init__(self, began: float) -> None:
        self.began = began
        self.refused = False


class OutageGuard:
    """Ends the watches that began before or during an outage, once the outage is over."""

    def __init__(self) -> None:
        self._failed_at = -math.inf
        self._watches: dict[CancelScope, float] = {}

    @contextmanager
    def calling(self) -> Iterator[GuardedCall]:
        """Guard a call: a failure begins an outage, the answer to a call made later ends it."""
        call = GuardedCall(monotonic())
        try:
            yield call
        except StoreError:
            if not cancelled():
                self._failed_at = monotonic()
            raise
        if call.refused:
            self._failed_at = monotonic()
        elif call.began > self._failed_at > -math.inf:
            self._failed_at = -math.inf
            self._end_watches(call.began)

    @contextmanager
    def watching(self, scope: CancelScope) -> Iterator[None]:
        """Guard a watch whose calls are in `scope`; STORE_HISTORY_GONE if it was ended early."""
        self._watches[scope] = monotonic()
        try:
            yield
        except StoreError as exc:
            if scope.cancelled:
                raise StoreError(Code.STORE_HISTORY_GONE, "an outage may have hit it") from exc
            raise
        finally:
            self._watches.pop(scope, None)

    def _end_watches(self, before: float) -> None:
        """End the watches that began before a time: their answers may be lost."""
        for scope, began in self._watches.copy().items():
            if began < before:
                scope.cancel()
