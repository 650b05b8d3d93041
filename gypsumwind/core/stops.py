"""Phases of a graceful shutdown: until when a VM accepts connections and requests."""

from enum import IntEnum

LISTEN_S = 2.0
"""Time, in seconds, for which new connections are still accepted, until callers' name look-ups have
expired."""

MARGIN_S = 0.4
"""Part of the grace period, in seconds, that is reserved for the exit of the process."""

REFUSE_S = 1.3
"""Time before the deadline, in seconds, from which requests are refused, even if others are in
flight, so that accepted ones have a second to finish; most requests of the planned loads take less.
"""

ACCEPT_ALL_S = 2.8
"""Time, in seconds, for which requests are accepted however long they may take. Callers send few
later ones; a refusal sends these to another VM, where they are not aborted."""

ABORT_S = 0.3
"""Time before the deadline, in seconds, at which requests still running on instances are aborted.
It leaves time to notify their callers, and to send the responses queued behind theirs on a
connection."""

LISTEN_SHARE = 0.5
ACCEPT_ALL_SHARE = 0.5
REFUSE_SHARE = 0.25
ABORT_SHARE = 0.06
"""Maximum of each of these times as a fraction of a short grace period."""

MIN_REFUSING_S = 0.1
"""Minimum time, in seconds, for which requests are refused: those being read get their response."""


class ShutdownPhase(IntEnum):
    """What a VM accepts during its shutdown; phases are entered in order, and none is skipped."""

    SERVING = 0
    LEAVING = 1  # serves all, but is no longer announced to callers
    CLOSED = 2  # accepts no new connections, and requests only on open ones (see `accepts`)
    REFUSING = 3  # accepts no requests; finishes those in flight
    ABORTING = 4  # responds to requests still running on instances that they may have run
    ENDED = 5


class GracefulShutdown:
    """A graceful shutdown that began at `now` and may take `grace_s`; `step` advances it.

    An accepted request that needs less than one second minus two periods of `step` is not aborted
    if `grace_s` is 5.6 s or more. The shutdown ends by the deadline.
    """

    __slots__ = (
        "phase",
        "deadline",
        "_listen_until",
        "_accept_all_until",
        "_refuse_from",
        "_abort_from",
        "_min_closed_s",
        "_phase_began",
    )

    def __init__(self, now: float, grace_s: float, min_closed_s: float) -> None:
        """Begin; `min_closed_s` is the time in which the server closes idle connections."""
        budget_s = max(0.0, grace_s - MARGIN_S)
        self.phase = ShutdownPhase.SERVING
        self.deadline = now + budget_s
        self._listen_until = now + min(LISTEN_S, LISTEN_SHARE * budget_s)
        self._accept_all_until = now + min(ACCEPT_ALL_S, ACCEPT_ALL_SHARE * budget_s)
        self._refuse_from = self.deadline - min(REFUSE_S, REFUSE_SHARE * budget_s)
        self._abort_from = self.deadline - min(ABORT_S, ABORT_SHARE * budget_s)
        self._min_closed_s = min_closed_s
        self._phase_began = now

    def step(self, now: float, in_flight: int) -> ShutdownPhase:
        """Advance by at most one phase, and return the current phase."""
        if self.phase is not ShutdownPhase.ENDED and self._phase_over(now, in_flight):
            self.phase = ShutdownPhase(self.phase + 1)
            self._phase_began = now
        return self.phase

    def accepts(self, now: float, request_deadline: float) -> bool:
        """Return whether to accept a request; a late one only if it cannot outlast the shutdown."""
        if self.phase >= ShutdownPhase.REFUSING:
            return False
        return now < self._accept_all_until or request_deadline <= self._abort_from

    def _phase_over(self, now: float, in_flight: int) -> bool:
        """Return whether the current phase is over."""
        if self.phase is ShutdownPhase.SERVING:
            return True
        if self.phase is ShutdownPhase.LEAVING:
            return now >= self._listen_until
        if self.phase is ShutdownPhase.CLOSED:
            idle = not in_flight and now >= self._phase_began + self._min_closed_s
            return idle or now >= self._refuse_from
        if self.phase is ShutdownPhase.REFUSING:
            idle = not in_flight and now >= self._phase_began + MIN_REFUSING_S
            return idle or now >= self._abort_from
        return not in_flight or now >= self.deadline
