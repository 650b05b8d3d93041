"""The actors: each owns one part of the state and is reached by messages alone."""

import random
import socket
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import replace
from typing import Any

import pykka

from gypsumwind import messages as msg
from gypsumwind.board import Board, Heir, HoldsView, MembersView, VmLoad, ZoneLoad
from gypsumwind.core.admission import (
    Admission,
    Granted,
    Outcome,
    PermitRequest,
    Reason,
    Refused,
    Usage,
)
from gypsumwind.core.attempts import Attempts
from gypsumwind.core.choice import CHOICES
from gypsumwind.core.fence import Fence
from gypsumwind.core.health import Result
from gypsumwind.core.idempotency import KeyTable
from gypsumwind.core.membership import Envelope, Membership
from gypsumwind.core.ownership import ClaimReply, HandoverReply, Hold, Ownership
from gypsumwind.core.records import CONFIG_SCOPE, Record, Records
from gypsumwind.core.routes import route_of
from gypsumwind.core.table import ServiceTable, places_from_json, table_from_json
from gypsumwind.errors import TableError
from gypsumwind.log import Log
from gypsumwind.metrics import Metrics
from gypsumwind.settings import Settings
from gypsumwind.traffic import control
from gypsumwind.utils import monotonic, split_address, unpack_json, wall
from gypsumwind.wire import datagram_to_bytes, headroom_from_wire, thrift, unpack

log = Log("actors")

TABLE_PREFIX = "table/"
PLACES_KEY = "places"
VM_PREFIX = "vm/"
ZONE_PREFIX = "zone/"
HEIR_PREFIX = "heir/"
VMLIST_KEY = "vmlist"
REPORT_WAIT_S = 1.5


class MembersActor(pykka.ThreadingActor):
    """Owns the membership protocol and sends its datagrams."""

    def __init__(self, membership: Membership, sock: socket.socket, board: Board) -> None:
        super().__init__()
        self._membership = membership
        self._sock = sock
        self._board = board
        self._published = -1

    def on_receive(self, message: Any) -> None:
        """Handle Tick, Received, Leave and AddSeeds."""
        now = monotonic()
        match message:
            case msg.Tick():
                self._send(self._membership.tick(now))
            case msg.Received():
                self._send(self._membership.receive(message.message, now))
            case msg.Leave():
                self._send(self._membership.leave(message.state))
            case msg.Resume():
                self._membership.resume()
            case msg.AddSeeds():
                self._membership.add_seeds([m.endpoint for m in message.members])
        self._publish()

    def _send(self, envelopes: list[Envelope]) -> None:
        for envelope in envelopes:
            data = datagram_to_bytes(envelope.message)
            control.add(len(data))
            try:
                self._sock.sendto(data, (envelope.ip, envelope.port))
            except OSError as exc:
                log.warning("datagram-not-sent", to=envelope.ip, error=str(exc))

    def _publish(self) -> None:
        membership = self._membership
        if membership.version == self._published:
            return
        self._log_changes()
        self._published = membership.version
        self._board.members = MembersView(
            membership.me, dict(membership.members), dict(membership.changed_at)
        )

    def _log_changes(self) -> None:
        old = self._board.members.members
        for vm, member in self._membership.members.items():
            before = old.get(vm)
            if before is None or before.state is not member.state:
                was = before.state.name if before else "unknown"
                log.info("member-state", vm=vm, was=was, now=member.state.name)


class RecordsActor(pykka.ThreadingActor):
    """Owns the versioned records; publishes tables and loads, and spreads new tables."""

    def __init__(
        self,
        board: Board,
        zone: str,
        region: str,
        gate: "pykka.ActorRef[GateActor]",
        spread: Callable[[list[Record]], None],
    ) -> None:
        super().__init__()
        self._records = Records(zone)
        self._region = region
        self._board = board
        self._gate = gate
        self._spread = spread

    def on_receive(self, message: Any) -> Any:
        """Handle PutRecords and the questions about records."""
        match message:
            case msg.PutRecords():
                return self._put(message.records)
            case msg.PublishRecord():
                self._prune()
                return self._put((self._next_version(message),))
            case msg.GetDigests():
                return {scope: self._records.digest(scope) for scope in self._records.scopes()}
            case msg.GetVersions():
                return self._records.versions(message.scope)
            case msg.GetNewer():
                return self._records.newer_than(message.scope, message.versions)
            case msg.GetWanted():
                return self._records.wanted(message.scope, message.versions)
            case msg.GetRecords():
                found = (self._records.get(key) for key in message.keys)
                return [record for record in found if record is not None]
        return None

    def _put(self, records: tuple[Record, ...]) -> list[Record]:
        kept = [r for r in records if self._readable(r) and self._records.put(r)]
        config = [r for r in kept if is_config(r.key)]
        for record in kept:
            self._publish(record)
        if config:
            self._publish_routes(config)
            self._board.tables_hash = self._records.digest(CONFIG_SCOPE, is_config)
            self._spread(config)
        return kept

    def _publish_routes(self, changed: list[Record]) -> None:
        """Put the changed tables in force; after a change of the places, all of them."""
        if any(record.key == PLACES_KEY for record in changed):
            changed = self._records.with_prefix(TABLE_PREFIX)
        routes = {}
        for record in changed:
            table = table_of(record)
            routes[table.service] = route_of(table, self._board.places, self._region)
        self._board.routes = {**self._board.routes, **routes}
        self._gate.tell(msg.SyncRoutes(tuple(routes.values())))

    def _prune(self) -> None:
        """Forget who inherited keys that have expired."""
        for heir in list(self._board.heirs.values()):
            if heir.expires <= wall():
                self._records.drop(heir_key(heir.home))
                heirs = self._board.heirs
                self._board.heirs = {h: v for h, v in heirs.items() if h != heir.home}

    def _next_version(self, message: msg.PublishRecord) -> Record:
        known = self._records.get(message.key)
        version = max(int(wall() * 1000), known.version + 1 if known else 0)
        return Record(message.key, version, message.scope, message.payload)

    def _readable(self, record: Record) -> bool:
        try:
            _decode(record)
        except (ValueError, TableError) as exc:
            if record.key.startswith(HEIR_PREFIX):
                return False
            log.error("record-unreadable", key=record.key, error=str(exc))
            return False
        return True

    def _publish(self, record: Record) -> None:
        board, value = self._board, _decode(record)
        if record.key == PLACES_KEY:
            board.places = value
            log.info("places-in-force", generation=value.generation)
        elif record.key.startswith(TABLE_PREFIX):
            log.info("table-in-force", service=value.service, generation=value.generation)
        elif record.key.startswith(VM_PREFIX):
            board.vms = {**board.vms, value.vm: value}
            self._gate.tell(msg.LearnHolds(value.vm, value.holds))
        elif record.key.startswith(HEIR_PREFIX):
            board.heirs = {**board.heirs, value.home: value}
        elif record.key.startswith(ZONE_PREFIX):
            board.zones = {**board.zones, value.zone: value}
        elif record.key == VMLIST_KEY:
            self._gate.tell(msg.SyncLeaving(frozenset(value)))


def table_of(record: Record) -> ServiceTable:
    """Return the whole table of a table/ record."""
    return table_from_json(unpack_json(record.payload))


def is_config(key: str) -> bool:
    """Tell whether a record is a table or the places."""
    return key.startswith(TABLE_PREFIX) or key == PLACES_KEY


def heir_key(home: msg.HomeId) -> str:
    """Return the key of the record that says who inherited a home's keys."""
    return f"{HEIR_PREFIX}{home[0]}/{home[1]}"


def _decode(record: Record) -> Any:
    """Return the typed value of a record; ValueError or TableError if it is unreadable."""
    if record.key == PLACES_KEY:
        return places_from_json(unpack_json(record.payload))
    if record.key.startswith(TABLE_PREFIX):
        return table_of(record)
    if record.key.startswith(VM_PREFIX):
        return vm_load_from_bytes(record.payload)
    if record.key.startswith(ZONE_PREFIX):
        return zone_load_from_bytes(record.payload)
    if record.key == VMLIST_KEY:
        return unpack_json(record.payload)
    if record.key.startswith(HEIR_PREFIX):
        return heir_from_bytes(record.payload)
    raise ValueError(f"unknown kind of record: {record.key}")


def vm_load_from_bytes(payload: bytes) -> VmLoad:
    """Read the payload of a vm/ record."""
    wire = unpack(thrift.VmDigest, payload)
    holds = tuple(
        (Hold(h.instance, wire.vm, h.epoch), h.in_flight, h.latest_deadline) for h in wire.holds
    )
    headroom = {service: headroom_from_wire(room) for service, room in wire.headroom.items()}
    return VmLoad(wire.vm, wire.incarnation, wire.leaving, holds, headroom, wire.tables_hash)


