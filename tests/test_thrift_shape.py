"""Tests of the check of messages before they are decoded."""

import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.thrift_shape import MAX_DEPTH, count_message_values, count_struct_values
from gypsumwind.wire import pack, thrift, unpack

VOID_LIST = b"\x0f\x00\x04\x01" + struct.pack("!i", 2**31 - 1)


def record(n):
    return thrift.Record(f"key-{n}", n, "scope", b"\x00" * n, 0)


def test_messages_of_the_project_have_their_shape():
    endpoint = thrift.Endpoint("127.0.0.1", 1, 2, 3)
    member = thrift.Member("vm", "zone", endpoint, 1, 2)
    probe = thrift.Datagram(False, 1, member, [member, member], endpoint)
    assert count_struct_values(pack(probe), 100) == 2 + 3 * (1 + 9) + 1 + (1 + 4)
    versions = thrift.ScopeVersions("scope", {"a": 1, "b": 2}, {})
    assert count_struct_values(pack(versions), 100) == 3 + 4


def test_values_beyond_the_limit_are_refused():
    data = pack(record(3))
    assert count_struct_values(data, 5) == 5
    with pytest.raises(ValueError, match="too many values"):
        count_struct_values(data, 4)


@pytest.mark.parametrize(
    "data",
    [
        VOID_LIST * 100,
        b"\x0f\x00\x04\x63" + struct.pack("!i", 1) + b"\x00",
        b"\x0f\x00\x04\x02" + struct.pack("!i", 2**31 - 1) + b"\x00",
        b"\x0f\x00\x04\x0b" + struct.pack("!i", -1) + b"\x00",
        b"\x0b\x00\x01" + struct.pack("!i", -1) + b"\x00",
        b"\x0b\x00\x01" + struct.pack("!i", 2**31 - 1) + b"\x00",
        b"\x0c\x00\x01" * (MAX_DEPTH + 2) + b"\x00" * (MAX_DEPTH + 2),
        b"",
    ],
)
def test_message_that_is_costly_to_decode_is_refused(data):
    """Guards against lists of two billion values without bytes, which hang the interpreter."""
    with pytest.raises(ValueError):
        unpack(thrift.Datagram, data)
    begin = struct.pack("!IiI", 0x80010001, 0, 1)
    with pytest.raises(ValueError):
        count_message_values(begin + data, 1000)


@given(st.binary(max_size=200))
def test_any_bytes_have_a_bounded_shape_or_are_refused(data):
    for count in (count_struct_values, count_message_values):
        try:
            assert 0 <= count(data, 50) <= 50
        except ValueError:
            continue
