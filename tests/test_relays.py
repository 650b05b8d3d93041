"""Relays and their followers: after any failures, every follower ends with the store's list."""

import random
import threading
from collections import Counter
from types import SimpleNamespace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumwind import feeds, followers, relays
from gypsumwind.core import delegates as core_delegates
from gypsumwind.core.delegates import FANOUT, RelayTree, delegates
from gypsumwind.core.lapses import EXPIRY_GRACE_S, GracePeriodList
from gypsumwind.core.membership import Endpoint, Member, State
from gypsumwind.core.propagation import (
    HIGH_RATE_INTERVAL_S,
    LOW_RATE_INTERVAL_S,
    RELAY_LONG_POLL_S,
    RELAY_MAX_STALENESS_S,
)
from gypsumwind.core.versions import Version
from gypsumwind.errors import Code, StoreError
from gypsumwind.feeds import Changes, FeedTask
from gypsumwind.followers import (
    SOURCE_BACKOFF_S,
    RelayedFeed,
    Role,
    ZoneView,
)
from gypsumwind.peers import PeerError
from gypsumwind.platform.store import WATCH_MARGIN_S
from gypsumwind.relays import Codec, RelayHub, RelayLog
from gypsumwind.snapshots import MembersView, Snapshots
from gypsumwind.wire import pack, relay_update_from_wire, relay_update_to_wire, thrift, unpack

CODECS = dict.fromkeys(("t", "other"), Codec(lambda value: [value], lambda doc: doc[0]))
CALL_TIMEOUT_S = 2.0
"""Time, in seconds, after which a call to the store that does not wait counts as unanswered."""

VMS = [f"vm-{n}" for n in range(5)]
LARGE_ZONE = [f"vm-{n}" for n in range(60)]
ENDPOINTS = {vm: Endpoint(f"127.0.0.{n}", 0, 0, 1) for n, vm in enumerate(LARGE_ZONE, 1)}


class Clock:
    """Replaces the monotonic clock of the modules under test; `current` is the one in use."""

    current = None

    def __init__(self):
        Clock.current = self
        self.now = 1000.0
        self._originals = [(m, m.monotonic) for m in (feeds, followers, relays)]
        for module, _ in self._originals:
            module.monotonic = lambda: self.now

    def sleep(self, seconds):
        self.now += seconds

    def restore(self):
        for module, original in self._originals:
            module.monotonic = original


@pytest.fixture
def clock():
    fake = Clock()
    yield fake
    fake.restore()


class Store:
    """Fake of the platform's store: a list with a history of changes."""

    def __init__(self):
        self.values, self.history, self.revision = {}, [], 1
        self.era, self.all_entries = 0, set()
        self.calls = 0
        self.waited_s = 0.0
        """Wait that the last call, to the store or to a VM, requested."""

    def set(self, name, value):
        self.revision += 1
        self.values = {n: v for n, v in {**self.values, name: value}.items() if v is not None}
        self.history.append((self.revision, name, value))
        self.all_entries.add((name, value))

    def restore(self, steps):
        """Restore a backup: the last changes are lost and their revisions are assigned again."""
        self.history = self.history[: max(0, len(self.history) - steps)]
        self.revision, self.values = 1, {}
        for revision, name, value in self.history:
            self.revision = revision
            self.values = {n: v for n, v in {**self.values, name: value}.items() if v is not None}
        self.era += 1

    @property
    def version(self):
        return Version(self.era, self.revision)


class StoreFeed:
    """A VM's feed from the store, which can be disconnected."""

    def __init__(self, store):
        self.store, self.disconnected = store, False
        self.silent_until = -1.0

    def read(self):
        self._call()
        return Changes(dict(self.store.values), self.store.version)

    def changes(self, after, wait_s):
        self.store.waited_s = wait_s
        self._call(wait_s)
        if after.era != self.store.era:
            raise StoreError(Code.STORE_HISTORY_GONE, "the store was restored")
        history = self.store.history
        found = {name: value for revision, name, value in history if revision > after.revision}
        return Changes(found, self.store.version)

    def _call(self, wait_s=CALL_TIMEOUT_S - WATCH_MARGIN_S):
        if self.disconnected:
            raise StoreError(Code.STORE_UNAVAILABLE, "cut")
        self.store.calls += 1
        if followers.monotonic() < self.silent_until:
            self.store.waited_s = wait_s + WATCH_MARGIN_S
            raise StoreError(Code.STORE_UNAVAILABLE, "no answer")


