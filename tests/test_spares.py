"""Spare connections to instances with a long connect time."""

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
    """The listening socket of an instance and its address."""
    with socket.create_server((IP, 0)) as listener:
        yield listener, listener.getsockname()


def run_steps(task, steps=20):
    for _ in range(steps):
        task.step()
        task._ended.wait(0.005)


def test_distant_instance_has_a_spare_connection_for_the_next_request(pool_and_task, instance):
    pool, task = pool_and_task
    _, address = instance
    pool.connected(*address, 2 * SPARE_FROM_S)
    run_steps(task)
    conn, reused = pool.lease(*address, certain=False)
    assert reused and conn.sock.getpeername() == address
    run_steps(task)
    assert pool.lease(*address, certain=False)[1]
    conn.close()


def test_only_one_spare_is_kept_and_none_to_a_nearby_instance(pool_and_task, instance):
    pool, task = pool_and_task
    listener, address = instance
    pool.connected(*address, 2 * SPARE_FROM_S)
    run_steps(task, 50)
    listener.settimeout(0.2)
    listener.accept()[0].close()
    with pytest.raises(TimeoutError):
        listener.accept()
    pool.lease(*address, certain=False)[0].close()
    pool.connected(*address, SPARE_FROM_S / 2)
    run_steps(task)
    assert not pool.lease(*address, certain=False)[1]


def test_unused_instance_gets_no_spare_connection(pool_and_task, instance, monkeypatch):
    pool, task = pool_and_task
    _, address = instance
    pool.connected(*address, 2 * SPARE_FROM_S)
    now = connections.monotonic()
    monkeypatch.setattr(connections, "monotonic", lambda: now + 2 * connections.SPARE_USED_S)
    run_steps(task)
    assert not pool.lease(*address, certain=False)[1]


def test_unreachable_instance_is_no_error(pool_and_task, instance):
    pool, task = pool_and_task
    listener, address = instance
    listener.close()
    pool.connected(*address, 2 * SPARE_FROM_S)
    run_steps(task)
    assert not task._pending and not pool.lease(*address, certain=False)[1]
