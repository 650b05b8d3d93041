"""Feeds that are followed at another VM of the zone, so that few VMs call the platform's store.

Each VM reports its staleness: the time since the store's last answer, to the VM itself or passed on
by its source. A follower whose sources all fail or are too stale follows the store itself until one
recovers. Staleness is passed on and grows with time, so VMs that follow each other in a cycle,
because their views of the zone differ, find each other too stale as well.
"""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from gypsumwind.core.delegates import RelayTree
from gypsumwind.core.membership import Endpoint
from gypsumwind.core.propagation import (
    DELEGATE_MAX_STALENESS_S,
    FAILOVER_TIMEOUT_S,
    FOLLOW_LONG_POLL_S,
    FOLLOW_MARGIN_S,
    HIGH_RATE_LONG_POLL_S,
    LARGE_ZONE_LONG_POLL_S,
    RELAY_MAX_STALENESS_S,
    STANDBY_PATIENCE_S,
    STANDBY_RETRY_S,
    UNFOLLOWED_HIGH_RATE_LONG_POLL_S,
    polling,
)
from gypsumwind.core.versions import Version
from gypsumwind.errors import Code, StoreError
from gypsumwind.feeds import MAX_LONG_POLL_S, Changes, Feed
from gypsumwind.log import Log
from gypsumwind.outages import OutageHistory
from gypsumwind.peers import PeerError
from gypsumwind.relays import RelayHub, RelayUpdate
from gypsumwind.snapshots import Snapshots
from gypsumwind.utils import monotonic

log = Log("followers")

SOURCE_BACKOFF_S = 3.0
"""Time for which a source is not polled again after it failed or was too stale."""

RECOVERY_LONG_POLL_S = 0.05
"""Longest wait of a call for changes after one that failed: its answer shows at once that the store
is back."""


@dataclass(slots=True, frozen=True)
class Role:
    """A VM's role in its zone, with the sources that it follows in order of preference.

    `is_relay`: the VM is between the delegates and the other VMs; `has_relays`: the zone has such
    VMs; `has_followers`: the zone has VMs that follow others. `is_standby`: the VM is the second
    delegate. `relays` are the relays among the sources, `standby` is the second delegate there.
    """

    sources: Mapping[str, Endpoint]
    is_relay: bool
    has_relays: bool
    has_followers: bool
    is_standby: bool = False
    relays: frozenset[str] = frozenset()
    standby: str = ""


def max_staleness_s(is_relay: bool) -> float:
    """Return the staleness from which a relay, or a delegate, is not followed."""
    return RELAY_MAX_STALENESS_S if is_relay else DELEGATE_MAX_STALENESS_S


class ZoneView:
    """The VMs of this VM's zone and their endpoints."""

    def __init__(self, vm: str, zone: str, snapshots: Snapshots) -> None:
        self.vm = vm
        self._zone = zone
        self._snapshots = snapshots

    def role(self) -> Role:
        """Return this VM's role among the VMs that accept new work.

        The second delegate follows the first and replaces it when the first fails; until then the
        second does not call the store, and no VM follows it. A leaving VM is not counted.
        """
        members = self._snapshots.members
        present = {member.vm: member.endpoint for member in members.live(self._zone)}
        if not self._snapshots.leaving:
            present[self.vm] = members.local.endpoint
        tiers = RelayTree(self._zone, present)
        sources = {vm: present[vm] for vm in tiers.sources(self.vm)}
        standbys = tiers.delegates[1:] if tiers.followed else []
        return Role(
            sources,
            self.vm in tiers.relays,
            bool(tiers.relays),
            tiers.followed,
            is_standby=self.vm in standbys,
            relays=frozenset(tiers.relays).intersection(sources),
            standby=next((vm for vm in standbys if vm in sources), ""),
        )


Follow = Callable[[Endpoint, str, int, int, float, float], RelayUpdate]
"""Calls a VM for the changes of a feed after a position of a changelog; the last two arguments are
the wait for changes, in seconds, and the deadline of the call. Raises PeerError."""


class _StaleSourceError(Exception):
    """A source answered with a list that is too old."""


