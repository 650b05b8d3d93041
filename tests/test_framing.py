"""Answers that are broken, as every client of the product reads them."""

import math
import socket

import logbook
import pytest

from gypsumwind import stores
from gypsumwind.connections import ConnectionPool
from gypsumwind.core.instances import Outcome
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import RequestError
from gypsumwind.exchanges import BUFFER_BYTES
from gypsumwind.hangups import HangupTask
from tests.standins.raw import (
    READERS,
    answering,
    body_of,
    raw_server,
    read_as_instance,
    read_as_probe,
    read_as_vm,
    request_body,
    resetting,
    send_to_instance,
)
from tests.test_exchanges import wait_for

NAMED = b"Gypsumwind-Request-Id: r\r\nGypsumwind-Response-Signature: s\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + NAMED
UPLOAD_BYTES = 8 * 1024 * 1024


@pytest.fixture
def hangups():
    with HangupTask() as task:
        yield task


@pytest.mark.parametrize("read", [read_as_instance, read_as_vm])
@pytest.mark.parametrize("size", [0, 9, 2 * BUFFER_BYTES])
@pytest.mark.parametrize("status", [b"200 OK", b"413 Too Large", b"500 Failed"])
def test_answer_without_a_length_that_is_reset_during_the_upload_is_not_whole(
    hangups, read, size, status
):
    """The reset is then an error of the write, and the body's end reads as an ordinary one."""
    answer = OK.replace(b"200 OK", status) + b"\r\n" + b"x" * size
    with raw_server(resetting(answer)) as address:
        assert read(address, hangups, request_body(UPLOAD_BYTES)) is None


def test_answer_without_a_length_that_is_reset_during_the_upload_may_have_run(hangups):
    with raw_server(resetting(OK + b"\r\npart")) as address:
        sent = send_to_instance(address, hangups, request_body(UPLOAD_BYTES))
    assert sent.outcome == Outcome.CUT and sent.error.verdict is Verdict.MAY_HAVE_RUN
    assert "reset while its request was written" in sent.error.message


@pytest.mark.parametrize("length", [b"Content-Length: 9\r\n", b"Content-Length: 999999\r\n"])
def test_store_answer_without_its_whole_length_is_not_taken(hangups, length):
    """A document that looks whole within a longer body that was reset."""
    with raw_server(resetting(OK + length + b"\r\n{}")) as address:
        store = stores.StoreClient("http://{}:{}".format(*address), 5.0, deadlines=hangups)
        with pytest.raises(stores.StoreError):
            store.write("PUT", "/objects/x", {"x": "x" * UPLOAD_BYTES})


def test_store_answer_without_a_length_that_is_reset_during_a_write_is_not_taken(hangups):
    with raw_server(resetting(OK + b"\r\n{}")) as address:
        store = stores.StoreClient("http://{}:{}".format(*address), 5.0, deadlines=hangups)
        with pytest.raises(stores.StoreError):
            store.write("PUT", "/objects/x", {"x": "x" * UPLOAD_BYTES})


@pytest.mark.parametrize("status", [b"200 OK", b"413 Too Large", b"500 Failed"])
@pytest.mark.parametrize(
    "framed",
    [
        b"Content-Length: 5\r\n\r\nwhole",
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    ],
    ids=["length", "chunks"],
)
@pytest.mark.parametrize("read", [read_as_instance, read_as_vm])
def test_whole_answer_that_is_reset_during_the_upload_is_served(hangups, read, framed, status):
    with raw_server(resetting(OK.replace(b"200 OK", status) + framed)) as address:
        assert read(address, hangups, request_body(UPLOAD_BYTES)) == b"whole"


@pytest.mark.parametrize("read", [read_as_instance, read_as_vm])
@pytest.mark.parametrize(
    "framed",
    [
        b"Content-Length: 5\r\n\r\nwhole",
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    ],
    ids=["length", "chunks"],
)
def test_instance_may_answer_early_and_read_the_whole_body_on(hangups, read, framed):
    got = []

    def serve(sock):
        got.append(len(sock.recv(1)))
        sock.sendall(OK + framed)
        while data := sock.recv(1 << 20):
            got.append(len(data))

    with raw_server(serve) as address:
        assert read(address, hangups, request_body(UPLOAD_BYTES)) == b"whole"
        wait_for(lambda: sum(got) > UPLOAD_BYTES)


