"""Feeds that are followed at another VM of the zone, so that few VMs call the platform's store.

Every VM says how long ago the store was last heard, by itself or by the one that it follows. A
follower that finds this too long ago, or reaches none of the VMs that it is to follow, follows the
store itself until one of them is sound again. As ages are handed on and grow with time, VMs that
follow each other in a ring, by views of the zone that differ, find each other too old, too.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from gypsumwind.board import Board
from gypsumwind.core.delegates import Tiers
from gypsumwind.core.lapses import LAPSE_GRACE_S
from gypsumwind.core.membership import Endpoint
from gypsumwind.core.versions import Version
from gypsumwind.errors import Code, StoreError
from gypsumwind.feeds import WAIT_S, Changes, Feed
from gypsumwind.log import Log
from gypsumwind.peers import PeerError
from gypsumwind.relays import RELAY_AGE_S, RELAY_WAIT_S, News, RelayHub
from gypsumwind.utils import monotonic

log = Log("followers")

SKIP_S = 3.0
"""Time for which a VM that failed is not asked again."""

LARGE_ZONE_WAIT_S = 0.5
"""Longest wait of a delegate's call to the store, in a zone with relays: half a second passes
before the next, so its age stays under a second."""

FIRST_WAIT_S = 1.0
"""Longest wait of the first call for changes after a VM has come to the store, doubled from call to
call: VMs that start together do not know yet whom to follow, and a delegate's age counts from its
last answer."""

RELAY_STEP_S = 0.25
"""The same of a relay's call to a delegate: with the half second before the next one, the age that
a relay hands on stays under 1.75 s of `RELAY_AGE_S`."""


@dataclass(slots=True, frozen=True)
class Role:
    """What a VM is in its zone: the VMs that it is to follow, the first choice first.

    `relay`: it stands between the delegates and the rest; `large`: there are such VMs; `followed`:
    the delegates have followers.
    """

    sources: Mapping[str, Endpoint]
    relay: bool
    large: bool
    followed: bool


class Zone:
    """The VMs of this VM's zone, and where they are reached."""

    def __init__(self, vm: str, zone: str, board: Board) -> None:
        self.vm = vm
        self._zone = zone
        self._board = board

    def role(self) -> Role:
        """Return what this VM is among the VMs that new work may be sent to.

        The second delegate follows the first, and takes its place when that fails: until then it
        does not hear from the store itself, and nobody follows it. A VM that leaves is not counted.
        """
        members = self._board.members
        present = {member.vm: member.endpoint for member in members.live(self._zone)}
        if not self._board.leaving:
            present[self.vm] = members.me.endpoint
        tiers = Tiers(self._zone, present)
        sources = {vm: present[vm] for vm in tiers.sources(self.vm)}
        return Role(sources, self.vm in tiers.relays, bool(tiers.relays), tiers.followed)


Follow = Callable[[Endpoint, str, int, int, float], News]


