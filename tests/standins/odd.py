"""Odd values that another writer may leave in an entry of the store.

Raw text stands for bytes by the error handler `surrogateescape`.
"""

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