def test_body_without_a_length_of_an_early_answer_ends_with_an_ordinary_close(hangups):
    def serve(sock):
        sock.recv(1)
        sock.sendall(OK + b"\r\nwhole")
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(1 << 20):
            continue

    with raw_server(serve) as address:
        sent = send_to_instance(address, hangups, request_body(UPLOAD_BYTES))
        assert sent.outcome == Outcome.OK and body_of(sent.answer) == b"whole"


@pytest.mark.parametrize("size", [0, 5, 2 * BUFFER_BYTES])
def test_body_without_a_length_ends_with_an_ordinary_close(hangups, size):
    with raw_server(answering(OK + b"\r\n" + b"x" * size)) as address:
        assert read_as_instance(address, hangups) == b"x" * size


DOC = b'{"state": "ok"}'
LENGTH = b"Content-Length: %d\r\n" % len(DOC)
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"

MALFORMED_LINES = {
    "blank before the colon": b"X-A : 1",
    "tab before the colon": b"X-A\t: 1",
    "blank in a name": b"X A: 1",
    "control byte in a name": b"X\x01A: 1",
    "NUL in a name": b"X\x00A: 1",
    "DEL in a name": b"X\x7fA: 1",
    "byte above 127 in a name": b"X\xe9: 1",
    "separator in a name": b"X(A): 1",
    "no name": b": 1",
    "no colon": b"nothing of the kind",
    "folded": b" folded: 1",
    "CR in a value": b"X-A: 1\rX-B: 1",
    "NUL in a value": b"X-A: 1\x00",
    "control byte in a value": b"X-A: 1\x1b",
    "DEL in a value": b"X-A: 1\x7f",
}

MALFORMED_STATUS_LINES = {
    "status 000": b"HTTP/1.1 000 OK",
    "status 099": b"HTTP/1.1 099 OK",
    "status 600": b"HTTP/1.1 600 OK",
    "status of four digits": b"HTTP/1.1 2000 OK",
    "status with a sign": b"HTTP/1.1 +200 OK",
    "status with an underscore": b"HTTP/1.1 2_0 OK",
    "status that is no number": b"HTTP/1.1 2x0 OK",
    "control byte in the reason": b"HTTP/1.1 200 O\x01K",
    "two blanks": b"HTTP/1.1  200 OK",
    "HTTP/0.9": b"HTTP/0.9 200 OK",
    "HTTP/1.x": b"HTTP/1.x 200 OK",
    "HTTP/2.0": b"HTTP/2.0 200 OK",
}

MALFORMED_HEADS = {
    **{
        f"{name}, {place}": STATUS_LINE + before + line + b"\r\n" + after
        for name, line in MALFORMED_LINES.items()
        for place, before, after in (
            ("first", b"", NAMED + LENGTH),
            ("last", NAMED + LENGTH, b""),
            ("last, no length", NAMED, b""),
        )
    },
    **{n: line + b"\r\n" + NAMED + LENGTH for n, line in MALFORMED_STATUS_LINES.items()},
}


def check_broken(hangups, read, answer):
    with raw_server(answering(answer)) as address:
        assert read(address, hangups) is None


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize("name", MALFORMED_HEADS)
def test_answer_with_a_malformed_head_is_not_taken(hangups, read, name):
    check_broken(hangups, read, MALFORMED_HEADS[name] + b"\r\n" + DOC)


LENGTHS = {
    "blank before the colon": b"Content-Length : 15",
    "letter": b"Content-Length: 15x",
    "negative": b"Content-Length: -15",
    "sign": b"Content-Length: +15",
    "empty": b"Content-Length:",
    "hexadecimal": b"Content-Length: 0xf",
    "underscore": b"Content-Length: 0_15",
    "fraction": b"Content-Length: 15.0",
    "blank": b"Content-Length: 0 15",
    "other digits": b"Content-Length: 15\xb2",
    "overflow": b"Content-Length: 1844674407370955161615",
    "5000 digits": b"Content-Length: " + b"1" * 5000,
    "different values": b"Content-Length: 15, 3",
    "different fields": b"Content-Length: 15\r\nContent-Length: 3",
    "one malformed field": b"Content-Length: 15\r\nContent-Length: x",
    "empty element": b"Content-Length: 15,",
    "letter, then sound": b"Content-Length: x\r\nContent-Length: 15",
}

CODINGS = {
    "empty": b"Transfer-Encoding:",
    "identity": b"Transfer-Encoding: identity",
    "unknown": b"Transfer-Encoding: gzip, chunked",
    "chunked not last": b"Transfer-Encoding: chunked, gzip",
    "chunked twice": b"Transfer-Encoding: chunked, chunked",
    "chunked in two fields": b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "letter": b"Transfer-Encoding: xchunked",
    "parameter": b"Transfer-Encoding: chunked;q=1",
    "blank before the colon": b"Transfer-Encoding : chunked",
    "beside a length": b"Transfer-Encoding: chunked\r\nContent-Length: 5",
}

