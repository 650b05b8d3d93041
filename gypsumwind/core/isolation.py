"""Detects that this VM is partitioned from all instances, while its callers still reach it.

Its connections to instances may hang or be reset, so only the lack of any response shows it: sends
to several instances failed, or have waited for long, and all of them started after the last
response of any instance. After two such sends the VM checks instances of all zones; if none of them
responds, or after five, it is silenced: it refuses requests, but for one at a time that tries
whether instances respond again. Callers that wait long for each answer send few requests.

Open connections may live on while new ones are refused. Their responses hide it, and they become
fewer. So new connections are judged on their own: after several that failed, and none that was
accepted, the VM checks instances, too. If none accepts a connection, the VM is unconnected: it
serves what it can on the connections that are left. In both cases it is isolated.
"""

import math
from collections import Counter
from dataclasses import dataclass

MIN_SENDS = 5
MIN_INSTANCES = 2
"""Sends without a response from which a VM is isolated, and the number of instances they went to,
one if there is only one. A VM may use few of the instances, but does not send to one that refuses
connections again and again."""

MIN_UNANSWERED = 2
"""Sends without a response from which a VM suspects that no instance responds, at as many instances
as for `MIN_SENDS`. New connections that failed say nothing about those that are open."""

STALL_S = 1.2
"""Time, in seconds, after which a send without a response counts as failed here: other instances
respond within it, however slow this one is."""

MIN_REFUSALS = 3
"""New connections that failed in a row from which a VM suspects that all would."""

RECHECK_S = 1.0
"""Time, in seconds, for which a VM suspects nothing after a check that cleared a suspicion."""

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
    """Tracks the sends of this VM, their responses, and the connections opened for them."""

    __slots__ = (
        "silenced",
        "unconnected",
        "_waiting",
        "_failed",
        "_unanswered",
        "_refused",
        "_last_response",
        "_last_connection",
        "_since",
        "_next_trial_at",
        "_next_check_at",
    )

    def __init__(self) -> None:
        self.silenced = False
        self.unconnected = False
        self._waiting: dict[int, tuple[str, float]] = {}
        self._failed: Counter[str] = Counter()
        self._unanswered: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()
        self._last_response = -math.inf
        self._last_connection = -math.inf
        self._since: float | None = None
        self._next_trial_at = -math.inf
        self._next_check_at = -math.inf

    @property
    def isolated(self) -> bool:
        """Return whether other VMs should serve the callers of this one."""
        return self.silenced or self.unconnected

    def evidence(self, now: float) -> dict[str, float]:
        """Return the failures on which the state rests, for the logs."""
        stalled = self._stalled(now)
        return {
            "failed": self._failed.total(),
            "stalled": stalled.total(),
            "instances": len(self._failed + stalled),
            "refused": self._refused.total(),
            "unanswered_s": round(now - self._last_response, 3),
        }

    def suspects(self, instances: int, now: float) -> bool:
        """Return whether to check if any of the known instances can be reached."""
        if self.isolated or not instances or now < self._next_check_at:
            return False
        return self._is_refused(instances) or self._is_unanswered(instances, now)

    def _is_refused(self, instances: int) -> bool:
        return _suffices(self._refused, MIN_REFUSALS, instances)

    def _is_unanswered(self, instances: int, now: float) -> bool:
        return _suffices(self._unanswered + self._stalled(now), MIN_UNANSWERED, instances)

    def record_send(self, ticket: int, instance: str, now: float) -> None:
        """Record the start of a send."""
        self._waiting[ticket] = (instance, now)

    def record_end(
        self, ticket: int, responded: bool | None, now: float, connected: bool | None = None
    ) -> None:
        """Record the end of a send: whether its instance responded, and accepted a new connection.

        None if that is open, or if no new connection was needed.
        """
        name, sent_at = self._waiting.pop(ticket, ("", -math.inf))
        if responded:
            self.record_response(now)
        elif responded is False and name and sent_at >= self._last_response:
            self._failed[name] += 1
            if connected is not False:
                self._unanswered[name] += 1
        if connected:
            self.record_connection(now)
        elif connected is False and name and sent_at >= self._last_connection:
            self._refused[name] += 1

    def record_response(self, now: float) -> None:
        """Record a response of an instance, after which the VM is not silenced."""
        self._last_response = now
        self._failed.clear()
        self._unanswered.clear()
        self._since = None
        self.silenced = False

    def record_connection(self, now: float) -> None:
        """Record a new connection that an instance accepted, after which others may be opened."""
        self._last_connection = now
        self._refused.clear()
        self.unconnected = False

    def record_check(self, accepted: bool, responded: bool, instances: int, now: float) -> None:
        """Record whether any of the instances checked accepts a connection, and if any responds.

        Whatever arrived since the suspicion counts, so a check has no effect if that is refuted.
        """
        unconnected = not accepted and self._is_refused(instances)
        silenced = not responded and self._is_unanswered(instances, now)
        if accepted:
            self.record_connection(now)
        if responded:
            self.record_response(now)
        if not unconnected and not silenced:
            self._next_check_at = now + RECHECK_S
            return
        self.unconnected = self.unconnected or unconnected
        if silenced:
            self._silence(now)

    def _silence(self, now: float) -> None:
        self.silenced = True
        self._next_trial_at = now + TRIAL_INTERVAL_S

    def step(self, instances: int, now: float) -> bool:
        """Update the state, given the number of known instances; return whether it has changed."""
        if self.silenced or not instances:
            return False
        if not _suffices(self._failed + self._stalled(now), MIN_SENDS, instances):
            self._since = None
            return False
        self._since = now if self._since is None else self._since
        if now >= self._since + CONFIRM_S:
            self._silence(now)
        return self.silenced

    def _stalled(self, now: float) -> Counter[str]:
        """Return the sends that have waited for long, by instance, since the last response."""
        return Counter(
            name
            for name, sent_at in self._waiting.values()
            if sent_at >= self._last_response and now >= sent_at + STALL_S
        )

    def admits(self, now: float) -> bool:
        """Return whether to serve a request: any unless silenced, else a trial now and then."""
        if not self.silenced:
            return True
        if now < self._next_trial_at:
            return False
        self._next_trial_at = now + TRIAL_INTERVAL_S
        return True


def _suffices(failures: Counter[str], least: int, instances: int) -> bool:
    """Return whether there are enough failures, by instance, at enough of the known instances."""
    return failures.total() >= least and len(failures) >= min(MIN_INSTANCES, instances)
