"""Shared helpers: clocks, identifiers, jitter, addresses and compressed JSON."""

import json
import os
import random
import time
import zlib
from typing import Any
from urllib.parse import urlsplit


def monotonic() -> float:
    """Return seconds on a monotonic clock that includes the time a VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return seconds since the epoch."""
    return time.time()


def new_id() -> str:
    """Return a unique identifier: 128 random bits in hexadecimal."""
    return os.urandom(16).hex()


def jittered(seconds: float, rng: random.Random) -> float:
    """Return `seconds` with random jitter of up to a half."""
    return seconds * (0.5 + rng.random())


def split_address(text: str) -> tuple[str, int]:
    """Split `ip:port`; ValueError names the invalid part."""
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(p.isdecimal() and int(p) <= 255 for p in parts):
        raise ValueError(f"{text!r}: {host!r} is not an IP number")
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r}: {port!r} is not a port from 1 to 65535")
    return host, int(port)


def split_url(text: str) -> tuple[str, int]:
    """Split `http://ip:port`; ValueError names the invalid part."""
    parts = urlsplit(text)
    if parts.scheme != "http" or parts.path not in ("", "/"):
        raise ValueError(f"{text!r} is not of the form http://IP:PORT")
    return split_address(parts.netloc)


def pack_json(doc: Any) -> bytes:
    """Encode a document as compressed JSON."""
    return zlib.compress(json.dumps(doc, separators=(",", ":")).encode())


def unpack_json(data: bytes) -> Any:
    """Decode compressed JSON; ValueError if it is malformed."""
    try:
        return json.loads(zlib.decompress(data))
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc
