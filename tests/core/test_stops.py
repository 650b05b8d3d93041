"""State machine test of the phases of a graceful shutdown: no accepted request is cut off."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gypsumwind.core.stops import (
    ACCEPT_ALL_S,
    LISTEN_S,
    MARGIN_S,
    REFUSE_S,
    GracefulShutdown,
    ShutdownPhase,
)

SHORT_S = 0.9
LONG_GRACE_S = 5.6
POLL_S = 0.05
IDLE_S = 1.0


class StopMachine(RuleBasedStateMachine):
    """Runs requests, time and steps in any order; requests are accepted as the phase allows."""

    @initialize(grace_s=st.floats(0.0, 30.0))
    def begin(self, grace_s):
        self.now = self.began = 100.0
        self.grace_s = grace_s
        self.stop = GracefulShutdown(self.now, grace_s, IDLE_S)
        self.ends = []
        self.late_ends = []
        self.phases = [ShutdownPhase.SERVING]
        self.entered = {ShutdownPhase.SERVING: self.now}

    def poll(self):
        """Advance as the daemon does: one phase per step, without a pause between steps."""
        while self.stop.phase is not ShutdownPhase.ENDED:
            before = self.stop.phase
            phase = self.stop.step(self.now, len(self.ends))
            if phase is before:
                return
            self.phases.append(phase)
            self.entered[phase] = self.now

    @rule(takes_s=st.one_of(st.floats(0.01, SHORT_S), st.floats(0.01, 40.0)))
    def request(self, takes_s):
        end = self.now + takes_s
        if self.stop.accepts(self.now, end):
            self.ends.append(end)
            if self.now >= self.began + ACCEPT_ALL_S:
                self.late_ends.append(end)

    @rule(requests=st.lists(st.floats(0.1, SHORT_S), min_size=2, max_size=2), for_s=st.floats(1, 9))
    def series(self, requests, for_s):
        """A caller that always has a request in flight, each sent before the previous one ends."""
        until = self.now + for_s
        while self.now < until:
            for takes_s in requests:
                self.request(takes_s)
                self.wait(min(requests) / 2)

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + POLL_S)
            self.ends = [end for end in self.ends if end > self.now]
            self.poll()

    @rule(seconds=st.floats(0.0, 40.0))
    def frozen(self, seconds):
        """The process is suspended, and its requests with it."""
        self.now += seconds
        self.ends = [end + seconds for end in self.ends]
        self.poll()

    @invariant()
    def phases_follow_each_other(self):
        assert self.phases == [ShutdownPhase(n) for n in range(len(self.phases))]

    @invariant()
    def ends_by_its_deadline(self):
        if self.now > self.began + max(0.0, self.grace_s - MARGIN_S) + POLL_S:
            assert self.stop.phase is ShutdownPhase.ENDED

    @invariant()
    def accepts_connections_until_look_ups_have_expired(self):
        closed = self.entered.get(ShutdownPhase.CLOSED)
        if closed is not None and self.grace_s >= 2 * LISTEN_S + MARGIN_S:
            assert closed >= self.began + LISTEN_S

    @invariant()
    def idle_connections_are_closed_before_requests_are_refused(self):
        refused = self.entered.get(ShutdownPhase.REFUSING)
        if refused is not None and refused < self.stop.deadline - REFUSE_S:
            assert refused >= self.entered[ShutdownPhase.CLOSED] + IDLE_S


class ShortRequests(StopMachine):
    """With a grace period of 5.6 s or more, requests of less than 0.9 s are never aborted."""

    @initialize(grace_s=st.floats(LONG_GRACE_S, 30.0))
    def begin(self, grace_s):
        super().begin(grace_s)

    @rule(takes_s=st.floats(0.01, SHORT_S))
    def request(self, takes_s):
        super().request(takes_s)

    @rule()
    def frozen(self):
        """Disabled: a process suspended past its deadline aborts its requests."""

    @invariant()
    def no_request_is_aborted(self):
        assert self.stop.phase < ShutdownPhase.ABORTING or not self.ends


class LateRequests(StopMachine):
    """No request that is accepted late is aborted, however long it takes."""

    @rule()
    def frozen(self):
        """Disabled: a process suspended past its deadline aborts its requests."""

    @invariant()
    def no_late_request_outlasts_the_shutdown(self):
        aborting = self.entered.get(ShutdownPhase.ABORTING)
        assert aborting is None or all(end <= aborting + POLL_S for end in self.late_ends)


TestStop = StopMachine.TestCase
TestStop.settings = settings(max_examples=150, stateful_step_count=20, deadline=None)
TestShortRequests = ShortRequests.TestCase
TestShortRequests.settings = settings(max_examples=150, stateful_step_count=20, deadline=None)
TestLateRequests = LateRequests.TestCase
TestLateRequests.settings = settings(max_examples=150, stateful_step_count=20, deadline=None)
