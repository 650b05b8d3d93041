"""Tests of the memory that requests share."""

import threading

from gypsumwind.memory import MEGABYTE, REQUESTS_SHARE, MemoryBudget, Reservation


def test_requests_hold_no_more_than_their_share_of_the_memory():
    budget = MemoryBudget(REQUESTS_SHARE)
    one, other = Reservation(budget), Reservation(budget)
    assert one.grow(MEGABYTE - 10) and not other.grow(11) and other.grow(10)
    one.shrink(4)
    assert budget.held == MEGABYTE - 4 and other.grow(4) and not other.grow(1)
    one.close()
    one.close()
    with other:
        assert budget.held == 14
    assert budget.held == 0


def test_shortage_of_memory_is_told_to_those_who_can_end_requests():
    budget = MemoryBudget(REQUESTS_SHARE)
    one, other = Reservation(budget), Reservation(budget)
    assert one.grow(MEGABYTE)
    budget.on_shortage.append(one.close)
    assert other.grow(MEGABYTE)


def test_request_waits_for_memory_that_another_gives_back():
    budget = MemoryBudget(REQUESTS_SHARE)
    one, other = Reservation(budget), Reservation(budget)
    assert one.grow(MEGABYTE)
    threading.Timer(0.05, one.close).start()
    assert other.grow(MEGABYTE, 30.0)
