"""Keys and payload types of the records that daemons gossip."""

import math
from collections.abc import Callable, Mapping
from dataclasses import asdict
from typing import Any, Protocol, TypeVar

from gypsumwind import messages as msg
from gypsumwind.core.crashes import Answered, CrashReport, Finding, Quarantine
from gypsumwind.core.departures import Departure
from gypsumwind.core.isolation import IsolationNotice
from gypsumwind.core.ownership import Hold
from gypsumwind.core.rate_limits import RateLimit
from gypsumwind.core.records import HEALTH_SCOPE, Record
from gypsumwind.core.restores import zone_closures_from_json
from gypsumwind.core.rules import ruleset_from_json
from gypsumwind.core.table import ServiceTable, places_from_json, table_from_json
from gypsumwind.core.upstreams import upstreams_from_json
from gypsumwind.snapshots import Heir, VmLoad, ZoneLoad
from gypsumwind.utils import pack_json, unpack_json, wall
from gypsumwind.wire import headroom_from_wire, thrift, unpack


class HasExpiry(Protocol):
    """A value that VMs gossip until it expires."""

    @property
    def expires(self) -> float:
        """Return when VMs stop gossiping it, in epoch seconds."""
        ...


Expiring = TypeVar("Expiring", bound=HasExpiry)

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
RATE_LIMIT_PREFIX = "rate-limit/"
CRASH_PREFIX = "crash/"
ANSWERED_PREFIX = "answered/"
QUARANTINE_PREFIX = "quarantine/"
ISOLATION_PREFIX = "isolation/"

EXPIRING_PREFIXES = (
    HEIR_PREFIX,
    DEPARTURE_PREFIX,
    RATE_LIMIT_PREFIX,
    CRASH_PREFIX,
    ANSWERED_PREFIX,
    QUARANTINE_PREFIX,
    ISOLATION_PREFIX,
)
"""Key prefixes of records that cannot be decoded once they have expired."""


def decode_table(record: Record) -> ServiceTable:
    """Decode the payload of a table/ record."""
    return _table_from_bytes(record.payload)


def is_config(key: str) -> bool:
    """Return whether a key is that of a table or of the places."""
    return key.startswith(TABLE_PREFIX) or key == PLACES_KEY


def heir_key(home: msg.HomeId) -> str:
    """Return the key of the record that names the heir of a home's keys."""
    return f"{HEIR_PREFIX}{home[0]}/{home[1]}"


def decode(record: Record) -> Any:
    """Return the decoded payload of a record; ValueError or TableError if it is malformed."""
    decoder = DECODERS_BY_KEY.get(record.key)
    if decoder is None:
        prefix = record.key.partition("/")[0] + "/"
        decoder = DECODERS_BY_PREFIX.get(prefix)
    if decoder is None:
        raise ValueError(f"record {record.key!r} is of an unknown kind")
    try:
        return decoder(record.payload)
    except (TypeError, KeyError, AttributeError) as exc:
        raise ValueError(f"malformed record {record.key!r}: {exc!r}") from exc


def vm_load_from_bytes(payload: bytes) -> VmLoad:
    """Decode the payload of a vm/ record."""
    wire = unpack(thrift.VmDigest, payload)
    holds = tuple(
        (Hold(h.instance, wire.vm, h.epoch), h.in_flight, h.latest_deadline) for h in wire.holds
    )
    headroom = {service: headroom_from_wire(room) for service, room in wire.headroom.items()}
    return VmLoad(wire.vm, wire.incarnation, wire.leaving, holds, headroom, wire.tables_hash)


def zone_load_from_bytes(payload: bytes) -> ZoneLoad:
    """Decode the payload of a zone/ record."""
    wire = unpack(thrift.ZoneDigest, payload)
    headroom = {service: headroom_from_wire(room) for service, room in wire.headroom.items()}
    return ZoneLoad(wire.zone, wire.at, wire.vms, headroom, wire.tables_hash)


def heir_from_bytes(payload: bytes) -> Heir:
    """Decode the payload of an heir/ record; ValueError if it has expired."""
    wire = unpack(thrift.Heir, payload)
    if wire.expires <= wall():
        raise ValueError(f"heir of {wire.vm!r} has expired")
    return Heir((wire.vm, wire.incarnation), wire.heir, wire.expires)


def departure_record(departure: Departure, scope: str) -> Record:
    """Return the record of a departure; the one of an instance's newest incarnation prevails."""
    key = DEPARTURE_PREFIX + departure.id
    return Record(key, departure.incarnation, scope, pack_json(asdict(departure)))


