"""Messages to the actors; each docstring names the receiving actor."""

from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any

import pykka

from gypsumwind.core.admission import Granted, PermitRequest, Refused, Usage
from gypsumwind.core.crashes import Finding
from gypsumwind.core.decisions import PlacementRequest
from gypsumwind.core.health import Result
from gypsumwind.core.idempotency import KeyEntry
from gypsumwind.core.instances import ReportedLoad
from gypsumwind.core.membership import Ack, Endpoint, Probe, State
from gypsumwind.core.ownership import Claim, ClaimReply, HandoverReply, Hold
from gypsumwind.core.records import Record
from gypsumwind.core.routes import ServiceRoute
from gypsumwind.core.upstreams import Upstream
from gypsumwind.core.versions import Version
from gypsumwind.steering import SteeringSettings

ASK_TIMEOUT_S = 5.0


def ask(actor: pykka.ActorRef, message: object) -> Any:
    """Send a message and wait for the reply; pykka.Timeout after ASK_TIMEOUT_S."""
    return actor.ask(message, timeout=ASK_TIMEOUT_S)


@dataclass(slots=True, frozen=True)
class Tick:
    """Advance the timers of an actor."""


@dataclass(slots=True, frozen=True)
class MembershipMessage:
    """To the members actor: a membership message arrived."""

    message: Probe | Ack


@dataclass(slots=True, frozen=True)
class Leave:
    """To the members actor: announce that this VM is leaving or has left."""

    state: State


@dataclass(slots=True, frozen=True)
class AddSeeds:
    """To the members actor: further endpoints at which other VMs may be found."""

    seeds: tuple[Endpoint, ...]


@dataclass(slots=True, frozen=True)
class Resume:
    """To the members actor: this VM is no longer leaving."""


@dataclass(slots=True, frozen=True)
class PutRecords:
    """To the records actor: merge the records that are newer; replies with those."""

    records: tuple[Record, ...]


@dataclass(slots=True, frozen=True)
class PublishRecord:
    """To the records actor: store a record of this VM under the clock's next version."""

    key: str
    scope: str
    payload: bytes


@dataclass(slots=True, frozen=True)
class GetVersions:
    """To the records actor: reply with the versions of a scope."""

    scope: str


@dataclass(slots=True, frozen=True)
class GetDigests:
    """To the records actor: reply with one digest for each scope."""


@dataclass(slots=True, frozen=True)
class GetNewer:
    """To the records actor: reply with the records of a scope that are newer than `versions`."""

    scope: str
    versions: dict[str, Version]


@dataclass(slots=True, frozen=True)
class GetWanted:
    """To the records actor: reply with the keys of a scope that are older here or missing."""

    scope: str
    versions: dict[str, Version]


@dataclass(slots=True, frozen=True)
class GetRecords:
    """To the records actor: reply with the records of these keys."""

    keys: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class SyncRoutes:
    """To the gate actor: apply these versions of services' tables."""

    routes: tuple[ServiceRoute, ...]


@dataclass(slots=True, frozen=True)
class UpdatePeerHolds:
    """To the gate actor: the holds that another VM reports, with their requests in flight."""

    holder: str
    holds: tuple[tuple[Hold, int, float], ...]


@dataclass(slots=True, frozen=True)
class RequestPermit:
    """To the gate actor: request a slot; `fut` resolves to Granted or Refused."""

    request: PermitRequest
    fut: "Future[Granted | Refused]"


@dataclass(slots=True, frozen=True)
class CancelPermit:
    """To the gate actor: cancel a request, queued or granted; its slot is released."""

    attempt: str


@dataclass(slots=True, frozen=True)
class FinishPermit:
    """To the gate actor: release a slot, and record the instance's result."""

    attempt: str
    result: Result
    latency_s: float
    draining: bool


@dataclass(slots=True, frozen=True)
class AdmitAttempt:
    """To the gate actor: reply whether an attempt from another VM is admitted."""

    attempt: str
    deadline: float


@dataclass(slots=True, frozen=True)
class RefuseAttempt:
    """To the gate actor: an admitted attempt ended without a run."""

    attempt: str


@dataclass(slots=True, frozen=True)
class VoidAttempt:
    """To the gate actor: void an attempt; replies True if no copy of it has run or ever will."""

    attempt: str
    deadline: float


@dataclass(slots=True, frozen=True)
class AnswerClaims:
    """To the gate actor: reply to a peer's claims; the leases of `expired_vms` have expired."""

    claims: tuple[Claim, ...]
    expired_vms: frozenset[str]


@dataclass(slots=True, frozen=True)
class StartClaims:
    """To the gate actor: promise these instances to this VM; replies with the claims."""

    instances: tuple[str, ...]
    expired_vms: frozenset[str]


@dataclass(slots=True, frozen=True)
class FinishClaims:
    """To the gate actor: the peers' replies to claims; replies with the holds won."""

    claims: tuple[Claim, ...]
    replies: dict[str, list[ClaimReply]]
    peers: int


@dataclass(slots=True, frozen=True)
class StartHandover:
    """To the gate actor: stop admitting; replies with the hold and the usages in flight."""

    instance: str
    target: str