def zone_load_from_bytes(payload: bytes) -> ZoneLoad:
    """Read the payload of a zone/ record."""
    wire = unpack(thrift.ZoneDigest, payload)
    headroom = {service: headroom_from_wire(room) for service, room in wire.headroom.items()}
    return ZoneLoad(wire.zone, wire.at, wire.vms, headroom, wire.tables_hash)


def heir_from_bytes(payload: bytes) -> Heir:
    """Read the payload of an heir/ record; ValueError if it has expired."""
    wire = unpack(thrift.Heir, payload)
    if wire.expires <= wall():
        raise ValueError("expired")
    return Heir((wire.vm, wire.incarnation), wire.heir, wire.expires)


class GateActor(pykka.ThreadingActor):
    """Owns holds, slots, attempts and the fence of this VM: all that guards a capacity."""

    def __init__(
        self,
        cfg: Settings,
        board: Board,
        metrics: Metrics,
        discharge: Callable[[str, bool], None],
        rng: random.Random,
    ) -> None:
        super().__init__()
        now = monotonic()
        self._cfg = cfg
        self._board = board
        self._metrics = metrics
        self._discharge = discharge
        self._fence = Fence(cfg.fence_s, now)
        self._ownership = Ownership(cfg.vm)
        self._admission = Admission(CHOICES[cfg.choice](), cfg.queue_wait_s, rng)
        self._attempts = Attempts()
        self._waiting: dict[str, Future[Granted | Refused]] = {}
        self._loads: dict[str, tuple[int, float]] = {}
        self._leaving_ips: frozenset[str] = frozenset()
        self._handlers: dict[type, Callable[[Any, float], Any]] = {
            msg.Tick: self._tick,
            msg.SyncRoutes: self._sync_routes,
            msg.SyncLeaving: self._sync_leaving,
            msg.LearnHolds: self._learn_holds,
            msg.RequestPermit: self._request_permit,
            msg.CancelPermit: self._cancel_permit,
            msg.FinishPermit: self._finish_permit,
            msg.AdmitAttempt: self._admit_attempt,
            msg.RefuseAttempt: self._refuse_attempt,
            msg.VoidAttempt: self._void_attempt,
            msg.AnswerClaims: self._answer_claims,
            msg.StartClaims: self._start_claims,
            msg.FinishClaims: self._finish_claims,
            msg.StartHandover: self._start_handover,
            msg.EndHandover: self._end_handover,
            msg.AcceptHandover: self._accept_handover,
            msg.Discharge: self._discharged,
            msg.HealthSeen: self._health_seen,
            msg.GetHolds: self._get_holds,
        }

    def on_receive(self, message: Any) -> Any:
        """Dispatch a message to its handler."""
        handler = self._handlers[type(message)]
        return handler(message, monotonic())

    def _tick(self, message: msg.Tick, now: float) -> None:
        if not self._fence.renew(now):
            self._lapse()
        self._board.fence_until = now + self._cfg.fence_s
        self._attempts.expire(now)
        self._settle(self._admission.tick(now))
        self._publish(now)

    def _lapse(self) -> None:
        lost = self._ownership.drop_all()
        self._own()
        self._settle(self._admission.refuse_all(Reason.LAPSED))
        self._metrics.event("fence-lapsed")
        log.warning("fence-lapsed", holds_dropped=len(lost))

    def _publish(self, now: float) -> None:
        own = self._ownership
        self._board.holds = HoldsView(
            dict(own.held),
            dict(own.handing),
            dict(own.known),
            self._own_loads(now),
            self._admission.headroom(now),
        )

    def _own_loads(self, now: float) -> dict[str, tuple[int, float]]:
        loads = {}
        for name in self._ownership.held:
            state = self._admission.states.get(name)
            if state is not None:
                usages = [*state.in_flight.values(), *state.live_charges(now)]
                latest = max((u.deadline for u in usages), default=now)
                loads[name] = (len(usages), latest - now + wall())
        return loads

    def _get_holds(self, message: msg.GetHolds, now: float) -> HoldsView:
        self._publish(now)
        return self._board.holds

    def _sync_routes(self, message: msg.SyncRoutes, now: float) -> None:
        settle_at = now + self._cfg.settle_s
        for route in message.routes:
            self._admission.sync_route(route, self._cfg.region, settle_at)
        self._mark_leaving()

    def _sync_leaving(self, message: msg.SyncLeaving, now: float) -> None:
        self._leaving_ips = message.ips
        self._mark_leaving()

    def _mark_leaving(self) -> None:
        for state in self._admission.states.values():
            ip, _ = split_address(state.instance.address)
            state.health.set_leaving("vm-list", ip in self._leaving_ips)

    def _learn_holds(self, message: msg.LearnHolds, now: float) -> None:
        lost = False
        names = set()
        for hold, in_flight, latest_deadline in message.holds:
            names.add(hold.instance)
            self._loads[hold.instance] = (in_flight, latest_deadline)
            if self._ownership.learn(hold):
                lost = True
                log.warning("hold-lost", instance=hold.instance, to=hold.holder)
        self._ownership.forget_missing(message.holder, names, now)
        if lost:
            self._own()

    def _own(self) -> None:
        held = self._ownership.held
        self._admission.set_owned(name for name in held if self._ownership.may_admit(name))

    def _request_permit(self, message: msg.RequestPermit, now: float) -> None:
        req, fut = message.request, message.fut
        if not self._fence.valid(now):
            fut.set_result(self._admission.refuse(req, Reason.LAPSED))
            return
        answer = self._admission.request(req, now)
        if answer is not None:
            fut.set_result(answer)
            return
        queued, outcome = self._admission.enqueue(req, now)
        if queued:
            self._waiting[req.attempt] = fut
        else:
            fut.set_result(self._admission.refuse(req, Reason.FULL))
        self._settle(outcome)

    def _settle(self, outcome: Outcome) -> None:
        answers: list[Granted | Refused] = [*outcome.granted, *outcome.refused]
        for answer in answers:
            fut = self._waiting.pop(answer.attempt, None)
            if fut is not None:
                fut.set_result(answer)

    def _cancel_permit(self, message: msg.CancelPermit, now: float) -> None:
        self._waiting.pop(message.attempt, None)
        self._admission.cancel(message.attempt)
        ended = self._admission.finish(message.attempt, False, now)
        if ended is not None:
            self._settle(ended.outcome)

    def _finish_permit(self, message: msg.FinishPermit, now: float) -> None:
        running = message.result in (Result.CANCELLED, Result.CUT)
        ended = self._admission.finish(message.attempt, running, now)
        if ended is None:
            return
        state = ended.state
        self._settle(ended.outcome)
        if message.draining:
            state.health.signal_leaving(now)
        elsewhere = self._ejected_elsewhere(state.service)
        if self._admission.observe(state, message.result, message.latency_s, elsewhere, now):
            self._metrics.event("instance-ejected")
            log.warning("instance-ejected", instance=state.instance.name)
        if state.instance.name not in self._ownership.held:
            self._discharge(state.instance.name, ended.usage.foreign)

    def _ejected_elsewhere(self, service: str) -> int:
        members = self._board.members
        loads = (self._board.vms.get(m.vm) for m in members.live(self._cfg.zone))
        rooms = (load.headroom.get(service) for load in loads if load is not None)
        return sum(room.ejected for room in rooms if room is not None)

    def _admit_attempt(self, message: msg.AdmitAttempt, now: float) -> bool:
        return self._attempts.admit(message.attempt, message.deadline, now)

    def _refuse_attempt(self, message: msg.RefuseAttempt, now: float) -> None:
        self._attempts.refuse(message.attempt)

    def _void_attempt(self, message: msg.VoidAttempt, now: float) -> bool:
        return self._attempts.void(message.attempt, message.deadline, now)

    def _answer_claims(self, message: msg.AnswerClaims, now: float) -> list[ClaimReply]:
        silent = message.silent
        return [self._ownership.answer(claim, silent, now) for claim in message.claims]

    def _start_claims(self, message: msg.StartClaims, now: float) -> list[Any]:
        return self._ownership.start_claims(message.instances, message.silent, now)

    def _finish_claims(self, message: msg.FinishClaims, now: float) -> list[Hold]:
        won = self._ownership.finish_claims(message.claims, message.replies, message.peers, now)
        for hold in won:
            self._take_over(hold.instance, now)
            log.info("hold-won", instance=hold.instance, epoch=hold.epoch)
        self._own()
        return won

    def _take_over(self, instance: str, now: float) -> None:
        state = self._admission.states.get(instance)
        if state is None:
            return
        count, latest = self._loads.get(instance, (0, 0.0))
        deadline = now + max(0.0, latest - wall())
        running = [Usage(deadline, True)] * max(0, count - len(state.in_flight))
        report_by = now + REPORT_WAIT_S if self._cfg.load_path else now
        state.take_over(running, report_by)

    def _start_handover(self, message: msg.StartHandover, now: float) -> tuple | None:
        if message.instance not in self._ownership.held:
            return None
        hold = self._ownership.start_handover(message.instance, message.target)
        self._own()
        state = self._admission.states.get(message.instance)
        if state is None:
            return hold, []
        return hold, state.start_handover(now)

    def _end_handover(self, message: msg.EndHandover, now: float) -> None:
        match message.reply:
            case HandoverReply.TAKEN:
                self._ownership.finish_handover(message.hold)
                self._metrics.event("hold-handed-over")
                self._discharge_ended(message.hold.instance)
            case HandoverReply.REFUSED:
                self._ownership.cancel_handover(message.hold.instance)
                self._end_in_flight(message.hold.instance)
            case HandoverReply.SUPERSEDED:
                self._ownership.abandon_handover(message.hold.instance)
        self._own()
        self._refuse_orphans(now)

    def _end_in_flight(self, instance: str) -> list[Usage]:
        state = self._admission.states.get(instance)
        return state.end_handover() if state else []

    def _discharge_ended(self, instance: str) -> None:
        """Tell the new owner of requests that ended while the hold was on its way."""
        for usage in self._end_in_flight(instance):
            self._discharge(instance, usage.foreign)

    def _refuse_orphans(self, now: float) -> None:
        """Refuse queued requests at once when no instance of their service is left here."""
        if not self._ownership.held:
            self._settle(self._admission.refuse_all(Reason.NO_INSTANCE))

    def _accept_handover(self, message: msg.AcceptHandover, now: float) -> HandoverReply:
        fresh = message.hold.instance not in self._ownership.held
        reply = self._ownership.accept_handover(message.hold, message.leaving)
        if reply is HandoverReply.TAKEN and fresh:
            self._admission.charge(message.hold.instance, list(message.usages))
            self._own()
            log.info("hold-taken", instance=message.hold.instance, epoch=message.hold.epoch)
        return reply

    def _discharged(self, message: msg.Discharge, now: float) -> None:
        state = self._admission.states.get(message.instance)
        if state is not None:
            state.discharge(message.foreign)
            self._settle(self._admission.drain_queue(state.service, now))

    def _health_seen(self, message: msg.HealthSeen, now: float) -> None:
        state = self._admission.states.get(message.instance)
        if state is None:
            return
        if message.draining is not None:
            state.health.set_leaving("health-endpoint", message.draining)
        if message.ill is not None:
            state.health.set_ill(message.ill, now)
        if message.in_flight is not None:
            state.report(message.in_flight, now + self._cfg.max_deadline_s, now)
        self._settle(self._admission.drain_queue(state.service, now))


