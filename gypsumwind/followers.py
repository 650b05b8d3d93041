"""Feeds that are followed at another VM of the zone, so that few VMs call the platform's store.

Each VM reports its staleness: the time since the store's last answer, to the VM itself or passed on
by its source. A follower whose sources all fail or are too stale follows the store itself until one
recovers. Staleness is passed on and grows with time, so VMs that follow each other in a cycle,
because their views of the zone differ, find each other too stale as well.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from gypsumwind.core.delegates import RelayTree
from gypsumwind.core.membership import Endpoint
from gypsumwind.core.versions import Version
from gypsumwind.errors import Code, StoreError
from gypsumwind.feeds import MAX_LONG_POLL_S, Changes, Feed
from gypsumwind.log import Log
from gypsumwind.outages import OutageHistory
from gypsumwind.peers import PeerError
from gypsumwind.relays import FOLLOW_LONG_POLL_S, RELAY_MAX_STALENESS_S, RelayHub, RelayUpdate
from gypsumwind.snapshots import Snapshots
from gypsumwind.utils import monotonic

log = Log("followers")

SOURCE_BACKOFF_S = 3.0
"""Time for which a source is not polled again after it failed or was too stale."""

RECOVERY_LONG_POLL_S = 0.05
"""Longest wait of a call for changes after one that failed: its answer shows at once that the store
is back."""

LARGE_ZONE_LONG_POLL_S = 0.5
"""Longest wait of a delegate's call to the store in a zone with relays: half a second passes
before the next call, so the delegate's staleness stays under a second."""

RELAY_LONG_POLL_S = 0.25
"""Longest wait of a relay's call to a delegate: with the half second before the next call, the
staleness that a relay reports stays under 1.75 s, below `RELAY_MAX_STALENESS_S`."""


@dataclass(slots=True, frozen=True)
class Role:
    """A VM's role in its zone, with the sources that it follows in order of preference.

    `is_relay`: the VM is between the delegates and the other VMs; `has_relays`: the zone has such
    VMs; `has_followers`: the zone has VMs that follow others.
    """

    sources: Mapping[str, Endpoint]
    is_relay: bool
    has_relays: bool
    has_followers: bool


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
        return Role(sources, self.vm in tiers.relays, bool(tiers.relays), tiers.followed)


Follow = Callable[[Endpoint, str, int, int, float], RelayUpdate]


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
    ) -> None:
        self._outages = outages or OutageHistory()
        self._name = name
        self._store_feed = store_feed
        self._zone = zone
        self._hub = hub
        self._follow = follow
        self._high_rate = name in hub.high_rate
        self._backoff_until: dict[str, float] = {}
        self._source: str | None = None
        self._cursor = (0, 0)
        self._snapshot: dict[str, Any] = {}
        self._version = Version()
        self._store_unavailable = False

    def read(self) -> Changes:
        """Return the whole list."""
        self._source = None
        return self._poll(0.0, Version())

    def changes(self, after: Version, wait_s: float) -> Changes:
        """Wait for changes after a version, or read the whole list from another source."""
        return self._poll(wait_s, after)

    def _poll(self, wait_s: float, after: Version) -> Changes:
        role = self._zone.role()
        for vm, endpoint in self._available_sources(role):
            update = self._poll_vm(vm, endpoint, min(wait_s, FOLLOW_LONG_POLL_S), role.is_relay)
            if update is not None:
                self._hub.extend_grace(self._name, update.grace_s)
                found = Changes(
                    update.values, update.version, [], grace_s=update.grace_s, age_s=update.age_s
                )
                has_news = bool(update.values) or update.version != self._version
                return self._publish(found, update.whole, has_news)
        return self._poll_store(min(wait_s, self._store_long_poll_s(role)), after)

    def _available_sources(self, role: Role) -> list[tuple[str, Endpoint]]:
        """Return the sources that are not in backoff.

        The current source comes first, but in a zone with relays the preferred one does: VMs that
        switched to a delegate because their relay failed would stay there otherwise.
        """
        now = monotonic()
        available = [s for s in role.sources.items() if now >= self._backoff_until.get(s[0], now)]
        if role.has_relays:
            return available
        return sorted(available, key=lambda source: source[0] != self._source)

    def _poll_vm(
        self, vm: str, endpoint: Endpoint, wait_s: float, is_relay: bool
    ) -> RelayUpdate | None:
        """Poll another VM; None if it fails, is too stale, or reports an earlier era."""
        log_id, position = self._cursor if vm == self._source else (0, 0)
        if is_relay and self._high_rate:
            wait_s = min(wait_s, RELAY_LONG_POLL_S)
        polled_at = monotonic()
        try:
            update = self._follow(endpoint, self._name, log_id, position, wait_s)
            decode = self._hub.codecs[self._name].decode
            docs = update.values.items()
            update = replace(
                update, values={n: None if doc is None else decode(doc) for n, doc in docs}
            )
            reason = (
                ""
                if update.age_s < RELAY_MAX_STALENESS_S
                else f"no answer from the store for {update.age_s:.1f} s"
            )
            if not self._hub.eras.observe(update.version.era, vm):
                reason = f"era {update.version.era} precedes the last restore of the store"
        except (PeerError, ValueError) as exc:
            reason = str(exc)
        if reason:
            self._backoff_until[vm] = monotonic() + SOURCE_BACKOFF_S
            log.info("relay-skipped", feed=self._name, relay=vm, reason=reason)
            return None
        self._switch_source(vm)
        self._outages.record_answer(monotonic() - update.age_s)
        self._cursor = (update.log, update.position)
        if is_relay:
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
        is_short = self._high_rate or role.has_followers
        return FOLLOW_LONG_POLL_S if is_short else MAX_LONG_POLL_S

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
