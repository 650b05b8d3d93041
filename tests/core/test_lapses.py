"""Entries whose lease may have expired in an outage: kept for the grace period, and no longer."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumwind.core.lapses import EXPIRY_GRACE_S, GracePeriodList

NAMES = ("a", "b", "c")


def test_entry_renewed_in_its_grace_period_has_its_new_value():
    entries = GracePeriodList()
    entries.apply_list({"a": 1, "b": 1}, 0.0, 10.0)
    entries.apply_list({}, 12.0, 10.0)
    entries.apply_list({"a": 2}, 12.0, 11.0)
    assert entries.values == {"a": 2, "b": 1}
    assert entries.expire(12.0) and entries.values == {"a": 2}


def test_later_outage_does_not_extend_a_grace_period():
    entries = GracePeriodList()
    entries.apply_list({"a": 1}, 0.0, 10.0)
    entries.apply_list({}, 12.0, 10.0)
    entries.apply_list({}, 20.0, 11.0)
    assert entries.expire(12.0) and not entries.values


class Lapses(RuleBasedStateMachine):
    """Lists with and without an outage before them, in any order."""

    def __init__(self):
        super().__init__()
        self.entries = GracePeriodList()
        self.now = 100.0
        self.listed = {}
        self.last_listed_at = {}
        self.grace_until = 0.0

    @rule(seconds=st.floats(0.0, 3.0))
    def pass_time(self, seconds):
        self.now += seconds
        self.entries.expire(self.now)

    @rule(names=st.sets(st.sampled_from(NAMES)), outage=st.booleans())
    def take(self, names, outage):
        for name in self.listed:
            self.last_listed_at[name] = self.now
        if outage:
            self.grace_until = self.now + EXPIRY_GRACE_S
        self.listed = dict.fromkeys(names, self.now)
        self.entries.apply_list(self.listed, self.grace_until, self.now)

    @invariant()
    def listed_entries_are_in_force(self):
        assert all(self.entries.values[name] == value for name, value in self.listed.items())

    @invariant()
    def missing_entries_are_dropped_in_time(self):
        for name in set(self.entries.values) - set(self.listed):
            assert self.now < self.last_listed_at[name] + EXPIRY_GRACE_S
            assert self.now < self.grace_until

    @invariant()
    def only_listed_entries_are_in_force_after_the_grace_period(self):
        if self.now >= self.grace_until:
            assert set(self.entries.values) == set(self.listed)


TestLapses = Lapses.TestCase
TestLapses.settings = settings(max_examples=60, stateful_step_count=30, derandomize=True)
