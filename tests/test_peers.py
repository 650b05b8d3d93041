"""Tests of the server for calls of other VMs without a daemon."""

import socket
import threading
import time
from types import SimpleNamespace

import pytest

from gypsumwind.core.membership import Endpoint
from gypsumwind.peers import PeerClient, PeerError, PeerServer
from gypsumwind.relays import Codec, RelayHub
from gypsumwind.utils import monotonic
from gypsumwind.wire import relay_update_to_wire
from tests.standins.fleet import wait_until
from tests.standins.raw import raw_server

PORT = 18495


def test_port_stays_open_when_a_call_gets_no_thread(monkeypatch):
    """Guards against one failure to start a thread that ends all calls of other VMs."""
    endpoint, client = Endpoint("127.0.0.1", 0, 0, PORT), PeerClient("127.0.0.1", 5.0)
    start, failed = threading.Thread.start, []

    def start_later(thread):
        if getattr(thread, "_target", None) == server._handle and not failed:
            failed.append(thread)
            raise RuntimeError("can't start new thread")
        start(thread)

    def ping():
        try:
            return client.ping(endpoint)
        except PeerError:
            return None

    server = PeerServer("127.0.0.1", PORT, SimpleNamespace(ping=lambda: 7))
    monkeypatch.setattr(threading.Thread, "start", start_later)
    with server:
        assert wait_until(ping, text="a call is answered") == 7
        assert failed
        wait_until(lambda: not server._calls, text="no call is left open")


@pytest.mark.parametrize("answer", [b"", b"\1"], ids=["silent", "a-byte-at-a-time"])
def test_call_for_changes_ends_by_its_deadline(answer):
    """Guards against a source that answers slowly, or not at all, and holds up its followers."""
    over = threading.Event()

    def serve(sock):
        for _ in range(400):
            if over.wait(0.05):
                break
            sock.sendall(answer)

    with raw_server(serve) as address:
        endpoint = Endpoint(address[0], 0, 0, address[1])
        ended = threading.Thread(target=follow, args=(endpoint, monotonic() + 0.5), daemon=True)
        ended.start()
        ended.join(5.0)
        assert not ended.is_alive()
        over.set()


def follow(endpoint, deadline):
    with pytest.raises(PeerError):
        PeerClient("127.0.0.1", 30.0).follow(endpoint, "rules", 0, 0, 0.0, deadline)


def test_call_for_changes_waits_less_after_a_slow_connect(monkeypatch):
    """Guards against sources that are left although only the opening packet was lost."""
    waits = []
    update = relay_update_to_wire(
        RelayHub(1, {"rules": Codec(str, str)}).follow("rules", 0, 0, 0.0)
    )
    service = SimpleNamespace(follow=lambda *args: waits.append(args[-1]) or update)
    connect = socket.create_connection

    def connect_late(*args, **values):
        time.sleep(0.5)
        return connect(*args, **values)

    monkeypatch.setattr(socket, "create_connection", connect_late)
    endpoint = Endpoint("127.0.0.1", 0, 0, PORT)
    with PeerServer("127.0.0.1", PORT, service):
        client = PeerClient("127.0.0.1", 5.0)
        client.follow(endpoint, "rules", 0, 0, 0.8, monotonic() + 20.0)
        client.follow(endpoint, "rules", 0, 0, 0.3, monotonic() + 20.0)
    assert 0 < waits[0] <= 300 and waits[1] == 0
