from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gypsumwind.core.attempts import Attempts

IDS = st.sampled_from(["a", "b", "c"])
DEADLINE = 5.0


class AttemptMachine(RuleBasedStateMachine):
    """Duplicate attempts and voids arrive in any order while time passes."""

    @initialize()
    def start(self):
        self.attempts = Attempts()
        self.now = 0.0
        self.runs = {}
        self.reported_not_run = set()

    @rule(attempt=IDS)
    def arrives(self, attempt):
        if self.attempts.admit(attempt, DEADLINE, self.now):
            self.runs[attempt] = self.runs.get(attempt, 0) + 1

    @rule(attempt=IDS)
    def voided(self, attempt):
        if self.attempts.void(attempt, DEADLINE, self.now):
            self.reported_not_run.add(attempt)

    @rule(step=st.floats(0.1, 3.0))
    def time_passes(self, step):
        self.now += step
        self.attempts.expire(self.now)

    @invariant()
    def no_attempt_runs_twice_or_after_it_was_voided(self):
        runs = getattr(self, "runs", {})
        assert all(count == 1 for count in runs.values())
        assert not self.reported_not_run & set(runs) if runs else True


TestAttemptMachine = AttemptMachine.TestCase
