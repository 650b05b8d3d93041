"""The grammar of the lines of a response."""

import string

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from gypsumwind.response_syntax import (
    MalformedResponseError,
    parse_chunk_size,
    parse_field,
    parse_framing,
    parse_status_line,
)

TOKEN_SIGNS = (string.ascii_letters + string.digits + "!#$%&'*+-.^_`|~").encode()
CONTROLS = bytes([*range(9), *range(10, 32), 127])


def outcome(parse, line):
    """Return what a line parses to, None if it is malformed."""
    try:
        return parse(line)
    except MalformedResponseError:
        return None


@given(name=st.binary(max_size=6), at=st.integers(0, 5), sign=st.integers(0, 255))
@example(name=b"X", at=1, sign=0x20)
def test_name_of_a_field_is_a_token(name, at, sign):
    for text in (name, TOKEN_SIGNS[at:] + bytes([sign]), b"X"[: at % 2] + bytes([sign]) + b"X"):
        # A colon in a name begins the value.
        sound = bool(text) and all(n in TOKEN_SIGNS for n in text.partition(b":")[0])
        sound = sound and not text.startswith(b":")
        value = text.partition(b":")[2]
        sound = sound and not any(n in CONTROLS for n in value)
        assert (outcome(parse_field, text + b": v\r\n") is not None) is sound


@given(value=st.binary(max_size=8))
@example(value=b"")
@example(value=bytes(range(128, 256)))
def test_value_of_a_field_has_no_control_but_tabs(value):
    found = outcome(parse_field, b"X:" + value + b"\r\n")
    if any(n in CONTROLS for n in value):
        assert found is None
    else:
        assert found == ("X", value.strip(b" \t").decode("latin-1"))


@pytest.mark.parametrize("line", [b"X: 1\r\n", b"X:1\r\n", b"X:\t1 \t\r\n", b"X: 1\n"])
def test_sound_field(line):
    assert parse_field(line) == ("X", "1")


@pytest.mark.parametrize("line", [b" X: 1\r\n", b"\tX: 1\r\n", b"X\r\n", b"X: 1\r\r\n", b"X: 1"])
def test_malformed_field(line):
    with pytest.raises(MalformedResponseError):
        parse_field(line)


def test_message_of_an_error_quotes_nothing():
    with pytest.raises(MalformedResponseError) as failed:
        parse_field(b"secret name: secret\r\n")
    assert str(failed.value) == "malformed field name"


@given(text=st.text("0123456789 +-_.x", max_size=5) | st.integers(0, 1100).map(str))
@example(text="000")
@example(text="599")
@example(text="600")
def test_status_has_three_digits_and_is_of_a_class(text):
    found = outcome(parse_status_line, f"HTTP/1.1 {text}\r\n".encode())
    digits = text[:3]
    sound = len(digits) == 3 and all(c in "0123456789" for c in digits) and "1" <= digits[0] <= "5"
    sound = sound and text[3:4] in ("", " ")
    assert (found is not None and found.status == int(digits)) if sound else found is None


@pytest.mark.parametrize(
    ("line", "minor", "reason"),
    [
        (b"HTTP/1.1 200 OK\r\n", 1, "OK"),
        (b"HTTP/1.0 200 OK\r\n", 0, "OK"),
        (b"HTTP/1.1 200 \r\n", 1, ""),
        (b"HTTP/1.1 200\r\n", 1, ""),
        (b"HTTP/1.1 200 All's \t w\xe9ll\r\n", 1, "All's \t wéll"),
        (b"HTTP/1.1 200 OK\n", 1, "OK"),
    ],
)
def test_sound_status_line(line, minor, reason):
    found = parse_status_line(line)
    assert (found.minor, found.status, found.reason) == (minor, 200, reason)


@pytest.mark.parametrize(
    "line",
    [
        b"\r\n",
        b"HTTP/1.1\r\n",
        b"HTTP/1.1 200OK\r\n",
        b"HTTP/1.1 2000 OK\r\n",
        b"HTTP/1.1 000 OK\r\n",
        b"HTTP/1.1 099 OK\r\n",
        b"HTTP/1.1 999 OK\r\n",
        b"HTTP/1.1  200 OK\r\n",
        b"HTTP/1.1\t200 OK\r\n",
        b" HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 O\x00K\r\n",
        b"HTTP/1.1 200 OK\r\r\n",
        b"HTTP/1.1 200 OK",
        b"HTTP/1.10 200 OK\r\n",
        b"HTTP/1. 200 OK\r\n",
        b"HTTP/0.9 200 OK\r\n",
        b"HTTP/2.0 200 OK\r\n",
        b"HTTP/2 200 OK\r\n",
        b"http/1.1 200 OK\r\n",
        b"ICY 200 OK\r\n",
    ],
)
def test_malformed_status_line(line):
    with pytest.raises(MalformedResponseError):
        parse_status_line(line)