MALFORMED_FRAMINGS = {
    **{f"length: {name}": (line, DOC) for name, line in LENGTHS.items()},
    **{
        f"coding: {name}, {kind}": (line, body)
        for name, line in CODINGS.items()
        for kind, body in (("chunks", b"%x\r\n%b\r\n0\r\n\r\n" % (len(DOC), DOC)), ("plain", DOC))
    },
}


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize("name", MALFORMED_FRAMINGS)
def test_answer_with_a_malformed_length_or_coding_is_not_taken(hangups, read, name):
    line, body = MALFORMED_FRAMINGS[name]
    check_broken(hangups, read, OK + line + b"\r\n\r\n" + body)


def test_chunks_of_an_answer_of_http_1_0_are_not_taken(hangups):
    answer = OK.replace(b"1.1", b"1.0") + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    check_broken(hangups, read_as_instance, answer)


@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
def test_answer_without_a_body_with_a_malformed_length_is_not_taken(hangups, status, method):
    answer = OK.replace(b"200 OK", status) + b"Content-Length: 5x\r\n\r\n"
    with raw_server(answering(answer)) as address:
        assert send_to_instance(address, hangups, method=method).outcome == Outcome.CUT


@pytest.mark.parametrize("line", [b"Content-Length: 15", b"Transfer-Encoding: chunked"])
@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified", b"200 OK"])
def test_answer_without_a_body_ends_with_its_head(hangups, status, line):
    answer = OK.replace(b"200 OK", status) + line + b"\r\n\r\n"
    method = "HEAD" if status == b"200 OK" else "GET"
    with raw_server(answering(answer)) as address:
        sent = send_to_instance(address, hangups, method=method)
        assert sent.outcome == Outcome.OK and body_of(sent.answer) == b""


CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"f\r\n" + DOC + b"\r\n"

MALFORMED_CHUNKS = {
    "letter in a size": CHUNK.replace(b"f\r", b"fx\r") + b"0\r\n\r\n",
    "negative size": b"-f\r\n" + DOC + b"\r\n0\r\n\r\n",
    "size with a sign": b"+f\r\n" + DOC + b"\r\n0\r\n\r\n",
    "size with a prefix": b"0xf\r\n" + DOC + b"\r\n0\r\n\r\n",
    "size with an underscore": b"0_f\r\n" + DOC + b"\r\n0\r\n\r\n",
    "size behind a blank": b" f\r\n" + DOC + b"\r\n0\r\n\r\n",
    "empty size": b"\r\n" + DOC + b"\r\n0\r\n\r\n",
    "size that overflows": b"10000000000000000f\r\n" + DOC + b"\r\n0\r\n\r\n",
    "extension without a name": b"f;=a\r\n" + DOC + b"\r\n0\r\n\r\n",
    "control byte in an extension": b"f;a\x01\r\n" + DOC + b"\r\n0\r\n\r\n",
    "LF alone behind a size": b"f\n" + DOC + b"\r\n0\r\n\r\n",
    "LF alone behind a chunk": b"f\r\n" + DOC + b"\n0\r\n\r\n",
    "other bytes behind a chunk": b"f\r\n" + DOC + b"xx0\r\n\r\n",
    "no line behind a chunk": b"f\r\n" + DOC + b"0\r\n\r\n",
    "longer chunk": b"f\r\n" + DOC + b"  \r\n0\r\n\r\n",
    "shorter chunk": b"10\r\n" + DOC + b"\r\n0\r\n\r\n",
    "no last chunk": CHUNK,
    "malformed last chunk": CHUNK + b"0x\r\n\r\n",
    "no end of the trailers": CHUNK + b"0\r\n",
    **{f"trailer: {n}": CHUNK + b"0\r\n" + x + b"\r\n\r\n" for n, x in MALFORMED_LINES.items()},
}


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize("name", MALFORMED_CHUNKS)
def test_answer_with_a_malformed_chunk_is_not_taken(hangups, read, name):
    check_broken(hangups, read, CHUNKED + MALFORMED_CHUNKS[name])


@pytest.mark.parametrize("read", [read_as_instance, read_as_vm])
@pytest.mark.parametrize("name", MALFORMED_CHUNKS)
def test_malformed_chunk_behind_what_was_passed_on_ends_the_answer(hangups, read, name):
    """The caller has begun to get the body, so that it must not look whole."""
    begin = b"%x\r\n%b\r\n" % (2 * BUFFER_BYTES, b"x" * 2 * BUFFER_BYTES)
    check_broken(hangups, read, CHUNKED + begin + MALFORMED_CHUNKS[name])


