"""Outages of the platform's store, as this VM's calls notice them.

A call that reaches the store during an outage may never be answered, although its connection stays
open. A watch that waits for changes would then wait for its whole time after the outage. So watches
that may have been hit are ended as soon as a later call is answered.

In a long outage owners cannot renew their entries, which may be missing for a while after it.
"""

import math
import threading
from collections.abc import Iterator
from contextlib import contextmanager

from gypsumwind.core.lapses import EXPIRY_GRACE_S, Lease
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


class OutageHistory:
    """Outages of the store as one VM observes them, and whether leases can have expired in them.

    A call may fail without an outage: the store may close a connection or cut off a waiting watch.
    An entry that is removed right after that has left. Only an outage in which owners could not
    renew their leases makes entries lapse; several short ones count together unless the store
    answered for a whole renewal interval in between.
    """

    def __init__(self, lease: Lease | None = None) -> None:
        self.lease = lease or Lease()
        self._lock = threading.Lock()
        self._answered_at = -math.inf
        self._recovered_at = -math.inf
        self._failing = False
        self._silent_s = 0.0
        self._grace_until = -math.inf

    @property
    def grace_until(self) -> float:
        """Return until when entries whose lease expired in an outage may be missing."""
        return self._grace_until

    def record_failure(self) -> None:
        """Record that a call to the store failed."""
        with self._lock:
            self._failing = True

    def record_answer(self, at: float) -> None:
        """Record that the store answered at a time, to this VM or to one that it follows."""
        with self._lock:
            if at < self._answered_at:
                return
            if self._failing:
                self._failing = False
                self._recovered_at = at
                self._silent_s += at - self._answered_at
                if self._silent_s >= self.lease.min_outage_s:
                    self._grace_until = at + EXPIRY_GRACE_S
            elif at - self._recovered_at >= self.lease.max_renewal_s:
                self._silent_s = 0.0
            self._answered_at = at
