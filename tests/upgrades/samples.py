"""One message and stored document of each kind, as a version of gypsumwind writes it.

Each landing records its own, so that the next version is tested against it:
`python -m tests.upgrades.samples > tests/upgrades/recorded/COMMIT.json`.
"""

import json
import sys
from dataclasses import asdict
from importlib.resources import files

from gypsumwind.core.admission import Headroom
from gypsumwind.core.crashes import Answered, CrashReport, Quarantine
from gypsumwind.core.departures import Departure
from gypsumwind.core.idempotency import KeyEntry
from gypsumwind.core.isolation import IsolationNotice
from gypsumwind.core.membership import Ack, Endpoint, Member, Probe, State
from gypsumwind.core.ownership import ClaimReply, Hold
from gypsumwind.core.rate_limits import RateLimit
from gypsumwind.core.records import CONFIG_SCOPE, Record
from gypsumwind.core.restores import ZoneClosures, zone_closures_to_json
from gypsumwind.core.rules import (
    CallerLimits,
    RequestKind,
    Rule,
    ServicePolicy,
    WeightedService,
    ruleset,
    ruleset_to_json,
)
from gypsumwind.core.shifts import Shift
from gypsumwind.core.table import (
    Cell,
    EditRecord,
    Instance,
    Places,
    ServiceTable,
    places_to_json,
    table_to_json,
)
from gypsumwind.core.upstreams import Upstream, UpstreamList, upstreams_to_json
from gypsumwind.core.versions import Version
from gypsumwind.direct import CODECS
from gypsumwind.messages import StoredOutcome
from gypsumwind.payloads import departure_record, health_record, rate_limit_to_bytes
from gypsumwind.platform.store import VmRegistry
from gypsumwind.relays import RelayUpdate
from gypsumwind.utils import unpack_json
from gypsumwind.wire import (
    datagram_to_bytes,
    headroom_to_wire,
    hold_to_wire,
    key_entry_to_wire,
    pack,
    record_to_wire,
    relay_update_to_wire,
    reply_to_wire,
    thrift,
    versions_to_wire,
)

FAR_FUTURE = 4e9
"""Epoch seconds at which no record has expired."""

ENDPOINT = Endpoint("10.1.0.18", 8381, 0, 7200)
MEMBER = Member("vm-1", "a1", ENDPOINT, 1_764_900_000_000, State.SUSPECT)
UPSTREAM = Upstream("i-1", 7, "lookup", "10.2.0.1", 9000, "a1", 6, True, FAR_FUTURE)
RECORD = Record("steering/rules", 12, CONFIG_SCOPE, b"\x00\xffpayload", 3)
HOLD = Hold("i-1", "vm-1", 5)
REPLY = ClaimReply("i-1", True, "vm-1", 6)
UPDATE = RelayUpdate(77, 8, Version(2, 901), 1.25, True, {"i-1": asdict(UPSTREAM)}, 0.5)
VERSIONS = {"steering/upstreams": Version(2, 901), "steering/rules": Version(0, 12)}
HEADROOM = Headroom(6, 2, 4, 3, 1, 1)
OUTCOME = StoredOutcome("f" * 16, 201, (("Content-Type", "text/plain"),), b"\x00\xffbody", True)
KEY_ENTRY = KeyEntry("key-1", "f" * 16, FAR_FUTURE, OUTCOME)

RULES = ruleset(
    12,
    [
        Rule(
            "read",
            "api.example",
            "/read/",
            RequestKind.IDEMPOTENT,
            (WeightedService("lookup", 9.0), WeightedService("files", 1.0)),
            2.0,
            2,
            0.5,
            1,
            True,
            frozenset({"a"}),
        )
    ],
    {"lookup": ServicePolicy("lookup", "/health", 390, 3.0, 5.2)},
    CallerLimits(16384, 1 << 26, 3.0, 15.0),
)
UPSTREAMS = UpstreamList(Version(2, 901), {"i-1": UPSTREAM}, FAR_FUTURE)
CLOSURES = ZoneClosures(Version(2, 902), {"a1": 900})
TABLE = ServiceTable(
    "lookup",
    4,
    {"accra": {"weight": Cell(3.0, 4, "e-1", Shift(1.0, 3.0, 10.0, 20.0))}},
    {"i-1": Instance("i-1", "a1", "10.2.0.1:9000", 6, True, 3)},
    (EditRecord("e-1", "op", 10.0, 4, "accra/weight", "1", "3"),),
)
PLACES = Places(2, {"a1": "a", "b1": "b"}, {("a", "b"): 5e8}, frozenset({"vm-9"}))

