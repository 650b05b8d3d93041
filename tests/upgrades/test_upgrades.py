"""VMs of two versions beside each other: each reads what the other writes.

`recorded/` holds, by commit, the schema, messages and documents of versions that ran in production.
"""

import json
from pathlib import Path

import pytest
import thriftpy2
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import deserialize

from gypsumwind.core.membership import Ack, Probe
from gypsumwind.core.records import Record
from gypsumwind.core.restores import zone_closures_from_json
from gypsumwind.core.rules import ruleset_from_json
from gypsumwind.core.table import places_from_json, table_from_json
from gypsumwind.core.upstreams import upstreams_from_json
from gypsumwind.direct import CODECS
from gypsumwind.payloads import decode
from gypsumwind.utils import pack_json
from gypsumwind.wire import (
    datagram_from_bytes,
    headroom_from_wire,
    hold_from_wire,
    key_entry_from_wire,
    record_from_wire,
    relay_update_from_wire,
    reply_from_wire,
    thrift,
    unpack,
    versions_from_wire,
)
from tests.upgrades import samples

VERSIONS = sorted((Path(__file__).parent / "recorded").glob("*.json"))
PROTOCOL = TBinaryProtocolFactory()


class Recorded:
    """The samples that another version wrote, and its schema."""

    def __init__(self, path, folder):
        doc = json.loads(path.read_text())
        self.structs = {name: bytes.fromhex(text) for name, text in doc["structs"].items()}
        self.documents = doc["documents"]
        schema = folder / f"recorded_{path.stem}.thrift"
        schema.write_text(doc["schema"])
        self.thrift = thriftpy2.load(str(schema), module_name=f"recorded_{path.stem}_thrift")


@pytest.fixture(scope="module", params=VERSIONS, ids=lambda path: path.stem)
def recorded(request, tmp_path_factory):
    return Recorded(request.param, tmp_path_factory.mktemp("schema"))


def fields(message):
    """Return a struct as plain values, its inner structs too."""
    if isinstance(message, list):
        return [fields(item) for item in message]
    if isinstance(message, dict):
        return {key: fields(value) for key, value in message.items()}
    if hasattr(message, "thrift_spec"):
        return {name: fields(value) for name, value in vars(message).items()}
    return message


def kind_of(name):
    return name.partition("/")[0]


EXPECTED = {
    "Datagram": (None, Probe(9, samples.MEMBER, (samples.MEMBER,), samples.ENDPOINT)),
    "Datagram/ack": (None, Ack(9, samples.MEMBER, (samples.MEMBER,))),
    "Record": (record_from_wire, samples.RECORD),
    "ScopeVersions": (versions_from_wire, samples.VERSIONS),
    "Hold": (hold_from_wire, samples.HOLD),
    "ClaimAnswer": (lambda wire: reply_from_wire(wire.replies[0]), samples.REPLY),
    "VmDigest": (lambda wire: headroom_from_wire(wire.headroom["lookup"]), samples.HEADROOM),
    "ZoneDigest": (lambda wire: headroom_from_wire(wire.headroom["lookup"]), samples.HEADROOM),
    "KeyEntry": (key_entry_from_wire, samples.KEY_ENTRY),
    "RelayNews": (relay_update_from_wire, samples.UPDATE),
}
"""How a struct is read into the type of the core, and the value that was written."""


@pytest.mark.parametrize("name", samples.structs())
def test_struct_of_another_version_is_read(recorded, name):
    data = recorded.structs[name]
    own = unpack(getattr(thrift, kind_of(name)), samples.structs()[name])
    theirs = unpack(getattr(thrift, kind_of(name)), data)
    if name != "RelayNews":
        assert fields(theirs) == fields(own)
    if name not in EXPECTED:
        return
    read, expected = EXPECTED[name]
    assert (read(theirs) if read else datagram_from_bytes(data)) == expected


