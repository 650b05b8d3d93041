"""Tests of the transfers that wait for callers."""

import socket
import threading
from http import HTTPStatus

import pytest

from gypsumwind import transfers as module
from gypsumwind.request_bodies import SizedBody
from gypsumwind.streams import BodyError, CallerStream
from gypsumwind.transfers import MIN_BYTES_PER_S, STALL_S, Transfer, Transfers
from tests.standins.fleet import wait_until


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(module, "monotonic", clock)
    return clock


@pytest.fixture
def pairs():
    made = [socket.socketpair() for _ in range(3)]
    yield made
    for near, far in made:
        near.close()
        far.close()


def test_longest_stalled_transfer_is_ended_first(clock, pairs):
    transfers = Transfers()
    waits = []
    for near, _ in pairs:
        waits.append(Transfer(near, socket.SHUT_RD))
        transfers.add(waits[-1])
        clock.now += 0.3
    assert transfers.end_stalled(3, "test") == 0
    clock.now = waits[1].stalls_at
    assert transfers.end_stalled(1, "test") == 1
    assert [wait.ended for wait in waits] == [True, False, False]
    assert transfers.end_stalled(3, "test") == 1
    assert [wait.ended for wait in waits] == [True, True, False]


def test_only_progress_at_the_lowest_rate_puts_a_stall_off(clock, pairs):
    steady, trickle = (Transfer(near, socket.SHUT_RD) for near, _ in pairs[:2])
    for _ in range(100):
        clock.now += 0.1
        steady.progress(MIN_BYTES_PER_S // 10)
        trickle.progress(1)
    assert steady.stalls_at > clock.now > trickle.stalls_at


def test_time_that_is_not_a_wait_for_the_caller_does_not_count(clock, pairs):
    transfers, transfer = Transfers(), Transfer(pairs[0][0], socket.SHUT_RD)
    clock.now += 10 * STALL_S
    with transfers.waiting(transfer):
        assert transfers.end_stalled(1, "test") == 0
        clock.now += STALL_S
        assert transfers.end_stalled(1, "test") == 1


def test_only_transfers_for_which_instances_wait_are_ended_for_their_slots(clock, pairs):
    transfers, waits = Transfers(), [Transfer(near, socket.SHUT_RD) for near, _ in pairs]
    waits[1].holds_slot = True
    for wait in waits:
        transfers.add(wait)
    clock.now += STALL_S
    assert transfers.end_stalled(3, "test", holding_slots=True) == 1 and waits[1].ended


def test_read_of_a_body_that_is_ended_is_refused_as_not_in_time(pairs):
    near, far = pairs[0]
    transfers = Transfers()
    caught = []

    def read():
        try:
            SizedBody(CallerStream(near, transfers), 5).read(5)
        except BodyError as exc:
            caught.append(exc.status)

    thread = threading.Thread(target=read)
    thread.start()
    wait_until(lambda: transfers.end_stalled(1, "test"), text="the read is ended")
    thread.join(10)
    assert caught == [HTTPStatus.REQUEST_TIMEOUT]
