"""Entries whose lease may have expired in an outage: kept for the grace period, and no longer."""

import math

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumwind.core.lapses import EXPIRY_GRACE_S, GracePeriodList, Lease, OutageHistory

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


LEASE = Lease(1.5, 3)
ANSWERS_S = 0.5


def outages(*lengths, up_s=2.0):
    """Return the history of outages with answers for `up_s` around each, and the last answer."""
    history = OutageHistory(LEASE)
    now = 100.0
    for length in (0.0, *lengths):
        if length:
            now += length
            history.record_failure()
            history.record_answer(now)
        up_until = now + up_s
        while now < up_until:
            now += ANSWERS_S
            history.record_answer(now)
    return history, now


@pytest.mark.parametrize("length", [0.1, 1.0, 2.2])
def test_call_that_fails_without_an_outage_starts_no_grace_period(length):
    """Guards against instances that left being kept after a watch was cut off (DRAIN)."""
    assert outages(length, length)[0].grace_until == -math.inf


def test_outage_in_which_leases_can_expire_starts_a_grace_period_at_its_end():
    history, now = outages(3.0, up_s=0.5)
    assert history.grace_until == now - 0.5 + EXPIRY_GRACE_S


def test_short_outages_in_a_row_count_together():
    assert outages(2.0, 2.0, up_s=0.5)[0].grace_until > 0
    assert outages(2.0, 2.0, up_s=2.0)[0].grace_until < 0


def test_older_answer_passed_on_by_another_vm_does_not_end_an_outage():
    history, now = outages()
    history.record_failure()
    history.record_answer(now - 1.0)
    history.record_answer(now + 3.0)
    assert history.grace_until == now + 3.0 + EXPIRY_GRACE_S


def test_silence_without_a_failed_call_is_no_outage():
    """A process that was paused."""
    history, now = outages()
    history.record_answer(now + 10.0)
    assert history.grace_until == -math.inf


def test_without_a_known_lease_any_failed_call_counts():
    history = OutageHistory()
    history.record_answer(5.0)
    history.record_failure()
    history.record_answer(5.0)
    assert history.grace_until == 5.0 + EXPIRY_GRACE_S


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
