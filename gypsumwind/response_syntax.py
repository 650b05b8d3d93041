"""Syntax of the lines of HTTP/1.x responses, by the grammar of RFC 9110 and RFC 9112.

The library parses a head as that of a mail: it drops the fields behind a malformed line and ignores
a length that it cannot read, so that a malformed response passes for another, whole one.

The messages of errors name what is malformed and quote none of it, since callers get them.
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from http.client import HTTPException

BODILESS_STATUSES = frozenset((204, 304))
"""Statuses of final responses that have no body, whatever their fields."""

MAX_BODY_BYTES = 2**63 - 1
"""Largest length of a body or of a chunk that is accepted."""

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"

# A recipient may accept a line of a head that ends with LF alone, and a status line that ends
# without the space before an empty reason (RFC 9112, sections 2.2 and 4).
_STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9][0-9])(?: (" + _TEXT + rb"))?\r?\n")
_FIELD_LINE = re.compile(rb"(" + _TOKEN + rb"):(" + _TEXT + rb")\r?\n")
_FIELD_NAME = re.compile(_TOKEN)
_QUOTED = rb'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*+"'
_EXTENSION = (
    rb"[\t ]*+;[\t ]*+" + _TOKEN + rb"(?:[\t ]*+=[\t ]*+(?:" + _TOKEN + rb"|" + _QUOTED + rb"))?"
)
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]++)(?:" + _EXTENSION + rb")*+\r\n")
_LENGTH = re.compile(r"0*([0-9]{1,19})")


class MalformedResponseError(HTTPException):
    """A response violates the syntax of the protocol; the message names the part that does."""


def malformation(exc: Exception) -> MalformedResponseError | None:
    """Return the error of a malformed response, also if the library has wrapped it; else None."""
    causes = (exc, *exc.args)
    return next((cause for cause in causes if isinstance(cause, MalformedResponseError)), None)


@dataclass(slots=True, frozen=True)
class StatusLine:
    """The status line of a response; `minor` is the minor version of the protocol."""

    minor: int
    status: int
    reason: str


@dataclass(slots=True, frozen=True)
class BodyFraming:
    """How the end of a body is told: by chunks, a length in bytes, or else by the connection."""

    chunked: bool
    length: int | None


def parse_status_line(line: bytes) -> StatusLine:
    """Parse a status line with its line terminator; MalformedResponseError if it is malformed."""
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        raise MalformedResponseError("malformed status line")
    minor, status, reason = match.groups(b"")
    return StatusLine(int(minor), int(status), reason.decode("latin-1").strip())


def parse_field(line: bytes) -> tuple[str, str]:
    """Return the name and the value of a field line with its line terminator.

    MalformedResponseError if it is malformed. A folded line is, too: a gateway may answer 502 for
    it (RFC 9112, section 5.2).
    """
    match = _FIELD_LINE.fullmatch(line)
    if match is None:
        raise MalformedResponseError(_field_fault(line))
    name, value = match.groups()
    return name.decode("ascii"), value.strip(b" \t").decode("latin-1")


def parse_framing(minor: int, codings: Sequence[str], lengths: Sequence[str]) -> BodyFraming:
    """Return the framing of a body by its values of Transfer-Encoding and of Content-Length.

    MalformedResponseError if they are malformed, contradict each other, or name a coding besides
    chunked, which is never requested. A length may be repeated (RFC 9112, section 6.3).
    """
    if codings:
        if lengths:
            raise MalformedResponseError("Content-Length beside Transfer-Encoding")
        # A list may have empty elements (RFC 9110, section 5.6.1).
        names = [name.strip(" \t").lower() for name in ",".join(codings).split(",")]
        if minor == 0 or [name for name in names if name] != ["chunked"]:
            raise MalformedResponseError("malformed or unknown Transfer-Encoding")
        return BodyFraming(True, None)
    if not lengths:
        return BodyFraming(False, None)
    sizes = {_parse_length(text.strip(" \t")) for text in ",".join(lengths).split(",")}
    if len(sizes) > 1:
        raise MalformedResponseError("different values of Content-Length")
    return BodyFraming(False, sizes.pop())


def _parse_length(text: str) -> int:
    match = _LENGTH.fullmatch(text)
    if match is None or int(match[1]) > MAX_BODY_BYTES:
        raise MalformedResponseError("malformed Content-Length")
    return int(match[1])


def parse_chunk_size(line: bytes) -> int:
    """Return the size that a line before a chunk states, extensions ignored.

    MalformedResponseError if it is malformed; only CRLF ends such a line.
    """
    match = _CHUNK_SIZE.fullmatch(line)
    if match is None or (size := int(match[1], 16)) > MAX_BODY_BYTES:
        raise MalformedResponseError("malformed chunk size")
    return size


def ends_fields(line: bytes) -> bool:
    """Return whether a line is the empty one that ends a head or trailers."""
    return line in (b"\r\n", b"\n")


def _field_fault(line: bytes) -> str:
    """Return what is malformed in a field line."""
    name, colon, _ = line.partition(b":")
    if line[:1] in (b" ", b"\t"):
        return "folded field line"
    if not colon:
        return "line without a colon among the fields"
    if _FIELD_NAME.fullmatch(name) is None:
        return "malformed field name"
    return "malformed field value"
