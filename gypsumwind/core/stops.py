"""Phases of a planned stop: when a VM takes connections, takes requests, and ends."""

from enum import IntEnum

LISTEN_S = 2.0
"""Time for which new connections are still taken: callers' look-ups run out."""

MARGIN_S = 0.4
"""Part of the time for a stop that is left when the process ends, for its own end."""

REFUSE_S = 1.3
"""Requests are refused from this long before the deadline on, even if others are in flight, so that
what was taken before has a second to finish; most requests of the planned loads take less."""

GIVE_UP_S = 0.3
"""What instances still work on is given up so long before the deadline, which leaves time to say so
to its callers, and to deliver the ready answers that wait behind it on its connection."""

LISTEN_SHARE = 0.5
REFUSE_SHARE = 0.25
GIVE_UP_SHARE = 0.06
"""The most that each may take of a short time for a stop."""

LEAST_REFUSING_S = 0.1
"""Time for which requests are refused at least: those that were being read get their answer."""


class Phase(IntEnum):
    """What a VM does with what comes; the phases follow each other and are never skipped."""

    SERVING = 0
    LEAVING = 1  # serves all, but is not named to callers any more
    CLOSED = 2  # takes no new connections, and requests only on those that are open
    REFUSING = 3  # takes no requests; finishes those in flight
    GIVING_UP = 4  # answers for the instances that still work: what they do may have run
    ENDED = 5


class Stop:
    """A planned stop that began at `now` and may take `grace_s`; moved on by `step`.

    A request that is taken and needs less than a second, less two periods of `step`, is not given
    up, if the stop may take 5.6 s or more. The end comes by the deadline.
    """

    __slots__ = (
        "phase",
        "deadline",
        "_listen_until",
        "_refuse_from",
        "_give_up_from",
        "_least_closed_s",
        "_since",
    )

    def __init__(self, now: float, grace_s: float, least_closed_s: float) -> None:
        """`least_closed_s`: time in which the server closes connections that are idle."""
        span_s = max(0.0, grace_s - MARGIN_S)
        self.phase = Phase.SERVING
        self.deadline = now + span_s
        self._listen_until = now + min(LISTEN_S, LISTEN_SHARE * span_s)
        self._refuse_from = self.deadline - min(REFUSE_S, REFUSE_SHARE * span_s)
        self._give_up_from = self.deadline - min(GIVE_UP_S, GIVE_UP_SHARE * span_s)
        self._least_closed_s = least_closed_s
        self._since = now

    def step(self, now: float, in_flight: int) -> Phase:
        """Move on by one phase at the most, and return the phase."""
        if self.phase is not Phase.ENDED and self._over(now, in_flight):
            self.phase = Phase(self.phase + 1)
            self._since = now
        return self.phase

    def _over(self, now: float, in_flight: int) -> bool:
        """Tell whether the present phase is over."""
        if self.phase is Phase.SERVING:
            return True
        if self.phase is Phase.LEAVING:
            return now >= self._listen_until
        if self.phase is Phase.CLOSED:
            idle = not in_flight and now >= self._since + self._least_closed_s
            return idle or now >= self._refuse_from
        if self.phase is Phase.REFUSING:
            idle = not in_flight and now >= self._since + LEAST_REFUSING_S
            return idle or now >= self._give_up_from
        return not in_flight or now >= self.deadline
