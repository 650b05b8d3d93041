"""Records as daemons spread them: their keys, and the typed values in their payloads."""

from collections.abc import Callable, Mapping
from dataclasses import asdict
from typing import Any

from gypsumwind import messages as msg
from gypsumwind.board import Heir, VmLoad, ZoneLoad
from gypsumwind.core.departures import Departure
from gypsumwind.core.ownership import Hold
from gypsumwind.core.records import Record
from gypsumwind.core.restores import closures_from_json
from gypsumwind.core.rules import ruleset_from_json
from gypsumwind.core.table import ServiceTable, places_from_json, table_from_json
from gypsumwind.core.upstreams import upstreams_from_json
from gypsumwind.utils import pack_json, unpack_json, wall
from gypsumwind.wire import headroom_from_wire, thrift, unpack

TABLE_PREFIX = "table/"
PLACES_KEY = "places"
VM_PREFIX = "vm/"
ZONE_PREFIX = "zone/"
HEIR_PREFIX = "heir/"
VMLIST_KEY = "vmlist"
RULES_KEY = "steering/rules"
UPSTREAMS_KEY = "steering/upstreams"
CLOSED_ZONES_KEY = "steering/closed-zones"
DEPARTURE_PREFIX = "departure/"

EXPIRING = (HEIR_PREFIX, DEPARTURE_PREFIX)
"""Kinds of records that are unreadable once they have expired."""


def table_of(record: Record) -> ServiceTable:
    """Return the whole table of a table/ record."""
    return _table_from_bytes(record.payload)


def is_config(key: str) -> bool:
    """Tell whether a record is a table or the places."""
    return key.startswith(TABLE_PREFIX) or key == PLACES_KEY


def heir_key(home: msg.HomeId) -> str:
    """Return the key of the record that says who inherited a home's keys."""
    return f"{HEIR_PREFIX}{home[0]}/{home[1]}"


def decode(record: Record) -> Any:
    """Return the typed value of a record; ValueError or TableError if it is unreadable."""
    read = DECODERS.get(record.key)
    if read is None:
        prefix = record.key.partition("/")[0] + "/"
        read = PREFIX_DECODERS.get(prefix)
    if read is None:
        raise ValueError(f"unknown kind of record: {record.key}")
    try:
        return read(record.payload)
    except (TypeError, KeyError, AttributeError) as exc:
        raise ValueError(f"{record.key}: {exc!r}") from exc


def vm_load_from_bytes(payload: bytes) -> VmLoad:
    """Read the payload of a vm/ record."""
    wire = unpack(thrift.VmDigest, payload)
    holds = tuple(
        (Hold(h.instance, wire.vm, h.epoch), h.in_flight, h.latest_deadline) for h in wire.holds
    )
    headroom = {service: headroom_from_wire(room) for service, room in wire.headroom.items()}
    return VmLoad(wire.vm, wire.incarnation, wire.leaving, holds, headroom, wire.tables_hash)


def zone_load_from_bytes(payload: bytes) -> ZoneLoad:
    """Read the payload of a zone/ record."""
    wire = unpack(thrift.ZoneDigest, payload)
    headroom = {service: headroom_from_wire(room) for service, room in wire.headroom.items()}
    return ZoneLoad(wire.zone, wire.at, wire.vms, headroom, wire.tables_hash)


def heir_from_bytes(payload: bytes) -> Heir:
    """Read the payload of an heir/ record; ValueError if it has expired."""
    wire = unpack(thrift.Heir, payload)
    if wire.expires <= wall():
        raise ValueError("expired")
    return Heir((wire.vm, wire.incarnation), wire.heir, wire.expires)


def departure_record(departure: Departure, scope: str) -> Record:
    """Return the record of a departure: of two incarnations of an instance the newer one counts."""
    key = DEPARTURE_PREFIX + departure.id
    return Record(key, departure.incarnation, scope, pack_json(asdict(departure)))


def _table_from_bytes(payload: bytes) -> ServiceTable:
    return table_from_json(unpack_json(payload))


def _departure_from_bytes(payload: bytes) -> Departure:
    doc = unpack_json(payload)
    try:
        name, incarnation = str(doc["id"]), int(doc["incarnation"])
        departure = Departure(name, incarnation, float(doc["heard_at"]))
    except (KeyError, TypeError) as exc:
        raise ValueError(f"departure: {exc!r}") from exc
    if departure.expires <= wall():
        raise ValueError("expired")
    return departure


DECODERS: Mapping[str, Callable[[bytes], Any]] = {
    PLACES_KEY: lambda payload: places_from_json(unpack_json(payload)),
    VMLIST_KEY: unpack_json,
    RULES_KEY: lambda payload: ruleset_from_json(unpack_json(payload)),
    UPSTREAMS_KEY: lambda payload: upstreams_from_json(unpack_json(payload)),
    CLOSED_ZONES_KEY: lambda payload: closures_from_json(unpack_json(payload)),
}
"""How records of one key are read."""

PREFIX_DECODERS: Mapping[str, Callable[[bytes], Any]] = {
    TABLE_PREFIX: _table_from_bytes,
    VM_PREFIX: vm_load_from_bytes,
    ZONE_PREFIX: zone_load_from_bytes,
    HEIR_PREFIX: heir_from_bytes,
    DEPARTURE_PREFIX: _departure_from_bytes,
}
"""How records are read of which there are many, by what their keys begin with."""