def rate_limit_to_bytes(limit: RateLimit) -> bytes:
    """Encode the payload of a rate-limit/ record; JSON has no inf, so no limit is null."""
    return pack_json(asdict(limit) | {"per_s": limit.per_s if limit.per_s < math.inf else None})


def health_record(found: Finding | IsolationNotice) -> Record:
    """Return the record of a finding on a request that crashes instances, or of a notice."""
    match found:
        case CrashReport():
            sent_ms = int(found.sent_at * 1000)
            key = f"{CRASH_PREFIX}{found.fingerprint}/{found.instance}/{sent_ms}"
            at = found.crashed_at
        case Answered():
            key, at = ANSWERED_PREFIX + found.fingerprint, found.sent_at
        case Quarantine():
            key, at = QUARANTINE_PREFIX + found.fingerprint, found.since
        case IsolationNotice():
            key, at = ISOLATION_PREFIX + found.vm, found.at
    return Record(key, int(at * 1000), HEALTH_SCOPE, pack_json(asdict(found)))


def _table_from_bytes(payload: bytes) -> ServiceTable:
    return table_from_json(unpack_json(payload))


def _departure_from_bytes(payload: bytes) -> Departure:
    doc = unpack_json(payload)
    try:
        name, incarnation = str(doc["id"]), int(doc["incarnation"])
        departure = Departure(name, incarnation, float(doc["heard_at"]))
    except (KeyError, TypeError) as exc:
        raise ValueError(f"malformed departure: {exc!r}") from exc
    return _unexpired(departure)


def _rate_limit_from_bytes(payload: bytes) -> RateLimit:
    doc = unpack_json(payload)
    per_s = math.inf if doc["per_s"] is None else float(doc["per_s"])
    if not per_s >= 0.0:
        raise ValueError(f"malformed rate limit: {per_s!r} per second")
    limit = RateLimit(str(doc["id"]), int(doc["incarnation"]), per_s, float(doc["heard_at"]))
    return _unexpired(limit)


def _crash_from_bytes(payload: bytes) -> CrashReport:
    doc = unpack_json(payload)
    return _unexpired(
        CrashReport(
            str(doc["fingerprint"]),
            str(doc["instance"]),
            int(doc["incarnation"]),
            float(doc["sent_at"]),
            float(doc["crashed_at"]),
        )
    )


def _answered_from_bytes(payload: bytes) -> Answered:
    doc = unpack_json(payload)
    return _unexpired(Answered(str(doc["fingerprint"]), float(doc["sent_at"])))


def _quarantine_from_bytes(payload: bytes) -> Quarantine:
    doc = unpack_json(payload)
    return _unexpired(Quarantine(str(doc["fingerprint"]), float(doc["since"])))


def _isolation_from_bytes(payload: bytes) -> IsolationNotice:
    doc = unpack_json(payload)
    notice = IsolationNotice(str(doc["vm"]), doc["isolated"] is True, float(doc["at"]))
    return _unexpired(notice)


def _unexpired(value: Expiring) -> Expiring:
    """Return a value; ValueError if it has expired or never does."""
    if not wall() < value.expires < math.inf:
        raise ValueError(f"{value!r} has expired")
    return value


DECODERS_BY_KEY: Mapping[str, Callable[[bytes], Any]] = {
    PLACES_KEY: lambda payload: places_from_json(unpack_json(payload)),
    VMLIST_KEY: unpack_json,
    RULES_KEY: lambda payload: ruleset_from_json(unpack_json(payload)),
    UPSTREAMS_KEY: lambda payload: upstreams_from_json(unpack_json(payload)),
    CLOSED_ZONES_KEY: lambda payload: zone_closures_from_json(unpack_json(payload)),
}
"""Decoders of records with a fixed key."""

DECODERS_BY_PREFIX: Mapping[str, Callable[[bytes], Any]] = {
    TABLE_PREFIX: _table_from_bytes,
    VM_PREFIX: vm_load_from_bytes,
    ZONE_PREFIX: zone_load_from_bytes,
    HEIR_PREFIX: heir_from_bytes,
    DEPARTURE_PREFIX: _departure_from_bytes,
    RATE_LIMIT_PREFIX: _rate_limit_from_bytes,
    CRASH_PREFIX: _crash_from_bytes,
    ANSWERED_PREFIX: _answered_from_bytes,
    QUARANTINE_PREFIX: _quarantine_from_bytes,
    ISOLATION_PREFIX: _isolation_from_bytes,
}
"""Decoders of the other records, by the prefix of their keys."""
