"""The actor that owns a VM's holds, slots, attempts and lease (its fence)."""

import random
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

import pykka

from gypsumwind import messages as msg
from gypsumwind.actors import Actor
from gypsumwind.core.admission import (
    Admission,
    Granted,
    PermitRequest,
    QueueOutcome,
    Reason,
    Refused,
    Usage,
)
from gypsumwind.core.attempts import Attempts
from gypsumwind.core.choice import CHOICES
from gypsumwind.core.fence import Fence
from gypsumwind.core.health import Result
from gypsumwind.core.ownership import ClaimReply, HandoverReply, Hold, Ownership
from gypsumwind.log import Log
from gypsumwind.metrics import Metrics
from gypsumwind.settings import Settings
from gypsumwind.snapshots import HoldsView, Snapshots
from gypsumwind.utils import monotonic, split_address, wall

FIRST_REPORT_TIMEOUT_S = 1.5

log = Log("permits")


class GateActor(Actor):
    """Owns all state that limits admission on this VM: holds, slots, attempts, the fence."""

    def __init__(
        self,
        cfg: Settings,
        snapshots: Snapshots,
        metrics: Metrics,
        discharge: Callable[[str, bool], None],
        rng: random.Random,
    ) -> None:
        super().__init__()
        now = monotonic()
        self._cfg = cfg
        self._snapshots = snapshots
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
            msg.UpdatePeerHolds: self._update_peer_holds,
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
            msg.Discharge: self._apply_discharge,
            msg.HealthObserved: self._health_observed,
            msg.GetHolds: self._get_holds,
        }

    def handle(self, message: Any) -> Any:
        """Pass a message to the handler of its type, and return its result."""
        handler = self._handlers[type(message)]
        return handler(message, monotonic())

    def _tick(self, message: msg.Tick, now: float) -> None:
        if not self._fence.renew(now):
            self._handle_lease_expiry()
        self._snapshots.fence_until = now + self._cfg.fence_s
        self._attempts.expire(now)
        self._resolve_queued(self._admission.tick(now))
        self._publish(now)

    def _handle_lease_expiry(self) -> None:
        lost = self._ownership.release_all()
        self._own()
        self._resolve_queued(self._admission.refuse_all(Reason.LEASE_EXPIRED))
        self._metrics.event("fence-lapsed")
        log.warning("fence-lapsed", holds_dropped=len(lost))

    def _publish(self, now: float) -> None:
        own = self._ownership
        self._snapshots.holds = HoldsView(
            dict(own.held),
            dict(own.handovers),
            dict(own.known),
            self._owned_loads(now),
            self._admission.headroom(now),
        )

    def _owned_loads(self, now: float) -> dict[str, tuple[int, float]]:
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
        return self._snapshots.holds

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
            state.health.set_draining("vm-list", ip in self._leaving_ips)

    def _update_peer_holds(self, message: msg.UpdatePeerHolds, now: float) -> None:
        lost = False
        names = set()
        for hold, in_flight, latest_deadline in message.holds:
            names.add(hold.instance)
            self._loads[hold.instance] = (in_flight, latest_deadline)
            if self._ownership.merge_hold(hold):
                lost = True
                log.warning("hold-lost", instance=hold.instance, to=hold.holder)
        self._ownership.remove_unlisted(message.holder, names, now)
        if lost:
            self._own()

    def _own(self) -> None:
        held = self._ownership.held
        self._admission.set_owned(name for name in held if self._ownership.may_admit(name))

    def _request_permit(self, message: msg.RequestPermit, now: float) -> None:
        req, fut = message.request, message.fut
        if not self._fence.valid(now):
            fut.set_result(self._admission.refuse(req, Reason.LEASE_EXPIRED))
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
        self._resolve_queued(outcome)

    def _resolve_queued(self, outcome: QueueOutcome) -> None:
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
            self._resolve_queued(ended.outcome)

    def _finish_permit(self, message: msg.FinishPermit, now: float) -> None:
        running = message.result in (Result.CANCELLED, Result.CUT)
        ended = self._admission.finish(message.attempt, running, now)
        if ended is None:
            return
        state = ended.state
        self._resolve_queued(ended.outcome)
        if message.draining:
            state.health.signal_draining(now)
        elsewhere = self._ejected_elsewhere(state.service)
        if self._admission.observe(state, message.result, message.latency_s, elsewhere, now):
            self._metrics.event("instance-ejected")
            log.warning("instance-ejected", instance=state.instance.name)
        if state.instance.name not in self._ownership.held:
            self._discharge(state.instance.name, ended.usage.foreign)

    def _ejected_elsewhere(self, service: str) -> int:
        members = self._snapshots.members
        loads = (self._snapshots.vms.get(m.vm) for m in members.live(self._cfg.zone))
        headrooms = (load.headroom.get(service) for load in loads if load is not None)
        return sum(headroom.ejected for headroom in headrooms if headroom is not None)

    def _admit_attempt(self, message: msg.AdmitAttempt, now: float) -> bool:
        return self._attempts.admit(message.attempt, message.deadline, now)

    def _refuse_attempt(self, message: msg.RefuseAttempt, now: float) -> None:
        self._attempts.refuse(message.attempt)

    def _void_attempt(self, message: msg.VoidAttempt, now: float) -> bool:
        return self._attempts.void(message.attempt, message.deadline, now)

    def _answer_claims(self, message: msg.AnswerClaims, now: float) -> list[ClaimReply]:
        expired_vms = message.expired_vms
        return [self._ownership.answer(claim, expired_vms, now) for claim in message.claims]

    def _start_claims(self, message: msg.StartClaims, now: float) -> list[Any]:
        return self._ownership.start_claims(message.instances, message.expired_vms, now)

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
        report_by = now + FIRST_REPORT_TIMEOUT_S if self._cfg.load_path else now
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
        self._refuse_unservable(now)

    def _end_in_flight(self, instance: str) -> list[Usage]:
        state = self._admission.states.get(instance)
        return state.end_handover() if state else []

    def _discharge_ended(self, instance: str) -> None:
        """Report to the new owner the requests that ended during the hand-over."""
        for usage in self._end_in_flight(instance):
            self._discharge(instance, usage.foreign)

    def _refuse_unservable(self, now: float) -> None:
        """Refuse all queued requests at once when this VM owns no instance any more."""
        if not self._ownership.held:
            self._resolve_queued(self._admission.refuse_all(Reason.NO_INSTANCE))

    def _accept_handover(self, message: msg.AcceptHandover, now: float) -> HandoverReply:
        fresh = message.hold.instance not in self._ownership.held
        reply = self._ownership.accept_handover(message.hold, message.leaving)
        if reply is HandoverReply.TAKEN and fresh:
            self._admission.charge(message.hold.instance, list(message.usages))
            self._own()
            log.info("hold-taken", instance=message.hold.instance, epoch=message.hold.epoch)
        return reply

    def _apply_discharge(self, message: msg.Discharge, now: float) -> None:
        state = self._admission.states.get(message.instance)
        if state is not None:
            state.discharge(message.foreign)
            self._resolve_queued(self._admission.drain_queue(state.service, now))

    def _health_observed(self, message: msg.HealthObserved, now: float) -> None:
        state = self._admission.states.get(message.instance)
        if state is None:
            return
        if message.draining is not None:
            state.health.set_draining("health-endpoint", message.draining)
        if message.unhealthy is not None:
            state.health.set_unhealthy(message.unhealthy, now)
        if message.in_flight is not None:
            state.report(message.in_flight, now + self._cfg.max_deadline_s, now)
        self._resolve_queued(self._admission.drain_queue(state.service, now))


def request_permit(gate: pykka.ActorRef, request: PermitRequest) -> "Future[Granted | Refused]":
    """Request a slot from the gate actor; the future resolves to Granted or Refused."""
    fut: Future[Granted | Refused] = Future()
    gate.tell(msg.RequestPermit(request, fut))
    return fut
