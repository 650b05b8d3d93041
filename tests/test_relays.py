"""Relays and their followers: whatever fails, a follower ends with the list of the store."""

import random
import threading

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumwind import feeds, followers, relays
from gypsumwind.board import Board, MembersView
from gypsumwind.core.delegates import delegates
from gypsumwind.core.membership import Endpoint, Member, State
from gypsumwind.errors import Code, StoreError
from gypsumwind.feeds import Changes, FeedTask
from gypsumwind.followers import SKIP_S, RelayedFeed, Zone
from gypsumwind.peers import PeerError
from gypsumwind.relays import RELAY_AGE_S, Codec, RelayHub, RelayLog
from gypsumwind.wire import news_from_wire, news_to_wire, pack, thrift, unpack

CODECS = {"t": Codec(lambda value: [value], lambda doc: doc[0])}
VMS = [f"vm-{n}" for n in range(5)]
PLACES = {vm: Endpoint(f"127.0.0.{n}", 0, 0, 1) for n, vm in enumerate(VMS, 1)}


class Clock:
    """The clock of the modules under test."""

    def __init__(self):
        self.now = 1000.0
        self._was = [(m, m.monotonic) for m in (feeds, followers, relays)]
        for module, _ in self._was:
            module.monotonic = lambda: self.now

    def restore(self):
        for module, was in self._was:
            module.monotonic = was


@pytest.fixture
def clock():
    made = Clock()
    yield made
    made.restore()


class Store:
    """The platform's store: a list with a history of changes."""

    def __init__(self):
        self.values, self.history, self.revision = {}, [], 1
        self.calls = 0

    def set(self, name, value):
        self.revision += 1
        self.values = {n: v for n, v in {**self.values, name: value}.items() if v is not None}
        self.history.append((self.revision, name, value))


class StoreFeed:
    """A VM's way to the store, which may be cut."""

    def __init__(self, store):
        self.store, self.cut = store, False

    def read(self):
        self._call()
        return Changes(dict(self.store.values), self.store.revision)

    def changes(self, after, wait_s):
        self._call()
        found = {name: value for revision, name, value in self.store.history if revision > after}
        return Changes(found, self.store.revision)

    def _call(self):
        if self.cut:
            raise StoreError(Code.STORE_UNAVAILABLE, "cut")
        self.store.calls += 1


class Vm:
    """One VM of the zone with its feed task."""

    def __init__(self, fleet, name, boot=1):
        self.own = StoreFeed(fleet.store)
        self.hub = RelayHub(boot, CODECS)
        self.known, self.revisions = {}, []
        me = Member(name, "a1", PLACES[name], boot, State.ALIVE)
        board = Board(me)
        others = {vm: Member(vm, "a1", PLACES[vm], 1, State.ALIVE) for vm in VMS if vm != name}
        board.members = MembersView(me, others, {})
        feed = RelayedFeed("t", self.own, Zone(name, "a1", board), self.hub, fleet.follow, True)
        self.task = FeedTask("t", feed, 0.5, self._publish, random.Random(1))

    def _publish(self, values, revision):
        self.hub.put("t", values, revision)
        self.known = values
        self.revisions.append(revision)


class FakeFleet:
    """A zone of five VMs, two of them delegates, that reach each other unless cut."""

    def __init__(self):
        self.store = Store()
        self.unreachable = set()
        self.delegates = delegates("a1", VMS)
        self.vms = {vm: Vm(self, vm) for vm in VMS}
        self.follower = next(vm for vm in VMS if vm not in self.delegates)
        self.boots = 1

    def follow(self, to, feed, log, position, wait_s):
        vm = next(name for name, place in PLACES.items() if place == to)
        if vm in self.unreachable:
            raise PeerError("cut")
        news = self.vms[vm].hub.follow(feed, log, position, 0.0)
        return news_from_wire(news_to_wire(news))

    def restart(self, vm):
        self.boots += 1
        self.vms[vm] = Vm(self, vm, self.boots)

    def step(self, *names):
        for name in names or [*self.delegates, *(v for v in VMS if v not in self.delegates)]:
            self.vms[name].task.step()


def test_only_one_delegate_calls_the_store_and_all_learn_what_changes(clock):
    fleet = FakeFleet()
    fleet.store.set("a", 1)
    fleet.step()
    fleet.store.set("b", 2)
    fleet.store.set("a", None)
    fleet.store.calls = 0
    fleet.step()
    assert {tuple(vm.known.items()) for vm in fleet.vms.values()} == {(("b", 2),)}
    assert fleet.store.calls == 1


def test_second_delegate_takes_the_place_of_the_first(clock):
    fleet = FakeFleet()
    fleet.step()
    first, second = fleet.delegates
    fleet.unreachable = {first}
    fleet.store.set("a", 1)
    fleet.step(second)
    fleet.store.calls = 0
    fleet.step(*(vm for vm in VMS if vm not in fleet.delegates))
    assert {tuple(vm.known) for n, vm in fleet.vms.items() if n != first} == {("a",)}
    assert fleet.store.calls == 0


