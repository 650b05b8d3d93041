"""Entries that may have lapsed: kept for a while, and never for longer."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumwind.core.lapses import LAPSE_GRACE_S, GracedList

NAMES = ("a", "b", "c")


def test_entry_that_returns_in_time_is_kept_as_it_returns():
    made = GracedList()
    made.take({"a": 1, "b": 1}, 0.0, 10.0)
    made.take({}, 12.0, 10.0)
    made.take({"a": 2}, 12.0, 11.0)
    assert made.values == {"a": 2, "b": 1}
    assert made.expire(12.0) and made.values == {"a": 2}


def test_entry_kept_is_not_kept_anew_by_a_later_outage():
    made = GracedList()
    made.take({"a": 1}, 0.0, 10.0)
    made.take({}, 12.0, 10.0)
    made.take({}, 20.0, 11.0)
    assert made.expire(12.0) and not made.values


class Lapses(RuleBasedStateMachine):
    """Lists that come after outages, or in calm times, in any order."""

    def __init__(self):
        super().__init__()
        self.made = GracedList()
        self.now = 100.0
        self.listed = {}
        self.last_listed_at = {}
        self.grace_until = 0.0

    @rule(seconds=st.floats(0.0, 3.0))
    def pass_time(self, seconds):
        self.now += seconds
        self.made.expire(self.now)

    @rule(names=st.sets(st.sampled_from(NAMES)), outage=st.booleans())
    def take(self, names, outage):
        for name in self.listed:
            self.last_listed_at[name] = self.now
        if outage:
            self.grace_until = self.now + LAPSE_GRACE_S
        self.listed = dict.fromkeys(names, self.now)
        self.made.take(self.listed, self.grace_until, self.now)

    @invariant()
    def what_is_listed_is_in_force(self):
        assert all(self.made.values[name] == value for name, value in self.listed.items())

    @invariant()
    def what_is_not_listed_goes_in_time(self):
        for name in set(self.made.values) - set(self.listed):
            assert self.now < self.last_listed_at[name] + LAPSE_GRACE_S
            assert self.now < self.grace_until

    @invariant()
    def what_left_in_calm_times_is_gone(self):
        if self.now >= self.grace_until:
            assert set(self.made.values) == set(self.listed)


TestLapses = Lapses.TestCase
TestLapses.settings = settings(max_examples=60, stateful_step_count=30, derandomize=True)