class Vm:
    """One VM of the zone with its feed task."""

    def __init__(self, fleet, name, initial_incarnation=1):
        self.store_feed = StoreFeed(fleet.store)
        self.hub = RelayHub(initial_incarnation, CODECS, fleet.high_rate)
        self._list, self.versions = GracePeriodList(), []
        me = Member(name, "a1", ENDPOINTS[name], initial_incarnation, State.ALIVE)
        snapshots = Snapshots(me)
        others = {vm: Member(vm, "a1", ENDPOINTS[vm], 1, State.ALIVE) for vm in fleet.names}
        del others[name]
        snapshots.members = MembersView(me, others, {})
        self.zone = ZoneView(name, "a1", snapshots)
        feed = RelayedFeed(
            "t",
            self.store_feed,
            self.zone,
            self.hub,
            fleet.follow,
            sleep=lambda seconds: Clock.current.sleep(seconds),
        )
        interval_s = HIGH_RATE_INTERVAL_S if fleet.high_rate else LOW_RATE_INTERVAL_S
        self.task = FeedTask(
            "t",
            feed,
            interval_s,
            self._publish,
            random.Random(1),
            max_interval_s=feed.max_interval_s,
        )

    def _publish(self, values, version, grace_s):
        now = feeds.monotonic()
        self._list.apply_list(values, now + grace_s, now)
        self.versions.append(version)

    @property
    def entries(self):
        self._list.expire(feeds.monotonic())
        return dict(self._list.values)


class FakeFleet:
    """A zone of VMs, two of them delegates, that reach each other unless `unreachable`."""

    def __init__(self, names=VMS, high_rate=frozenset("t")):
        self.names = names
        self.high_rate = high_rate
        self.store = Store()
        self.unreachable = set()
        self.calls_by_vm = Counter()
        self.delegates = delegates("a1", names)
        self.relays = RelayTree("a1", names).relays
        self.vms = {vm: Vm(self, vm) for vm in names}
        self.rest = [vm for vm in names if vm not in {*self.delegates, *self.relays}]
        self.follower = next(iter(self.rest), None)
        self.restarts = 1

    def follow(self, to, feed, log, position, wait_s, deadline):
        vm = next(name for name, endpoint in ENDPOINTS.items() if endpoint == to)
        if vm in self.unreachable:
            raise PeerError("cut")
        self.calls_by_vm[vm] += 1
        self.store.waited_s = wait_s
        update = self.vms[vm].hub.follow(feed, log, position, 0.0)
        return relay_update_from_wire(relay_update_to_wire(update))

    def restart(self, vm):
        self.restarts += 1
        self.vms[vm] = Vm(self, vm, self.restarts)

    def step(self, *names):
        for name in names or [*self.delegates, *self.relays, *self.rest]:
            self.vms[name].task.step()

    def run_for(self, clock, seconds, on_step, due=None):
        """Run the feeds for some seconds; the wait of a long poll delays the VM's next step.

        `due` has the times of the first steps; they are random without it.
        """
        rng = random.Random(1)
        due = due or {vm: clock.now + rng.random() for vm in self.names}
        until = clock.now + seconds
        while min(due.values()) < until:
            vm = min(due, key=due.get)
            self.store.waited_s = 0.0
            clock.now = due[vm]
            self.vms[vm].task.step()
            on_step(vm)
            due[vm] += self.vms[vm].task.pause_s() + self.store.waited_s


def test_only_the_first_delegate_calls_the_store_and_changes_reach_all_vms(clock):
    fleet = FakeFleet()
    fleet.store.set("a", 1)
    fleet.step()
    fleet.store.set("b", 2)
    fleet.store.set("a", None)
    fleet.store.calls = 0
    fleet.step()
    assert {tuple(vm.entries.items()) for vm in fleet.vms.values()} == {(("b", 2),)}
    assert fleet.store.calls == 1


