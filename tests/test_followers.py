"""Zones whose sources fall silent: their connections open, but calls to them are not answered."""

import random
import threading
from collections import Counter

import pytest

from gypsumwind import feeds, followers, outages, relays
from gypsumwind.core.delegates import RelayTree
from gypsumwind.core.membership import Endpoint, Member, State
from gypsumwind.core.propagation import HIGH_RATE_INTERVAL_S, LOW_RATE_INTERVAL_S, polling
from gypsumwind.core.versions import Version
from gypsumwind.errors import Code, StoreError
from gypsumwind.feeds import Changes, FeedTask
from gypsumwind.followers import RelayedFeed, ZoneView
from gypsumwind.peers import PeerError
from gypsumwind.relays import Codec, RelayHub
from gypsumwind.snapshots import MembersView, Snapshots
from tests.standins.virtual import VirtualTime

ZONE = "a1"
BOUND_S = 2.5
"""Tightest bound on the time, in seconds, in which a change has to be in force at every VM."""

STORE_S, VM_S = 0.1, 0.005
"""Time of a call to the store and to a VM of the zone each way, in seconds."""

STEP_S = 0.02
"""Period, in seconds, at which a call that waits looks for changes."""

CODEC = Codec(lambda value: value, lambda doc: doc)


class Play:
    """The VMs of a zone that follow one feed of a store, on virtual time."""

    def __init__(self, time, size, high_rate, seed):
        self.time, self.rng = time, random.Random(seed)
        self.store_s = STORE_S
        self.names = [f"vm-{n}" for n in range(size)]
        self.high_rate = frozenset(["t"] if high_rate else [])
        self.tree = RelayTree(ZONE, self.names)
        self.history, self.revision = [], 1
        self.cut = set()
        self.store_calls = []
        self.follow_calls = Counter()
        self.received_at = {}
        self.endpoints = {vm: Endpoint(f"127.0.0.{n}", 0, 0, 1) for n, vm in enumerate(self.names)}
        self.hubs = {vm: RelayHub(1, {"t": CODEC}, self.high_rate) for vm in self.names}
        for vm in self.names:
            time.start(vm, lambda vm=vm: self._run(vm), self.rng.random())

    def _run(self, vm):
        me, *others = (
            Member(name, ZONE, self.endpoints[name], 1, State.ALIVE)
            for name in [vm, *(name for name in self.names if name != vm)]
        )
        snapshots = Snapshots(me)
        snapshots.members = MembersView(me, {m.vm: m for m in others}, {})
        store = StoreFeed(self, vm)
        feed = RelayedFeed(
            "t",
            store,
            ZoneView(vm, ZONE, snapshots),
            self.hubs[vm],
            self.follow,
            sleep=self.time.sleep,
        )
        interval_s = HIGH_RATE_INTERVAL_S if self.high_rate else LOW_RATE_INTERVAL_S
        task = FeedTask(
            "t",
            feed,
            interval_s,
            lambda values, *_: values and self.received_at.setdefault(vm, self.time.now),
            self.rng,
            max_interval_s=feed.max_interval_s,
        )
        while True:
            task.step()
            self.time.sleep(task.pause_s())

    def change(self):
        """Change the list at the store, which acknowledges it at once."""
        self.revision += 1
        self.history.append((self.revision, "a", 1))
        return self.time.now

    def is_silent(self, vm):
        """Return whether a VM stands still."""
        return self.time.now < self.time.frozen_until.get(vm, 0.0)

    def follow(self, to, feed, log, position, wait_s, deadline):
        """Call a VM; PeerError at the deadline if it stands still."""
        vm = next(name for name, endpoint in self.endpoints.items() if endpoint == to)
        until = self.time.now + wait_s
        self.follow_calls[threading.current_thread().name] += 1
        self.time.sleep(VM_S)
        while True:
            if self.is_silent(vm):
                self.time.sleep(deadline - self.time.now)
                raise PeerError("timed out")
            update = self.hubs[vm].follow(feed, log, position, 0.0)
            is_over = self.time.now >= until or update.age_s >= self.hubs[vm].max_staleness_s
            if update.whole or update.position != position or is_over:
                break
            self.time.sleep(STEP_S)
        self.time.sleep(VM_S)
        return update


class StoreFeed:
    """The feed of one VM from the store; its calls are not answered while the VM is `cut` off."""

    def __init__(self, play, vm):
        self.play, self.vm = play, vm

    def read(self):
        """Return the whole list."""
        self._call(1.0)
        found = Changes({name: value for _, name, value in self.play.history}, self._version())
        self.play.time.sleep(self.play.store_s)
        return found

    def changes(self, after, wait_s):
        """Wait for changes after a version."""
        self._call(wait_s + 1.0)
        until = self.play.time.now + wait_s
        while True:
            found = {n: value for r, n, value in self.play.history if r > after.revision}
            if found or self.play.time.now >= until:
                break
            self.play.time.sleep(STEP_S)
        version = self._version()
        self.play.time.sleep(self.play.store_s)
        return Changes(found, version)

    def _version(self):
        return Version(0, self.play.revision)

    def _call(self, timeout_s):
        self.play.store_calls.append((self.play.time.now, self.vm))
        if self.vm in self.play.cut:
            self.play.time.sleep(timeout_s)
            raise StoreError(Code.STORE_UNAVAILABLE, "no answer")
        self.play.time.sleep(self.play.store_s)


