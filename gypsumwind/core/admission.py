"""Admission control for owned instances: slots, cross-region limits, reserves, bounded queues."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, IntEnum

from gypsumwind.core.choice import Candidate, InstanceChoice
from gypsumwind.core.health import Health, Result
from gypsumwind.core.limits import Limits, SettlingLimits
from gypsumwind.core.routes import ServiceRoute
from gypsumwind.core.split import instance_shares
from gypsumwind.core.table import Instance

RETRY_AFTER_S = 1.0
CANCEL_S = 0.5
"""Grace period for an upstream to stop work on a cancelled or timed-out request."""
RETRY_JITTER = 0.5


class Priority(IntEnum):
    """Priority class of a request; smaller values are served first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


class Reason(Enum):
    """Why a request was refused."""

    NO_INSTANCE = "no instance of the service is owned here"
    FULL = "no slot is free"
    LATE = "the deadline has passed"
    SHORT = "the time left is shorter than a request takes"
    LEASE_EXPIRED = "the lease of this VM has lapsed"
    DISPLACED = "a request of a higher class took the place in the queue"


@dataclass(slots=True, frozen=True)
class PermitRequest:
    """A request for a slot; `deadline` is on the local process's clock."""

    attempt: str
    service: str
    priority: Priority
    foreign: bool
    deadline: float
    exclude: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class Granted:
    """A slot of an instance, occupied until it is released."""

    attempt: str
    instance: str
    address: str


@dataclass(slots=True, frozen=True)
class Refused:
    """A refusal with its reason and the retry delay."""

    attempt: str
    reason: Reason
    retry_after_s: float


@dataclass(slots=True, frozen=True)
class Usage:
    """A slot in use until released, at the latest until `deadline`."""

    deadline: float
    foreign: bool


@dataclass(slots=True, frozen=True)
class Headroom:
    """Slots of a service on one VM: total, in use, free by class, and free cross-region.

    `free_high` is for class high, `free` for the others. `ejected` counts the instances excluded
    for failures; their slots are in none of the other fields.
    """

    slots: int = 0
    in_flight: int = 0
    free_high: int = 0
    free: int = 0
    free_lent: int = 0
    ejected: int = 0

    def plus(self, other: "Headroom") -> "Headroom":
        """Return the field-wise sum of two headrooms."""
        return Headroom(*(getattr(self, n) + getattr(other, n) for n in Headroom.__slots__))


class SlotState:
    """Requests in flight, limits and health of one instance.

    `charges` are slots of requests that were not admitted here or were cancelled: those of a
    previous owner, and work that the upstream may still be stopping.
    """

    __slots__ = (
        "service",
        "instance",
        "limits",
        "in_flight",
        "charges",
        "health",
        "_report_deadline",
        "_ended_in_handover",
    )

    def __init__(self, service: str, instance: Instance, limits: Limits) -> None:
        self.service = service
        self.instance = instance
        self.limits = SettlingLimits(limits)
        self.in_flight: dict[str, Usage] = {}
        self.charges: list[Usage] = []
        self.health = Health()
        self._report_deadline = 0.0
        self._ended_in_handover: list[Usage] | None = None

    def start_handover(self, now: float) -> list[Usage]:
        """Return the usage for the next owner; later completions are recorded for it."""
        if self._ended_in_handover is None:
            self._ended_in_handover = []
        return [*self.in_flight.values(), *self.live_charges(now)]

    def end_handover(self) -> list[Usage]:
        """Return the usage that ended during the hand-over, for the next owner to discharge."""
        ended, self._ended_in_handover = self._ended_in_handover, None
        return ended or []

    def end(self, attempt: str) -> Usage | None:
        """Remove a request from those in flight and return its usage."""
        usage = self.in_flight.pop(attempt, None)
        if usage is not None and self._ended_in_handover is not None:
            self._ended_in_handover.append(usage)
        return usage

    def discharge(self, foreign: bool) -> None:
        """Remove one charge of this kind after a previous owner's request finished."""
        kind = [c for c in self.charges if c.foreign == foreign]
        if kind:
            self.charges.remove(kind[0])

    def take_over(self, running: list[Usage], report_by: float) -> None:
        """Take ownership of an instance whose previous owner is unreachable.

        `running` is the usage that owner last reported. Until the instance itself reports its
        load, at the latest until `report_by`, every slot counts as in use.
        """
        self.charges = list(running)
        self._report_deadline = report_by

    def report(self, in_flight: int, until: float, now: float) -> None:
        """Apply the first load report after a takeover, charging requests not reported before."""
        if now >= self._report_deadline:
            return
        self._report_deadline = 0.0
        unreported = in_flight - len(self.in_flight) - len(self.live_charges(now))
        self.charges.extend([Usage(until, True)] * max(0, unreported))

    def used(self, now: float) -> int:
        """Return the slots in use, including those of a previous owner's requests."""
        return len(self.in_flight) + len(self.live_charges(now))

    def foreign_used(self, now: float) -> int:
        """Return the slots in use by callers of other regions."""
        own = sum(usage.foreign for usage in self.in_flight.values())
        return own + sum(usage.foreign for usage in self.live_charges(now))

    def live_charges(self, now: float) -> list[Usage]:
        """Return the charges whose deadline has not passed, and remove the others."""
        self.charges = [c for c in self.charges if c.deadline > now]
        return self.charges

    def headroom(self, now: float) -> Headroom:
        """Return the headroom of this instance alone."""
        if self.health.ejected(now):
            return Headroom(ejected=1)
        return Headroom(
            slots=self.limits.at(now).slots,
            in_flight=self.used(now),
            free_high=self.free(Priority.HIGH, False, now),
            free=self.free(Priority.NORMAL, False, now),
            free_lent=self.free(Priority.NORMAL, True, now),
        )

    def free(self, priority: Priority, foreign: bool, now: float) -> int:
        """Return the slots available to a request of this class, local or cross-region."""
        if now < self._report_deadline:
            return 0
        limits = self.limits.at(now)
        free = limits.slots - self.used(now)
        if priority is not Priority.HIGH:
            free -= limits.reserve
        if foreign:
            free = min(free, limits.lent - self.foreign_used(now))
        return max(0, min(free, self.health.allowance(now) - len(self.in_flight)))


