"""Thrift messages between daemons and their conversion from and to the types of the core."""

from collections.abc import Iterable, Mapping
from importlib.resources import files
from typing import Any

import thriftpy2
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from gypsumwind.core.admission import Headroom
from gypsumwind.core.idempotency import KeyEntry
from gypsumwind.core.membership import Ack, Endpoint, Member, Probe, State
from gypsumwind.core.ownership import Claim, ClaimReply, Hold
from gypsumwind.core.records import Record
from gypsumwind.core.versions import Version
from gypsumwind.messages import HomeId, HomeState, StoredOutcome
from gypsumwind.relays import RelayUpdate
from gypsumwind.thrift_shape import count_struct_values
from gypsumwind.utils import pack_json, unpack_json

thrift: Any = thriftpy2.load(
    str(files("gypsumwind") / "gypsumwind.thrift"), module_name="gypsumwind_thrift"
)
MAX_NAME_CHARS = 255
"""Longest name of a VM or a zone in a datagram; the members are remembered by them."""

MAX_VALUES = 16384
"""Most values in a record or a datagram."""

_PROTOCOL = TBinaryProtocolFactory()


def pack(message: Any) -> bytes:
    """Encode a Thrift struct."""
    return serialize(message, _PROTOCOL)


def unpack(kind: type, data: bytes) -> Any:
    """Decode a Thrift struct of a type; ValueError if the bytes are malformed."""
    count_struct_values(data, MAX_VALUES)
    try:
        return deserialize(kind(), data, _PROTOCOL)
    except Exception as exc:
        raise ValueError(f"malformed {kind.__name__}: {type(exc).__name__}: {exc}") from exc


def endpoint_to_wire(endpoint: Endpoint) -> Any:
    """Convert an endpoint to Thrift."""
    return thrift.Endpoint(
        endpoint.ip, endpoint.caller_port, endpoint.handoff_port, endpoint.peer_port
    )


def endpoint_from_wire(wire: Any) -> Endpoint:
    """Convert an endpoint from Thrift."""
    return Endpoint(wire.ip, wire.caller_port, wire.handoff_port, wire.peer_port)


def member_to_wire(member: Member) -> Any:
    """Convert a member to Thrift."""
    endpoint = endpoint_to_wire(member.endpoint)
    return thrift.Member(member.vm, member.zone, endpoint, member.incarnation, int(member.state))


def member_from_wire(wire: Any) -> Member:
    """Convert a member from Thrift; ValueError if a name is too long."""
    if len(wire.vm) > MAX_NAME_CHARS or len(wire.zone) > MAX_NAME_CHARS:
        raise ValueError("name of a VM or a zone is too long")
    endpoint = endpoint_from_wire(wire.endpoint)
    return Member(wire.vm, wire.zone, endpoint, wire.incarnation, State(wire.state))


def datagram_to_bytes(message: Probe | Ack) -> bytes:
    """Encode a membership message."""
    target = message.target if isinstance(message, Probe) else None
    return pack(
        thrift.Datagram(
            is_ack=isinstance(message, Ack),
            seq=message.seq,
            sender=member_to_wire(message.sender),
            updates=[member_to_wire(member) for member in message.updates],
            target=endpoint_to_wire(target) if target else None,
        )
    )


def datagram_from_bytes(data: bytes) -> Probe | Ack:
    """Decode a membership message; ValueError if it is malformed."""
    wire = unpack(thrift.Datagram, data)
    try:
        sender = member_from_wire(wire.sender)
        updates = tuple(member_from_wire(member) for member in wire.updates)
        if wire.is_ack:
            return Ack(wire.seq, sender, updates)
        target = endpoint_from_wire(wire.target) if wire.target else None
        return Probe(wire.seq, sender, updates, target)
    except (AttributeError, TypeError) as exc:
        raise ValueError(f"incomplete datagram: {exc}") from exc


def record_to_wire(record: Record) -> Any:
    """Convert a record to Thrift."""
    return thrift.Record(record.key, record.version, record.scope, record.payload, record.era)


def record_from_wire(wire: Any) -> Record:
    """Convert a record from Thrift."""
    payload = wire.payload.encode() if isinstance(wire.payload, str) else wire.payload
    return Record(wire.key, wire.version, wire.scope, payload, wire.era)


def versions_to_wire(scope: str, versions: Mapping[str, Version]) -> Any:
    """Convert the versions of the records of a scope to Thrift; an era of 0 is omitted."""
    eras = {key: version.era for key, version in versions.items() if version.era}
    revisions = {key: version.revision for key, version in versions.items()}
    return thrift.ScopeVersions(scope, revisions, eras)


