"""Spare connections to instances that take long to connect to."""

import socket

import pytest

from gypsumwind import connections
from gypsumwind.connections import SPARE_FROM_S, Connections
from gypsumwind.spares import SpareTask

IP = "127.0.0.1"


@pytest.fixture
def made():
    pool = Connections(IP)
    return pool, SpareTask(pool, IP)


@pytest.fixture
def far():
    """An instance's listener, and its address."""
    with socket.create_server((IP, 0)) as listener:
        yield listener, listener.getsockname()


def play(task, steps=20):
    for _ in range(steps):
        task.step()
        task._ended.wait(0.005)


def test_far_instance_has_a_connection_ready_for_the_next_request(made, far):
    pool, task = made
    _, place = far
    pool.connected(*place, 2 * SPARE_FROM_S)
    play(task)
    conn, kept = pool.lease(*place, certain=False)
    assert kept and conn.sock.getpeername() == place
    play(task)
    assert pool.lease(*place, certain=False)[1]
    conn.close()


def test_only_one_spare_is_kept_and_none_to_a_near_instance(made, far):
    pool, task = made
    listener, place = far
    pool.connected(*place, 2 * SPARE_FROM_S)
    play(task, 50)
    listener.settimeout(0.2)
    listener.accept()[0].close()
    with pytest.raises(TimeoutError):
        listener.accept()
    pool.lease(*place, certain=False)[0].close()
    pool.connected(*place, SPARE_FROM_S / 2)
    play(task)
    assert not pool.lease(*place, certain=False)[1]


def test_instance_that_is_not_used_any_more_gets_none(made, far, monkeypatch):
    pool, task = made
    _, place = far
    pool.connected(*place, 2 * SPARE_FROM_S)
    now = connections.monotonic()
    monkeypatch.setattr(connections, "monotonic", lambda: now + 2 * connections.SPARE_USED_S)
    play(task)
    assert not pool.lease(*place, certain=False)[1]


def test_instance_that_is_gone_is_no_error(made, far):
    pool, task = made
    listener, place = far
    listener.close()
    pool.connected(*place, 2 * SPARE_FROM_S)
    play(task)
    assert not task._pending and not pool.lease(*place, certain=False)[1]
