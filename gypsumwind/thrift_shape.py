"""Checks the shape of a message in Thrift's binary protocol before it is decoded.

The library decodes lists of any stated length, also of values that take no bytes, without pause;
and a decoded value takes many times the memory of its bytes.
"""

import struct

VALUE_BYTES = 400
"""Memory of a decoded value beyond its bytes: a struct with its attributes."""

MAX_DEPTH = 16
"""Deepest nesting of structs and containers; the project's messages have five levels."""

STOP, STRING, STRUCT, MAP, SET, LIST = 0, 11, 12, 13, 14, 15

FIXED_BYTES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
"""Bytes of a value of a type of fixed size."""

VERSION_MASK, VERSION_1 = 0xFFFF0000, 0x80010000
CALL_BYTES = 12
"""Least bytes of the begin of a call: version and type, length of its name, number."""

_SIZE = struct.Struct("!i")


def count_message_values(data: bytes, most: int) -> int:
    """Return the number of values in a call or a reply; ValueError if there are more than `most`.

    ValueError, too, if it is truncated, nested too deeply or of another protocol.
    """
    if len(data) < CALL_BYTES or _SIZE.unpack_from(data)[0] & VERSION_MASK != VERSION_1:
        raise ValueError("no message of Thrift's binary protocol")
    shape = _Shape(data, most)
    shape.skip(4)
    shape.skip_string()
    shape.skip(4)
    shape.skip_struct(0)
    return most - shape.left


def count_struct_values(data: bytes, most: int) -> int:
    """Return the number of values in a struct; ValueError as count_message_values()."""
    shape = _Shape(data, most)
    shape.skip_struct(0)
    return most - shape.left


class _Shape:
    """Walks through a message without decoding it."""

    __slots__ = ("_data", "_at", "left")

    def __init__(self, data: bytes, most: int) -> None:
        self._data = data
        self._at = 0
        self.left = most

    def skip(self, size: int) -> None:
        """Skip bytes; ValueError if there are fewer."""
        self._at += size
        if size < 0 or self._at > len(self._data):
            raise ValueError("truncated message")

    def _read_size(self) -> int:
        start = self._at
        self.skip(_SIZE.size)
        size: int = _SIZE.unpack_from(self._data, start)[0]
        return size

    def _read_byte(self) -> int:
        self.skip(1)
        return self._data[self._at - 1]

    def skip_string(self) -> None:
        """Skip a string with its length."""
        self.skip(self._read_size())

    def skip_struct(self, depth: int) -> None:
        """Skip the fields of a struct."""
        while (kind := self._read_byte()) != STOP:
            self.skip(2)
            self._skip_value(kind, depth)

    def _skip_value(self, kind: int, depth: int) -> None:
        self._count(1)
        if kind in FIXED_BYTES:
            self.skip(FIXED_BYTES[kind])
        elif kind == STRING:
            self.skip_string()
        elif depth >= MAX_DEPTH:
            raise ValueError("message is nested too deeply")
        elif kind == STRUCT:
            self.skip_struct(depth + 1)
        elif kind in (LIST, SET):
            self._skip_items((self._read_byte(),), depth + 1)
        elif kind == MAP:
            self._skip_items((self._read_byte(), self._read_byte()), depth + 1)
        else:
            raise ValueError(f"message has a value of unknown type {kind}")

    def _skip_items(self, kinds: tuple[int, ...], depth: int) -> None:
        size = self._read_size()
        if size < 0:
            raise ValueError("container of negative size")
        if all(kind in FIXED_BYTES for kind in kinds):
            self._count(size * len(kinds))
            self.skip(size * sum(FIXED_BYTES[kind] for kind in kinds))
            return
        for _ in range(size):
            for kind in kinds:
                self._skip_value(kind, depth)

    def _count(self, count: int) -> None:
        self.left -= count
        if self.left < 0:
            raise ValueError("message has too many values")
