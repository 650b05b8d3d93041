import pytest

from gypsumwind.core import warmth
from gypsumwind.core.warmth import RATE_DECAY_S, WARM_S, WarmObjects


def test_object_is_cached_for_a_while_where_it_was_sent():
    objects = WarmObjects()
    objects.record_send("k", "i1", 0.0)
    assert objects.is_warm("k", "i1", WARM_S - 0.1) and not objects.is_warm("k", "i1", WARM_S)
    assert not objects.is_warm("k", "i2", 0.0) and not objects.is_warm("other", "i1", 0.0)


def test_rate_is_the_request_rate_of_a_key_and_decays():
    objects = WarmObjects()
    for n in range(200):
        objects.record_send("k", "i1", n / 10.0)
    assert objects.rate("k", 20.0) == pytest.approx(10.0, rel=0.1)
    assert objects.rate("k", 20.0 + 5 * RATE_DECAY_S) < 0.1 and objects.rate("other", 20.0) == 0.0


def test_tracked_pairs_are_bounded_and_the_oldest_evicted(monkeypatch):
    monkeypatch.setattr(warmth, "MAX_PAIRS", 3)
    objects = WarmObjects()
    for n in range(5):
        objects.record_send(f"k{n}", "i1", float(n))
    assert [objects.is_warm(f"k{n}", "i1", 5.0) for n in range(5)] == [
        False,
        False,
        True,
        True,
        True,
    ]
    assert objects.rate("k0", 5.0) == 0.0 < objects.rate("k4", 5.0)
