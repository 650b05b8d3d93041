"""Tests of the readers of request bodies on a socket pair."""

import socket
from http import HTTPStatus

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.request_bodies import MAX_TRAILER_BYTES, ChunkedBody, SizedBody
from gypsumwind.streams import BodyError, CallerStream
from gypsumwind.transfers import Transfers
from gypsumwind.utils import monotonic

MAX_BODY = 100_000


class Feed:
    """A socket whose bytes arrive in given pieces."""

    def __init__(self, pieces):
        self._pieces = [piece for piece in pieces if piece]

    def settimeout(self, seconds):
        """Do nothing: all pieces have arrived."""

    def recv(self, size):
        if not self._pieces:
            return b""
        piece = self._pieces[0]
        self._pieces[0] = piece[size:]
        if not self._pieces[0]:
            del self._pieces[0]
        return piece[:size]


def stream_of(*pieces):
    return CallerStream(Feed(pieces), Transfers())


def read_all(body, size):
    parts = []
    while data := body.read(size):
        assert len(data) <= size
        parts.append(data)
    return b"".join(parts)


@given(
    st.lists(st.binary(min_size=1, max_size=300), max_size=200),
    st.sampled_from([b"", b";a", b'; a="b;\\""']),
    st.sampled_from([b"", b"Name: value\r\n"]),
    st.lists(st.integers(1, 4000), max_size=8),
    st.integers(1, 70_000),
)
def test_chunks_are_decoded_however_they_arrive_and_what_follows_is_left(
    chunks, extension, trailers, cuts, size
):
    coded = b"".join(b"%x%b\r\n%b\r\n" % (len(c), extension, c) for c in chunks)
    data = coded + b"0\r\n" + trailers + b"\r\nNEXT"
    pieces, start = [], 0
    for cut in cuts:
        pieces.append(data[start : start + cut])
        start += cut
    stream = stream_of(*pieces, data[start:])
    body = ChunkedBody(stream, MAX_BODY)
    assert read_all(body, size) == b"".join(chunks)
    assert stream.read(10) == b"NEXT" and body.read(1) == b""


def test_large_chunk_is_passed_on_as_it_arrives():
    body = ChunkedBody(stream_of(b"ffff\r\n", b"a" * 100, b"b" * 100), MAX_BODY)
    assert body.read(65536) == b"a" * 100
    assert body.read(65536) == b"b" * 100


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"%x\r\n" % (MAX_BODY + 1), HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
        (b"1\r\nx\r\n" * (MAX_BODY + 1), HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
        (b"5\r\nabc", HTTPStatus.BAD_REQUEST),
        (b"5", HTTPStatus.BAD_REQUEST),
        (b"3\r\nabc", HTTPStatus.BAD_REQUEST),
        (b"3\r\nabc\r\n0\r\nName: v\r\n", HTTPStatus.BAD_REQUEST),
        (b"0\r\nno field\r\n\r\n", HTTPStatus.BAD_REQUEST),
        (b"0\r\nGET / HTTP/1.1\r\n\r\n", HTTPStatus.BAD_REQUEST),
        (b"0" * MAX_TRAILER_BYTES + b"\r\n", HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
        (b"0\r\n" + b"n: v\r\n" * MAX_TRAILER_BYTES, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
    ],
)
def test_unsound_chunks_are_refused(data, status):
    with pytest.raises(BodyError) as caught:
        read_all(ChunkedBody(stream_of(data), MAX_BODY), 65536)
    assert caught.value.status is status


def test_body_of_a_length_ends_there_and_is_refused_if_cut_short():
    stream = stream_of(b"abc", b"deNEXT")
    assert read_all(SizedBody(stream, 5), 4) == b"abcde"
    assert stream.read(10) == b"NEXT"
    with pytest.raises(BodyError) as caught:
        read_all(SizedBody(stream_of(b"abc"), 5), 4)
    assert caught.value.status is HTTPStatus.BAD_REQUEST


def test_body_that_does_not_arrive_until_its_deadline_is_refused():
    near, far = socket.socketpair()
    with near, far:
        stream = CallerStream(near, Transfers())
        stream.deadline = monotonic() - 1.0
        with pytest.raises(BodyError) as caught:
            SizedBody(stream, 5).read(5)
    assert caught.value.status is HTTPStatus.REQUEST_TIMEOUT
