"""Threads of a server: as many as are needed, and never fewer."""

import random
import threading
from functools import partial
from types import SimpleNamespace

import pytest

from gypsumwind.pools import MIN_THREADS, GrowingPool
from tests.standins.fleet import until

LIMIT = 24
WAIT_S = 20


class Conn:
    """A connection whose service lasts until it is told to end; a context of nothing else."""

    remote_addr, remote_port = "127.0.0.1", 1

    def __init__(self, serve):
        self._serve = serve

    def communicate(self):
        self._serve()
        return False

    def close(self):
        """Nothing is open."""


@pytest.fixture
def pool():
    faults = []
    server = SimpleNamespace(
        stats={"Enabled": False, "Worker Threads": {}},
        error_log=lambda *args, **kwargs: faults.append(args),
    )
    server.requests = made = GrowingPool(server, LIMIT)
    made.start()
    yield made
    made.stop()
    assert not faults


def test_begins_with_few_threads_and_serves_one_at_a_time_with_them(pool):
    for _ in range(50):
        served = threading.Event()
        pool.put(Conn(served.set))
        assert served.wait(WAIT_S)
    assert pool.size <= MIN_THREADS + 1


@pytest.mark.parametrize("burst", [1, MIN_THREADS, MIN_THREADS + 1, 17, LIMIT])
def test_connections_of_a_burst_are_all_served_at_once(pool, burst):
    """Each waits for all the others, so one that waited for a thread would hold up the rest."""
    for _ in range(3):
        barrier = threading.Barrier(burst + 1)
        serve = partial(barrier.wait, WAIT_S)
        for _ in range(burst):
            pool.put(Conn(serve))
        barrier.wait(WAIT_S)
        until(lambda: not pool.unfinished)
    assert pool.size == max(MIN_THREADS, burst)


def test_never_more_threads_than_the_limit_and_what_waits_is_served_in_turn(pool):
    go, served = threading.Event(), []
    for number in range(3 * LIMIT):
        pool.put(Conn(lambda n=number: (go.wait(WAIT_S), served.append(n))))
    assert pool.size == LIMIT and not served
    go.set()
    until(lambda: len(served) == 3 * LIMIT)
    assert sorted(served) == list(range(3 * LIMIT)) and pool.size == LIMIT


@pytest.mark.parametrize("seed", range(5))
def test_random_arrivals_never_wait_while_there_is_room_for_a_thread(pool, seed):
    rng, lock, ends, late = random.Random(seed), threading.Lock(), [], []
    for _ in range(300):
        with lock:
            ends[:] = [end for end in ends if not end.is_set()]
            room = LIMIT - len(ends)
        if room and rng.random() < 0.6:
            begun, end = threading.Event(), threading.Event()
            pool.put(Conn(lambda b=begun, e=end: (b.set(), e.wait(WAIT_S))))
            if not begun.wait(WAIT_S):
                late.append(end)
            ends.append(end)
        elif ends:
            ends[rng.randrange(len(ends))].set()
    for end in ends:
        end.set()
    assert not late and pool.size <= LIMIT


def test_no_thread_is_started_once_the_pool_stops(pool):
    """A thread that is started meanwhile is told nothing, and the stop would wait for it."""
    pool.stop()
    pool.put(Conn(lambda: None))
    assert not pool.size
