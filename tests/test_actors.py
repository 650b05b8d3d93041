"""An actor continues after a message whose handling fails."""

from dataclasses import replace

import pytest

from gypsumwind import messages as msg
from gypsumwind.actors import Actor
from gypsumwind.core.crashes import Quarantine
from gypsumwind.core.isolation import IsolationNotice
from gypsumwind.core.membership import Endpoint, Member, State
from gypsumwind.core.records import CONFIG_SCOPE, HEALTH_SCOPE, Record
from gypsumwind.core.restores import ZoneClosures, zone_closures_to_json
from gypsumwind.core.versions import Version
from gypsumwind.payloads import (
    CLOSED_ZONES_KEY,
    HEIR_PREFIX,
    UPSTREAMS_KEY,
    health_record,
)
from gypsumwind.records import RecordsActor
from gypsumwind.snapshots import Snapshots
from gypsumwind.utils import pack_json, wall


class SummingActor(Actor):
    """Adds up numbers, and fails on any other message."""

    def __init__(self):
        super().__init__()
        self.total = 0

    def handle(self, message):
        self.total += message
        return self.total


@pytest.fixture
def started():
    refs = []

    def start(kind, *args):
        refs.append(kind.start(*args))
        return refs[-1]

    yield start
    for ref in refs:
        ref.stop()


def test_failed_message_neither_stops_the_actor_nor_blocks_its_sender(started):
    ref = started(SummingActor)
    ref.tell("no number")
    assert ref.ask("nor this", timeout=5) is None
    assert ref.ask(3, timeout=5) == 3


@pytest.mark.parametrize("payload", [b"", b"\x00", b"[1]", b'{"upstreams": [3]}'])
@pytest.mark.parametrize("key", [HEIR_PREFIX + "x", UPSTREAMS_KEY, "unknown"])
def test_malformed_record_of_another_vm_does_not_stop_the_records_actor(started, key, payload):
    snapshots = Snapshots(Member("v1", "a1", Endpoint("127.0.0.1", 0, 0, 1), 1, State.ALIVE))
    gate = started(SummingActor)
    records = started(RecordsActor, snapshots, "a1", "a", gate, lambda found: None)
    closed = ZoneClosures(Version(0, 5), {"a2": 4})
    good = Record(CLOSED_ZONES_KEY, 5, CONFIG_SCOPE, pack_json(zone_closures_to_json(closed)))
    records.tell(msg.PutRecords((Record(key, 9, CONFIG_SCOPE, payload), good)))
    assert msg.ask(records, msg.GetDigests())
    assert snapshots.closed_zones == closed


def test_record_in_a_scope_of_other_kinds_does_not_stop_gossip(started):
    snapshots = Snapshots(Member("v1", "a1", Endpoint("127.0.0.1", 0, 0, 1), 1, State.ALIVE))
    gate = started(SummingActor)
    records = started(RecordsActor, snapshots, "a1", "a", gate, lambda found: None)
    closed = zone_closures_to_json(ZoneClosures(Version(0, 5), {"a2": 4}))
    notice = health_record(IsolationNotice("v2", True, wall()))
    quarantine = health_record(Quarantine("f", wall()))
    odd = (
        Record(CLOSED_ZONES_KEY, 5, HEALTH_SCOPE, pack_json(closed)),
        replace(notice, scope=CONFIG_SCOPE),
        replace(quarantine, scope=CONFIG_SCOPE),
    )
    records.tell(msg.PutRecords(odd))
    assert msg.ask(records, msg.GetDigests())
    assert snapshots.isolated("v2", wall())
