"""Records as daemons spread them: their keys, and the typed values in their payloads."""

from typing import Any

from gypsumwind import messages as msg
from gypsumwind.board import Heir, VmLoad, ZoneLoad
from gypsumwind.core.ownership import Hold
from gypsumwind.core.records import Record
from gypsumwind.core.rules import ruleset_from_json
from gypsumwind.core.table import ServiceTable, places_from_json, table_from_json
from gypsumwind.core.upstreams import upstreams_from_json
from gypsumwind.utils import unpack_json, wall
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


def table_of(record: Record) -> ServiceTable:
    """Return the whole table of a table/ record."""
    return table_from_json(unpack_json(record.payload))


def is_config(key: str) -> bool:
    """Tell whether a record is a table or the places."""
    return key.startswith(TABLE_PREFIX) or key == PLACES_KEY


def heir_key(home: msg.HomeId) -> str:
    """Return the key of the record that says who inherited a home's keys."""
    return f"{HEIR_PREFIX}{home[0]}/{home[1]}"


def decode(record: Record) -> Any:
    """Return the typed value of a record; ValueError or TableError if it is unreadable."""
    if record.key == PLACES_KEY:
        return places_from_json(unpack_json(record.payload))
    if record.key.startswith(TABLE_PREFIX):
        return table_of(record)
    if record.key.startswith(VM_PREFIX):
        return vm_load_from_bytes(record.payload)
    if record.key.startswith(ZONE_PREFIX):
        return zone_load_from_bytes(record.payload)
    if record.key == VMLIST_KEY:
        return unpack_json(record.payload)
    if record.key == RULES_KEY:
        return ruleset_from_json(unpack_json(record.payload))
    if record.key == UPSTREAMS_KEY:
        return upstreams_from_json(unpack_json(record.payload))
    if record.key == CLOSED_ZONES_KEY:
        return frozenset(unpack_json(record.payload))
    if record.key.startswith(HEIR_PREFIX):
        return heir_from_bytes(record.payload)
    raise ValueError(f"unknown kind of record: {record.key}")


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