@dataclass(slots=True)
class _Waiter:
    request: PermitRequest
    until: float
    order: int


@dataclass(slots=True)
class QueueOutcome:
    """Grants and refusals of queued requests that resulted from one event."""

    granted: list[Granted] = field(default_factory=list)
    refused: list[Refused] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Ended:
    """A request whose slot was released, and the resulting queue decisions."""

    state: SlotState
    usage: Usage
    outcome: QueueOutcome


class Admission:
    """Slots of the owned instances, and one queue per service, at most as long as its slots."""

    def __init__(self, choice: InstanceChoice, queue_wait_s: float, rng: random.Random) -> None:
        self.states: dict[str, SlotState] = {}
        self._owned: set[str] = set()
        self._granted: dict[str, str] = {}
        self._choice = choice
        self._queue_wait_s = queue_wait_s
        self._rng = rng
        self._queues: dict[str, list[_Waiter]] = {}
        self._order = 0

    def sync_route(self, route: ServiceRoute, region: str, settle_at: float) -> None:
        """Apply a new version of a service's table to the instances of this region."""
        row = route.row(region)
        siblings = route.instances
        lent = instance_shares(row.limit, siblings)
        reserve = instance_shares(row.reserve, siblings)
        names = set()
        for inst in siblings:
            names.add(inst.name)
            limits = Limits(inst.slots, lent.get(inst.name, 0), reserve.get(inst.name, 0))
            self._sync_instance(route.service, inst, limits, settle_at)
        for name, state in list(self.states.items()):
            if state.service == route.service and name not in names and not state.in_flight:
                del self.states[name]

    def _sync_instance(self, service: str, inst: Instance, limits: Limits, settle: float) -> None:
        state = self.states.get(inst.name)
        if state is None:
            state = self.states[inst.name] = SlotState(service, inst, limits)
        elif state.instance.address != inst.address:
            state.health = Health()
        state.instance = inst
        state.limits.change(limits, settle)
        state.health.set_draining("table", inst.draining)

    def set_owned(self, names: Iterable[str]) -> None:
        """Set the instances to which this VM may admit requests."""
        self._owned = set(names)

    def charge(self, name: str, usages: list[Usage]) -> None:
        """Set the charges for what a previous owner of an instance may still have in flight."""
        state = self.states.get(name)
        if state is not None:
            state.charges = list(usages)

    def request(self, req: PermitRequest, now: float) -> Granted | Refused | None:
        """Grant a slot, refuse, or return None for a request that must be queued by enqueue()."""
        if now >= req.deadline:
            return self.refuse(req, Reason.LATE)
        owned = self._owned_states(req.service)
        if not any(s.health.serving(now) for s in owned):
            return self.refuse(req, Reason.NO_INSTANCE)
        busy = any(s.in_flight for s in owned)
        if busy and now + self._expected_s(req.service) >= req.deadline:
            return self.refuse(req, Reason.SHORT)
        return self._try_grant(req, now)

    def enqueue(self, req: PermitRequest, now: float) -> tuple[bool, QueueOutcome]:
        """Queue a request without a slot; return whether it was queued, and what it displaced."""
        queue = self._queues.setdefault(req.service, [])
        outcome = QueueOutcome()
        slots = sum(s.limits.at(now).slots for s in self._owned_states(req.service))
        if len(queue) >= slots:
            last = max(queue, key=lambda w: (w.request.priority, w.order), default=None)
            if last is None or last.request.priority <= req.priority:
                return False, outcome
            queue.remove(last)
            outcome.refused.append(self.refuse(last.request, Reason.DISPLACED))
        self._order += 1
        latest_start = req.deadline - self._expected_s(req.service)
        queue.append(_Waiter(req, min(latest_start, now + self._queue_wait_s), self._order))
        return True, outcome

    def finish(self, attempt: str, running: bool, now: float) -> Ended | None:
        """Release a slot and drain the queue of its service.

        With `running` the upstream may still be working on the request, so the slot stays charged
        for CANCEL_S.
        """
        state = self.states.get(self._granted.pop(attempt, ""))
        usage = state.end(attempt) if state else None
        if state is None or usage is None:
            return None
        if running:
            state.charges.append(Usage(now + CANCEL_S, usage.foreign))
        return Ended(state, usage, self.drain_queue(state.service, now))

    def observe(
        self,
        state: SlotState,
        result: Result,
        latency_s: float,
        ejected_elsewhere: int,
        now: float,
    ) -> bool:
        """Record the result of a request; return True if it ejects the instance.

        At most half of a service's instances in a zone are ejected on their answers alone;
        `ejected_elsewhere` counts those that other VMs of the zone have ejected.
        """
        group = (state.service, state.instance.zone)
        siblings = [s for s in self.states.values() if (s.service, s.instance.zone) == group]
        ejected_count = ejected_elsewhere + sum(s.health.ejected(now) for s in siblings)
        may_eject = 2 * (ejected_count + 1) <= len(siblings) or result is Result.UNREACHABLE
        return state.health.observe(result, latency_s, now, may_eject)

    def cancel(self, attempt: str) -> None:
        """Remove a request from its queue."""
        for queue in self._queues.values():
            queue[:] = [w for w in queue if w.request.attempt != attempt]

    def drain_queue(self, service: str, now: float) -> QueueOutcome:
        """Grant free slots to the queue of a service by priority, and refuse expired requests."""
        outcome = QueueOutcome()
        queue = self._queues.get(service, [])
        for waiter in sorted(queue, key=lambda w: (w.request.priority, w.order)):
            if waiter.until <= now:
                queue.remove(waiter)
                outcome.refused.append(self.refuse(waiter.request, Reason.FULL))
                continue
            granted = self._try_grant(waiter.request, now)
            if granted is not None:
                queue.remove(waiter)
                outcome.granted.append(granted)
        return outcome

    def tick(self, now: float) -> QueueOutcome:
        """Drain every queue: refuse expired requests and grant slots freed by deadlines."""
        total = QueueOutcome()
        for service in list(self._queues):
            outcome = self.drain_queue(service, now)
            total.granted.extend(outcome.granted)
            total.refused.extend(outcome.refused)
        return total

    def refuse_all(self, reason: Reason) -> QueueOutcome:
        """Refuse every queued request."""
        outcome = QueueOutcome()
        for queue in self._queues.values():
            outcome.refused.extend(self.refuse(w.request, reason) for w in queue)
            queue.clear()
        return outcome

    def refuse(self, req: PermitRequest, reason: Reason) -> Refused:
        """Return a refusal with a jittered retry delay."""
        jitter = 1.0 + RETRY_JITTER * (2.0 * self._rng.random() - 1.0)
        return Refused(req.attempt, reason, RETRY_AFTER_S * jitter)

    def headroom(self, now: float) -> dict[str, Headroom]:
        """Return the headroom of each service, summed over its owned instances."""
        result: dict[str, Headroom] = {}
        for name in self._owned:
            state = self.states.get(name)
            if state is None or state.health.draining(now):
                continue
            old = result.get(state.service, Headroom())
            result[state.service] = old.plus(state.headroom(now))
        return result

    def _expected_s(self, service: str) -> float:
        """Return the latency of a service at its fastest owned instance.

        Requests are refused on this estimate only while others are in flight: their completion
        updates it, so that one slow answer does not block an idle service forever.
        """
        return min((s.health.latency.value for s in self._owned_states(service)), default=0.0)

    def _owned_states(self, service: str) -> list[SlotState]:
        states = (self.states.get(name) for name in self._owned)
        return [s for s in states if s is not None and s.service == service]

    def _try_grant(self, req: PermitRequest, now: float) -> Granted | None:
        fitting = {
            s.instance.name: s
            for s in self._owned_states(req.service)
            if s.instance.name not in req.exclude
            and s.health.serving(now)
            and s.free(req.priority, req.foreign, now) > 0
        }
        if not fitting:
            return None
        candidates = [
            Candidate(
                name,
                s.used(now),
                s.limits.at(now).slots,
                s.health.latency.value,
                s.health.unhealthy(now),
            )
            for name, s in fitting.items()
        ]
        chosen = fitting[self._choice.pick(candidates, self._rng).name]
        chosen.in_flight[req.attempt] = Usage(req.deadline, req.foreign)
        self._granted[req.attempt] = chosen.instance.name
        return Granted(req.attempt, chosen.instance.name, chosen.instance.address)
