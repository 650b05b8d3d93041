"""Callers of a soak: they reuse connections and record the outcome of every attempt."""

import http.client
import itertools
import random
import select
import socket
import threading
import time
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field

from tests.standins import platform
from tests.standins.steered import SIGNATURE

KINDS = {
    "read": ("GET", "api.example", "/read/"),
    "book": ("POST", "api.example", "/book/"),
    "put": ("POST", "files.example", "/put/"),
}
REFUSALS = (408, 421, 429, 503)
DEADLINE_MS = 3000
PAUSE_S = 0.03

PIPELINE_DEPTH = 3
"""Requests that a pipelining caller keeps in flight on its connection."""

PIPELINE_PAUSE_S = 0.5
"""Longest pause between two pipelined requests, so that a fault can occur between them."""

PIPELINE_DEADLINE_MS = 9000
"""Longer than a graceful shutdown takes, so that a request can outlast it."""


@dataclass
class Attempt:
    """A request that a caller sent to a VM, and its response; status 0 if there was none."""

    id: str
    kind: str
    path: str
    body: bytes
    vm: str
    began: float
    ended: float = 0.0
    status: int = 0
    headers: dict = field(default_factory=dict)
    data: bytes = b""
    read_by_vm: bool = True


class Caller(threading.Thread):
    """Sends requests one after the other to random VMs of a fleet until end() is called."""

    def __init__(self, fleet, number, seed, attempts):
        super().__init__(daemon=True)
        self._fleet, self._attempts = fleet, attempts
        self._rng = random.Random(f"{seed} {number}")
        self._ids = itertools.count()
        self._name = f"c{number}"
        self._conns = {}
        self._stopping = threading.Event()

    def run(self):
        while not self._stopping.wait(PAUSE_S * self._rng.random()):
            self.send_one(self._rng.choice(list(self._fleet.vms.values())))

    def end(self):
        """Signal the caller to stop, and wait for its thread."""
        self._stopping.set()
        self.join(30)

    def send_one(self, vm):
        """Send one request to a VM and record the attempt."""
        kind = self._rng.choice(["read", "read", "book", "put"])
        method, host, prefix = KINDS[kind]
        name = f"{self._name}-{next(self._ids)}"
        body = self._rng.randbytes(20_000) if kind == "put" else b"x" if kind == "book" else b""
        path = f"{prefix}{self._rng.randrange(20)}"
        attempt = Attempt(name, kind, path, body, vm.name, time.monotonic())
        try:
            self._exchange(vm, method, host, attempt)
        except (OSError, http.client.HTTPException):
            self._drop(vm)
        attempt.ended = time.monotonic()
        self._attempts.append(attempt)
        return attempt

    def _exchange(self, vm, method, host, attempt):
        attempt.read_by_vm = False
        conn = self._conns.get(vm.name)
        if conn is None:
            conn = http.client.HTTPConnection(vm.ip, platform.FRONT_PORT, timeout=10)
            conn.connect()
            self._conns[vm.name] = conn
        headers = {
            "Host": host,
            "Gypsumwind-Request-Id": attempt.id,
            "Gypsumwind-Affinity-Key": attempt.path,
            "Gypsumwind-Deadline-Ms": str(DEADLINE_MS),
        }
        conn.request(method, attempt.path, body=attempt.body or None, headers=headers)
        attempt.read_by_vm = True
        answer = conn.getresponse()
        attempt.headers = {name.lower(): value for name, value in answer.getheaders()}
        attempt.data = answer.read()
        attempt.status = answer.status
        if answer.will_close:
            self._drop(vm)

    def _drop(self, vm):
        conn = self._conns.pop(vm.name, None)
        if conn is not None:
            conn.close()


class PipeliningCaller(Caller):
    """Pipelines reads on one connection and reads the responses in order."""

    def run(self):
        while not self._stopping.is_set():
            vm = self._rng.choice(list(self._fleet.vms.values()))
            in_flight = deque()
            with (
                suppress(OSError, ValueError, http.client.HTTPException),
                socket.create_connection((vm.ip, platform.FRONT_PORT), 12) as sock,
            ):
                self._pipeline(vm, sock, in_flight)
            for attempt in in_flight:
                attempt.ended = time.monotonic()
            self._attempts.extend(in_flight)
            self._stopping.wait(PAUSE_S)

    def _pipeline(self, vm, sock, in_flight):
        """Send and read until a response closes the connection or the caller stops."""
        answers, can_send = sock.makefile("rb"), True
        while in_flight or (can_send and not self._stopping.is_set()):
            while can_send and len(in_flight) < PIPELINE_DEPTH and not self._stopping.is_set():
                in_flight.append(self._new_attempt(vm))
                can_send = _send_pipelined(sock, in_flight[-1])
                if select.select([sock], [], [], PIPELINE_PAUSE_S * self._rng.random())[0]:
                    break
            if not _read_response(answers, in_flight[0]):
                return
            attempt = in_flight.popleft()
            self._attempts.append(attempt)
            if attempt.headers.get("connection") == "close":
                return

    def _new_attempt(self, vm):
        name = f"{self._name}-{next(self._ids)}"
        path = f"{KINDS['read'][2]}{self._rng.randrange(20)}"
        return Attempt(name, "read", path, b"", vm.name, time.monotonic())


def _send_pipelined(sock, attempt):
    """Send a request; False on an error, after which only responses are read."""
    data = (
        f"GET {attempt.path} HTTP/1.1\r\nHost: {KINDS['read'][1]}\r\n"
        f"Gypsumwind-Request-Id: {attempt.id}\r\nGypsumwind-Affinity-Key: {attempt.path}\r\n"
        f"Gypsumwind-Deadline-Ms: {PIPELINE_DEADLINE_MS}\r\n\r\n"
    ).encode()
    try:
        sock.sendall(data)
    except OSError:
        return False
    return True


def _read_response(answers, attempt):
    """Read the response to a request; False if the connection closes before its end."""
    line = answers.readline()
    if not line:
        return False
    headers = {n.lower(): v for n, v in http.client.parse_headers(answers).items()}
    length = int(headers["content-length"])
    data = answers.read(length)
    if len(data) < length:
        return False
    attempt.status, attempt.headers, attempt.data = int(line.split()[1]), headers, data
    attempt.ended = time.monotonic()
    return True


def is_complete(attempt):
    """Report whether the response is an instance's complete response to this request."""
    signed = attempt.headers.get(SIGNATURE.lower()) == f"signed.{attempt.id}"
    lines = attempt.data.decode("latin-1").splitlines()
    return signed and len(lines) == 20 and all(li.split()[1] == attempt.id for li in lines)