HEALTH_FINDINGS = (
    CrashReport("f" * 16, "i-1", 7, FAR_FUTURE, FAR_FUTURE + 1),
    Answered("f" * 16, FAR_FUTURE),
    Quarantine("f" * 16, FAR_FUTURE),
    IsolationNotice("vm-1", True, FAR_FUTURE),
)
DEPARTURE = Departure("i-1", 7, FAR_FUTURE)
RATE_LIMIT = RateLimit("i-1", 7, 2.5, FAR_FUTURE)


class RecordingStore:
    """Takes the place of the store, and keeps the spec that is written."""

    def upsert(self, kind, name, spec):
        self.written = {"kind": kind, "name": name, "spec": spec}
        return 0


def registration():
    """Return what a VM writes to the store to be found."""
    store = RecordingStore()
    VmRegistry(store).announce("vm-1", ENDPOINT)
    return store.written


def structs():
    """Return the bytes of one Thrift struct of each kind that VMs exchange, by its name."""
    headroom = {"lookup": headroom_to_wire(HEADROOM)}
    return {
        "Datagram": datagram_to_bytes(Probe(9, MEMBER, (MEMBER,), ENDPOINT)),
        "Datagram/ack": datagram_to_bytes(Ack(9, MEMBER, (MEMBER,))),
        "Record": pack(record_to_wire(RECORD)),
        "ScopeDigest": pack(thrift.ScopeDigest(CONFIG_SCOPE, 1 << 60)),
        "ScopeVersions": pack(versions_to_wire(CONFIG_SCOPE, VERSIONS)),
        "Wanted": pack(thrift.Wanted(CONFIG_SCOPE, ["steering/rules"])),
        "Hold": pack(hold_to_wire(HOLD)),
        "ClaimAnswer": pack(thrift.ClaimAnswer([reply_to_wire(REPLY)], ["vm-1", "vm-2"])),
        "UsageLeft": pack(thrift.UsageLeft(1500, True)),
        "VmDigest": pack(
            thrift.VmDigest(
                "vm-1", 1, True, [thrift.HoldLoad("i-1", 5, 2, FAR_FUTURE)], headroom, 7
            )
        ),
        "ZoneDigest": pack(thrift.ZoneDigest("a1", FAR_FUTURE, 2, headroom, 7)),
        "Heir": pack(thrift.Heir("vm-1", 1, "vm-2", FAR_FUTURE)),
        "HomeId": pack(thrift.HomeId("vm-1", 1)),
        "KeyEntry": pack(key_entry_to_wire(KEY_ENTRY)),
        "RelayNews": pack(relay_update_to_wire(UPDATE)),
    }


def documents():
    """Return the JSON documents in records, in relays' updates and in the store, by name."""
    payloads = {
        "departure": departure_record(DEPARTURE, "a1").payload,
        "rate-limit": rate_limit_to_bytes(RATE_LIMIT),
        "rate-limit/none": rate_limit_to_bytes(RateLimit("i-1", 7, float("inf"), FAR_FUTURE)),
        **{type(found).__name__: health_record(found).payload for found in HEALTH_FINDINGS},
    }
    return {
        "rules": ruleset_to_json(RULES),
        "upstreams": upstreams_to_json(UPSTREAMS),
        "closed-zones": zone_closures_to_json(CLOSURES),
        "feed/rules": CODECS["rules"].encode(RULES),
        "feed/upstreams": CODECS["upstreams"].encode(UPSTREAM),
        "feed/closed-zones": CODECS["closed-zones"].encode(900),
        "table": table_to_json(TABLE),
        "places": places_to_json(PLACES),
        "registration": registration(),
        **{name: unpack_json(payload) for name, payload in payloads.items()},
    }


def main():
    """Print the samples of the version that is imported."""
    doc = {
        "schema": (files("gypsumwind") / "gypsumwind.thrift").read_text(),
        "structs": {name: data.hex() for name, data in structs().items()},
        "documents": documents(),
    }
    json.dump(doc, sys.stdout, indent=1)


if __name__ == "__main__":
    main()
