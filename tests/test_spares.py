"""Spare connections to instances that take long to connect to."""

import socket

import pytest

from gypsumwind import connections
from gypsumwind.connections import SPARE_FROM_S, Connections
from gypsumwind.spares import SpareTask

IP = "127.0.0.1"


@pytest.fixture
def pool_and_task():
    pool = Connections(IP)
    return pool, SpareTask(pool, IP)


@pytest.fixture
def instance():
    """An instance's listener, and its address."""
    with socket.create_server((IP, 0)) as listener:
        yield listener, listener.getsockname()


def run_steps(task, steps=20):
    for _ in range(steps):
        task.step()
        task._ended.wait(0.005)


def test_far_instance_has_a_connection_ready_for_the_next_request(pool_and_task, instance):
    pool, task = pool_and_task
    _, place = instance
    pool.connected(*place, 2 * SPARE_FROM_S)
    run_steps(task)
    conn, kept = pool.lease(*place, certain=False)
    assert kept and conn.sock.getpeername() == place
    run_steps(task)
    assert pool.lease(*place, certain=False)[1]
    conn.close()


def test_only_one_spare_is_kept_and_none_to_a_near_instance(pool_and_task, instance):
    pool, task = pool_and_task
    listener, place = instance
    pool.connected(*place, 2 * SPARE_FROM_S)
    run_steps(task, 50)
    listener.settimeout(0.2)
    listener.accept()[0].close()
    with pytest.raises(TimeoutError):
        listener.accept()
    pool.lease(*place, certain=False)[0].close()
    pool.connected(*place, SPARE_FROM_S / 2)
    run_steps(task)
    assert not pool.lease(*place, certain=False)[1]


def test_instance_that_is_not_used_any_more_gets_none(pool_and_task, instance, monkeypatch):
    pool, task = pool_and_task
    _, place = instance
    pool.connected(*place, 2 * SPARE_FROM_S)
    now = connections.monotonic()
    monkeypatch.setattr(connections, "monotonic", lambda: now + 2 * connections.SPARE_USED_S)
    run_steps(task)
    assert not pool.lease(*place, certain=False)[1]


def test_instance_that_is_gone_is_no_error(pool_and_task, instance):
    pool, task = pool_and_task
    listener, place = instance
    listener.close()
    pool.connected(*place, 2 * SPARE_FROM_S)
    run_steps(task)
    assert not task._pending and not pool.lease(*place, certain=False)[1]