def test_second_delegate_replaces_the_failed_first_one(clock):
    fleet = FakeFleet()
    fleet.step()
    first, second = fleet.delegates
    fleet.unreachable = {first}
    fleet.store.set("a", 1)
    fleet.step(second)
    fleet.store.calls = 0
    fleet.step(*(vm for vm in VMS if vm not in fleet.delegates))
    assert {tuple(vm.entries) for n, vm in fleet.vms.items() if n != first} == {("a",)}
    assert fleet.store.calls == 0


@pytest.mark.parametrize("fault", ["unreachable", "silent"])
def test_follower_without_a_healthy_delegate_follows_the_store(clock, fault):
    fleet = FakeFleet()
    fleet.step()
    if fault == "unreachable":
        fleet.unreachable = set(fleet.delegates)
    clock.now += RELAY_MAX_STALENESS_S
    fleet.store.set("a", 1)
    fleet.step(fleet.follower)
    assert fleet.vms[fleet.follower].entries == {"a": 1}


@pytest.mark.parametrize("high_rate", [(), ("t",)], ids=["rare", "high-rate"])
def test_follower_leaves_a_delegate_that_gets_answers_to_another_feed_only(clock, high_rate):
    fleet = FakeFleet(high_rate=frozenset(high_rate))
    fleet.step()
    for vm in fleet.delegates:
        fleet.vms[vm].store_feed.disconnected = True
    clock.now += RELAY_MAX_STALENESS_S
    for vm in fleet.delegates:
        fleet.vms[vm].hub.record_answer("other")
    fleet.store.set("a", 1)
    fleet.step(fleet.follower)
    assert fleet.vms[fleet.follower].entries == {"a": 1}


def test_follower_returns_to_a_recovered_delegate(clock):
    fleet = FakeFleet()
    fleet.unreachable = set(fleet.delegates)
    fleet.step()
    fleet.unreachable = set()
    clock.now += SOURCE_BACKOFF_S
    fleet.store.set("a", 1)
    fleet.step(*fleet.delegates)
    fleet.store.calls = 0
    fleet.step(fleet.follower)
    assert fleet.vms[fleet.follower].entries == {"a": 1} and fleet.store.calls == 0


def disconnect_and_reconnect(fleet, change):
    """Disconnect the delegates from the store while it changes, then reconnect them."""
    for vm in fleet.delegates:
        fleet.vms[vm].store_feed.disconnected = True
    fleet.step(*fleet.delegates)
    change()
    for vm in fleet.delegates:
        fleet.vms[vm].store_feed.disconnected = False


def test_follower_does_not_take_back_an_entry_that_its_delegate_keeps_for_the_grace_period(clock):
    """The follower had answers from the store during the outage of its delegates."""
    fleet = FakeFleet()
    fleet.store.set("a", 1)
    fleet.step()
    disconnect_and_reconnect(fleet, lambda: fleet.store.set("a", None))
    clock.now += RELAY_MAX_STALENESS_S
    fleet.step(fleet.follower)
    assert fleet.vms[fleet.follower].entries == {}
    clock.now += SOURCE_BACKOFF_S
    fleet.store.set("b", 2)
    fleet.step(*fleet.delegates)
    assert fleet.vms[fleet.delegates[0]].entries == {"a": 1, "b": 2}
    fleet.calls_by_vm.clear()
    fleet.step(fleet.follower)
    assert fleet.calls_by_vm and fleet.vms[fleet.follower].entries == {"b": 2}


def test_followers_keep_entries_whose_lease_expired_in_their_delegates_store_outage(clock):
    """The outage is shorter than RELAY_MAX_STALENESS_S, so no follower leaves its delegate."""
    fleet = FakeFleet()
    fleet.store.set("a", 1)
    fleet.step()
    disconnect_and_reconnect(fleet, lambda: fleet.store.set("a", None))
    clock.now += RELAY_MAX_STALENESS_S / 2
    fleet.step()
    assert all(vm.entries == {"a": 1} for vm in fleet.vms.values())
    clock.now += EXPIRY_GRACE_S / 2
    fleet.store.set("b", 2)
    fleet.step()
    clock.now += EXPIRY_GRACE_S / 2 + 0.1
    fleet.step()
    assert all(vm.entries == {"b": 2} for vm in fleet.vms.values())


