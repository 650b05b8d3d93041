"""A region keeps what its room carries, by small steps."""

from gypsumwind.core.locality import (
    FIRST_SHARE,
    HIGH_USE,
    LOW_USE,
    MOST_SHARE,
    PERIOD_S,
    STEP,
    Locality,
)


def play(made, seconds, use):
    """Look twice a second; return the times at which the share changed."""
    return [n / 2 for n in range(int(seconds * 2)) if made.observe(use(n / 2, made.share), n / 2)]


def test_region_whose_room_is_idle_keeps_more_by_steps_with_pauses():
    made = Locality()
    changes = play(made, 20.0, lambda now, share: 0.1)
    assert changes and made.share == FIRST_SHARE * STEP ** len(changes)
    assert all(b - a >= PERIOD_S for a, b in zip(changes, changes[1:], strict=False))


def test_share_settles_where_the_use_is_in_its_band():
    """Twice the share, twice the use; no step once the use is neither low nor high."""
    made = Locality()
    changes = play(made, 60.0, lambda now, share: 0.4 * share / FIRST_SHARE)
    assert max(changes) < 30 and LOW_USE <= 0.4 * made.share / FIRST_SHARE <= HIGH_USE


def test_wave_of_load_gives_keys_away_and_takes_them_back_and_no_less_than_at_first():
    made = Locality()
    play(made, 20.0, lambda now, share: 0.1)
    kept = made.share
    times = [n / 2 for n in range(200)]
    for now in times:
        made.observe(1.3, 100.0 + now)
    assert made.share == FIRST_SHARE < kept <= MOST_SHARE
