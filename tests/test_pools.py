"""Tests of the server's thread pool, which grows on demand."""

import random
import threading
from functools import partial
from types import SimpleNamespace

import pytest

from gypsumwind.pools import MIN_THREADS, GrowingPool
from tests.standins.fleet import wait_until

LIMIT = 24
WAIT_S = 20


class Conn:
    """A connection whose handling is the function `serve`."""

    remote_addr, remote_port = "127.0.0.1", 1

    def __init__(self, serve):
        self._serve = serve

    def communicate(self):
        self._serve()
        return False

    def close(self):
        """Do nothing: there is no socket."""


@pytest.fixture
def pool():
    errors = []
    server = SimpleNamespace(
        stats={"Enabled": False, "Worker Threads": {}},
        error_log=lambda *args, **kwargs: errors.append(args),
    )
    server.requests = made = GrowingPool(server, LIMIT)
    made.start()
    yield made
    made.stop()
    assert not errors


def test_sequential_connections_need_only_the_initial_threads(pool):
    for _ in range(50):
        served = threading.Event()
        pool.put(Conn(served.set))
        assert served.wait(WAIT_S)
    assert pool.size <= MIN_THREADS + 1


@pytest.mark.parametrize("burst", [1, MIN_THREADS, MIN_THREADS + 1, 17, LIMIT])
def test_connections_of_a_burst_are_served_concurrently(pool, burst):
    """Each waits for all others, so a connection that waited for a thread would block the rest."""
    for _ in range(3):
        barrier = threading.Barrier(burst + 1)
        serve = partial(barrier.wait, WAIT_S)
        for _ in range(burst):
            pool.put(Conn(serve))
        barrier.wait(WAIT_S)
        wait_until(lambda: not pool.unfinished)
    assert pool.size == max(MIN_THREADS, burst)


def test_threads_stay_within_the_limit_and_queued_connections_are_served(pool):
    go, served = threading.Event(), []
    for number in range(3 * LIMIT):
        pool.put(Conn(lambda n=number: (go.wait(WAIT_S), served.append(n))))
    assert pool.size == LIMIT and not served
    go.set()
    wait_until(lambda: len(served) == 3 * LIMIT)
    assert sorted(served) == list(range(3 * LIMIT)) and pool.size == LIMIT


@pytest.mark.parametrize("seed", range(5))
def test_random_arrivals_never_wait_below_the_thread_limit(pool, seed):
    rng, lock, ends, late = random.Random(seed), threading.Lock(), [], []
    for _ in range(300):
        with lock:
            ends[:] = [end for end in ends if not end.is_set()]
            free = LIMIT - len(ends)
        if free and rng.random() < 0.6:
            started, end = threading.Event(), threading.Event()
            pool.put(Conn(lambda b=started, e=end: (b.set(), e.wait(WAIT_S))))
            if not started.wait(WAIT_S):
                late.append(end)
            ends.append(end)
        elif ends:
            ends[rng.randrange(len(ends))].set()
    for end in ends:
        end.set()
    assert not late and pool.size <= LIMIT


def test_stopped_pool_starts_no_thread(pool):
    """A thread started during the stop would get no stop signal and the stop would wait for it."""
    pool.stop()
    pool.put(Conn(lambda: None))
    assert not pool.size
