"""Feeds that are followed at a delegate of the zone, so that few VMs call the platform's store.

A delegate says how long ago it last heard from the store. A follower that finds this too long ago,
or reaches no delegate, follows the store itself until one is sound again.
"""

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from gypsumwind.board import Board
from gypsumwind.core.delegates import DELEGATES_PER_ZONE, delegates
from gypsumwind.core.membership import Endpoint
from gypsumwind.feeds import Changes, Feed
from gypsumwind.log import Log
from gypsumwind.peers import PeerError
from gypsumwind.relays import RELAY_AGE_S, RELAY_WAIT_S, News, RelayHub
from gypsumwind.utils import monotonic

log = Log("followers")

SKIP_S = 3.0
"""Time for which a delegate that failed is not asked again."""


class Zone:
    """The VMs of this VM's zone, and where they are reached."""

    def __init__(self, vm: str, zone: str, board: Board) -> None:
        self.vm = vm
        self._zone = zone
        self._board = board

    def present(self) -> Mapping[str, Endpoint]:
        """Return the VMs that new work may be sent to, this one included unless it leaves."""
        members = self._board.members
        found = {member.vm: member.endpoint for member in members.live(self._zone)}
        if not self._board.leaving:
            found[self.vm] = members.me.endpoint
        return found

    def relays(self) -> Mapping[str, Endpoint]:
        """Return the delegates that this VM is to follow, the first one first.

        The second delegate follows the first, and takes its place when that fails: until then it
        does not hear from the store itself, and nobody follows it. In a zone of delegates alone
        nobody follows another.
        """
        present = self.present()
        if len(present) <= DELEGATES_PER_ZONE:
            return {}
        named = delegates(self._zone, present)
        above = named[: named.index(self.vm)] if self.vm in named else named
        return {vm: present[vm] for vm in above}

    def followed(self) -> bool:
        """Tell whether the zone has VMs that follow its delegates."""
        return len(self.present()) > DELEGATES_PER_ZONE


Follow = Callable[[Endpoint, str, int, int, float], News]


class RelayedFeed:
    """A feed that is followed at a delegate of the zone, by the first delegate at the store.

    A change of the source is a whole read, so that nothing between the two is missed. `often` marks
    the feed by which a delegate shows that it hears from the store.
    """

    def __init__(
        self, name: str, own: Feed, zone: Zone, hub: RelayHub, follow: Follow, often: bool = False
    ) -> None:
        self._name = name
        self._own = own
        self._zone = zone
        self._hub = hub
        self._follow = follow
        self._often = often
        self._skipped: dict[str, float] = {}
        self._source: str | None = None
        self._cursor = (0, 0)
        self._names: set[str] = set()

    def read(self) -> Changes:
        """Return the whole list."""
        self._source = None
        return self._next(0.0, 0)

    def changes(self, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision, or read the list whole at another source."""
        return self._next(wait_s, after)

    def _next(self, wait_s: float, after: int) -> Changes:
        for vm, endpoint in self._relays():
            news = self._ask(vm, endpoint, wait_s)
            if news is not None:
                return self._changes(news.values, news.revision, news.whole, [])
        return self._from_store(wait_s, after)

    def _relays(self) -> list[tuple[str, Endpoint]]:
        """Return the delegates that may be followed now, the one in use first."""
        now = monotonic()
        sound = [r for r in self._zone.relays().items() if now >= self._skipped.get(r[0], now)]
        return sorted(sound, key=lambda relay: relay[0] != self._source)

    def _ask(self, vm: str, endpoint: Endpoint, wait_s: float) -> News | None:
        """Ask a delegate; None if it does not answer, or has not heard from the store lately."""
        name, position = self._cursor if vm == self._source else (0, 0)
        try:
            news = self._follow(endpoint, self._name, name, position, min(wait_s, RELAY_WAIT_S))
            decode = self._hub.codecs[self._name].decode
            docs = news.values.items()
            news = replace(
                news, values={n: None if doc is None else decode(doc) for n, doc in docs}
            )
            reason = "" if news.age_s < RELAY_AGE_S else f"no store for {news.age_s:.1f} s"
        except (PeerError, ValueError) as exc:
            reason = str(exc)
        if reason:
            self._skipped[vm] = monotonic() + SKIP_S
            log.info("relay-skipped", feed=self._name, relay=vm, reason=reason)
            return None
        self._use(vm)
        self._cursor = (news.log, news.position)
        return news

    def _from_store(self, wait_s: float, after: int) -> Changes:
        """Follow the store itself."""
        whole = self._source != self._zone.vm
        if whole:
            found = self._own.read()
            self._use(self._zone.vm)
        else:
            often = self._often and self._zone.followed()
            found = self._own.changes(after, min(wait_s, RELAY_WAIT_S) if often else wait_s)
        self._hub.heard()
        return self._changes(found.values, found.revision, whole, found.faults)

    def _changes(
        self, values: Mapping[str, Any], revision: int, whole: bool, faults: list
    ) -> Changes:
        """Return changes, with what a whole list no longer names as removed."""
        gone = self._names - set(values) if whole else set()
        self._names -= gone | {name for name, value in values.items() if value is None}
        self._names |= {name for name, value in values.items() if value is not None}
        return Changes({**dict.fromkeys(gone), **values}, revision, faults)

    def _use(self, source: str) -> None:
        if source != self._source:
            log.info("feed-source", feed=self._name, source=source, was=self._source or "none")
        self._source = source