@pytest.mark.parametrize("fault", ["unreachable", "silent"])
def test_follower_without_a_sound_delegate_follows_the_store_itself(clock, fault):
    fleet = FakeFleet()
    fleet.step()
    if fault == "unreachable":
        fleet.unreachable = set(fleet.delegates)
    clock.now += RELAY_AGE_S
    fleet.store.set("a", 1)
    fleet.step(fleet.follower)
    assert fleet.vms[fleet.follower].known == {"a": 1}


def test_follower_returns_to_a_delegate_that_is_sound_again(clock):
    fleet = FakeFleet()
    fleet.unreachable = set(fleet.delegates)
    fleet.step()
    fleet.unreachable = set()
    clock.now += SKIP_S
    fleet.store.set("a", 1)
    fleet.step(*fleet.delegates)
    fleet.store.calls = 0
    fleet.step(fleet.follower)
    assert fleet.vms[fleet.follower].known == {"a": 1} and fleet.store.calls == 0


def test_entry_that_a_delegate_keeps_for_a_while_is_not_kept_for_good(clock):
    """A delegate keeps what lapsed while the store was away; its follower then loses it."""
    fleet = FakeFleet()
    fleet.store.set("a", 1)
    fleet.step()
    for vm in fleet.delegates:
        fleet.vms[vm].own.cut = True
    fleet.step(*fleet.delegates)
    fleet.store.set("a", None)
    fleet.store.set("b", 2)
    for vm in fleet.delegates:
        fleet.vms[vm].own.cut = False
    fleet.step()
    assert fleet.vms[fleet.follower].known == {"a": 1, "b": 2}
    fleet.unreachable = set(fleet.delegates)
    fleet.step(fleet.follower)
    assert fleet.vms[fleet.follower].known == {"b": 2}


def test_delegate_that_has_just_started_hands_on_no_empty_list(clock):
    fleet = FakeFleet()
    fleet.store.set("a", 1)
    fleet.step()
    for vm in fleet.delegates:
        fleet.restart(vm)
        fleet.vms[vm].hub.heard()
    fleet.step(fleet.follower)
    assert fleet.vms[fleet.follower].known == {"a": 1}


def test_age_of_a_delegate_that_never_heard_fits_the_wire_on_a_machine_up_for_long(clock):
    clock.now = 4e6
    hub = RelayHub(1, CODECS)
    hub.put("t", {"a": 1}, 1)
    news = news_from_wire(unpack(thrift.RelayNews, pack(news_to_wire(hub.follow("t", 0, 0, 0.0)))))
    assert news.age_s > RELAY_AGE_S and news.values == {"a": [1]}


def test_removed_names_beyond_what_a_log_keeps_are_told_by_the_whole_list(clock, monkeypatch):
    monkeypatch.setattr(relays, "MAX_REMOVED", 3)
    made = RelayLog(7)
    made.put({f"n{i}": i for i in range(10)}, 1)
    position = made.follow(0, 0, 0.0, float).position
    made.put({"n0": 0}, 2)
    news = made.follow(7, position, 0.0, float)
    assert news.whole and news.values == {"n0": 0}


def test_follower_that_waits_is_told_at_once():
    made = RelayLog(7)
    made.put({}, 1)
    found = []
    waiting = threading.Thread(target=lambda: found.append(made.follow(7, 1, 20.0, float)))
    waiting.start()
    made.put({"a": 1}, 2)
    waiting.join(10)
    assert [news.values for news in found] == [{"a": 1}]


class RelayMachine(RuleBasedStateMachine):
    """Plays changes, cuts, restarts and time; once all is mended nobody stays behind."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.fleet = FakeFleet()

    def teardown(self):
        self.clock.restore()

    @rule(name=st.sampled_from("abc"), value=st.sampled_from([None, 1, 2]))
    def store_changes(self, name, value):
        self.fleet.store.set(name, value)

    @rule(vms=st.sets(st.sampled_from(VMS)))
    def vms_are_cut_from_the_store(self, vms):
        for name, vm in self.fleet.vms.items():
            vm.own.cut = name in vms

    @rule(vms=st.sets(st.sampled_from(VMS)))
    def vms_are_cut_from_their_peers(self, vms):
        self.fleet.unreachable = vms

    @rule(vm=st.sampled_from(VMS))
    def vm_restarts(self, vm):
        self.fleet.restart(vm)

    @rule(seconds=st.sampled_from([0.5, 1.0, 2.5]))
    def time_passes(self, seconds):
        self.clock.now += seconds

    @rule(vms=st.lists(st.sampled_from(VMS), min_size=1, max_size=6))
    def feeds_go_on(self, vms):
        self.fleet.step(*vms)

    @rule()
    def all_is_mended(self):
        """Two rounds after the last fault everybody has the list of the store."""
        self.vms_are_cut_from_the_store(set())
        self.fleet.unreachable = set()
        for _ in range(3):
            self.clock.now += SKIP_S
            self.fleet.step()
        assert all(vm.known == self.fleet.store.values for vm in self.fleet.vms.values())

    @invariant()
    def what_is_known_was_in_the_store(self):
        """Each value; not each list, for what lapsed while the store was away is kept a while."""
        told = {(name, value) for _, name, value in self.fleet.store.history}
        for vm in self.fleet.vms.values():
            assert set(vm.known.items()) <= told


TestRelays = RelayMachine.TestCase
TestRelays.settings = settings(max_examples=80, stateful_step_count=30, deadline=None)
