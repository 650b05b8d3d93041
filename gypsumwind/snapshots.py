"""Immutable snapshots that actors publish; each is replaced as a whole, by its only writer."""

import threading
from collections.abc import Mapping
from dataclasses import dataclass, field

from gypsumwind.core.admission import Headroom
from gypsumwind.core.departures import Departure
from gypsumwind.core.isolation import IsolationNotice
from gypsumwind.core.membership import Member, State
from gypsumwind.core.ownership import Hold
from gypsumwind.core.rate_limits import RateLimit
from gypsumwind.core.restores import ZoneClosures
from gypsumwind.core.routes import ServiceRoute
from gypsumwind.core.rules import Ruleset
from gypsumwind.core.table import Places
from gypsumwind.core.upstreams import UpstreamList


@dataclass(slots=True, frozen=True)
class MembersView:
    """The known members, and the monotonic time at which each entered its state."""

    local: Member
    members: Mapping[str, Member]
    changed_at: Mapping[str, float]

    def live(self, zone: str | None = None) -> list[Member]:
        """Return the other members to which new requests may be sent."""
        found = [m for m in self.members.values() if m.usable]
        return [m for m in found if zone is None or m.zone == zone]

    def present(self, zone: str) -> list[Member]:
        """Return the other members of a zone that are not known to be dead or to have left."""
        return [m for m in self.members.values() if m.zone == zone and m.state < State.DEAD]

    def get(self, vm: str) -> Member | None:
        """Return a member by VM name, including this VM, or None if unknown."""
        return self.local if vm == self.local.vm else self.members.get(vm)

    def lease_expired(self, vm: str, lease_expiry_s: float, now: float) -> bool:
        """Return whether a VM has left, or has been dead for at least `lease_expiry_s`."""
        member = self.members.get(vm)
        if member is None:
            return False
        if member.state is State.LEFT:
            return True
        silent = now - self.changed_at.get(vm, now)
        return member.state is State.DEAD and silent >= lease_expiry_s


@dataclass(slots=True, frozen=True)
class VmLoad:
    """The load a VM of the zone last published: its incarnation, holds and headroom."""

    vm: str
    incarnation: int
    leaving: bool
    holds: tuple[tuple[Hold, int, float], ...]
    headroom: Mapping[str, Headroom]
    tables_hash: int


@dataclass(slots=True, frozen=True)
class ZoneLoad:
    """The load a zone last published: time in epoch seconds, number of VMs, headroom.

    `tables_hash` is the hash common to all its VMs, 0 while they differ.
    """

    zone: str
    at: float
    vms: int
    headroom: Mapping[str, Headroom]
    tables_hash: int


@dataclass(slots=True, frozen=True)
class Heir:
    """The VM that serves a home's idempotency keys after that home's graceful shutdown."""

    home: tuple[str, int]
    vm: str
    expires: float


@dataclass(slots=True, frozen=True)
class HoldsView:
    """This VM's holds, its hand-overs in progress, the known holds of other VMs, and its load."""

    held: Mapping[str, int] = field(default_factory=dict)
    handovers: Mapping[str, Hold] = field(default_factory=dict)
    known: Mapping[str, Hold] = field(default_factory=dict)
    loads: Mapping[str, tuple[int, float]] = field(default_factory=dict)
    headroom: Mapping[str, Headroom] = field(default_factory=dict)


class Snapshots:
    """The latest snapshots; those from the rules to the isolations are for direct daemons.

    `steering_ready` is set once rules and upstreams are known.
    """

    __slots__ = (
        "members",
        "routes",
        "tables_hash",
        "places",
        "vms",
        "zones",
        "heirs",
        "holds",
        "fence_until",
        "leaving",
        "rules",
        "upstreams",
        "closed_zones",
        "departures",
        "rate_limits",
        "isolations",
        "isolation_suspected",
        "steering_ready",
    )

    def isolated(self, vm: str, epoch: float) -> bool:
        """Return whether a VM reaches no instance, by its last notice."""
        notice = self.isolations.get(vm)
        return notice is not None and notice.isolated and notice.expires > epoch

    def __init__(self, local: Member) -> None:
        self.members = MembersView(local, {}, {})
        self.routes: Mapping[str, ServiceRoute] = {}
        self.tables_hash = 0
        self.places = Places()
        self.vms: Mapping[str, VmLoad] = {}
        self.zones: Mapping[str, ZoneLoad] = {}
        self.heirs: Mapping[tuple[str, int], Heir] = {}
        self.holds = HoldsView()
        self.fence_until = 0.0
        self.leaving = False
        self.rules: Ruleset | None = None
        self.upstreams = UpstreamList()
        self.closed_zones = ZoneClosures()
        self.departures: Mapping[str, Departure] = {}
        self.rate_limits: Mapping[str, RateLimit] = {}
        self.isolations: Mapping[str, IsolationNotice] = {}
        self.isolation_suspected = False
        self.steering_ready = threading.Event()
