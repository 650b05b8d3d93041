import math
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from gypsumwind import dispatchers, feeds
from gypsumwind import messages as msg
from gypsumwind.core.lapses import EXPIRY_GRACE_S, Lease
from gypsumwind.core.membership import Endpoint, Member, State
from gypsumwind.core.records import CONFIG_SCOPE, Record
from gypsumwind.core.upstreams import Upstream, UpstreamList, upstreams_to_json
from gypsumwind.core.versions import Version
from gypsumwind.dispatchers import DispatchActor
from gypsumwind.errors import Code, StoreError
from gypsumwind.feeds import Changes, FeedTask
from gypsumwind.outages import OutageHistory
from gypsumwind.payloads import UPSTREAMS_KEY
from gypsumwind.records import RecordsActor
from gypsumwind.snapshots import Snapshots
from gypsumwind.steering import SteeringSettings
from gypsumwind.utils import pack_json


class ScriptedFeed:
    """A feed that returns or raises scripted results in order."""

    def __init__(self, *results):
        self.results = list(results)
        self.waits = []

    def _next(self):
        result = self.results.pop(0)
        if isinstance(result, StoreError):
            raise result
        return result

    def read(self):
        return self._next()

    def changes(self, after, wait_s):
        self.waits.append((after, wait_s))
        return self._next()


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    for name in ("monotonic", "wall"):
        for module in (feeds, dispatchers):
            monkeypatch.setattr(module, name, lambda: now[0], raising=False)
    return now


def at(revision, era=0):
    return Version(era, revision)


def make_task(feed):
    published = []
    feed_task = FeedTask(
        "t",
        feed,
        0.5,
        lambda v, version, grace: published.append((v, version.revision)),
        random.Random(1),
    )
    return feed_task, published


UNAVAILABLE = StoreError(Code.STORE_UNAVAILABLE, "down")
HISTORY_GONE = StoreError(Code.STORE_HISTORY_GONE, "gone")


def test_changes_are_merged_and_published_only_if_the_list_differs(clock):
    feed_task, published = make_task(
        ScriptedFeed(
            Changes({"a": 1}, at(1)),
            Changes({"b": 2}, at(2)),
            Changes({"b": 2}, at(3)),
            Changes({}, at(4)),
        )
    )
    for _ in range(4):
        feed_task.step()
    assert published == [({"a": 1}, 1), ({"a": 1, "b": 2}, 2)]


def test_empty_first_list_is_published(clock):
    feed_task, published = make_task(ScriptedFeed(Changes({}, at(1))))
    feed_task.step()
    assert published == [({}, 1)]


def test_missing_history_causes_a_full_read_that_drops_missing_entries(clock):
    feed_task, published = make_task(
        ScriptedFeed(Changes({"a": 1, "b": 1}, at(1)), HISTORY_GONE, Changes({"b": 1}, at(9)))
    )
    for _ in range(3):
        feed_task.step()
    assert published[-1] == ({"b": 1}, 9)


def test_entries_whose_lease_expired_in_a_store_outage_have_a_grace_period(clock):
    feed = ScriptedFeed(
        Changes(upstreams("a", "b"), at(1)),
        UNAVAILABLE,
        Changes({"a": None, "b": None}, at(5)),
        Changes(upstreams("a"), at(6)),
        Changes({}, at(7)),
    )
    vm = Vm("vm")
    feed_task = FeedTask("t", feed, 0.5, vm.put, random.Random(1))
    for _ in range(4):
        feed_task.step()
        assert vm.instance_ids == {"a", "b"}
    clock[0] += EXPIRY_GRACE_S
    feed_task.step()
    assert vm.instance_ids == {"a"}


@pytest.mark.parametrize("silence_s", [0.5, 2.0])
@pytest.mark.parametrize("gone", [False, True], ids=["changes", "history-gone"])
def test_entry_removed_after_a_watch_was_cut_off_is_dropped_at_once(clock, silence_s, gone):
    """Guards against instances that left being used for a grace period (DRAIN)."""
    left = Changes(upstreams("a"), at(2)) if gone else Changes({"b": None}, at(2))
    results = [Changes(upstreams("a", "b"), at(1)), UNAVAILABLE, *[HISTORY_GONE] * gone, left]
    vm = Vm("vm")
    outages = OutageHistory(Lease(1.5, 3))
    feed_task = FeedTask("t", ScriptedFeed(*results), 0.5, vm.put, random.Random(1), None, outages)
    feed_task.step()
    clock[0] += silence_s
    for _ in results[1:]:
        feed_task.step()
    assert vm.instance_ids == {"a"}