@pytest.fixture
def time(monkeypatch):
    with VirtualTime() as virtual:
        for module in (feeds, followers, relays, outages):
            monkeypatch.setattr(module, "monotonic", lambda: virtual.now)
        yield virtual


def chosen(play, roles):
    """Return the VMs of some roles: first, second or relays."""
    delegates = play.tree.delegates
    by_role = {"first": delegates[:1], "second": delegates[1:], "relays": play.tree.relays}
    return {vm for role in roles.split() for vm in by_role[role]}


def delays_of(play, changed_at, without):
    """Return how long after a change each VM had it, but for some VMs."""
    assert set(play.received_at) >= set(play.names) - without
    return {vm: at - changed_at for vm, at in play.received_at.items() if vm not in without}


RATES = pytest.mark.parametrize("high_rate", [False, True], ids=["low-rate", "high-rate"])
SEEDS = pytest.mark.parametrize("seed", range(4))


@RATES
@SEEDS
@pytest.mark.parametrize(
    ("size", "roles"),
    [
        (3, "first second"),
        (5, ""),
        (5, "first"),
        (5, "second"),
        (5, "first second"),
        (20, ""),
        (20, "first"),
        (20, "second"),
        (20, "first second"),
        (20, "relays"),
        (20, "relays first"),
        (20, "relays first second"),
    ],
)
def test_change_reaches_all_others_in_time_while_sources_stand_still(
    time, size, roles, high_rate, seed
):
    """Guards against requests to instances that left, or on routes that were removed, sent by VMs
    that are well while their sources stand still."""
    play = Play(time, size, high_rate, seed)
    time.run_for(8.0 + play.rng.random())
    silent = chosen(play, roles)
    time.frozen_until = dict.fromkeys(silent, time.now + 3.5)
    time.run_for(0.05)
    changed_at = play.change()
    time.run_for(6.0)
    assert max(delays_of(play, changed_at, silent).values()) <= BOUND_S


@RATES
@SEEDS
@pytest.mark.parametrize("size", [5, 20])
def test_silent_first_delegate_does_not_send_its_zone_to_the_store(time, size, high_rate, seed):
    """Guards against all VMs of a zone that read the whole list at the same time."""
    play = Play(time, size, high_rate, seed)
    time.run_for(8.0 + play.rng.random())
    first, second = play.tree.delegates
    play.store_calls.clear()
    time.frozen_until = {first: time.now + 3.5}
    time.run_for(8.0)
    assert {vm for _, vm in play.store_calls} <= {first, second, *play.tree.relays}


@RATES
@SEEDS
@pytest.mark.parametrize(
    ("size", "roles"), [(5, "first"), (5, "first second"), (20, "first"), (20, "first second")]
)
def test_change_reaches_all_others_in_time_while_delegates_lose_the_store(
    time, size, roles, high_rate, seed
):
    """Guards against the same while the delegates answer with a list that is no longer renewed."""
    play = Play(time, size, high_rate, seed)
    time.run_for(8.0 + play.rng.random())
    play.cut = chosen(play, roles)
    changed_at = play.change()
    time.run_for(6.0)
    assert max(delays_of(play, changed_at, play.cut).values()) <= BOUND_S


@RATES
@SEEDS
def test_slow_store_is_left_to_the_first_delegate(time, high_rate, seed):
    """Guards against a zone that calls a store whose answers take 0.36 s all at once."""
    play = Play(time, 5, high_rate, seed)
    time.run_for(8.0)
    play.store_s += 0.08
    play.store_calls.clear()
    time.run_for(30.0)
    assert {vm for _, vm in play.store_calls} == {play.tree.delegates[0]}


@RATES
@SEEDS
@pytest.mark.parametrize("size", [5, 20])
def test_calm_zone_leaves_the_store_to_its_first_delegate(time, size, high_rate, seed):
    """Guards against limits that are too tight for sources that are well."""
    play = Play(time, size, high_rate, seed)
    time.run_for(8.0)
    play.store_calls.clear()
    time.run_for(30.0)
    assert {vm for _, vm in play.store_calls} == {play.tree.delegates[0]}


@RATES
@SEEDS
def test_calls_of_followers_wait_for_changes_in_a_calm_zone_with_relays(time, high_rate, seed):
    """Guards against relays that end each call at once, as their own staleness is that of a second
    level: followers would call them again without a pause."""
    play = Play(time, 20, high_rate, seed)
    time.run_for(8.0)
    play.follow_calls.clear()
    time.run_for(30.0)
    followers_calls = [
        play.follow_calls[vm]
        for vm in play.names
        if vm not in (*play.tree.delegates, *play.tree.relays)
    ]
    times = polling(high_rate, is_relay=False, is_standby=False)
    assert max(followers_calls) <= 30.0 / (times.interval_s + times.wait_s) + 1
