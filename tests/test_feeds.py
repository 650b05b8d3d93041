import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from gypsumwind import dispatchers, feeds
from gypsumwind import messages as msg
from gypsumwind.board import Board
from gypsumwind.core.lapses import LAPSE_GRACE_S
from gypsumwind.core.membership import Endpoint, Member, State
from gypsumwind.core.records import CONFIG_SCOPE, Record
from gypsumwind.core.upstreams import Upstream, UpstreamList, upstreams_to_json
from gypsumwind.core.versions import Version
from gypsumwind.dispatchers import DispatchActor
from gypsumwind.errors import Code, StoreError
from gypsumwind.feeds import Changes, FeedTask
from gypsumwind.payloads import UPSTREAMS_KEY
from gypsumwind.records import RecordsActor
from gypsumwind.steering import SteeringSettings
from gypsumwind.utils import pack_json


class ScriptedFeed:
    """A feed that answers from a list of results."""

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


def task(feed):
    published = []
    made = FeedTask(
        "t",
        feed,
        0.5,
        lambda v, version, grace: published.append((v, version.revision)),
        random.Random(1),
    )
    return made, published


UNAVAILABLE = StoreError(Code.STORE_UNAVAILABLE, "down")
HISTORY_GONE = StoreError(Code.STORE_HISTORY_GONE, "gone")


def test_changes_are_added_up_and_published_only_if_they_change_anything(clock):
    made, published = task(
        ScriptedFeed(
            Changes({"a": 1}, at(1)),
            Changes({"b": 2}, at(2)),
            Changes({"b": 2}, at(3)),
            Changes({}, at(4)),
        )
    )
    for _ in range(4):
        made.step()
    assert published == [({"a": 1}, 1), ({"a": 1, "b": 2}, 2)]


def test_empty_first_list_is_published(clock):
    made, published = task(ScriptedFeed(Changes({}, at(1))))
    made.step()
    assert published == [({}, 1)]


def test_gone_history_leads_to_a_new_list_that_drops_what_is_missing(clock):
    made, published = task(
        ScriptedFeed(Changes({"a": 1, "b": 1}, at(1)), HISTORY_GONE, Changes({"b": 1}, at(9)))
    )
    for _ in range(3):
        made.step()
    assert published[-1] == ({"b": 1}, 9)


def test_entries_that_lapsed_while_the_store_was_away_have_time_to_return(clock):
    feed = ScriptedFeed(
        Changes(ups("a", "b"), at(1)),
        UNAVAILABLE,
        Changes({"a": None, "b": None}, at(5)),
        Changes(ups("a"), at(6)),
        Changes({}, at(7)),
    )
    vm = Vm("vm")
    made = FeedTask("t", feed, 0.5, vm.put, random.Random(1))
    for _ in range(4):
        made.step()
        assert vm.known == {"a", "b"}
    clock[0] += LAPSE_GRACE_S
    made.step()
    assert vm.known == {"a"}


def test_removal_in_calm_times_counts_at_once(clock):
    made, published = task(ScriptedFeed(Changes({"a": 1}, at(1)), Changes({"a": None}, at(2))))
    made.step()
    made.step()
    assert published[-1] == ({}, 2)