@given(text=st.text("0123456789 ,+-_x\t\xb2", max_size=4) | st.integers(0, 2**65).map(str))
@example(text=str(2**63 - 1))
@example(text=str(2**63))
@example(text="0" * 5000 + "7")
@example(text="1" * 5000)
def test_length_is_digits_and_within_the_bound(text):
    parts = [part.strip(" \t") for part in text.split(",")]
    sound = all(part and not part.strip("0123456789") for part in parts)
    values = {int(part.lstrip("0")[:30] or "0") for part in parts} if sound else set()
    found = outcome(lambda value: parse_framing(1, [], [value]), text)
    if len(values) == 1 and max(values) < 2**63:
        assert found.length == values.pop() and not found.chunked
    else:
        assert found is None


@pytest.mark.parametrize(
    "codings", [["chunked"], ["Chunked"], ["CHUNKED"], [" chunked ,"], [",chunked", ""]]
)
def test_sound_coding(codings):
    found = parse_framing(1, codings, [])
    assert found.chunked and found.length is None
    with pytest.raises(MalformedResponseError):
        parse_framing(1, codings, ["5"])
    with pytest.raises(MalformedResponseError):
        parse_framing(0, codings, [])


@pytest.mark.parametrize(
    "codings",
    [[""], ["identity"], ["gzip"], ["gzip, chunked"], ["chunked, gzip"], ["chunked", "chunked"]]
    + [["xchunked"], ["chunked;q=1"], ["chunked chunked"], ["chun,ked"], ["chunked\xa0"]],
)
def test_malformed_or_unknown_coding(codings):
    with pytest.raises(MalformedResponseError):
        parse_framing(1, codings, [])


@given(size=st.integers(0, 2**65), capitals=st.booleans(), zeros=st.integers(0, 20))
@example(size=2**63 - 1, capitals=True, zeros=0)
@example(size=2**63, capitals=True, zeros=0)
def test_chunk_size_is_hexadecimal_and_within_the_bound(size, capitals, zeros):
    text = "0" * zeros + (f"{size:X}" if capitals else f"{size:x}")
    found = outcome(parse_chunk_size, text.encode() + b"\r\n")
    assert found == (size if size < 2**63 else None)


@pytest.mark.parametrize(
    "extension",
    [b"", b";a", b";a=b", b' ; a\t=\t"b c"', b';a="\\"";b', b';a="\x80;\t"', b";a" * 1000],
)
def test_extension_of_a_chunk_is_ignored(extension):
    assert parse_chunk_size(b"1f" + extension + b"\r\n") == 31


@pytest.mark.parametrize(
    "line",
    [b"\r\n", b"5", b"5\n", b"5x\r\n", b"-5\r\n", b"+5\r\n", b"0x5\r\n", b"5_0\r\n", b" 5\r\n"]
    + [b"5 \r\n", b"5 5\r\n", b";a\r\n", b"5;\r\n", b"5;=b\r\n", b"5;a=\r\n", b"5;a b\r\n"]
    + [b'5;a="b\r\n', b'5;a="b"c\r\n', b"5;a\x00\r\n", b"5;a=b\r\r\n", b"5\r\r\n", b"5,5\r\n"],
)
def test_malformed_chunk_size(line):
    with pytest.raises(MalformedResponseError):
        parse_chunk_size(line)


@pytest.mark.parametrize("part", [b" ", b"a", b";a", b";a=", b'"', b"\\", b'\\"', b" ;", b" ="])
@pytest.mark.parametrize("begin", [b"", b"5", b"5;a", b'5;a="', b"X", b"X:", b"HTTP/1.1 200 "])
def test_long_malformed_line_is_rejected_by_every_parser(begin, part):
    """Guards against a match that backtracks so long that it blocks its thread."""
    line = begin + part * (65536 // len(part)) + b"\x00\r\n"
    assert not any(outcome(p, line) for p in (parse_chunk_size, parse_field, parse_status_line))
