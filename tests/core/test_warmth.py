import pytest

from gypsumwind.core import warmth
from gypsumwind.core.warmth import RATE_S, WARM_S, Warmth


def test_object_is_warm_where_it_was_sent_for_a_while():
    made = Warmth()
    made.note("k", "i1", 0.0)
    assert made.warm("k", "i1", WARM_S - 0.1) and not made.warm("k", "i1", WARM_S)
    assert not made.warm("k", "i2", 0.0) and not made.warm("other", "i1", 0.0)


def test_rate_follows_the_requests_for_a_key():
    made = Warmth()
    for n in range(200):
        made.note("k", "i1", n / 10.0)
    assert made.rate("k", 20.0) == pytest.approx(10.0, rel=0.1)
    assert made.rate("k", 20.0 + 5 * RATE_S) < 0.1 and made.rate("other", 20.0) == 0.0


def test_memory_is_bounded_and_keeps_what_was_sent_last(monkeypatch):
    monkeypatch.setattr(warmth, "MAX_PAIRS", 3)
    made = Warmth()
    for n in range(5):
        made.note(f"k{n}", "i1", float(n))
    assert [made.warm(f"k{n}", "i1", 5.0) for n in range(5)] == [False, False, True, True, True]
    assert made.rate("k0", 5.0) == 0.0 < made.rate("k4", 5.0)