def test_staleness_of_a_high_rate_feed_is_not_hidden_by_answers_to_another_feed(clock):
    hub = RelayHub(1, {"t": CODECS["t"], "quiet": CODECS["t"]}, frozenset("t"))
    hub.put("t", {"a": 1}, Version(0, 1))
    hub.record_answer("t")
    clock.now += 3.0
    hub.record_answer("quiet")
    assert hub.follow("t", 0, 0, 0.0).age_s == 3.0 and hub.age_s("quiet") == 0.0


@pytest.mark.parametrize("names", [VMS, LARGE_ZONE], ids=len)
def test_follower_learns_the_version_of_changes_that_changed_nothing_in_the_end(clock, names):
    """Otherwise an earlier list that a peer reported in an outage stays in force there."""
    fleet = FakeFleet(names)
    fleet.store.set("a", 1)
    fleet.step()
    fleet.store.set("a", None)
    fleet.store.set("a", 1)
    fleet.step()
    assert fleet.vms[fleet.follower].task._version == fleet.store.version


def test_restarted_delegate_does_not_serve_an_empty_list(clock):
    fleet = FakeFleet()
    fleet.store.set("a", 1)
    fleet.step()
    for vm in fleet.delegates:
        fleet.restart(vm)
        fleet.vms[vm].hub.record_answer("t")
    fleet.step(fleet.follower)
    assert fleet.vms[fleet.follower].entries == {"a": 1}


def test_staleness_without_any_answer_fits_the_wire_format_at_a_high_uptime(clock):
    clock.now = 4e6
    hub = RelayHub(1, CODECS)
    hub.put("t", {"a": 1}, Version(0, 1))
    update = relay_update_from_wire(
        unpack(thrift.RelayNews, pack(relay_update_to_wire(hub.follow("t", 0, 0, 0.0))))
    )
    assert update.age_s > RELAY_MAX_STALENESS_S and update.values == {"a": [1]}


STABLE_S = 4.0
"""Time, in seconds, after the store's last disruption from which a VM has to be up to date."""


@pytest.mark.parametrize("high_rate", [(), ("t",)], ids=["rare", "high-rate"])
@pytest.mark.parametrize("names", [VMS[:1], VMS[:2], VMS, LARGE_ZONE], ids=len)
@pytest.mark.parametrize("silence_s", [0.01, 0.3, 1.0, 3.3, 60.0])
def test_all_vms_are_up_to_date_in_time_after_the_store_lost_the_calls_of_a_silence(
    clock, high_rate, names, silence_s
):
    """A change makes all VMs that call the store begin their next call at the same moment."""
    fleet = FakeFleet(names, frozenset(high_rate))
    fleet.run_for(clock, 30.0, lambda vm: None)
    clock.now = began = clock.now + 30.0
    due = {vm: began for vm in names}
    silent_until = began + silence_s
    for vm in fleet.vms.values():
        vm.store_feed.silent_until = silent_until
    fleet.run_for(clock, silence_s, lambda vm: None, due)
    clock.now = silent_until
    fleet.store.set("a", 1)
    received_at = propagation_times(fleet, clock, 30.0, due)
    assert set(received_at) == set(names)
    assert max(received_at.values()) - silent_until <= STABLE_S


@pytest.mark.parametrize(
    ("high_rate", "long_poll_s"),
    [((), feeds.MAX_LONG_POLL_S), (("t",), 1.0)],
    ids=["rare", "high-rate"],
)
def test_long_polls_are_short_so_that_a_lost_one_is_noticed_and_sources_are_found(
    clock, high_rate, long_poll_s
):
    """No VM has found another yet, so each follows the store, also for feeds that change rarely."""
    fleet = FakeFleet(high_rate=frozenset(high_rate))
    vm = fleet.vms[fleet.follower]
    original_role, vm.zone.role = vm.zone.role, lambda: Role({}, False, False, False)
    waits = []
    for _ in range(8):
        vm.task.step()
        waits.append(fleet.store.waited_s)
    assert set(waits[1:]) == {long_poll_s}
    vm.zone.role = original_role
    fleet.step(*fleet.delegates, fleet.follower)
    assert fleet.calls_by_vm


