"""Callers of a soak: they keep their connections until these end, and note what became of all."""

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

AHEAD = 3
"""Requests that a caller which sends ahead keeps on the way."""

AHEAD_PAUSE_S = 0.5
"""Longest pause between two of them: a fault may come between."""

AHEAD_DEADLINE_MS = 9000
"""Longer than a planned stop takes, so that a request may outlast it."""


@dataclass
class Sent:
    """One attempt of a caller: what was sent, to which VM, when, and what came back."""

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
    """Sends one request after the other to the VMs of a site until told to end."""

    def __init__(self, site, number, seed, noted):
        super().__init__(daemon=True)
        self._site, self._noted = site, noted
        self._rng = random.Random(f"{seed} {number}")
        self._ids = itertools.count()
        self._name = f"c{number}"
        self._conns = {}
        self._told_to_end = threading.Event()

    def run(self):
        while not self._told_to_end.wait(PAUSE_S * self._rng.random()):
            self.send_one(self._rng.choice(list(self._site.vms.values())))

    def end(self):
        """Ask the caller to end; returns once it has."""
        self._told_to_end.set()
        self.join(30)

    def send_one(self, vm):
        """Send one request to a VM and note it."""
        kind = self._rng.choice(["read", "read", "book", "put"])
        method, host, prefix = KINDS[kind]
        name = f"{self._name}-{next(self._ids)}"
        body = self._rng.randbytes(20_000) if kind == "put" else b"x" if kind == "book" else b""
        path = f"{prefix}{self._rng.randrange(20)}"
        sent = Sent(name, kind, path, body, vm.name, time.monotonic())
        try:
            self._exchange(vm, method, host, sent)
        except (OSError, http.client.HTTPException):
            self._drop(vm)
        sent.ended = time.monotonic()
        self._noted.append(sent)
        return sent

    def _exchange(self, vm, method, host, sent):
        sent.read_by_vm = False
        conn = self._conns.get(vm.name)
        if conn is None:
            conn = http.client.HTTPConnection(vm.ip, platform.FRONT, timeout=10)
            conn.connect()
            self._conns[vm.name] = conn
        headers = {
            "Host": host,
            "Gypsumwind-Request-Id": sent.id,
            "Gypsumwind-Affinity-Key": sent.path,
            "Gypsumwind-Deadline-Ms": str(DEADLINE_MS),
        }
        conn.request(method, sent.path, body=sent.body or None, headers=headers)
        sent.read_by_vm = True
        answer = conn.getresponse()
        sent.headers = {name.lower(): value for name, value in answer.getheaders()}
        sent.data = answer.read()
        sent.status = answer.status
        if answer.will_close:
            self._drop(vm)

    def _drop(self, vm):
        conn = self._conns.pop(vm.name, None)
        if conn is not None:
            conn.close()


class AheadCaller(Caller):
    """Keeps several reads on the way on one connection, and takes the answers in their order."""

    def run(self):
        while not self._told_to_end.is_set():
            vm = self._rng.choice(list(self._site.vms.values()))
            waiting = deque()
            with (
                suppress(OSError, ValueError, http.client.HTTPException),
                socket.create_connection((vm.ip, platform.FRONT), 12) as sock,
            ):
                self._talk(vm, sock, waiting)
            for sent in waiting:
                sent.ended = time.monotonic()
            self._noted.extend(waiting)
            self._told_to_end.wait(PAUSE_S)

    def _talk(self, vm, sock, waiting):
        """Send and read until an answer closes the connection, or the caller is to end."""
        answers, sends = sock.makefile("rb"), True
        while waiting or (sends and not self._told_to_end.is_set()):
            while sends and len(waiting) < AHEAD and not self._told_to_end.is_set():
                waiting.append(self._next(vm))
                sends = _sent(sock, waiting[-1])
                if select.select([sock], [], [], AHEAD_PAUSE_S * self._rng.random())[0]:
                    break
            if not _answered(answers, waiting[0]):
                return
            sent = waiting.popleft()
            self._noted.append(sent)
            if sent.headers.get("connection") == "close":
                return

    def _next(self, vm):
        name = f"{self._name}-{next(self._ids)}"
        path = f"{KINDS['read'][2]}{self._rng.randrange(20)}"
        return Sent(name, "read", path, b"", vm.name, time.monotonic())


def _sent(sock, sent):
    """Send a request; False when the connection takes no more, and only answers are to come."""
    data = (
        f"GET {sent.path} HTTP/1.1\r\nHost: {KINDS['read'][1]}\r\n"
        f"Gypsumwind-Request-Id: {sent.id}\r\nGypsumwind-Affinity-Key: {sent.path}\r\n"
        f"Gypsumwind-Deadline-Ms: {AHEAD_DEADLINE_MS}\r\n\r\n"
    ).encode()
    try:
        sock.sendall(data)
    except OSError:
        return False
    return True


def _answered(answers, sent):
    """Read the answer to a request; False when the connection ends instead."""
    line = answers.readline()
    if not line:
        return False
    headers = {n.lower(): v for n, v in http.client.parse_headers(answers).items()}
    length = int(headers["content-length"])
    data = answers.read(length)
    if len(data) < length:
        return False
    sent.status, sent.headers, sent.data = int(line.split()[1]), headers, data
    sent.ended = time.monotonic()
    return True


def is_whole(sent):
    """Tell whether a success is an instance's whole answer to this very request."""
    signed = sent.headers.get(SIGNATURE.lower()) == f"signed.{sent.id}"
    lines = sent.data.decode("latin-1").splitlines()
    return signed and len(lines) == 20 and all(li.split()[1] == sent.id for li in lines)
