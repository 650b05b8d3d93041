"""The times of a change's way to each VM add up to less than the tightest bound on it."""

import pytest

from gypsumwind.core import propagation as times
from gypsumwind.core.propagation import polling

TIGHTEST_BOUND_S = 2.5
"""Least time, in seconds, from the store's acknowledgement until a change has to be in force."""

RATES = pytest.mark.parametrize("high_rate", [False, True], ids=["low-rate", "high-rate"])


def silent_s(poll, silent):
    """Return the time from the last answer of a source to the first of another, or of the store.

    The call to the first source that is silent waits for changes, those to others do not.
    """
    if not silent:
        return poll.interval_s + times.ZONE_CALL_S
    first = poll.interval_s + poll.wait_s + poll.margin_s
    return first + (silent - 1) * times.FAILOVER_TIMEOUT_S + times.STORE_CALL_S


def stale_s(poll, limit_s, other_s):
    """Return the time until a VM has left a source that lost the store, and reached the store.

    `other_s` is the time for which it calls the other source.
    """
    left = limit_s + poll.interval_s + times.ZONE_CALL_S
    return left + other_s + times.STORE_CALL_S


def relayed_s(high_rate):
    """Return the time from a change at a relay until its followers have it."""
    return silent_s(polling(high_rate, False, False), 0)


@RATES
@pytest.mark.parametrize("silent", [0, 1, 2])
def test_change_is_in_force_in_time_though_delegates_are_silent(high_rate, silent):
    """Guards against requests to instances that have left while a zone's delegates stand still."""
    follower = polling(high_rate, False, False)
    relay = polling(high_rate, True, False)
    store_s = times.HIGH_RATE_INTERVAL_S + times.STORE_CALL_S if not silent else 0.0
    assert store_s + silent_s(follower, silent) <= TIGHTEST_BOUND_S
    assert store_s + silent_s(relay, silent) + relayed_s(high_rate) <= TIGHTEST_BOUND_S


@RATES
@pytest.mark.parametrize("silent_delegates", [0, 1, 2])
def test_change_is_in_force_in_time_though_relays_and_delegates_are_silent(
    high_rate, silent_delegates
):
    """Guards against the same in a zone where a VM's relay stands still as well."""
    follower = polling(high_rate, False, False)
    assert silent_s(follower, 1 + silent_delegates) <= TIGHTEST_BOUND_S


@RATES
def test_change_is_in_force_in_time_though_sources_lost_the_store(high_rate):
    """Guards against the same while delegates answer, but are cut off from the store."""
    follower = polling(high_rate, False, False)
    relay = polling(high_rate, True, False)
    limit_s = times.DELEGATE_MAX_STALENESS_S
    assert stale_s(follower, limit_s, times.FAILOVER_TIMEOUT_S) <= TIGHTEST_BOUND_S
    relay_s = stale_s(relay, limit_s, times.ZONE_CALL_S)
    assert relay_s + relayed_s(high_rate) <= TIGHTEST_BOUND_S
    relay_limit_s = times.RELAY_MAX_STALENESS_S
    left_s = relay_limit_s + follower.interval_s + times.ZONE_CALL_S
    assert left_s <= TIGHTEST_BOUND_S


@RATES
def test_sound_sources_are_never_too_stale(high_rate):
    """A limit below the staleness of a calm day would send whole zones to the store."""
    relay = polling(high_rate, True, False)
    if high_rate:
        delegate_s = times.HIGH_RATE_INTERVAL_S + times.HIGH_RATE_LONG_POLL_S
        in_large_zone_s = times.HIGH_RATE_INTERVAL_S + times.LARGE_ZONE_LONG_POLL_S
    else:
        delegate_s = times.LOW_RATE_INTERVAL_S + times.FOLLOW_LONG_POLL_S
        in_large_zone_s = times.LOW_RATE_INTERVAL_S + times.LARGE_ZONE_LONG_POLL_S
    assert delegate_s + times.STORE_CALL_S < times.DELEGATE_MAX_STALENESS_S
    relay_s = in_large_zone_s + times.STORE_CALL_S + relay.interval_s + relay.wait_s
    assert relay_s + times.ZONE_CALL_S < times.RELAY_MAX_STALENESS_S


@RATES
def test_second_delegate_replaces_a_silent_first_one_before_its_followers_give_up(high_rate):
    """Otherwise a silent first delegate sends its whole zone to the store at once."""
    replaced_s = silent_s(polling(high_rate, False, True), 1)
    earliest_s = times.FOLLOW_MARGIN_S + times.STANDBY_PATIENCE_S
    assert replaced_s <= earliest_s


@RATES
@pytest.mark.parametrize("silent", [1, 2])
def test_change_is_in_force_in_time_though_the_second_delegate_replaces_nobody(high_rate, silent):
    """Guards against a second delegate that answers, but is cut off from the store."""
    follower = polling(high_rate, False, False)
    relay = polling(high_rate, True, False)
    waited_s = times.STANDBY_PATIENCE_S + times.ZONE_CALL_S
    first_s = follower.interval_s + follower.wait_s + follower.margin_s
    assert first_s + waited_s + times.STORE_CALL_S <= TIGHTEST_BOUND_S
    first_s = relay.interval_s + relay.wait_s + relay.margin_s
    relay_s = first_s + waited_s + times.STORE_CALL_S
    assert relay_s + relayed_s(high_rate) <= TIGHTEST_BOUND_S
