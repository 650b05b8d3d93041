"""What an outage of the store may have hit: watches, which are ended, and leases."""

import math
from contextlib import suppress

import pytest

from gypsumwind import outages
from gypsumwind.core.lapses import EXPIRY_GRACE_S, Lease
from gypsumwind.errors import Code, StoreError
from gypsumwind.hangups import CancelScope, in_scope
from gypsumwind.outages import OutageGuard, OutageHistory


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(outages, "monotonic", lambda: now[0])
    return now


def call(guard, clock, seconds, fault=""):
    """Make a call that takes some seconds, and is refused or fails."""
    with suppress(StoreError), guard.calling() as call:
        clock[0] += seconds
        call.refused = fault == "refused"
        if fault == "lost":
            raise StoreError(Code.STORE_UNAVAILABLE, "failed")


@pytest.mark.parametrize("fault", ["lost", "refused"])
@pytest.mark.parametrize("began", ["before", "during"])
def test_watch_that_an_outage_may_have_hit_ends_once_the_store_answers_again(clock, began, fault):
    guard, scope = OutageGuard(), CancelScope()
    if began == "during":
        call(guard, clock, 1.0, fault)
        clock[0] += 0.5
    with pytest.raises(StoreError) as caught, guard.watching(scope):
        call(guard, clock, 1.0, fault)
        assert not scope.cancelled
        clock[0] += 0.5
        call(guard, clock, 1.0)
        assert scope.cancelled
        raise StoreError(Code.STORE_UNAVAILABLE, "shut down")
    assert caught.value.code is Code.STORE_HISTORY_GONE


def test_watch_that_began_after_the_outage_goes_on(clock):
    guard, scope = OutageGuard(), CancelScope()
    call(guard, clock, 1.0, "lost")
    clock[0] += 0.5
    with guard.calling():
        clock[0] += 0.1
        with guard.watching(scope):
            clock[0] += 0.1
    with guard.watching(scope):
        clock[0] += 0.1
        call(guard, clock, 1.0)
        assert not scope.cancelled


def test_answer_to_a_call_from_before_the_failure_does_not_end_the_outage(clock):
    guard, scope = OutageGuard(), CancelScope()
    with guard.watching(scope):
        clock[0] += 0.1
        with guard.calling():
            clock[0] += 0.1
            call(guard, clock, 1.0, "lost")
        assert not scope.cancelled
        clock[0] += 0.1
        call(guard, clock, 0.1)
        assert scope.cancelled


def test_watch_that_was_ended_is_no_outage(clock):
    guard, scope, ended = OutageGuard(), CancelScope(), CancelScope()
    ended.cancel()
    with guard.watching(scope):
        clock[0] += 0.1
        with in_scope(ended):
            call(guard, clock, 0.1, "lost")
        clock[0] += 0.1
        call(guard, clock, 0.1)
        assert not scope.cancelled


LEASE = Lease(1.5, 3)
ANSWERS_S = 0.5


def history_of(*lengths, up_s=2.0):
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
    assert history_of(length, length)[0].grace_until == -math.inf


def test_outage_in_which_leases_can_expire_starts_a_grace_period_at_its_end():
    history, now = history_of(3.0, up_s=0.5)
    assert history.grace_until == now - 0.5 + EXPIRY_GRACE_S


def test_short_outages_in_a_row_count_together():
    assert history_of(2.0, 2.0, up_s=0.5)[0].grace_until > 0
    assert history_of(2.0, 2.0, up_s=2.0)[0].grace_until < 0


def test_older_answer_passed_on_by_another_vm_does_not_end_an_outage():
    history, now = history_of()
    history.record_failure()
    history.record_answer(now - 1.0)
    history.record_answer(now + 3.0)
    assert history.grace_until == now + 3.0 + EXPIRY_GRACE_S


def test_silence_without_a_failed_call_is_no_outage():
    """A process that was paused."""
    history, now = history_of()
    history.record_answer(now + 10.0)
    assert history.grace_until == -math.inf


def test_without_a_known_lease_any_failed_call_counts():
    history = OutageHistory()
    history.record_answer(5.0)
    history.record_failure()
    history.record_answer(5.0)
    assert history.grace_until == 5.0 + EXPIRY_GRACE_S
