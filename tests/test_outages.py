"""Watches that an outage of the store may have hit are ended; no other one is."""

import pytest

from gypsumwind import outages
from gypsumwind.errors import Code, StoreError
from gypsumwind.hangups import CancelScope, in_scope
from gypsumwind.outages import OutageGuard


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(outages, "monotonic", lambda: now[0])
    return now


def call(guard, clock, seconds, code=None):
    """Make a call that takes some seconds, and fails with `code` if given."""
    try:
        with guard.calling():
            clock[0] += seconds
            if code is not None:
                raise StoreError(code, "failed")
    except StoreError:
        return


@pytest.mark.parametrize("began", ["before", "during"])
def test_watch_that_a_lost_answer_may_have_hit_ends_once_the_store_answers_again(clock, began):
    guard, scope = OutageGuard(), CancelScope()
    if began == "during":
        call(guard, clock, 1.0, Code.STORE_UNAVAILABLE)
        clock[0] += 0.5
    with pytest.raises(StoreError) as caught, guard.watching(scope):
        call(guard, clock, 1.0, Code.STORE_UNAVAILABLE)
        assert not scope.cancelled
        clock[0] += 0.5
        call(guard, clock, 1.0)
        assert scope.cancelled
        raise StoreError(Code.STORE_UNAVAILABLE, "shut down")
    assert caught.value.code is Code.STORE_HISTORY_GONE


def test_watch_that_began_after_the_outage_goes_on(clock):
    guard, scope = OutageGuard(), CancelScope()
    call(guard, clock, 1.0, Code.STORE_UNAVAILABLE)
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
            call(guard, clock, 1.0, Code.STORE_UNAVAILABLE)
        assert not scope.cancelled
        clock[0] += 0.1
        call(guard, clock, 0.1)
        assert scope.cancelled


@pytest.mark.parametrize("cause", ["history", "ended"])
def test_missing_history_and_ended_watches_are_no_outage(clock, cause):
    guard, scope, ended = OutageGuard(), CancelScope(), CancelScope()
    ended.cancel()
    with guard.watching(scope):
        clock[0] += 0.1
        if cause == "history":
            call(guard, clock, 0.1, Code.STORE_HISTORY_GONE)
        else:
            with in_scope(ended):
                call(guard, clock, 0.1, Code.STORE_UNAVAILABLE)
        clock[0] += 0.1
        call(guard, clock, 0.1)
        assert not scope.cancelled
