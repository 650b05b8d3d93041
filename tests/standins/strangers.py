"""Clients that keep to no limit: they send without end, stop within a request, or read nothing."""

import socket
import threading
import time
from contextlib import suppress
from itertools import chain, repeat
from pathlib import Path

SEND_S = 20.0
"""Longest time for which a client sends, in seconds."""

ANSWER_S = 30.0
"""Longest wait for an answer, in seconds."""

BLOCKED_S = 3.0
"""Time after which a client whose bytes are not read stops sending, in seconds."""


def peak_memory_mb(process):
    """Return the largest resident memory that a process has had, in MB."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024


def open_descriptors(process):
    """Return the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))


def head(method="POST", path="/book/x", request="stranger", deadline_ms=4000, lines=()):
    """Return the head of a request to the stand-ins' configuration, up to its last field."""
    return "\r\n".join(
        [
            f"{method} {path} HTTP/1.1",
            "Host: api.example",
            f"Gypsumwind-Request-Id: {request}",
            f"Gypsumwind-Deadline-Ms: {deadline_ms}",
            *lines,
            "",
        ]
    ).encode()


def chunked(head_bytes, *parts):
    """Return the blocks of a request in chunks: its head, then what the parts yield."""
    return chain([head_bytes + b"Transfer-Encoding: chunked\r\n\r\n"], *parts)


def sized(head_bytes, length, *parts):
    """Return the blocks of a request that states the length of its body."""
    return chain([head_bytes + b"Content-Length: %d\r\n\r\n" % length], *parts)


def chunks(size, count):
    """Yield `count` chunks of `size` bytes in blocks of some 64 KB."""
    one = b"%x\r\n%b\r\n" % (size, b"c" * size)
    per_block = max(1, min(count, 65536 // len(one)))
    yield from repeat(one * per_block, count // per_block)
    if rest := count % per_block:
        yield one * rest


def filler(size):
    """Yield `size` bytes without a line end, in blocks."""
    block = b"f" * 65536
    yield from repeat(block, size // len(block))
    yield block[: size % len(block)]


class Crowd:
    """Connections that each send a script as far as they are let, open until the context ends.

    `script(n)` returns the blocks that client `n` sends.
    """

    def __init__(self, address, count, script):
        self._address, self._script = address, script
        self._socks = []
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True) for n in range(count)
        ]
        self._over = threading.Event()
        self.sent = [0] * count

    def _run(self, n):
        stop_at = time.monotonic() + SEND_S
        with suppress(OSError):
            sock = socket.create_connection(self._address, SEND_S)
            sock.settimeout(BLOCKED_S)
            self._socks.append(sock)
            for block in self._script(n):
                if self._over.is_set() or time.monotonic() > stop_at:
                    return
                sock.sendall(block)
                self.sent[n] += len(block)

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def wait(self):
        """Wait until every client has sent its script, was refused, or was not read for a while."""
        for thread in self._threads:
            thread.join(SEND_S + BLOCKED_S)
        return self

    def wait_for_answers(self):
        """Wait until every client was answered, or its connection closed."""
        for sock in self._socks:
            sock.settimeout(ANSWER_S)
            with suppress(OSError):
                sock.recv(1)
        return self

    def __exit__(self, *_):
        self._over.set()
        for sock in self._socks.copy():
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        for thread in self._threads:
            thread.join(SEND_S + BLOCKED_S)
        for sock in self._socks:
            sock.close()
