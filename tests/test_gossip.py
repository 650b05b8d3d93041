"""Records that one round of anti-entropy with a peer transfers."""

import random

import pykka
import pytest

from gypsumwind import messages as msg
from gypsumwind.core.membership import Endpoint, Member, State
from gypsumwind.core.records import CONFIG_SCOPE, Record
from gypsumwind.core.restores import ZoneClosures, zone_closures_to_json
from gypsumwind.core.upstreams import UpstreamList, upstreams_to_json
from gypsumwind.core.versions import Version
from gypsumwind.gossip import GossipPolicy, GossipTask
from gypsumwind.payloads import CLOSED_ZONES_KEY, UPSTREAMS_KEY
from gypsumwind.records import RecordsActor
from gypsumwind.settings import read_settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.utils import pack_json

PEER = Endpoint("127.0.0.2", 0, 0, 1)
CFG = read_settings(
    {"vm": "v1", "zone": "a1", "region": "a", "ip": "127.0.0.1", "store_url": "http://127.0.0.1:1"},
    {},
)


def closed(version):
    return Record(
        CLOSED_ZONES_KEY,
        version,
        CONFIG_SCOPE,
        pack_json(zone_closures_to_json(ZoneClosures(Version(0, version)))),
    )


def upstreams(version):
    doc = upstreams_to_json(UpstreamList(Version(0, version), {}))
    return Record(UPSTREAMS_KEY, version, CONFIG_SCOPE, pack_json(doc))


class FakePeer:
    """A peer with its own records; logs the keys of records that it receives and returns."""

    def __init__(self, *records):
        self.records = {record.key: record for record in records}
        self.received, self.asked = [], []

    def compare(self, to, digests):
        return {CONFIG_SCOPE: {key: r.full_version for key, r in self.records.items()}}

    def exchange(self, to, given, wanted):
        self.received += [record.key for record in given]
        keys = [key for part in wanted.values() for key in part]
        self.asked += keys
        return [self.records[key] for key in keys]


class IgnoringGate(pykka.ThreadingActor):
    """A gate actor that ignores all messages."""

    def on_receive(self, message):
        """Ignore the message."""


@pytest.fixture
def sync():
    """Return a function that runs one round with a peer and returns the snapshots."""
    refs = []

    def run(peer, policy=None, own=()):
        snapshots = Snapshots(Member("v1", "a1", PEER, 1, State.ALIVE))
        gate = IgnoringGate.start()
        records = RecordsActor.start(snapshots, "a1", "a", gate, lambda found: None)
        refs.extend([gate, records])
        msg.ask(records, msg.PutRecords(tuple(own)))
        task = GossipTask(CFG, 1, snapshots, records, random.Random(1), policy)
        task._peers = peer
        task.sync(PEER)
        return snapshots

    yield run
    for ref in refs:
        ref.stop()


def test_records_that_this_vm_keeps_up_to_date_itself_are_not_requested(sync):
    peer = FakePeer(upstreams(7), closed(7))
    snapshots = sync(peer, GossipPolicy(self_updated=lambda: {UPSTREAMS_KEY}))
    assert peer.asked == [CLOSED_ZONES_KEY]
    assert snapshots.upstreams.version.revision == 0


def test_vm_without_the_store_gets_all_records_from_its_peer(sync):
    peer = FakePeer(upstreams(7), closed(7))
    snapshots = sync(peer, GossipPolicy(pushes_records=False))
    assert sorted(peer.asked) == sorted([UPSTREAMS_KEY, CLOSED_ZONES_KEY])
    assert snapshots.upstreams.version.revision == 7


@pytest.mark.parametrize("pushes", [True, False])
def test_newer_records_are_pushed_only_if_the_policy_says_so(sync, pushes):
    peer = FakePeer(upstreams(7))
    sync(peer, GossipPolicy(pushes_records=pushes), own=[upstreams(9)])
    assert peer.received == ([UPSTREAMS_KEY] if pushes else [])
    assert peer.asked == []