def test_compacted_changelog_sends_a_snapshot(clock, monkeypatch):
    monkeypatch.setattr(relays, "MAX_TOMBSTONES", 3)
    changelog = RelayLog(7)
    changelog.put({f"n{i}": i for i in range(10)}, Version(0, 1))
    position = changelog.follow(0, 0, 0.0, float).position
    changelog.put({"n0": 0}, Version(0, 2))
    update = changelog.follow(7, position, 0.0, float)
    assert update.whole and update.values == {"n0": 0}


def test_waiting_follower_gets_a_change_at_once():
    changelog = RelayLog(7)
    changelog.put({}, Version(0, 1))
    updates = []
    thread = threading.Thread(target=lambda: updates.append(changelog.follow(7, 1, 20.0, float)))
    thread.start()
    changelog.put({"a": 1}, Version(0, 2))
    thread.join(10)
    assert [update.values for update in updates] == [{"a": 1}]


def test_large_zone_bounds_the_calls_to_each_vm_and_to_the_store(clock):
    fleet = FakeFleet(LARGE_ZONE)
    fleet.step()
    fleet.calls_by_vm.clear()
    fleet.store.calls = 0
    fleet.run_for(clock, 20.0, lambda vm: None)
    assert fleet.store.calls <= 20 / 1.0 + 1
    assert max(fleet.calls_by_vm.values()) <= 20 * 2 * FANOUT / 1.0


def test_change_reaches_a_large_zone_in_seconds_and_no_healthy_source_is_skipped(
    clock, monkeypatch
):
    events = []
    log = SimpleNamespace(info=lambda event, **_: events.append(event))
    monkeypatch.setattr(followers, "log", log)
    fleet = FakeFleet(LARGE_ZONE)
    fleet.step()
    fleet.run_for(clock, 5.0, lambda vm: None)
    fleet.store.set("a", 1)
    changed = clock.now
    received_at = propagation_times(fleet, clock, 10.0)
    assert set(received_at) == set(LARGE_ZONE) and max(received_at.values()) - changed <= 4.0
    assert set(fleet.calls_by_vm) == {fleet.delegates[0], *fleet.relays}
    assert "feed-source" in events and "relay-skipped" not in events


def test_relay_reports_the_staleness_of_its_source_plus_the_delay_of_the_answer(clock, monkeypatch):
    fleet = FakeFleet(LARGE_ZONE)
    fleet.step()
    relay = fleet.vms[fleet.relays[0]]
    clock.now += 1.2
    fleet.step(fleet.relays[0])
    assert relay.hub.age_s("t") == pytest.approx(1.2)
    undelayed = fleet.follow

    def delayed(*args):
        update = undelayed(*args)
        clock.now += RELAY_LONG_POLL_S + 0.3
        return update

    monkeypatch.setattr(relay.task._feed, "_follow", delayed)
    fleet.step(fleet.delegates[0])
    fleet.step(fleet.relays[0])
    assert relay.hub.age_s("t") == pytest.approx(0.3)


def test_follower_returns_from_a_delegate_to_its_relay(clock):
    fleet = FakeFleet(LARGE_ZONE)
    fleet.step()
    fleet.unreachable = set(fleet.relays)
    fleet.calls_by_vm.clear()
    fleet.step(fleet.follower)
    assert set(fleet.calls_by_vm) == {fleet.delegates[0]}
    fleet.unreachable = set()
    clock.now += SOURCE_BACKOFF_S
    fleet.step(fleet.delegates[0], *fleet.relays)
    fleet.calls_by_vm.clear()
    fleet.step(fleet.follower)
    assert set(fleet.calls_by_vm) <= set(fleet.relays) and fleet.calls_by_vm


def propagation_times(fleet, clock, seconds, due=None):
    """Run the feeds; return when each VM first had an entry."""
    received_at = {}

    def on_step(vm):
        if fleet.vms[vm].entries:
            received_at.setdefault(vm, clock.now)

    fleet.run_for(clock, seconds, on_step, due)
    return received_at


