"""A server that answers with given bytes, and every client of the product that reads answers."""

import socket
import struct
import threading
from contextlib import contextmanager, suppress
from types import SimpleNamespace

from gypsumwind.calls import Body
from gypsumwind.clients import EntryClient
from gypsumwind.connections import ConnectionPool
from gypsumwind.core.upstreams import Upstream
from gypsumwind.errors import Code, GypsumwindError, RequestError
from gypsumwind.exchanges import Request, UpstreamClient
from gypsumwind.platform.headers import HEADERS, read_load
from gypsumwind.probes import HealthTask
from gypsumwind.senders import OutgoingRequest, Sender, Target
from gypsumwind.stores import StoreClient
from gypsumwind.utils import monotonic

DEADLINE_S = 20.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@contextmanager
def raw_server(serve):
    """Run `serve` with each accepted connection, in a thread of its own; yield the address."""
    socks = []

    def run(sock):
        with sock, suppress(OSError):
            serve(sock)

    def accept():
        with suppress(OSError):
            while True:
                socks.append(listener.accept()[0])
                threading.Thread(target=run, args=(socks[-1],), daemon=True).start()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        acceptor = threading.Thread(target=accept, daemon=True)
        acceptor.start()
        try:
            yield listener.getsockname()
        finally:
            listener.shutdown(socket.SHUT_RDWR)
            acceptor.join(10)
            for sock in socks:
                with suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


def answering(answer):
    """Return a script that answers a request with `answer` and closes."""

    def serve(sock):
        sock.recv(65536)
        sock.sendall(answer)

    return serve


def resetting(answer):
    """Return a script that answers once a request has begun, and resets the connection."""

    def serve(sock):
        sock.recv(1)
        sock.sendall(answer)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    return serve


def request_body(size, on_chunk=lambda: None):
    """Return a request body of some bytes; `on_chunk` is called before each chunk of it."""

    def read(wanted):
        on_chunk()
        return b"u" * wanted

    return Body(SimpleNamespace(read=read), size)


def send_to_instance(address, hangups, body=None, method="GET", connections=None):
    """Send a request to an instance as the direct way does; return the SendResult."""
    connections = connections or ConnectionPool("127.0.0.1")
    client = UpstreamClient(connections, HEADERS, read_load, hangups)
    up = Upstream("i-1", 1, "s", *address, "a1", 4)
    deadline = monotonic() + DEADLINE_S
    req = Request("r", method, "/", {"host": "h"}, body or request_body(0), deadline, False)
    return client.send(up, req)


def body_of(answer):
    """Return the whole body of an answer; RequestError if it is cut."""
    whole = False
    try:
        data = b"".join(answer.chunks)
        whole = True
        return data
    finally:
        answer.end(whole)


def read_as_instance(address, hangups, body=None):
    """Return the body of the answer of an instance to the direct way, None if it is broken."""
    sent = send_to_instance(address, hangups, body)
    try:
        return None if sent.answer is None else body_of(sent.answer)
    except RequestError:
        return None


def read_as_vm(address, hangups, body=None):
    """Return the body of the answer of another VM, None if it is broken."""
    target = Target(*address, Code.PEER_UNREACHABLE, Code.PEER_FAILED)
    deadline = monotonic() + DEADLINE_S
    body = body or request_body(0)
    out = OutgoingRequest("GET", "/", {"host": "h"}, body, deadline, False)
    try:
        return body_of(Sender("127.0.0.1", 1.0, hangups).send(target, out))
    except RequestError:
        return None


def read_as_store(address, hangups):
    """Return the body of the answer of the store to a read, None if it is broken."""
    store = StoreClient("http://{}:{}".format(*address), DEADLINE_S, deadlines=hangups)
    try:
        return store.read("/objects/x").data
    except GypsumwindError:
        return None


def write_to_store(address, hangups):
    """Return the body of the answer of the store to a write, None if it is broken."""
    store = StoreClient("http://{}:{}".format(*address), DEADLINE_S, deadlines=hangups)
    try:
        return store.write("PUT", "/objects/x", {}).data
    except GypsumwindError:
        return None


def read_as_page(address, hangups):
    """Return a mark if the page of a VM was read, None if the answer is broken."""
    try:
        EntryClient("http://{}:{}".format(*address)).page("/v1/status")
        return b"page"
    except GypsumwindError:
        return None


def read_as_probe(address, hangups):
    """Return a mark if a probe saw the state of an instance, None if its answer is broken."""
    told = []
    cfg = SimpleNamespace(ip="127.0.0.1", health_s=1.0, health_path="/health", load_path="")
    task = HealthTask(cfg, SimpleNamespace(), SimpleNamespace(tell=told.append), hangups)
    task._probe(SimpleNamespace(name="i-1", address="{}:{}".format(*address)))
    return None if told[0].unhealthy is None else b"probe"


READERS = {
    "instance": read_as_instance,
    "vm": read_as_vm,
    "store-read": read_as_store,
    "store-write": write_to_store,
    "page": read_as_page,
    "probe": read_as_probe,
}
