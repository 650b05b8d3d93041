"""Odd values that another writer may leave in an entry of the store.

Raw text stands for bytes by the error handler `surrogateescape`.
"""

import copy

from tests.standins.http import RawJson

ODD_VALUES = {
    "nested-arrays": RawJson("[" * 20_000 + "]" * 20_000),
    "nested-objects": RawJson('{"a":' * 20_000 + "1" + "}" * 20_000),
    "number-of-5000-digits": RawJson("1" * 5000),
    "number-of-400-digits": RawJson("1" * 400),
    "negative-number-of-400-digits": RawJson("-" + "1" * 400),
    "float-too-large": RawJson("1e999"),
    "largest-float": RawJson("1.7976931348623157e308"),
    "not-a-number": RawJson("NaN"),
    "lone-surrogate": RawJson('"\\ud800"'),
    "bytes-that-are-no-text": RawJson('"\udcff\udcfe\udc80"'),
    "control-characters": RawJson('"\x00\x01\n"'),
    "null": None,
    "true": True,
    "text": "odd",
    "negative": -1,
    "fraction": 0.5,
    "list": [],
    "object": {},
    "port-out-of-range": "127.0.0.1:99999",
    "port-of-5000-digits": "127.0.0.1:" + "1" * 5000,
    "port-of-other-digits": "127.0.0.1:\u0661\u0662",
    "host-name": "localhost:80",
}

ENTRY_PATHS = [
    ("spec",),
    ("status",),
    ("spec", "address"),
    ("spec", "born"),
    ("spec", "info"),
    ("spec", "info", "service"),
    ("spec", "info", "zone"),
    ("spec", "info", "capacity"),
    ("spec", "unknown"),
    ("status", "state"),
    ("status", "coldRemainingS"),
]
VM_PATHS = [("ip",), ("peer_port",), ("unknown",)]
"""Paths of the fields of an instance's entry and of a VM's registration."""


def with_value(doc, path, value):
    """Return a copy of a document with another value at a path."""
    changed = copy.deepcopy(doc)
    part = changed
    for name in path[:-1]:
        part = part[name]
    part[path[-1]] = value
    return changed