class RelayedFeed:
    """A feed that is followed at a VM of the zone; the first delegate follows the store.

    A switch of the source starts with a full read, so that no change between the two is missed.
    The list is passed on as the source reports it, with the grace period in which entries may be
    missing after an outage of the store: a follower keeps the entries that it has, but restores
    none that it has removed. `outages` is shared by the feeds of a VM.
    """

    def __init__(
        self,
        name: str,
        store_feed: Feed,
        zone: ZoneView,
        hub: RelayHub,
        follow: Follow,
        outages: OutageHistory | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._outages = outages or OutageHistory()
        self._sleep = sleep
        self._name = name
        self._store_feed = store_feed
        self._zone = zone
        self._hub = hub
        self._follow = follow
        self._high_rate = name in hub.high_rate
        self._backoff_until: dict[str, float] = {}
        self._stale: set[str] = set()
        self._source: str | None = None
        self._cursor = (0, 0)
        self._snapshot: dict[str, Any] = {}
        self._version = Version()
        self._store_unavailable = False
        self._times = polling(self._high_rate, False, False)

    def read(self) -> Changes:
        """Return the whole list."""
        self._source = None
        return self._poll(0.0, Version())

    def changes(self, after: Version, wait_s: float) -> Changes:
        """Wait for changes after a version, or read the whole list from another source."""
        return self._poll(wait_s, after)

    def max_interval_s(self) -> float:
        """Return the longest pause before the next call that this VM's role allows."""
        return self._times.interval_s

    def _poll(self, wait_s: float, after: Version) -> Changes:
        role = self._zone.role()
        self._times = polling(self._high_rate, role.is_relay, role.is_standby)
        self._hub.max_staleness_s = max_staleness_s(role.is_relay)
        update = self._poll_sources(wait_s, role)
        if update is None:
            return self._poll_store(min(wait_s, self._store_long_poll_s(role)), after)
        self._hub.extend_grace(self._name, update.grace_s)
        found = Changes(
            update.values, update.version, [], grace_s=update.grace_s, age_s=update.age_s
        )
        has_news = bool(update.values) or update.version != self._version
        return self._publish(found, update.whole, has_news)

    def _poll_sources(self, wait_s: float, role: Role) -> RelayUpdate | None:
        """Poll the sources in turn; None if all fail or are too stale.

        If another source failed, the second delegate is polled for some time until it replaces the
        first one: not all VMs of the zone should read the store.
        """
        retry_until = 0.0
        for vm in self._sources_in_order(role):
            is_replacing = vm == role.standby and retry_until > 0.0
            if not self._is_available(vm, is_replacing):
                continue
            try:
                until = retry_until if is_replacing else 0.0
                return self._poll_until(vm, wait_s, role, until)
            except (PeerError, ValueError) as exc:
                reason = str(exc)
                self._stale.discard(vm)
                retry_until = retry_until or monotonic() + STANDBY_PATIENCE_S
            except _StaleSourceError as exc:
                reason = str(exc)
                self._stale.add(vm)
            self._backoff_until[vm] = monotonic() + SOURCE_BACKOFF_S
            log.info("relay-skipped", feed=self._name, relay=vm, reason=reason)
        return None

    def _sources_in_order(self, role: Role) -> list[str]:
        """Return the sources, the current one first.

        In a zone with relays the preferred one is the first: VMs that switched to a delegate
        because their relay failed would stay there otherwise.
        """
        if role.has_relays:
            return list(role.sources)
        return sorted(role.sources, key=lambda vm: vm != self._source)

    def _is_available(self, vm: str, is_replacing: bool) -> bool:
        """Return whether to poll a source: it is not in backoff, or it was only too stale before
        and is now replacing another one."""
        in_backoff = monotonic() < self._backoff_until.get(vm, 0.0)
        return not in_backoff or (is_replacing and vm in self._stale)

    def _poll_until(self, vm: str, wait_s: float, role: Role, until: float) -> RelayUpdate:
        """Poll another VM, again until a time if its list is too old."""
        while True:
            try:
                return self._poll_vm(vm, wait_s, role)
            except _StaleSourceError:
                if monotonic() >= until:
                    raise
            self._sleep(STANDBY_RETRY_S)

    def _poll_vm(self, vm: str, wait_s: float, role: Role) -> RelayUpdate:
        """Poll another VM; PeerError or ValueError if the call fails, _StaleSourceError if its list
        is too old.

        Only a call to the current source waits for changes: while a VM looks for another source, it
        gets no changes from any.
        """
        log_id, position = self._cursor if vm == self._source else (0, 0)
        if vm == self._source:
            wait_s = min(wait_s, self._times.wait_s)
            margin_s = self._times.margin_s
        else:
            wait_s = 0.0
            margin_s = FOLLOW_MARGIN_S if self._source is None else FAILOVER_TIMEOUT_S
        polled_at = monotonic()
        deadline = polled_at + wait_s + margin_s
        endpoint = role.sources[vm]
        update = self._follow(endpoint, self._name, log_id, position, wait_s, deadline)
        decode = self._hub.codecs[self._name].decode
        docs = update.values.items()
        update = replace(
            update, values={n: None if doc is None else decode(doc) for n, doc in docs}
        )
        if not self._hub.eras.observe(update.version.era, vm):
            text = f"era {update.version.era} precedes the last restore of the store"
            raise _StaleSourceError(text)
        if update.age_s >= max_staleness_s(vm in role.relays):
            raise _StaleSourceError(f"no answer from the store for {update.age_s:.1f} s")
        self._switch_source(vm)
        self._outages.record_answer(monotonic() - update.age_s)
        self._cursor = (update.log, update.position)
        if role.is_relay:
            delay_s = max(0.0, monotonic() - polled_at - wait_s)
            self._hub.record_answer(self._name, update.age_s + delay_s)
        return update

    def _poll_store(self, wait_s: float, after: Version) -> Changes:
        """Poll the store itself; the first call after a switch reads the whole list."""
        is_snapshot = self._source != self._zone.vm
        try:
            if is_snapshot:
                found = self._store_feed.read()
                self._switch_source(self._zone.vm)
            else:
                found = self._store_feed.changes(after, wait_s)
        except StoreError as exc:
            if exc.code is not Code.STORE_HISTORY_GONE:
                self._store_unavailable = True
                self._outages.record_failure()
            raise
        self._store_unavailable = False
        self._outages.record_answer(monotonic())
        self._hub.extend_grace(self._name, self._outages.grace_until - monotonic())
        changes = self._publish(found, is_snapshot, bool(found.values))
        self._hub.record_answer(self._name)
        return changes

    def _store_long_poll_s(self, role: Role) -> float:
        """Return the longest wait of a call to the store.

        Followers leave a delegate whose staleness is too high, so it polls more often than a VM
        that no other one follows.
        """
        if self._store_unavailable:
            return RECOVERY_LONG_POLL_S
        if role.has_relays:
            return LARGE_ZONE_LONG_POLL_S
        if role.has_followers:
            return HIGH_RATE_LONG_POLL_S if self._high_rate else FOLLOW_LONG_POLL_S
        return UNFOLLOWED_HIGH_RATE_LONG_POLL_S if self._high_rate else MAX_LONG_POLL_S

    def _publish(self, found: Changes, is_snapshot: bool, has_news: bool) -> Changes:
        """Publish the list to followers and return its changes; a snapshot removes other names.

        News that change nothing in the end are published for their version: a follower may have an
        earlier list, of a peer, that differs.
        """
        removed = dict.fromkeys(set(self._snapshot) - set(found.values)) if is_snapshot else {}
        changed = {**removed, **found.values}
        merged = {**self._snapshot, **changed}
        self._snapshot = {name: value for name, value in merged.items() if value is not None}
        if has_news or is_snapshot:
            self._version = found.version
            self._hub.put(self._name, self._snapshot, found.version)
        return replace(found, values=changed)

    def _switch_source(self, source: str) -> None:
        if source != self._source:
            log.info("feed-source", feed=self._name, source=source, was=self._source or "none")
        self._source = source