SOUND = OK + LENGTH + b"\r\n" + DOC
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\n"

INTERIMS = {
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "102": b"HTTP/1.1 102 Processing\r\n\r\n",
    "103": EARLY_HINTS + b"Link: </a>\r\n\r\n",
    "199, empty reason": b"HTTP/1.1 199 \r\n\r\n",
    "several": b"HTTP/1.1 100 Continue\r\n\r\n" + EARLY_HINTS + b"\r\n" + EARLY_HINTS + b"\r\n",
    "with a length": EARLY_HINTS + b"Content-Length: 5\r\n\r\n",
}


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize("name", INTERIMS)
def test_interim_answer_is_not_the_final_one(hangups, read, name):
    with raw_server(answering(INTERIMS[name] + SOUND)) as address:
        assert read(address, hangups) in (DOC, b"probe", b"page")


def test_signals_of_an_interim_answer_have_no_effect(hangups):
    interim = EARLY_HINTS + NAMED + b"Server-Leaving: 1\r\nServer-Limit: 1\r\n\r\n"
    with raw_server(answering(interim + SOUND)) as address:
        sent = send_to_instance(address, hangups)
        assert body_of(sent.answer) == DOC
        assert not sent.leaving and sent.rate_limit == math.inf


BROKEN_INTERIMS = {
    **{name: EARLY_HINTS + line + b"\r\n\r\n" for name, line in MALFORMED_LINES.items()},
    "malformed length": EARLY_HINTS + b"Content-Length: 5x\r\n\r\n",
    "status 199x": b"HTTP/1.1 199x Odd\r\n\r\n",
    "protocol switched": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
}


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize("name", BROKEN_INTERIMS)
def test_answer_behind_a_malformed_interim_one_is_not_taken(hangups, read, name):
    check_broken(hangups, read, BROKEN_INTERIMS[name] + SOUND)


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
def test_interim_answer_alone_is_no_answer(hangups, read):
    check_broken(hangups, read, EARLY_HINTS + NAMED + LENGTH + b"\r\n")


BROKEN = {
    "malformed field name": OK + b"X A: 1\r\n" + LENGTH + b"\r\n" + DOC,
    "malformed status line": SOUND.replace(b"200", b"000"),
    "malformed Content-Length": SOUND.replace(b": 15", b": 15x"),
    "malformed chunk size": CHUNKED + b"fx\r\n" + DOC + b"\r\n0\r\n\r\n",
    "malformed chunk size, late": CHUNKED + b"80000\r\n%b\r\nx\r\n" % (b"x" * 2 * BUFFER_BYTES),
}


@pytest.mark.parametrize("name", BROKEN)
def test_log_names_what_is_malformed_and_the_instance(hangups, name):
    with raw_server(answering(BROKEN[name])) as address, logbook.TestHandler() as lines:
        sent = send_to_instance(address, hangups)
        kind = name.partition(",")[0]
        if sent.answer is None:
            text = f"answer cut: MalformedResponseError: {kind}"
            assert sent.error.message == text and sent.outcome == Outcome.CUT
            assert read_as_probe(address, hangups) is None
            event = f"probe-malformed instance='i-1' path='/health' error='{kind}'"
        else:
            with pytest.raises(RequestError):
                body_of(sent.answer)
            event = "answer-cut id='r' instance='i-1' error='answer cut: MalformedResponseError: "
        assert read_as_vm(address, hangups) is None
    address_event = "answer-malformed address='{}:{}' error='{}'".format(*address, kind)
    assert [record.message for record in lines.records][1:] == [address_event]
    assert event in lines.records[0].message


@pytest.mark.parametrize("status", [b"503 Full", b"421 Misdirected", b"413 Large", b"500 Failed"])
@pytest.mark.parametrize("name", MALFORMED_LINES)
def test_refusal_or_failure_with_a_malformed_head_tells_nothing(hangups, status, name):
    """Neither that the request has not run, nor any signal of the instance."""
    signals = b"Gypsumwind-Not-Executed: 1\r\nServer-Leaving: 1\r\nServer-Limit: 1\r\n"
    signals += b"Retry-After: 1\r\nGypsumwind-Instance-Load: 1,0,4\r\nContent-Length: 0\r\n"
    answer = STATUS_LINE.replace(b"200 OK", status) + NAMED + signals + MALFORMED_LINES[name]
    with raw_server(answering(answer + b"\r\n\r\n")) as address:
        sent = send_to_instance(address, hangups)
    assert sent.outcome == Outcome.CUT and sent.error.verdict is Verdict.MAY_HAVE_RUN
    assert (sent.leaving, sent.rate_limit, sent.pause_s) == (False, None, 0.0)
    assert sent.reported_load is None and sent.responded


