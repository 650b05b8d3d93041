"""Detects that this VM is partitioned from all instances, while its callers still reach it.

Its connections to instances may hang or be reset, so only the lack of any response shows it: sends
to several instances failed, or have waited for long, and all of them started after the last
response of any instance. An isolated VM refuses requests, but for one at a time that tries whether
instances respond again.
"""

import math
from dataclasses import dataclass

MIN_SENDS = 5
MIN_INSTANCES = 2
"""Sends without a response from which a VM is isolated, and the number of instances they went to,
one if there is only one. A VM may use few of the instances, but does not send to one that refuses
connections again and again."""

STALL_S = 1.2
"""Time, in seconds, after which a send without a response counts as failed here: other instances
respond within it, however slow this one is."""

CONFIRM_S = 0.3
"""Time, in seconds, for which the lack of responses must last: after a pause of the process, the
responses that arrived meanwhile are read within it."""

TRIAL_INTERVAL_S = 0.5
"""Interval, in seconds, between the requests that an isolated VM tries to serve."""

NOTICE_INTERVAL_S = 3.0
"""Interval, in seconds, at which an isolated VM notifies the others."""

NOTICE_TTL_S = 8.0
"""Time, in seconds, for which a notice is valid: one that is lost does not bring the VM back."""


@dataclass(slots=True, frozen=True)
class IsolationNotice:
    """A VM's notice that it is isolated, or that it no longer is; `at` in epoch seconds."""

    vm: str
    isolated: bool
    at: float

    @property
    def expires(self) -> float:
        """Return until when the notice is valid, in epoch seconds."""
        return self.at + NOTICE_TTL_S


class IsolationDetector:
    """Tracks the sends of this VM and their responses."""

    __slots__ = ("isolated", "_waiting", "_failed", "_last_response", "_since", "_next_trial_at")

    def __init__(self) -> None:
        self.isolated = False
        self._waiting: dict[int, tuple[str, float]] = {}
        self._failed: list[str] = []
        self._last_response = -math.inf
        self._since: float | None = None
        self._next_trial_at = -math.inf

    def record_send(self, ticket: int, instance: str, now: float) -> None:
        """Record the start of a send."""
        self._waiting[ticket] = (instance, now)

    def record_end(self, ticket: int, responded: bool | None, now: float) -> None:
        """Record the end of a send, and whether its instance responded; None if that is open."""
        found = self._waiting.pop(ticket, None)
        if responded:
            self.record_response(now)
        elif responded is False and found is not None and found[1] >= self._last_response:
            self._failed.append(found[0])

    def record_response(self, now: float) -> None:
        """Record a response of an instance, which ends the isolation."""
        self._last_response = now
        self._failed.clear()
        self._since = None
        self.isolated = False

    def step(self, instances: int, now: float) -> bool:
        """Update the state, given the number of known instances; return whether it has changed."""
        if self.isolated or not instances:
            return False
        stalled = [
            name
            for name, sent_at in self._waiting.values()
            if sent_at >= self._last_response and now >= sent_at + STALL_S
        ]
        unanswered = self._failed + stalled
        spread = len(set(unanswered)) >= min(MIN_INSTANCES, instances)
        if not spread or len(unanswered) < MIN_SENDS:
            self._since = None
            return False
        self._since = now if self._since is None else self._since
        self.isolated = now >= self._since + CONFIRM_S
        self._next_trial_at = now + TRIAL_INTERVAL_S
        return self.isolated

    def admits(self, now: float) -> bool:
        """Return whether to serve a request: any unless isolated, else a trial now and then."""
        if not self.isolated:
            return True
        if now < self._next_trial_at:
            return False
        self._next_trial_at = now + TRIAL_INTERVAL_S
        return True