def test_entry_whose_lease_expired_is_kept_though_another_feed_noticed_the_outage(clock):
    """The feed's own watch was ended when another call was answered after the outage."""
    vm = Vm("vm")
    outages = OutageHistory(Lease(1.5, 3))
    results = [Changes(upstreams("a", "b"), at(1)), HISTORY_GONE, Changes(upstreams("a"), at(2))]
    feed_task = FeedTask("t", ScriptedFeed(*results), 0.5, vm.put, random.Random(1), None, outages)
    other, _ = make_task(ScriptedFeed(UNAVAILABLE, Changes({}, at(2))))
    other._outages = outages
    feed_task.step()
    clock[0] += 3.0
    other.step()
    other.step()
    feed_task.step()
    feed_task.step()
    assert vm.instance_ids == {"a", "b"}
    clock[0] += EXPIRY_GRACE_S
    assert vm.instance_ids == {"a"}


def test_removal_without_an_outage_takes_effect_at_once(clock):
    feed_task, published = make_task(
        ScriptedFeed(Changes({"a": 1}, at(1)), Changes({"a": None}, at(2)))
    )
    feed_task.step()
    feed_task.step()
    assert published[-1] == ({}, 2)


def test_failed_calls_are_retried_with_backoff_and_lose_no_entry(clock):
    feed_task, published = make_task(
        ScriptedFeed(
            Changes({"a": 1}, at(1)),
            UNAVAILABLE,
            UNAVAILABLE,
            UNAVAILABLE,
            Changes({"c": 3}, at(2)),
        )
    )
    pauses = []
    for _ in range(5):
        feed_task.step()
        pauses.append(feed_task.pause_s())
    assert pauses[2] > pauses[0] and pauses[4] == 0.5
    assert published[-1] == ({"a": 1, "c": 3}, 2)


def test_changes_that_peers_reported_during_an_outage_are_not_reverted_after_it(clock):
    """A VM cut off from the store was informed by a peer that b is draining and a is gone."""
    vm = Vm("vm")
    feed = ScriptedFeed(
        Changes(upstreams("a", "b"), at(47)), UNAVAILABLE, HISTORY_GONE, Changes({}, at(53))
    )
    feed_task = FeedTask("t", feed, 0.5, vm.put, random.Random(1))
    feed_task.step()
    vm.put({"b": replace(upstreams("b")["b"], draining=True)}, at(51), 0.0)
    for _ in range(3):
        feed_task.step()
    assert vm.instance_ids == {"b"} and vm.instances["b"].marked_draining


def test_list_that_peers_reported_in_an_outage_is_replaced_after_it(clock):
    """An instance is missing in between, so that the feed itself sees no change."""
    feed = ScriptedFeed(Changes(upstreams("a", "b"), at(1)), UNAVAILABLE, Changes({}, at(5)))
    vm = Vm("vm")
    feed_task = FeedTask("t", feed, 0.5, vm.put, random.Random(1), vm.version_in_force)
    feed_task.step()
    feed_task.step()
    vm.put(upstreams("a"), at(3), 0.0)
    assert vm.instance_ids == {"a"}
    feed_task.step()
    assert vm.instance_ids == {"a", "b"}


def test_later_list_of_a_peer_is_kept_until_the_feed_s_own_answer_is_later(clock):
    results = [Changes(upstreams("a", "b"), at(1)), Changes({}, at(3)), Changes({}, at(5))]
    vm = Vm("vm")
    feed = ScriptedFeed(*results)
    feed_task = FeedTask("t", feed, 0.5, vm.put, random.Random(1), vm.version_in_force)
    feed_task.step()
    vm.put(upstreams("a"), at(4), 0.0)
    feed_task.step()
    assert vm.instance_ids == {"a"}
    feed_task.step()
    assert vm.instance_ids == {"a", "b"}


def test_list_that_no_peer_replaced_is_published_once(clock):
    published = []
    results = [Changes({"a": 1}, at(1)), Changes({}, at(2)), Changes({}, at(3))]
    feed_task = FeedTask(
        "t",
        ScriptedFeed(*results),
        0.5,
        lambda values, version, grace_s: published.append(version),
        random.Random(1),
        lambda: published[-1] if published else Version(),
    )
    for _ in range(3):
        feed_task.step()
    assert published == [at(1)]


def test_feed_is_fresh_for_a_while_after_an_answer_and_not_during_an_outage(clock):
    feed_task, _ = make_task(
        ScriptedFeed(Changes({}, at(1)), UNAVAILABLE, UNAVAILABLE, Changes({}, at(2)))
    )
    assert not feed_task.fresh
    feed_task.step()
    assert feed_task.fresh
    clock[0] += 1.0
    feed_task.step()
    assert feed_task.fresh
    clock[0] += 1.5
    feed_task.step()
    assert not feed_task.fresh
    feed_task.step()
    assert feed_task.fresh