def test_failures_are_repeated_with_a_longer_pause_and_lose_nothing(clock):
    made, published = task(
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
        made.step()
        pauses.append(made.pause_s())
    assert pauses[2] > pauses[0] and pauses[4] == 0.5
    assert published[-1] == ({"a": 1, "c": 3}, 2)


def test_what_peers_told_meanwhile_does_not_come_back_after_a_cut(clock):
    """A VM cut off from the store learnt from a peer that b is leaving and a is gone."""
    vm = Vm("vm")
    feed = ScriptedFeed(
        Changes(ups("a", "b"), at(47)), UNAVAILABLE, HISTORY_GONE, Changes({}, at(53))
    )
    made = FeedTask("t", feed, 0.5, vm.put, random.Random(1))
    made.step()
    vm.put({"b": replace(ups("b")["b"], draining=True)}, at(51), 0.0)
    for _ in range(3):
        made.step()
    assert vm.known == {"b"} and vm.lanes["b"].leaving


def test_feed_is_fresh_for_a_while_after_an_answer_and_not_while_the_store_is_away(clock):
    made, _ = task(ScriptedFeed(Changes({}, at(1)), UNAVAILABLE, UNAVAILABLE, Changes({}, at(2))))
    assert not made.fresh
    made.step()
    assert made.fresh
    clock[0] += 1.0
    made.step()
    assert made.fresh
    clock[0] += 1.5
    made.step()
    assert not made.fresh
    made.step()
    assert made.fresh


def ups(*names):
    return {n: Upstream(n, 1, "s", "127.0.0.1", 1, "a1", 4) for n in names}


class Vm:
    """A VM's records and dispatcher; its feed puts a list in, and spreads it to other VMs."""

    def __init__(self, name, *others):
        self.board = Board(Member(name, "a1", Endpoint("127.0.0.1", 0, 0, 1), 1, State.ALIVE))
        gate = SimpleNamespace(tell=lambda message: self._dispatch.on_receive(message))
        self._records = RecordsActor(self.board, "a1", "a", gate, lambda records: None)
        steering = SteeringSettings({"a1": "a"}, 0.2, 60.0, 10.0, 1.5, 5.0, 6.0, 2.0)
        cfg = SimpleNamespace(vm=name, zone="a1")
        self._dispatch = DispatchActor(cfg, steering, self.board, random.Random(1))
        self._others = others

    def put(self, values, version, grace_s):
        found = UpstreamList(version, values, feeds.monotonic() + grace_s)
        doc = pack_json(upstreams_to_json(found))
        record = Record(UPSTREAMS_KEY, version.revision, CONFIG_SCOPE, doc, version.era)
        for vm in (self, *self._others):
            vm._records._put((record,))

    @property
    def lanes(self):
        """What the VM knows of each instance, once its clock has ticked."""
        self._dispatch.on_receive(msg.Tick())
        return self._dispatch._dispatcher.lanes

    @property
    def known(self):
        return set(self.lanes)


def vm_cut_off_from_store(clock, *later):
    """Return two VMs: one that was cut off while "i-2" left, and one that knows of it."""
    left = ups("i-1")
    knows = Vm("knows")
    cut = Vm("cut", knows)
    results = [
        Changes(ups("i-1", "i-2"), at(1)),
        UNAVAILABLE,
        HISTORY_GONE,
        Changes(left, at(3)),
        *later,
    ]
    made = FeedTask("t", ScriptedFeed(*results), 0.5, cut.put, random.Random(1))
    made.step()
    knows.put(left, at(2), 0.0)
    for _ in range(3):
        made.step()
    return made, cut, knows


def test_what_a_vm_keeps_after_it_lost_the_store_is_not_given_back_to_those_who_know_better(clock):
    assert vm_cut_off_from_store(clock)[2].known == {"i-1"}


def test_what_a_vm_keeps_after_it_lost_the_store_is_dropped_in_time_though_nothing_changes(clock):
    made, cut, _ = vm_cut_off_from_store(clock, Changes({}, at(3)))
    assert cut.known == {"i-1", "i-2"}
    clock[0] += LAPSE_GRACE_S
    made.step()
    assert cut.known == {"i-1"}


def restored_vm(clock, *later, before=("a", "b"), copy=("a", "b")):
    """Return a VM that knew of instances when its store came back from a copy that lists others."""
    vm = Vm("vm")
    results = [
        Changes(ups(*before), at(10_000)),
        HISTORY_GONE,
        Changes(ups(*copy), at(9_700, era=1)),
        *later,
    ]
    made = FeedTask("t", ScriptedFeed(*results), 0.5, vm.put, random.Random(1))
    for _ in range(3):
        made.step()
    return made, vm


def test_changes_after_a_restore_count_though_their_revisions_are_lower(clock):
    made, vm = restored_vm(clock, Changes({"c": ups("c")["c"]}, at(9_701, era=1)))
    made.step()
    assert vm.known == {"a", "b", "c"}


def test_entries_that_a_restored_store_has_lost_have_time_to_be_written_again(clock):
    made, vm = restored_vm(clock, Changes(ups("b"), at(9_705, era=1)), copy=("a",))
    assert vm.known == {"a", "b"}
    made.step()
    clock[0] += LAPSE_GRACE_S
    assert vm.known == {"a", "b"}


def test_entries_that_are_not_written_again_are_dropped_in_time(clock):
    _, vm = restored_vm(clock, copy=("a",))
    clock[0] += LAPSE_GRACE_S
    assert vm.known == {"a"}


def gone_before_restore(clock, restored, *later):
    """ "b" leaves, by its list or by its state, before the store is restored."""
    vm = Vm("vm")
    left = {"a": ups("a")["a"], "b": replace(ups("b")["b"], draining=True)}
    results = [
        Changes(ups("a", "b"), at(9_600)),
        Changes(left, at(9_800)),
        Changes({"b": None}, at(9_900)),
        HISTORY_GONE,
        Changes(restored, at(9_700, era=1)),
        *later,
    ]
    made = FeedTask("t", ScriptedFeed(*results), 0.5, vm.put, random.Random(1))
    return made, vm


@pytest.mark.parametrize("told", [[0, 1], [0, 1, 2]])
def test_instance_that_left_stays_out_though_a_restored_store_lists_it(clock, told):
    made, vm = gone_before_restore(clock, ups("a", "b"))
    made._feed.results = [made._feed.results[n] for n in (*told, 3, 4)]
    for _ in range(len(told) + 2):
        made.step()
    assert not vm.lanes["b"].listed and vm.lanes["a"].listed
    clock[0] += 60.0
    assert not vm.lanes["b"].listed


def test_instance_that_left_is_back_after_a_restore_once_it_has_started_anew(clock):
    again = replace(ups("b")["b"], incarnation=2)
    made, vm = gone_before_restore(clock, ups("a", "b"), Changes({"b": again}, at(9_710, era=1)))
    for _ in range(6):
        made.step()
    assert vm.lanes["b"].listed


def test_earlier_start_that_a_restored_store_lists_does_not_replace_the_one_in_force(clock):
    vm = Vm("vm")
    new = {"a": replace(ups("a")["a"], incarnation=7, port=2)}
    results = [Changes(new, at(9_900)), HISTORY_GONE, Changes(ups("a"), at(9_700, era=1))]
    made = FeedTask("t", ScriptedFeed(*results), 0.5, vm.put, random.Random(1))
    for _ in range(3):
        made.step()
    assert vm.lanes["a"].upstream.incarnation == 7


def test_list_of_an_earlier_era_replaces_nothing(clock):
    """A VM that lags still has the list of before the restore, at a higher revision."""
    _, vm = restored_vm(clock, before=("a", "b"), copy=("a", "c"))
    vm.put(ups("b"), at(10_001), 0.0)
    clock[0] += LAPSE_GRACE_S
    assert vm.known == {"a", "c"}


def test_instances_that_lapsed_only_are_taken_back_after_a_restore(clock):
    """The store was away, "b" could not renew its entry, and two restores came in a row."""
    vm = Vm("vm")
    results = [
        Changes(ups("a", "b"), at(9_600)),
        UNAVAILABLE,
        Changes({"b": None}, at(9_800)),
        HISTORY_GONE,
        Changes(ups("a", "b"), at(9_700, era=1)),
    ]
    made = FeedTask("t", ScriptedFeed(*results), 0.5, vm.put, random.Random(1))
    for _ in range(5):
        made.step()
    assert vm.known == {"a", "b"} and vm.lanes["b"].listed
