"""Fingerprints are equal for repeats of one request, and differ for requests that look like it."""

import pytest

from gypsumwind.core.fingerprints import request_fingerprint

PARTS = ("POST", "api.example", "/read/x?a=1", "Bearer one", "")
BODY = b"body"


def test_repeats_of_a_request_have_the_same_fingerprint():
    assert request_fingerprint(PARTS, BODY, 4) == request_fingerprint(tuple(PARTS), b"body", 4)
    assert request_fingerprint(PARTS, None, 9) == request_fingerprint(PARTS, None, 9)


@pytest.mark.parametrize(
    ("parts", "body", "length"),
    [
        (("GET", *PARTS[1:]), BODY, 4),
        ((PARTS[0], "other.example", *PARTS[2:]), BODY, 4),
        ((*PARTS[:2], "/read/x?a=2", *PARTS[3:]), BODY, 4),
        ((*PARTS[:2], "/read/x", *PARTS[3:]), BODY, 4),
        ((*PARTS[:3], "Bearer two", ""), BODY, 4),
        ((*PARTS[:3], "", "Bearer one"), BODY, 4),
        (PARTS, b"BODY", 4),
        (PARTS, b"", 0),
        (PARTS, None, 4),
        (PARTS, None, 9),
    ],
    ids=["method", "host", "query", "path", "caller", "cookie", "body", "none", "streamed", "long"],
)
def test_request_that_differs_in_one_part_has_another_fingerprint(parts, body, length):
    assert request_fingerprint(parts, body, length) != request_fingerprint(PARTS, BODY, 4)
