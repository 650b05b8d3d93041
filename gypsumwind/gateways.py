"""Routing within a zone: finds a VM that owns a free instance, and sends to the instance."""

import random
import time
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import replace

import pykka

from gypsumwind import messages as msg
from gypsumwind.calls import H_DRAINING, Answer, Call
from gypsumwind.core.admission import Granted, PermitRequest, Reason
from gypsumwind.core.health import Result
from gypsumwind.core.table import Row
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.gossip import live_loads
from gypsumwind.handoffs import HOP_OWNER, Handoffs
from gypsumwind.hangups import DeadlineTask
from gypsumwind.metrics import Metrics
from gypsumwind.permits import request_permit
from gypsumwind.senders import OutgoingRequest, Sender, Target
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots, VmLoad
from gypsumwind.utils import jittered, monotonic, new_id, split_address

MAX_OWNER_TRIES = 3
MAX_INSTANCE_TRIES = 3
RETRY_AFTER_S = 1.0
SERVER_ERROR_STATUSES = frozenset((500, 502, 503, 504))


class ZoneGateway:
    """Serves calls with the upstreams of this zone, on this VM or another owner VM."""

    def __init__(
        self,
        cfg: Settings,
        snapshots: Snapshots,
        gate: pykka.ActorRef,
        handoffs: Handoffs,
        metrics: Metrics,
        rng: random.Random,
        deadlines: DeadlineTask,
    ) -> None:
        self._cfg = cfg
        self._snapshots = snapshots
        self._gate_actor = gate
        self._handoffs = handoffs
        self._metrics = metrics
        self._sender = Sender(cfg.ip, cfg.connect_timeout_s, deadlines)
        self._rng = rng

    def serve(self, call: Call) -> Answer:
        """Serve a call at up to MAX_OWNER_TRIES owners in turn; RequestError if none can."""
        tried: set[str] = set()
        last = self._no_capacity(Reason.NO_INSTANCE)
        for _ in range(MAX_OWNER_TRIES):
            vm = self._choose_owner(call, tried)
            if vm is None:
                break
            tried.add(vm)
            try:
                return self._serve_at(vm, call)
            except RequestError as exc:
                if exc.verdict is not Verdict.NOT_RUN or not call.body.replayable:
                    raise
                last = exc
        raise last

    def _serve_at(self, vm: str, call: Call) -> Answer:
        if vm == self._cfg.vm:
            return self.serve_owned(call)
        member = self._snapshots.members.get(vm)
        if member is None:
            raise self._no_capacity(Reason.NO_INSTANCE)
        self._metrics.event("hop-to-owner")
        return self._handoffs.send(member, call.with_attempt(new_id()), HOP_OWNER)

    def _choose_owner(self, call: Call, tried: set[str]) -> str | None:
        """Return this VM if it has free slots, else the owner that has the most, if any."""
        loads = [load for load in self._loads() if load.vm not in tried]
        owners = [load for load in loads if _has_slots(load, call.service)]
        if not owners:
            return None
        free = {load.vm: self._free_slots(load, call) for load in owners}
        if free.get(self._cfg.vm, 0) > 0:
            return self._cfg.vm
        return max(free, key=lambda vm: (free[vm], vm == self._cfg.vm, self._rng.random()))

    def _loads(self) -> list[VmLoad]:
        """Return the loads that the zone's VMs last published, and the current one of this VM."""
        others = [m for m in live_loads(self._snapshots, self._cfg.zone) if m.vm != self._cfg.vm]
        own = VmLoad(self._cfg.vm, 0, False, (), self._snapshots.holds.headroom, 0)
        return [*others, own]

    def _free_slots(self, load: VmLoad, call: Call) -> int:
        headroom = load.headroom[call.service]
        if self._is_cross_region(call):
            return headroom.free_lent
        return headroom.free_high if call.priority == 0 else headroom.free

    def serve_owned(self, call: Call) -> Answer:
        """Serve a call with an instance that this VM owns."""
        last = self._no_capacity(Reason.NO_INSTANCE)
        for _ in range(MAX_INSTANCE_TRIES):
            permit = self._acquire_permit(call)
            try:
                return self._send(call, permit)
            except RequestError as exc:
                if exc.verdict is not Verdict.NOT_RUN or not call.body.replayable:
                    raise
                last = exc
                call = replace(call, exclude=call.exclude | {permit.instance})
        raise last

    def _acquire_permit(self, call: Call) -> Granted:
        request = PermitRequest(
            attempt=new_id(),
            service=call.service,
            priority=call.priority,
            foreign=self._is_cross_region(call),
            deadline=call.deadline,
            exclude=call.exclude,
        )
        fut = request_permit(self._gate_actor, request)
        try:
            answer = fut.result(timeout=call.remaining_s())
        except FutureTimeoutError:
            self._gate_actor.tell(msg.CancelPermit(request.attempt))
            raise self._no_capacity(Reason.LATE) from None
        if isinstance(answer, Granted):
            return answer
        raise self._no_capacity(answer.reason, answer.retry_after_s)

    def _no_capacity(self, reason: Reason, retry_after_s: float | None = None) -> RequestError:
        wait = retry_after_s or jittered(RETRY_AFTER_S, self._rng)
        return RequestError(Code.NO_CAPACITY, reason.value, Verdict.NOT_RUN, 503, wait)

    def _send(self, call: Call, permit: Granted) -> Answer:
        """Send to the instance; the slot is released when the answer ends."""
        started = time.monotonic()
        try:
            if monotonic() >= self._snapshots.fence_until:
                raise self._no_capacity(Reason.LEASE_EXPIRED)
            answer = self._sender.send(_target(permit), self._outgoing(call, permit.attempt))
        except RequestError as exc:
            self._finish_permit(permit, _result_of(exc), started)
            raise
        except BaseException:
            self._finish_permit(permit, Result.CANCELLED, started)
            raise
        return self._classify_answer(call, permit, answer, started)

    def _classify_answer(
        self, call: Call, permit: Granted, answer: Answer, started: float
    ) -> Answer:
        draining = any(n.lower() == H_DRAINING and v == "true" for n, v in answer.headers)
        if answer.status in self._table_row(call).not_run_statuses:
            answer.close()
            self._finish_permit(permit, Result.SHED, started, draining)
            raise RequestError(
                Code.UPSTREAM_REFUSED,
                f"{permit.instance} answered {answer.status}, which says it ran nothing",
                Verdict.NOT_RUN,
                503,
                jittered(RETRY_AFTER_S, self._rng),
            )
        failed = answer.status in SERVER_ERROR_STATUSES
        end = Result.FAILED if failed else Result.OK
        answer.instance = permit.instance

        def finish(whole: bool) -> None:
            result = end if whole else Result.CANCELLED
            self._finish_permit(permit, result, started, draining)

        answer.on_end.append(finish)
        return answer

    def _outgoing(self, call: Call, attempt: str) -> OutgoingRequest:
        headers = call.hop_headers("upstream")
        return OutgoingRequest(
            method=call.method,
            path=call.path,
            headers=headers,
            body=call.body,
            deadline=call.deadline,
            repeatable=call.method in self._table_row(call).repeatable,
            attempt=attempt,
        )

    def _table_row(self, call: Call) -> Row:
        return self._snapshots.routes[call.service].row(self._cfg.region)

    def _is_cross_region(self, call: Call) -> bool:
        return call.origin_region != self._cfg.region

    def _finish_permit(
        self, permit: Granted, result: Result, started: float, draining: bool = False
    ) -> None:
        latency_s = time.monotonic() - started
        self._gate_actor.tell(msg.FinishPermit(permit.attempt, result, latency_s, draining))


def _has_slots(load: VmLoad, service: str) -> bool:
    headroom = load.headroom.get(service)
    return headroom is not None and headroom.slots > 0


def _target(permit: Granted) -> Target:
    ip, port = split_address(permit.address)
    return Target(ip, port, Code.UPSTREAM_UNREACHABLE, Code.UPSTREAM_FAILED)


def _result_of(exc: RequestError) -> Result:
    if exc.code is Code.UPSTREAM_UNREACHABLE:
        return Result.UNREACHABLE
    if exc.code in (Code.UPSTREAM_FAILED, Code.DEADLINE_EXCEEDED):
        return Result.CUT
    return Result.NOT_SENT