def upstreams(*names):
    return {n: Upstream(n, 1, "s", "127.0.0.1", 1, "a1", 4) for n in names}


class Vm:
    """A VM's records and dispatcher; put() applies a list to this VM and to the other VMs."""

    def __init__(self, name, *others):
        self.snapshots = Snapshots(
            Member(name, "a1", Endpoint("127.0.0.1", 0, 0, 1), 1, State.ALIVE)
        )
        gate = SimpleNamespace(tell=lambda message: self._dispatch.on_receive(message))
        self._records = RecordsActor(self.snapshots, "a1", "a", gate, lambda records: None)
        steering = SteeringSettings({"a1": "a"}, 0.2, 60.0, 10.0, 1.5, 5.0, 6.0, 2.0)
        cfg = SimpleNamespace(vm=name, zone="a1")
        self._dispatch = DispatchActor(cfg, steering, self.snapshots, random.Random(1))
        self._others = others

    def put(self, values, version, grace_s):
        found = UpstreamList(version, values, feeds.monotonic() + grace_s)
        doc = pack_json(upstreams_to_json(found))
        record = Record(UPSTREAMS_KEY, version.revision, CONFIG_SCOPE, doc, version.era)
        for vm in (self, *self._others):
            vm._records._put((record,))

    def version_in_force(self):
        return self.snapshots.upstreams.version

    @property
    def instances(self):
        """The dispatcher's state of each instance, after a tick."""
        self._dispatch.on_receive(msg.Tick())
        return self._dispatch._dispatcher.instances

    @property
    def instance_ids(self):
        return set(self.instances)


def vm_cut_off_from_store(clock, *later):
    """Return a feed task, its VM (cut off while "i-2" was removed) and a VM with the removal."""
    left = upstreams("i-1")
    informed = Vm("knows")
    cut = Vm("cut", informed)
    results = [
        Changes(upstreams("i-1", "i-2"), at(1)),
        UNAVAILABLE,
        HISTORY_GONE,
        Changes(left, at(3)),
        *later,
    ]
    feed_task = FeedTask("t", ScriptedFeed(*results), 0.5, cut.put, random.Random(1))
    feed_task.step()
    informed.put(left, at(2), 0.0)
    for _ in range(3):
        feed_task.step()
    return feed_task, cut, informed


def test_entries_kept_for_the_grace_period_do_not_return_to_vms_that_dropped_them(clock):
    assert vm_cut_off_from_store(clock)[2].instance_ids == {"i-1"}


def test_entries_kept_for_the_grace_period_are_dropped_after_it_without_any_change(clock):
    feed_task, cut, _ = vm_cut_off_from_store(clock, Changes({}, at(3)))
    assert cut.instance_ids == {"i-1", "i-2"}
    clock[0] += EXPIRY_GRACE_S
    feed_task.step()
    assert cut.instance_ids == {"i-1"}


def restored_vm(clock, *later, before=("a", "b"), copy=("a", "b")):
    """Return a feed task and its VM, whose store was restored from a backup with another list."""
    vm = Vm("vm")
    results = [
        Changes(upstreams(*before), at(10_000)),
        HISTORY_GONE,
        Changes(upstreams(*copy), at(9_700, era=1)),
        *later,
    ]
    feed_task = FeedTask("t", ScriptedFeed(*results), 0.5, vm.put, random.Random(1))
    for _ in range(3):
        feed_task.step()
    return feed_task, vm


def test_changes_after_a_restore_apply_despite_their_lower_revisions(clock):
    feed_task, vm = restored_vm(clock, Changes({"c": upstreams("c")["c"]}, at(9_701, era=1)))
    feed_task.step()
    assert vm.instance_ids == {"a", "b", "c"}


def test_entries_that_a_restore_lost_have_a_grace_period_to_be_written_again(clock):
    feed_task, vm = restored_vm(clock, Changes(upstreams("b"), at(9_705, era=1)), copy=("a",))
    assert vm.instance_ids == {"a", "b"}
    feed_task.step()
    clock[0] += EXPIRY_GRACE_S
    assert vm.instance_ids == {"a", "b"}


def test_entries_that_are_not_written_again_are_dropped_after_the_grace_period(clock):
    _, vm = restored_vm(clock, copy=("a",))
    clock[0] += EXPIRY_GRACE_S
    assert vm.instance_ids == {"a"}


