"""How soon a VM has the changes of the platform's list, on a virtual clock, if answers are lost."""

import random
from urllib.parse import parse_qs, urlsplit

import pytest

from gypsumwind import feeds, followers, relays
from gypsumwind.core.membership import Endpoint, Member, State
from gypsumwind.errors import Code, StoreError
from gypsumwind.feeds import FeedTask
from gypsumwind.followers import RelayedFeed, ZoneView
from gypsumwind.outages import OutageGuard
from gypsumwind.platform.store import KindFeed, PlatformStore
from gypsumwind.relays import Codec, RelayHub
from gypsumwind.snapshots import Snapshots
from gypsumwind.stores import CONNECT_TIMEOUT_S, StoreResponse

STABLE_S = 4.0
"""Time after a disturbance from which a VM has to be up to date (stabilityWindowS)."""

DRAIN_S = 2.5
"""Time after which an instance that reports that it leaves gets no requests (drainS)."""

READ_TIMEOUT_S = 2.0
LATENCY_S = 0.15
"""Round trip to the store of another region, with a new connection."""

RUN_S = 60.0


class VirtualStore:
    """A store whose calls take virtual time; in `mutes`, spans of time, it loses its answers.

    A call that begins or would be answered then never gets an answer, also later.
    """

    def __init__(self, changes, mutes, hangs):
        self.now = 0.0
        self.outages = OutageGuard()
        self._changes = changes
        self._mutes = mutes
        self._hangs = hangs

    def revision(self, now):
        return 1 + sum(at <= now for at in self._changes)

    def read(self, path, timeout_s=None):
        began = self.now
        query = parse_qs(urlsplit(path).query)
        after = int(query["watch"][0]) if "watch" in query else 0
        wait_s = int(query["waitMs"][0]) / 1000 if "watch" in query else 0.0
        nth = self._changes[after - 1] if 0 < after <= len(self._changes) else float("inf")
        answered = min(began + wait_s, max(began, nth)) + LATENCY_S
        if any(start <= t < end for start, end in self._mutes for t in (began, answered)):
            self.now += CONNECT_TIMEOUT_S if self._hangs else timeout_s or READ_TIMEOUT_S
            raise StoreError(Code.STORE_UNAVAILABLE, "no answer")
        self.now = answered
        revision = self.revision(answered - LATENCY_S / 2)
        key = "events" if "watch" in query else "items"
        return StoreResponse(200, {}, b"", {key: [], "at": revision, "hasMore": False})


def play(store, monkeypatch, seed):
    """Follow the store; return the times at which revisions came into force, with each."""
    for module in (feeds, followers, relays):
        monkeypatch.setattr(module, "monotonic", lambda: store.now)
    client = PlatformStore("http://store", READ_TIMEOUT_S, "127.0.0.1")
    client._client = store
    snapshots = Snapshots(Member("vm-1", "a1", Endpoint("127.0.0.1", 0, 0, 1), 1, State.ALIVE))
    hub = RelayHub(1, {"upstreams": Codec(str, str)}, frozenset({"upstreams"}))
    kind_feed = KindFeed(client, "servers", lambda obj, _: obj.spec)
    feed = RelayedFeed("upstreams", kind_feed, ZoneView("vm-1", "a1", snapshots), hub, None)
    task = FeedTask("upstreams", feed, 0.5, lambda *_: None, random.Random(seed))
    learnt = []
    while store.now < RUN_S:
        task.step()
        if task._version is not None:
            learnt.append((store.now, task._version.revision))
        store.now += task.pause_s()
    return learnt


@pytest.mark.parametrize("hangs", [False, True], ids=["unanswered", "unreachable"])
def test_vm_learns_that_an_instance_leaves_in_time_after_the_store_lost_answers(monkeypatch, hangs):
    for seed in range(200):
        rng = random.Random(seed)
        mutes, at = [], rng.uniform(3.0, 15.0)
        while at < RUN_S:
            mutes.append((at, at + rng.uniform(0.2, 9.0)))
            at = mutes[-1][1] + rng.uniform(0.2, 25.0)
        changes = sorted(rng.uniform(0.0, RUN_S) for _ in range(rng.choice([2, 20])))
        store = VirtualStore(changes, mutes, hangs)
        learnt = play(store, monkeypatch, seed)
        for at, revision in ((at, n + 2) for n, at in enumerate(changes)):
            due = at + DRAIN_S
            while any(start < due < end + STABLE_S for start, end in mutes):
                due = max(end + STABLE_S for start, end in mutes if start < due < end + STABLE_S)
            if due < RUN_S:
                assert any(t <= due and known >= revision for t, known in learnt), (seed, at, due)