@pytest.mark.parametrize("name", samples.structs())
def test_another_version_reads_our_struct(recorded, name):
    kind = getattr(recorded.thrift, kind_of(name))
    ours, theirs = (
        fields(deserialize(kind(), data, PROTOCOL))
        for data in (samples.structs()[name], recorded.structs[name])
    )
    if name == "RelayNews":
        assert ours.pop("values") and theirs.pop("values")
    assert ours == theirs


def test_calls_of_another_version_have_the_same_numbers_and_types(recorded):
    """New calls and new fields may come, with numbers of their own."""
    for method in recorded.thrift.Peer.thrift_services:
        for part in ("args", "result"):
            theirs = getattr(recorded.thrift.Peer, f"{method}_{part}").thrift_spec
            ours = getattr(thrift.Peer, f"{method}_{part}").thrift_spec
            assert {n: spec[:2] for n, spec in described(theirs).items()}.items() <= {
                n: spec[:2] for n, spec in described(ours).items()
            }.items()


def described(spec):
    """Return a struct's fields with the names of their types in place of the types."""
    return {number: tuple(map(described_type, field)) for number, field in spec.items()}


def described_type(value):
    if isinstance(value, tuple):
        return tuple(map(described_type, value))
    return value.__name__ if isinstance(value, type) else value


READERS = {
    "rules": (ruleset_from_json, samples.RULES),
    "upstreams": (upstreams_from_json, samples.UPSTREAMS),
    "closed-zones": (zone_closures_from_json, samples.CLOSURES),
    "feed/rules": (CODECS["rules"].decode, samples.RULES),
    "feed/upstreams": (CODECS["upstreams"].decode, samples.UPSTREAM),
    "feed/closed-zones": (CODECS["closed-zones"].decode, 900),
    "table": (table_from_json, samples.TABLE),
    "places": (places_from_json, samples.PLACES),
    "departure": ("departure/i-1", samples.DEPARTURE),
    "rate-limit": ("rate-limit/i-1", samples.RATE_LIMIT),
    "CrashReport": ("crash/f/i-1/1", samples.HEALTH_FINDINGS[0]),
    "Answered": ("answered/f", samples.HEALTH_FINDINGS[1]),
    "Quarantine": ("quarantine/f", samples.HEALTH_FINDINGS[2]),
    "IsolationNotice": ("isolation/vm-1", samples.HEALTH_FINDINGS[3]),
}
"""How a document is read: by a function, or as the payload of a record with a key."""


def read_document(name, doc):
    reader = READERS[name][0]
    if callable(reader):
        return reader(doc)
    return decode(Record(reader, 1, "config", pack_json(doc)))


@pytest.mark.parametrize("name", READERS)
def test_document_of_another_version_is_read(recorded, name):
    assert read_document(name, recorded.documents[name]) == READERS[name][1]


OBJECTS = ("limits",)
"""Fields whose value is an object of its own; other inner mappings have names as keys."""


def with_later_fields(doc):
    """Return a document with a field that this version does not know, in all its objects."""
    if isinstance(doc, list):
        return [with_later_fields(item) for item in doc]
    if not isinstance(doc, dict):
        return doc
    inner = {
        name: with_later_fields(value) if isinstance(value, list) or name in OBJECTS else value
        for name, value in doc.items()
    }
    return {**inner, "of_a_later_version": {"a": 1}}


@pytest.mark.parametrize("name", READERS)
def test_document_of_a_later_version_is_read_without_its_new_fields(name):
    doc = with_later_fields(json.loads(json.dumps(samples.documents()[name])))
    assert read_document(name, doc) == READERS[name][1]


@pytest.mark.parametrize("name", samples.documents())
def test_our_document_has_all_that_another_version_reads_and_no_field_unknown_to_it(recorded, name):
    """The versions up to ca8b0cc take a document with an unknown field for malformed."""
    assert json.loads(json.dumps(samples.documents()[name])) == recorded.documents[name]