def versions_from_wire(wire: Any) -> dict[str, Version]:
    """Convert versions from Thrift."""
    eras = wire.eras or {}
    return {key: Version(eras.get(key, 0), number) for key, number in wire.versions.items()}


def hold_to_wire(hold: Hold) -> Any:
    """Convert a hold to Thrift."""
    return thrift.Hold(hold.instance, hold.holder, hold.epoch)


def hold_from_wire(wire: Any) -> Hold:
    """Convert a hold from Thrift."""
    return Hold(wire.instance, wire.holder, wire.epoch)


def claim_to_wire(claim: Claim) -> Any:
    """Convert a claim to Thrift, as the hold that is claimed."""
    return thrift.Hold(claim.instance, claim.claimant, claim.epoch)


def claim_from_wire(wire: Any) -> Claim:
    """Convert a claim from Thrift."""
    return Claim(wire.instance, wire.holder, wire.epoch)


def reply_to_wire(reply: ClaimReply) -> Any:
    """Convert a reply to a claim to Thrift."""
    return thrift.ClaimReply(reply.instance, reply.granted, reply.holder, reply.epoch)


def reply_from_wire(wire: Any) -> ClaimReply:
    """Convert a reply to a claim from Thrift."""
    return ClaimReply(wire.instance, wire.granted, wire.holder, wire.epoch)


def headroom_to_wire(headroom: Headroom) -> Any:
    """Convert a service's headroom to Thrift."""
    return thrift.Headroom(**{name: getattr(headroom, name) for name in Headroom.__slots__})


def headroom_from_wire(wire: Any) -> Headroom:
    """Convert a service's headroom from Thrift."""
    return Headroom(**{name: getattr(wire, name) for name in Headroom.__slots__})


def key_entry_to_wire(entry: KeyEntry[StoredOutcome]) -> Any:
    """Convert a key's entry to Thrift; a request without an outcome may have run."""
    outcome = entry.outcome or StoredOutcome(entry.fingerprint, 0, (), None, ran=False)
    return thrift.KeyEntry(
        entry.key,
        entry.fingerprint,
        entry.expires,
        outcome.ran,
        outcome.status,
        [thrift.Header(name, value) for name, value in outcome.headers],
        outcome.body,
    )


def key_entry_from_wire(wire: Any) -> KeyEntry[StoredOutcome]:
    """Convert a key's entry from Thrift."""
    headers = tuple((header.name, header.value) for header in wire.headers)
    body = wire.body.encode() if isinstance(wire.body, str) else wire.body
    outcome = StoredOutcome(wire.fingerprint, wire.status, headers, body, wire.ran)
    return KeyEntry(wire.key, wire.fingerprint, wire.expires, outcome)


def homes_to_wire(homes: Iterable[HomeId]) -> list[Any]:
    """Convert the homes of keys to Thrift."""
    return [thrift.HomeId(vm, incarnation) for vm, incarnation in homes]


def home_state_from_wire(homes: Iterable[Any], entries: Iterable[Any]) -> HomeState:
    """Convert a stopping home's state, for its heir, from Thrift."""
    return HomeState(
        tuple((home.vm, home.incarnation) for home in homes),
        tuple(key_entry_from_wire(entry) for entry in entries),
    )


def relay_update_to_wire(update: RelayUpdate) -> Any:
    """Convert a relay's update, whose values are JSON documents, to Thrift."""
    values = pack_json(update.values)
    age_ms = int(update.age_s * 1000)
    grace_ms = int(update.grace_s * 1000)
    return thrift.RelayNews(
        update.log,
        update.position,
        update.version.revision,
        age_ms,
        update.whole,
        values,
        grace_ms,
        update.version.era,
    )


def relay_update_from_wire(wire: Any) -> RelayUpdate:
    """Convert a relay's update from Thrift; ValueError if the values are malformed."""
    data = wire.values.encode("latin-1") if isinstance(wire.values, str) else wire.values
    values = unpack_json(data)
    if not isinstance(values, dict):
        raise ValueError("relay update: the values are not a JSON object")
    age_s, grace_s = wire.age_ms / 1000.0, wire.grace_ms / 1000.0
    version = Version(wire.era, wire.revision)
    return RelayUpdate(wire.log, wire.position, version, age_s, wire.whole, values, grace_s)
