"""Spare connections to instances with a long connect time."""

import socket

import pytest

from gypsumwind import connections
from gypsumwind.connections import SPARE_MIN_CONNECT_S, ConnectionPool
from gypsumwind.spares import SpareTask

IP = "127.0.0.1"


@pytest.fixture
def pool_and_task():
    pool = ConnectionPool(IP)
    return pool, SpareTask(pool, IP)


@pytest.fixture
def instance():
    """The listening socket of an instance and its address."""
    with socket.create_server((IP, 0)) as listener:
        yield listener, listener.getsockname()


def run_steps(task, steps=20):
    for _ in range(steps):
        task.step()
        task._stopped.wait(0.005)


def test_distant_instance_has_a_spare_connection_for_the_next_request(pool_and_task, instance):
    pool, task = pool_and_task
    _, address = instance
    pool.record_connect(*address, 2 * SPARE_MIN_CONNECT_S)
    run_steps(task)
    conn, reused = pool.acquire(*address, fresh_only=False)
    assert reused and conn.sock.getpeername() == address
    run_steps(task)
    assert pool.acquire(*address, fresh_only=False)[1]
    conn.close()


def test_only_one_spare_is_kept_and_none_to_a_nearby_instance(pool_and_task, instance):
    pool, task = pool_and_task
    listener, address = instance
    pool.record_connect(*address, 2 * SPARE_MIN_CONNECT_S)
    run_steps(task, 50)
    listener.settimeout(0.2)
    listener.accept()[0].close()
    with pytest.raises(TimeoutError):
        listener.accept()
    pool.acquire(*address, fresh_only=False)[0].close()
    pool.record_connect(*address, SPARE_MIN_CONNECT_S / 2)
    run_steps(task)
    assert not pool.acquire(*address, fresh_only=False)[1]


def test_unused_instance_gets_no_spare_connection(pool_and_task, instance, monkeypatch):
    pool, task = pool_and_task
    _, address = instance
    pool.record_connect(*address, 2 * SPARE_MIN_CONNECT_S)
    now = connections.monotonic()
    monkeypatch.setattr(connections, "monotonic", lambda: now + 2 * connections.SPARE_MAX_UNUSED_S)
    run_steps(task)
    assert not pool.acquire(*address, fresh_only=False)[1]


def test_unreachable_instance_is_no_error(pool_and_task, instance):
    pool, task = pool_and_task
    listener, address = instance
    listener.close()
    pool.record_connect(*address, 2 * SPARE_MIN_CONNECT_S)
    run_steps(task)
    assert not task._pending and not pool.acquire(*address, fresh_only=False)[1]