def test_connection_of_a_malformed_answer_is_not_used_again(hangups):
    connections = ConnectionPool("127.0.0.1")
    requests = []

    def serve(sock):
        while sock.recv(65536):
            requests.append(sock.fileno())
            sock.sendall(OK + b"X A: 1\r\nContent-Length: 0\r\n\r\n")
        requests.append("closed")

    with raw_server(serve) as address:
        sent = send_to_instance(address, hangups, connections=connections)
        assert sent.answer is None and "malformed field name" in sent.error.message
        wait_for(lambda: requests[1:] == ["closed"])


SOUND_LINES = {
    "every sign of a token": b"!#$%&'*+-.^_`|~09azAZ: 1",
    "no blank": b"X-A:1",
    "tabs": b"X-A:\t1\t",
    "empty value": b"X-A:",
    "colons in a value": b"X-A: a: b",
    "bytes above 127": b"X-A: \x80\xe9\xff",
    "LF alone": b"X-A: 1\nX-B: 1",
}

SOUND_STATUS_LINES = {
    "HTTP/1.0": (b"HTTP/1.0 200 OK", 200),
    "empty reason": (b"HTTP/1.1 200 ", 200),
    "no reason": (b"HTTP/1.1 200", 200),
    "599": (b"HTTP/1.1 599 Odd", 599),
    "299": (b"HTTP/1.1 299 Odd", 299),
}

SOUND_HEADS = {
    **{n: (STATUS_LINE + line + b"\r\n", 200) for n, line in SOUND_LINES.items()},
    **{n: (line + b"\r\n", status) for n, (line, status) in SOUND_STATUS_LINES.items()},
}


@pytest.mark.parametrize("name", SOUND_HEADS)
def test_sound_head_is_passed_on(hangups, name):
    head, status = SOUND_HEADS[name]
    with raw_server(answering(head + NAMED + LENGTH + b"\r\n" + DOC)) as address:
        sent = send_to_instance(address, hangups)
        assert sent.answer.status == status and body_of(sent.answer) == DOC
        for read in READERS.values() if status == 200 else ():
            assert read(address, hangups) is not None


def test_value_of_a_field_is_passed_on_unchanged(hangups):
    with raw_server(
        answering(OK + b"X-A:\t \x80 \xff, a \t\r\n" + LENGTH + b"\r\n" + DOC)
    ) as address:
        answer = send_to_instance(address, hangups).answer
        assert dict(answer.headers)["X-A"].encode("latin-1") == b"\x80 \xff, a"
        answer.end(True)


SOUND_BODIES = {
    "length": LENGTH + b"\r\n" + DOC,
    "length, leading zeros": b"Content-Length: 000%d\r\n\r\n" % len(DOC) + DOC,
    "length twice": LENGTH + LENGTH + b"\r\n" + DOC,
    "length in a list": b"Content-Length: %d ,%d\r\n\r\n" % (len(DOC), len(DOC)) + DOC,
    "length, more bytes behind the body": LENGTH + b"\r\n" + DOC + b"more",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n" + CHUNK + b"0\r\n\r\n",
    "chunks in capitals": b"Transfer-Encoding: Chunked\r\n\r\n" + CHUNK + b"0\r\n\r\n",
    "size in capitals": b"Transfer-Encoding: chunked\r\n\r\nF\r\n" + DOC + b"\r\n000\r\n\r\n",
    "extensions": b"Transfer-Encoding: chunked\r\n\r\n"
    + CHUNK.replace(b"f\r", b'f ;a=b; c="d;e"\r')
    + b"0;last\r\n\r\n",
    "trailers": b"Transfer-Encoding: chunked\r\n\r\n" + CHUNK + b"0\r\nX-A: 1\r\nX-B:\r\n\r\n",
    "many chunks": b"Transfer-Encoding: chunked\r\n\r\n"
    + b"".join(b"1\r\n%c\r\n" % byte for byte in DOC)
    + b"0\r\n\r\n",
}


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize("name", SOUND_BODIES)
def test_sound_body_is_taken(hangups, read, name):
    with raw_server(answering(OK + SOUND_BODIES[name])) as address:
        assert read(address, hangups) in (DOC, b"probe", b"page")