@dataclass(slots=True, frozen=True)
class EndHandover:
    """To the gate actor: how a hand-over ended; SUPERSEDED also if the target's lease expired."""

    hold: Hold
    reply: HandoverReply


@dataclass(slots=True, frozen=True)
class AcceptHandover:
    """To the gate actor: accept a hold with its usages in flight; replies with HandoverReply."""

    hold: Hold
    usages: tuple[Usage, ...]
    leaving: bool


@dataclass(slots=True, frozen=True)
class Discharge:
    """To the gate actor: a previous owner finished one request of an instance."""

    instance: str
    foreign: bool


@dataclass(slots=True, frozen=True)
class SyncLeaving:
    """To the gate actor: IP addresses of the VMs that the platform lists as leaving."""

    ips: frozenset[str]


@dataclass(slots=True, frozen=True)
class GetHolds:
    """To the gate actor: publish a new HoldsView and reply with it."""


@dataclass(slots=True, frozen=True)
class HealthObserved:
    """To the gate actor: the reports of an instance's endpoints; None if unavailable."""

    instance: str
    draining: bool | None
    unhealthy: bool | None
    in_flight: int | None


@dataclass(slots=True, frozen=True)
class BeginKey:
    """To the home actor: begin an idempotency key; replies with its state and outcome."""

    key: str
    fingerprint: str
    expires: float


@dataclass(slots=True, frozen=True)
class HasKey:
    """To the home actor: reply whether a key is in the table."""

    key: str


@dataclass(slots=True, frozen=True)
class FinishKey:
    """To the home actor: store the outcome of a key that ran or may have run."""

    key: str
    outcome: "StoredOutcome"


@dataclass(slots=True, frozen=True)
class ForgetKey:
    """To the home actor: remove a key that certainly did not run."""

    key: str


HomeId = tuple[str, int]
"""A home of keys: a VM's name and the incarnation in the keys' prefix."""


@dataclass(slots=True, frozen=True)
class CloseHome:
    """To the home actor: begin no more keys; replies with a HomeState."""


@dataclass(slots=True, frozen=True)
class HomeState:
    """A stopping home's state for its heir: the homes that it served, and their keys."""

    homes: tuple[HomeId, ...]
    entries: "tuple[KeyEntry[StoredOutcome], ...]"


@dataclass(slots=True, frozen=True)
class InheritKeys:
    """To the home actor: serve other homes as their heir, with (part of) their keys."""

    home_state: HomeState


@dataclass(slots=True, frozen=True)
class IsHomeOf:
    """To the home actor: reply whether this VM serves a home, its own or as heir."""

    home: HomeId


@dataclass(slots=True, frozen=True)
class StoredOutcome:
    """An outcome for replay: a complete answer, or (with `body` None) the known part of it."""

    fingerprint: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    ran: bool


@dataclass(slots=True, frozen=True)
class SyncSteering:
    """To the dispatch actor: the snapshots of rules, upstreams or closed zones have changed."""


@dataclass(slots=True, frozen=True)
class PlaceRequest:
    """To the dispatch actor: place a request; the future resolves to the decision."""

    request: PlacementRequest
    future: Future


@dataclass(slots=True, frozen=True)
class CancelPlacement:
    """To the dispatch actor: cancel a queued request."""

    ticket: int


@dataclass(slots=True, frozen=True)
class SendFinished:
    """To the dispatch actor: outcome and duration of a send, and the load that was reported.

    The instance may report that it is draining (`leaving`), request a pause (`pause_s`) and state a
    `rate_limit` in requests per second: inf if its response states none, None if that is unknown.
    `crashed_at`, in epoch seconds, if it crashed under the request, which has this `fingerprint`.
    `ticket` is that of the placement; `responded` tells whether bytes of a response arrived, and
    `connected` whether a new connection was accepted, None if none was needed.
    """

    upstream: Upstream
    outcome: str
    report: ReportedLoad | None
    seconds: float
    closing: bool
    leaving: bool = False
    pause_s: float = 0.0
    rate_limit: float | None = None
    fingerprint: str = ""
    crashed_at: float | None = None
    ticket: int = 0
    responded: bool | None = None
    connected: bool | None = None


@dataclass(slots=True, frozen=True)
class InstanceResponded:
    """To the dispatch actor: an instance responded to the health check of this isolated VM."""


@dataclass(slots=True, frozen=True)
class ConnectionsChecked:
    """To the dispatch actor: whether any of several instances `accepted` a new connection, and
    whether any `responded` on it."""

    accepted: bool
    responded: bool


@dataclass(slots=True, frozen=True)
class ApplyFindings:
    """To the dispatch actor: other VMs' findings on requests that crash instances."""

    findings: tuple[Finding, ...]


@dataclass(slots=True, frozen=True)
class TakeRetry:
    """To the dispatch actor: take a retry from a service's retry budget; replies if allowed.

    The retry is placed with this ticket, until the deadline. `id` is that of the request.
    """

    service: str
    id: str
    ticket: int
    deadline: float


@dataclass(slots=True, frozen=True)
class EstimateWait:
    """To the dispatch actor: reply in how many seconds a service expects to have a free slot."""

    service: str


@dataclass(slots=True, frozen=True)
class SetSteering:
    """To the dispatch actor: apply the operators' new bounds."""

    steering: SteeringSettings