class RelayedFeed:
    """A feed that is followed at a VM of the zone, by the first delegate at the store.

    A change of the source is a whole read, so that nothing between the two is missed. The list is
    handed on as the source tells it, with the time for which entries may be missing after the store
    was lost: a follower then keeps those that it has, and takes none back.
    """

    def __init__(self, name: str, own: Feed, zone: Zone, hub: RelayHub, follow: Follow) -> None:
        self._name = name
        self._own = own
        self._zone = zone
        self._hub = hub
        self._follow = follow
        self._often = name in hub.often
        self._skipped: dict[str, float] = {}
        self._source: str | None = None
        self._cursor = (0, 0)
        self._listed: dict[str, Any] = {}
        self._lost = False
        self._longest_wait_s = FIRST_WAIT_S

    def read(self) -> Changes:
        """Return the whole list."""
        self._source = None
        return self._next(0.0, Version())

    def changes(self, after: Version, wait_s: float) -> Changes:
        """Wait for changes after a version, or read the list whole at another source."""
        return self._next(wait_s, after)

    def _next(self, wait_s: float, after: Version) -> Changes:
        role = self._zone.role()
        for vm, endpoint in self._sound(role):
            news = self._ask(vm, endpoint, min(wait_s, RELAY_WAIT_S), role.relay)
            if news is not None:
                self._hub.keep(self._name, news.grace_s)
                return self._changes(news.values, news.version, news.whole, [], news.grace_s)
        return self._from_store(min(wait_s, self._store_wait_s(role)), after)

    def _sound(self, role: Role) -> list[tuple[str, Endpoint]]:
        """Return the VMs that may be followed now.

        The one in use comes first, but in a large zone the first choice does: VMs that went to a
        delegate for want of their relay would stay there otherwise.
        """
        now = monotonic()
        sound = [s for s in role.sources.items() if now >= self._skipped.get(s[0], now)]
        if role.large:
            return sound
        return sorted(sound, key=lambda source: source[0] != self._source)

    def _ask(self, vm: str, endpoint: Endpoint, wait_s: float, relay: bool) -> News | None:
        """Ask another VM; None if it does not answer, or the store was not heard there lately."""
        name, position = self._cursor if vm == self._source else (0, 0)
        if relay and self._often:
            wait_s = min(wait_s, RELAY_STEP_S)
        asked_at = monotonic()
        try:
            news = self._follow(endpoint, self._name, name, position, wait_s)
            decode = self._hub.codecs[self._name].decode
            docs = news.values.items()
            news = replace(
                news, values={n: None if doc is None else decode(doc) for n, doc in docs}
            )
            reason = "" if news.age_s < RELAY_AGE_S else f"no store for {news.age_s:.1f} s"
            if not self._hub.eras.learn(news.version.era, vm):
                reason = f"of era {news.version.era}, before the store was restored"
        except (PeerError, ValueError) as exc:
            reason = str(exc)
        if reason:
            self._skipped[vm] = monotonic() + SKIP_S
            log.info("relay-skipped", feed=self._name, relay=vm, reason=reason)
            return None
        self._use(vm)
        self._cursor = (news.log, news.position)
        if relay:
            late_s = max(0.0, monotonic() - asked_at - wait_s)
            self._hub.heard(self._name, news.age_s + late_s)
        return news

    def _from_store(self, wait_s: float, after: Version) -> Changes:
        """Follow the store itself."""
        whole = self._source != self._zone.vm
        try:
            if whole:
                found = self._own.read()
                self._use(self._zone.vm)
                self._longest_wait_s = FIRST_WAIT_S
            else:
                found = self._own.changes(after, min(wait_s, self._longest_wait_s))
                self._longest_wait_s = min(WAIT_S, 2 * self._longest_wait_s)
        except StoreError as exc:
            self._lost |= exc.code is not Code.STORE_HISTORY_GONE
            raise
        if self._lost:
            self._lost = False
            self._hub.keep(self._name, LAPSE_GRACE_S)
        changes = self._changes(found.values, found.version, whole, found.faults)
        self._hub.heard(self._name)
        return changes

    def _store_wait_s(self, role: Role) -> float:
        """Return the longest wait of a call to the store, by who relies on hearing from it."""
        if not self._often or not role.followed:
            return WAIT_S
        return LARGE_ZONE_WAIT_S if role.large else RELAY_WAIT_S

    def _changes(
        self,
        values: Mapping[str, Any],
        version: Version,
        whole: bool,
        faults: list,
        grace_s: float = 0.0,
    ) -> Changes:
        """Hand on the list, and return changes; what a whole one no longer names is removed."""
        gone = dict.fromkeys(set(self._listed) - set(values)) if whole else {}
        changed = {**gone, **values}
        listed = {n: v for n, v in {**self._listed, **changed}.items() if v is not None}
        if listed != self._listed or whole:
            self._hub.put(self._name, listed, version)
        self._listed = listed
        return Changes(changed, version, faults, grace_s)

    def _use(self, source: str) -> None:
        if source != self._source:
            log.info("feed-source", feed=self._name, source=source, was=self._source or "none")
        self._source = source