class HomeActor(pykka.ThreadingActor):
    """Owns the memory of the idempotency keys whose home is this VM."""

    def __init__(self, home: msg.HomeId, capacity: int, max_bytes: int) -> None:
        super().__init__()
        self._keys: KeyTable[msg.StoredOutcome] = KeyTable(capacity)
        self._homes: set[msg.HomeId] = {home}
        self._max_bytes = max_bytes
        self._bytes = 0

    def on_receive(self, message: Any) -> Any:
        """Handle the messages about keys, and Tick."""
        match message:
            case msg.BeginKey():
                return self._keys.begin(message.key, message.fingerprint, message.expires, wall())
            case msg.KnowsKey():
                return message.key in self._keys
            case msg.FinishKey():
                self._keys.finish(message.key, self._fitting(message.outcome))
            case msg.ForgetKey():
                self._keys.forget(message.key)
            case msg.StandsFor():
                return message.home in self._homes
            case msg.CloseHome():
                return msg.HomeLegacy(tuple(self._homes), tuple(self._keys.close()))
            case msg.InheritKeys():
                self._keys.inherit(message.legacy.entries)
                self._homes.update(message.legacy.homes)
            case msg.Tick():
                self._expire()
        return None

    def _fitting(self, outcome: msg.StoredOutcome) -> msg.StoredOutcome:
        """Return the outcome, without its body when the memory for bodies is used up."""
        size = len(outcome.body or b"")
        if self._bytes + size > self._max_bytes:
            return replace(outcome, body=None)
        self._bytes += size
        return outcome

    def _expire(self) -> None:
        self._keys.expire(wall())
        outcomes = (entry.outcome for entry in self._keys.entries())
        self._bytes = sum(len(o.body or b"") for o in outcomes if o is not None)


def permit_future(
    gate: "pykka.ActorRef[GateActor]", request: PermitRequest
) -> "Future[Granted | Refused]":
    """Ask the gate actor for a slot; the future gets Granted or Refused."""
    fut: Future[Granted | Refused] = Future()
    gate.tell(msg.RequestPermit(request, fut))
    return fut
