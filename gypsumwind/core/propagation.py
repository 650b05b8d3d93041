"""Times that make up the delay of a change on its way from the platform's store to a VM.

A source may fall silent while its connections still open, so each call ends by its own deadline.
The longest delays, with any sources silent or cut off from the store, are added up by
`tests/core/test_propagation.py`: they stay within the tightest bound that an operator may set.
"""

from dataclasses import dataclass

LOW_RATE_INTERVAL_S = 0.05
"""Pause between two calls for a feed that changes rarely."""

HIGH_RATE_INTERVAL_S = 0.5
"""Pause between two calls for a feed that changes many times a second."""

INNER_INTERVAL_S = 0.25
"""The same pause of relays and second delegates, on which other VMs depend."""

FOLLOW_LONG_POLL_S = 0.85
"""Longest wait of a follower's call, and of a delegate's call to the store: each answer shows that
this feed is alive, and no other one does."""

HIGH_RATE_LONG_POLL_S = 0.4
"""The same for a high-rate feed."""

UNFOLLOWED_HIGH_RATE_LONG_POLL_S = 1.0
"""Longest wait of a call to the store for a high-rate feed from a VM that no other one follows."""

LARGE_ZONE_LONG_POLL_S = 0.5
"""Longest wait of a delegate's call to the store in a zone with relays."""

RELAY_LONG_POLL_S = 0.25
"""Longest wait of a call for a high-rate feed from a relay or second delegate to a delegate."""

RELAY_LOW_RATE_LONG_POLL_S = 0.75
"""Longest wait of a relay's call to a delegate for a feed that changes rarely."""

STANDBY_LOW_RATE_LONG_POLL_S = 0.5
"""The same of the second delegate: it notices a silent first delegate before the followers do."""

FOLLOW_MARGIN_S = 0.5
"""Time beyond the wait of a call, for the network within a zone, after which it has failed."""

STANDBY_MARGIN_S = 0.3
"""The same of the second delegate's calls."""

FAILOVER_TIMEOUT_S = 0.3
"""Longest call to a source that the VM does not follow yet; it does not wait for changes."""

STANDBY_PATIENCE_S = 0.6
"""Time, after a call to another source failed, in which the second delegate is polled until it has
replaced the first one."""

STANDBY_RETRY_S = 0.25
"""Pause between these calls, whose answers are whole lists."""

DELEGATE_MAX_STALENESS_S = 1.35
"""Staleness from which a delegate is not followed: a delegate's calls to the store wait for at most
0.9 s with the pause before them (1 s in a zone with relays), and the rest is for a slow store."""

RELAY_MAX_STALENESS_S = 1.9
"""Staleness from which a relay is not followed: that of its delegate and half a second."""

STORE_CALL_S = 0.25
"""Time of a call to a store that is up: a new connection and one answer from another region."""

ZONE_CALL_S = 0.05
"""Time of a call to a VM of the zone that is up."""


@dataclass(slots=True, frozen=True)
class Polling:
    """How a VM calls the source of a feed: all times are in seconds.

    A call waits for changes for `wait_s`, and has failed `margin_s` after that; `interval_s` passes
    before the next one.
    """

    interval_s: float
    wait_s: float
    margin_s: float = FOLLOW_MARGIN_S


FOLLOWER_LOW_RATE = Polling(LOW_RATE_INTERVAL_S, FOLLOW_LONG_POLL_S)
FOLLOWER_HIGH_RATE = Polling(HIGH_RATE_INTERVAL_S, HIGH_RATE_LONG_POLL_S)
RELAY_LOW_RATE = Polling(LOW_RATE_INTERVAL_S, RELAY_LOW_RATE_LONG_POLL_S)
RELAY_HIGH_RATE = Polling(INNER_INTERVAL_S, RELAY_LONG_POLL_S)
STANDBY_LOW_RATE = Polling(LOW_RATE_INTERVAL_S, STANDBY_LOW_RATE_LONG_POLL_S, STANDBY_MARGIN_S)
STANDBY_HIGH_RATE = Polling(INNER_INTERVAL_S, RELAY_LONG_POLL_S, STANDBY_MARGIN_S)


def polling(high_rate: bool, is_relay: bool, is_standby: bool) -> Polling:
    """Return how a VM calls its sources; `is_standby`: it is the second delegate of its zone."""
    if is_standby:
        return STANDBY_HIGH_RATE if high_rate else STANDBY_LOW_RATE
    if is_relay:
        return RELAY_HIGH_RATE if high_rate else RELAY_LOW_RATE
    return FOLLOWER_HIGH_RATE if high_rate else FOLLOWER_LOW_RATE
