"""SWIM membership: random probes, indirect probes, suspicion and refutation.

Source: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002. A VM tracks every member of its own availability
zone, and of each other zone only the few contacts with the highest rendezvous rank there.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

from gypsumwind.core.rendezvous import rank

MAX_MEMBERS = 16384
"""Members that are remembered; twice those of the largest fleet planned."""

CONTACTS_PER_FOREIGN_ZONE = 3
INDIRECT_PROBES = 3
UPDATES_PER_MESSAGE = 8
TRANSMISSIONS_PER_UPDATE = 6
DEAD_MEMBER_TTL_S = 3600.0
DEAD_PROBE_EVERY = 4


class State(IntEnum):
    """State of a member; at one incarnation a greater state overrides a smaller one."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An IP number with the caller, hand-off (HTTP) and peer (Thrift, UDP) ports of a VM."""

    ip: str
    caller_port: int
    handoff_port: int
    peer_port: int


@dataclass(slots=True, frozen=True)
class Member:
    """The latest known state of a VM: its zone, endpoint, incarnation and state."""

    vm: str
    zone: str
    endpoint: Endpoint
    incarnation: int
    state: State

    @property
    def usable(self) -> bool:
        """Return whether new work may be sent to the VM."""
        return self.state in (State.ALIVE, State.SUSPECT)


@dataclass(slots=True, frozen=True)
class Probe:
    """Request an acknowledgement; with a target, an indirect probe of that VM."""

    seq: int
    sender: Member
    updates: tuple[Member, ...]
    target: Endpoint | None = None


@dataclass(slots=True, frozen=True)
class Ack:
    """Acknowledge a direct or an indirect probe by its sequence number."""

    seq: int
    sender: Member
    updates: tuple[Member, ...]


@dataclass(slots=True, frozen=True)
class Envelope:
    """A message with the destination IP number and peer port."""

    ip: str
    port: int
    message: Probe | Ack


@dataclass(slots=True)
class _Pending:
    """A probe without acknowledgement yet: when to probe indirectly, and when it fails."""

    vm: str
    indirect_at: float
    fail_at: float
    indirect_sent: bool = False


@dataclass(slots=True)
class _IndirectProbe:
    """An indirect probe made for the VM at `to`, which receives the acknowledgement."""

    seq: int
    to: Endpoint
    until: float


@dataclass(slots=True, frozen=True)
class Timing:
    """Probe period, acknowledgement timeout and suspicion timeout, in seconds."""

    period_s: float = 0.5
    ack_s: float = 0.4
    suspect_s: float = 1.5


