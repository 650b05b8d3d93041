"""Fingerprints of requests: repeats of one request have equal ones, whatever their ids."""

import xxhash

SEPARATOR = b"\x00"


def request_fingerprint(parts: tuple[str, ...], body: bytes | None, length: int | None) -> str:
    """Return the fingerprint of a request, as 16 hexadecimal digits.

    `parts` are its method, host, target and caller. A body that is not buffered (None) counts by
    its length alone.
    """
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(part.encode("utf-8", "replace") + SEPARATOR)
    digest.update(f"length {length}".encode() if body is None else body)
    return str(digest.hexdigest())