def vm_with_departure_before_restore(clock, restored, *later):
    """Return a feed task and its VM; "b" drains and is removed before the store is restored."""
    vm = Vm("vm")
    left = {"a": upstreams("a")["a"], "b": replace(upstreams("b")["b"], draining=True)}
    results = [
        Changes(upstreams("a", "b"), at(9_600)),
        Changes(left, at(9_800)),
        Changes({"b": None}, at(9_900)),
        HISTORY_GONE,
        Changes(restored, at(9_700, era=1)),
        *later,
    ]
    feed_task = FeedTask("t", ScriptedFeed(*results), 0.5, vm.put, random.Random(1))
    return feed_task, vm


@pytest.mark.parametrize("changes_seen", [[0, 1], [0, 1, 2]])
def test_departed_instance_stays_excluded_though_a_restored_store_lists_it(clock, changes_seen):
    feed_task, vm = vm_with_departure_before_restore(clock, upstreams("a", "b"))
    feed_task._feed.results = [feed_task._feed.results[n] for n in (*changes_seen, 3, 4)]
    for _ in range(len(changes_seen) + 2):
        feed_task.step()
    assert not vm.instances["b"].available and vm.instances["a"].available
    clock[0] += 60.0
    assert not vm.instances["b"].available


def test_departed_instance_is_used_after_a_restore_once_it_has_restarted(clock):
    again = replace(upstreams("b")["b"], incarnation=2)
    feed_task, vm = vm_with_departure_before_restore(
        clock, upstreams("a", "b"), Changes({"b": again}, at(9_710, era=1))
    )
    for _ in range(6):
        feed_task.step()
    assert vm.instances["b"].available


def test_earlier_incarnation_in_a_restored_store_does_not_replace_the_current_one(clock):
    vm = Vm("vm")
    new = {"a": replace(upstreams("a")["a"], incarnation=7, port=2)}
    results = [Changes(new, at(9_900)), HISTORY_GONE, Changes(upstreams("a"), at(9_700, era=1))]
    feed_task = FeedTask("t", ScriptedFeed(*results), 0.5, vm.put, random.Random(1))
    for _ in range(3):
        feed_task.step()
    assert vm.instances["a"].upstream.incarnation == 7


def test_list_of_an_earlier_era_is_ignored(clock):
    """A lagging VM still sends the list from before the restore, at a higher revision."""
    _, vm = restored_vm(clock, before=("a", "b"), copy=("a", "c"))
    vm.put(upstreams("b"), at(10_001), 0.0)
    clock[0] += EXPIRY_GRACE_S
    assert vm.instance_ids == {"a", "c"}


def test_instance_whose_lease_only_expired_is_used_again_after_a_restore(clock):
    """During an outage "b" could not renew its entry; the store was then restored."""
    vm = Vm("vm")
    results = [
        Changes(upstreams("a", "b"), at(9_600)),
        UNAVAILABLE,
        Changes({"b": None}, at(9_800)),
        HISTORY_GONE,
        Changes(upstreams("a", "b"), at(9_700, era=1)),
    ]
    feed_task = FeedTask("t", ScriptedFeed(*results), 0.5, vm.put, random.Random(1))
    for _ in range(5):
        feed_task.step()
    assert vm.instance_ids == {"a", "b"} and vm.instances["b"].available


def test_first_list_after_a_restore_is_published_though_it_is_the_same(clock):
    """Otherwise a follower takes a later change for a part of the backup (EVAC)."""
    results = [Changes({"a": 1}, at(9)), Changes({}, at(7, era=1)), Changes({}, at(8, era=1))]
    feed_task, published = make_task(ScriptedFeed(*results))
    for _ in range(3):
        feed_task.step()
    assert published == [({"a": 1}, 9), ({"a": 1}, 7)]


def test_logs_tell_how_long_a_feed_had_no_answer_and_how_old_its_source_was(clock, monkeypatch):
    lines = []

    def record(event, **fields):
        lines.append((event, fields))

    monkeypatch.setattr(feeds, "log", SimpleNamespace(info=record, warning=record))
    feed_task, _ = make_task(
        ScriptedFeed(Changes({}, at(1)), UNAVAILABLE, Changes({"a": 1}, at(2), age_s=1.5))
    )
    for _ in range(3):
        feed_task.step()
        clock[0] += 7.0
    assert [(event, fields["silent_s"], fields.get("age_s")) for event, fields in lines] == [
        ("list-changed", math.inf, 0.0),
        ("store-lost", 7.0, None),
        ("store-regained", 14.0, None),
        ("list-changed", 14.0, 1.5),
    ]