class Membership:
    """Protocol state of one VM, without I/O: its methods return the messages to send."""

    def __init__(
        self, local: Member, seeds: list[Endpoint], timing: Timing, rng: random.Random, now: float
    ) -> None:
        self.local = local
        self.members: dict[str, Member] = {}
        self.changed_at: dict[str, float] = {}
        self._seeds = [s for s in seeds if (s.ip, s.peer_port) != _peer_address(local.endpoint)]
        self._timing = timing
        self._rng = rng
        self._pending: dict[int, _Pending] = {}
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._transmissions: dict[str, int] = {}
        self._order: list[str] = []
        self._seq = 0
        self._ticks = 0
        self._next_probe = now
        self.version = 0

    def add_seeds(self, seeds: Iterable[Endpoint]) -> None:
        """Add endpoints at which members may be found."""
        known = {_peer_address(seed) for seed in self._seeds} | {_peer_address(self.local.endpoint)}
        self._seeds += [seed for seed in seeds if _peer_address(seed) not in known]

    def live(self, zone: str | None = None) -> list[Member]:
        """Return the other members that new work may be sent to, of one zone or of all zones."""
        members = [m for m in self.members.values() if m.usable]
        return [m for m in members if zone is None or m.zone == zone]

    def get(self, vm: str) -> Member | None:
        """Return the member record of a VM, this one included, or None."""
        return self.local if vm == self.local.vm else self.members.get(vm)

    def leave(self, state: State) -> list[Envelope]:
        """Announce immediately to a few members that this VM is leaving or has left."""
        self.local = replace(self.local, state=state)
        self.version += 1
        self._transmissions[self.local.vm] = TRANSMISSIONS_PER_UPDATE
        peers = self.live()
        chosen = self._rng.sample(peers, min(len(peers), TRANSMISSIONS_PER_UPDATE))
        return [self._probe(member) for member in chosen]

    def cancel_leave(self) -> None:
        """Return to ALIVE at a higher incarnation, which overrides the announced LEAVING."""
        self.local = replace(self.local, state=State.ALIVE, incarnation=self.local.incarnation + 1)
        self.version += 1
        self._transmissions[self.local.vm] = TRANSMISSIONS_PER_UPDATE

    def tick(self, now: float) -> list[Envelope]:
        """Handle expired timers and probe the next member once per period."""
        sends = self._expire(now)
        if now >= self._next_probe:
            self._next_probe = now + self._timing.period_s
            self._ticks += 1
            sends.extend(self._probe_next(now))
        return sends

    def receive(self, message: Probe | Ack, now: float) -> list[Envelope]:
        """Merge the updates of a message and return the replies."""
        self._merge(message.sender, now)
        for member in message.updates:
            self._merge(member, now)
        if isinstance(message, Ack):
            return self._on_ack(message)
        if message.target is not None:
            return self._on_indirect(message, now)
        return [self._ack(message.sender.endpoint, message.seq)]

    def _on_ack(self, ack: Ack) -> list[Envelope]:
        self._pending.pop(ack.seq, None)
        indirect = self._indirect_probes.pop(ack.seq, None)
        if indirect is None:
            return []
        return [self._ack(indirect.to, indirect.seq)]

    def _on_indirect(self, probe: Probe, now: float) -> list[Envelope]:
        assert probe.target is not None
        seq = self._next_seq()
        self._indirect_probes[seq] = _IndirectProbe(
            probe.seq, probe.sender.endpoint, now + 2 * self._timing.ack_s
        )
        message = Probe(seq, self.local, self._updates())
        return [Envelope(probe.target.ip, probe.target.peer_port, message)]

    def _probe_next(self, now: float) -> list[Envelope]:
        sends = []
        if not self._order:
            self._order = [m.vm for m in self.members.values() if m.state < State.DEAD]
            self._rng.shuffle(self._order)
        if self._order:
            member = self.members.get(self._order.pop())
            if member is not None and member.state < State.DEAD:
                sends.append(self._probe(member))
                timing = self._timing
                self._pending[self._seq] = _Pending(
                    member.vm, now + timing.ack_s, now + 2 * timing.ack_s + timing.period_s
                )
        sends.extend(self._probe_unreachable())
        return sends

    def _probe_unreachable(self) -> list[Envelope]:
        """Probe an unknown seed or a dead member, so that partitioned zones rejoin."""
        known = {_peer_address(m.endpoint) for m in self.members.values() if m.state < State.DEAD}
        unreachable = [s for s in self._seeds if _peer_address(s) not in known]
        dead = [m.endpoint for m in self.members.values() if m.state == State.DEAD]
        if self._ticks % DEAD_PROBE_EVERY == 0:
            unreachable.extend(dead)
        elif self.members:
            unreachable = unreachable if self._ticks % 2 == 0 else []
        if not unreachable:
            return []
        endpoint = self._rng.choice(unreachable)
        message = Probe(self._next_seq(), self.local, self._updates())
        return [Envelope(endpoint.ip, endpoint.peer_port, message)]

    def _expire(self, now: float) -> list[Envelope]:
        sends: list[Envelope] = []
        for seq, pending in list(self._pending.items()):
            if now >= pending.fail_at:
                del self._pending[seq]
                self._suspect(pending.vm, now)
            elif now >= pending.indirect_at and not pending.indirect_sent:
                pending.indirect_sent = True
                sends.extend(self._probe_indirectly(seq, pending.vm))
        self._indirect_probes = {s: r for s, r in self._indirect_probes.items() if r.until > now}
        for vm, member in list(self.members.items()):
            age = now - self.changed_at.get(vm, now)
            if member.state == State.SUSPECT and age >= self._timing.suspect_s:
                self._set(replace(member, state=State.DEAD), now, keep_time=True)
            elif member.state >= State.DEAD and age >= DEAD_MEMBER_TTL_S:
                del self.members[vm]
        return sends

    def _probe_indirectly(self, seq: int, vm: str) -> list[Envelope]:
        target = self.members.get(vm)
        if target is None:
            return []
        others = [m for m in self.live() if m.vm != vm]
        chosen = self._rng.sample(others, min(len(others), INDIRECT_PROBES))
        message = Probe(seq, self.local, self._updates(), target.endpoint)
        return [Envelope(m.endpoint.ip, m.endpoint.peer_port, message) for m in chosen]

    def _suspect(self, vm: str, now: float) -> None:
        member = self.members.get(vm)
        if member is not None and member.state < State.SUSPECT:
            self._set(replace(member, state=State.SUSPECT), now)

    def _merge(self, update: Member, now: float) -> None:
        if update.vm == self.local.vm:
            self._refute(update)
            return
        known = self.members.get(update.vm)
        if known is None:
            room = len(self.members) < MAX_MEMBERS
            if room and update.state < State.DEAD and self._should_track(update):
                self._set(update, now)
                self._trim_contacts(update.zone)
            return
        newer = (update.incarnation, update.state) > (known.incarnation, known.state)
        if newer:
            keep = known.state == State.SUSPECT and update.state == State.DEAD
            self._set(update, now, keep_time=keep and update.incarnation == known.incarnation)

    def _refute(self, update: Member) -> None:
        stale = update.incarnation > self.local.incarnation
        suspected = update.state >= State.SUSPECT and self.local.state < State.SUSPECT
        if stale or (suspected and update.incarnation == self.local.incarnation):
            self.local = replace(self.local, incarnation=update.incarnation + 1)
            self.version += 1
            self._transmissions[self.local.vm] = TRANSMISSIONS_PER_UPDATE

    def _set(self, member: Member, now: float, keep_time: bool = False) -> None:
        self.version += 1
        self.members[member.vm] = member
        if not keep_time or member.vm not in self.changed_at:
            self.changed_at[member.vm] = now
        self._transmissions[member.vm] = TRANSMISSIONS_PER_UPDATE

    def _should_track(self, update: Member) -> bool:
        if update.zone == self.local.zone:
            return True
        contacts = [m for m in self.live(update.zone)]
        if len(contacts) < CONTACTS_PER_FOREIGN_ZONE:
            return True
        lowest = min(rank(update.zone, m.vm) for m in contacts)
        return rank(update.zone, update.vm) > lowest

    def _trim_contacts(self, zone: str) -> None:
        if zone == self.local.zone:
            return
        contacts = sorted(self.live(zone), key=lambda m: rank(zone, m.vm), reverse=True)
        for member in contacts[CONTACTS_PER_FOREIGN_ZONE:]:
            del self.members[member.vm]
            self.version += 1

    def _updates(self) -> tuple[Member, ...]:
        """Return the updates to piggyback, the least often sent ones first."""
        chosen = sorted(self._transmissions, key=lambda vm: -self._transmissions[vm])
        updates = []
        for vm in chosen[:UPDATES_PER_MESSAGE]:
            self._transmissions[vm] -= 1
            if self._transmissions[vm] <= 0:
                del self._transmissions[vm]
            member = self.members.get(vm)
            if member is not None:
                updates.append(member)
        return tuple(updates)

    def _probe(self, member: Member) -> Envelope:
        message = Probe(self._next_seq(), self.local, self._updates_for(member))
        return Envelope(member.endpoint.ip, member.endpoint.peer_port, message)

    def _updates_for(self, member: Member) -> tuple[Member, ...]:
        """Return the updates and, for a suspect or dead member, its own state to refute."""
        updates = self._updates()
        if member.state >= State.SUSPECT and member not in updates:
            return (*updates, member)
        return updates

    def _ack(self, to: Endpoint, seq: int) -> Envelope:
        known = [m for m in self.members.values() if _peer_address(m.endpoint) == _peer_address(to)]
        updates = self._updates_for(known[0]) if known else self._updates()
        return Envelope(to.ip, to.peer_port, Ack(seq, self.local, updates))

    def _next_seq(self) -> int:
        self._seq += 1
        return self._seq


def _peer_address(endpoint: Endpoint) -> tuple[str, int]:
    return endpoint.ip, endpoint.peer_port