@pytest.mark.parametrize("cut", ["delegates", "relays", "first"])
def test_change_reaches_a_large_zone_despite_failed_delegates_or_relays(clock, cut):
    """A follower leaves its source after 2 s of staleness and gets the change a call later."""
    fleet = FakeFleet(LARGE_ZONE)
    fleet.step()
    fleet.run_for(clock, 3.0, lambda vm: None)
    lost = {
        "delegates": set(fleet.delegates),
        "relays": set(fleet.relays),
        "first": {fleet.delegates[0]},
    }[cut]
    for vm in lost:
        fleet.vms[vm].store_feed.disconnected = True
    fleet.unreachable = lost if cut != "first" else set()
    fleet.store.set("a", 1)
    changed = clock.now
    received_at = propagation_times(fleet, clock, 12.0)
    healthy = set(LARGE_ZONE) - lost
    assert set(received_at) >= healthy
    assert max(received_at[vm] for vm in healthy) - changed <= RELAY_MAX_STALENESS_S + 3.0


def test_vms_that_follow_each_other_in_a_cycle_become_too_stale(clock):
    hubs = [RelayHub(n, CODECS) for n in (1, 2)]
    hubs[0].record_answer("t")
    for step in range(8):
        clock.now += 0.5
        ahead, behind = hubs[step % 2], hubs[1 - step % 2]
        ahead.record_answer("t", behind.age_s("t"))
    assert min(hub.age_s("t") for hub in hubs) == 4.0 > RELAY_MAX_STALENESS_S


class RelayMachine(RuleBasedStateMachine):
    """Plays changes, outages, restarts and time; after repairs every VM has the store's list."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.fleet = FakeFleet()

    def teardown(self):
        self.clock.restore()

    @rule(name=st.sampled_from("abc"), value=st.sampled_from([None, 1, 2]))
    def store_changes(self, name, value):
        self.fleet.store.set(name, value)

    @rule(steps=st.integers(0, 5))
    def store_is_restored_from_a_backup(self, steps):
        self.fleet.store.restore(steps)

    @rule(vms=st.sets(st.sampled_from(VMS)))
    def vms_are_disconnected_from_the_store(self, vms):
        for name, vm in self.fleet.vms.items():
            vm.store_feed.disconnected = name in vms

    @rule(vms=st.sets(st.sampled_from(VMS)))
    def vms_are_unreachable(self, vms):
        self.fleet.unreachable = vms

    @rule(vm=st.sampled_from(VMS))
    def vm_restarts(self, vm):
        self.fleet.restart(vm)

    @rule(seconds=st.sampled_from([0.5, 1.0, 2.5]))
    def time_passes(self, seconds):
        self.clock.now += seconds

    @rule(vms=st.lists(st.sampled_from(VMS), min_size=1, max_size=6))
    def feeds_step(self, vms):
        self.fleet.step(*vms)

    @rule()
    def all_faults_are_repaired(self):
        """Three rounds after the last fault every VM has the store's list."""
        self.vms_are_disconnected_from_the_store(set())
        self.fleet.unreachable = set()
        for _ in range(3):
            self.clock.now += SOURCE_BACKOFF_S
            self.fleet.step()
        assert all(vm.entries == self.fleet.store.values for vm in self.fleet.vms.values())

    @invariant()
    def every_entry_was_in_the_store(self):
        """Checks entries, not lists, as entries that expired in an outage are kept for a while."""
        for vm in self.fleet.vms.values():
            assert set(vm.entries.items()) <= self.fleet.store.all_entries

    @invariant()
    def no_vm_returns_to_an_earlier_era(self):
        for vm in self.fleet.vms.values():
            eras = [version.era for version in vm.versions]
            assert eras == sorted(eras)


class LargeZoneMachine(RelayMachine):
    """The same in a zone with relays between the delegates and the other VMs."""

    def __init__(self):
        super().__init__()
        self.original, core_delegates.FANOUT = core_delegates.FANOUT, 2
        self.fleet = FakeFleet()
        assert self.fleet.relays and self.fleet.rest

    def teardown(self):
        core_delegates.FANOUT = self.original
        super().teardown()


TestLargeZone = LargeZoneMachine.TestCase
TestLargeZone.settings = settings(max_examples=80, stateful_step_count=30, deadline=None)
TestRelays = RelayMachine.TestCase
TestRelays.settings = settings(max_examples=80, stateful_step_count=30, deadline=None)
