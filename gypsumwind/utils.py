"""Shared helpers: clocks, identifiers, jitter, addresses and JSON."""

import json
import math
import os
import random
import re
import sys
import time
import zlib
from typing import Any
from urllib.parse import urlsplit

MAX_JSON_DEPTH = 100
"""Depth of nesting, in arrays and objects, below which a document is cut."""

MAX_JSON_DIGITS = 18
"""Digits of an integer that any 64-bit field holds; a longer one is read as infinite."""

_JSON_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


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


def parse_bool(text: str) -> bool:
    """Return whether a text is `true`; ValueError if it is not `false` either."""
    if text not in ("true", "false"):
        raise ValueError(f"{text!r} is neither true nor false")
    return text == "true"


def split_address(text: str) -> tuple[str, int]:
    """Split `ip:port`; ValueError names the invalid part."""
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    decimal = all(p.isascii() and p.isdecimal() and len(p) <= 3 for p in parts)
    if len(parts) != 4 or not decimal or not all(int(p) <= 255 for p in parts):
        raise ValueError(f"{text!r}: {host!r} is not an IP number")
    if not port.isascii() or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r}: {port!r} is not a port from 1 to 65535")
    return host, int(port)


def split_url(text: str) -> tuple[str, int]:
    """Split `http://ip:port`; ValueError names the invalid part."""
    parts = urlsplit(text)
    if parts.scheme != "http" or parts.path not in ("", "/"):
        raise ValueError(f"{text!r} is not of the form http://IP:PORT")
    return split_address(parts.netloc)


def finite(value: Any, most: float = sys.float_info.max) -> float:
    """Return a number of at most `most`, either way, as a float; ValueError for any other value."""
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not abs(value) <= most:
        raise ValueError(f"{value!r} is not a finite number of at most {most:g}")
    return float(value)


def is_text(value: Any) -> bool:
    """Return whether a value is a string that can be encoded as UTF-8."""
    return isinstance(value, str) and not any("\ud800" <= c <= "\udfff" for c in value)


def parse_json(data: bytes) -> Any:
    """Parse JSON that holds values of other writers; ValueError if it is malformed.

    One odd value does not make the document unreadable: bytes that are no UTF-8 are replaced, what
    is nested too deeply is read as null, and an integer with too many digits as infinite.
    """
    text = data.decode(errors="replace")
    try:
        return json.loads(text, parse_int=_parse_int, strict=False)
    except RecursionError:
        return json.loads(_cut_nesting(text), parse_int=_parse_int, strict=False)


def _parse_int(text: str) -> int | float:
    if len(text) <= MAX_JSON_DIGITS:
        return int(text)
    return -math.inf if text.startswith("-") else math.inf


def _cut_nesting(text: str) -> str:
    """Replace the arrays and objects below MAX_JSON_DEPTH by null."""
    parts: list[str] = []
    depth = copied = 0
    for token in _JSON_TOKEN.finditer(text):
        if token[0] in "[{":
            depth += 1
            if depth == MAX_JSON_DEPTH + 1:
                parts += (text[copied : token.start()], "null")
        elif token[0] in "]}":
            depth -= 1
            if depth == MAX_JSON_DEPTH:
                copied = token.end()
    return "".join((*parts, text[copied:]))


def pack_json(doc: Any) -> bytes:
    """Encode a document as compressed JSON."""
    return zlib.compress(json.dumps(doc, separators=(",", ":")).encode())


def unpack_json(data: bytes) -> Any:
    """Decode compressed JSON; ValueError if it is malformed."""
    try:
        return json.loads(zlib.decompress(data))
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc
