"""Messages to the actors; each names the actor that takes it."""

from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any

import pykka

from gypsumwind.core.admission import Granted, PermitRequest, Refused, Usage
from gypsumwind.core.health import Result
from gypsumwind.core.idempotency import KeyEntry
from gypsumwind.core.instances import ReportedLoad
from gypsumwind.core.membership import Ack, Endpoint, Probe, State
from gypsumwind.core.ownership import Claim, ClaimReply, HandoverReply, Hold
from gypsumwind.core.placing import Wanted
from gypsumwind.core.records import Record
from gypsumwind.core.routes import ServiceRoute
from gypsumwind.core.upstreams import Upstream
from gypsumwind.core.versions import Version
from gypsumwind.steering import SteeringSettings

ASK_TIMEOUT_S = 5.0


def ask(actor: pykka.ActorRef, message: object) -> Any:
    """Ask an actor and wait for its answer; pykka.Timeout if it is stuck."""
    return actor.ask(message, timeout=ASK_TIMEOUT_S)


@dataclass(slots=True, frozen=True)
class Tick:
    """Advance the timers of an actor."""


@dataclass(slots=True, frozen=True)
class Received:
    """To the members actor: a membership message arrived."""

    message: Probe | Ack


@dataclass(slots=True, frozen=True)
class Leave:
    """To the members actor: announce that this VM is leaving or has left."""

    state: State


@dataclass(slots=True, frozen=True)
class AddSeeds:
    """To the members actor: more places at which other VMs may be found."""

    seeds: tuple[Endpoint, ...]


@dataclass(slots=True, frozen=True)
class Resume:
    """To the members actor: this VM is no longer leaving."""


@dataclass(slots=True, frozen=True)
class PutRecords:
    """To the records actor: keep those that are newer; answers with the ones kept."""

    records: tuple[Record, ...]


@dataclass(slots=True, frozen=True)
class PublishRecord:
    """To the records actor: keep a record of this VM under the next version by the clock."""

    key: str
    scope: str
    payload: bytes


@dataclass(slots=True, frozen=True)
class GetVersions:
    """To the records actor: answer with the versions of a scope."""

    scope: str


@dataclass(slots=True, frozen=True)
class GetDigests:
    """To the records actor: answer with one hash a scope."""


@dataclass(slots=True, frozen=True)
class GetNewer:
    """To the records actor: answer with records of a scope that are newer than `versions`."""

    scope: str
    versions: dict[str, Version]


@dataclass(slots=True, frozen=True)
class GetWanted:
    """To the records actor: answer with the keys of a scope that are older here."""

    scope: str
    versions: dict[str, Version]


@dataclass(slots=True, frozen=True)
class GetRecords:
    """To the records actor: answer with the records of these keys."""

    keys: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class SyncRoutes:
    """To the gate actor: these versions of services' tables are in force now."""

    routes: tuple[ServiceRoute, ...]


@dataclass(slots=True, frozen=True)
class LearnHolds:
    """To the gate actor: another VM lists these holds, and what is in flight on them."""

    holder: str
    holds: tuple[tuple[Hold, int, float], ...]


@dataclass(slots=True, frozen=True)
class RequestPermit:
    """To the gate actor: `fut` gets Granted or Refused."""

    request: PermitRequest
    fut: "Future[Granted | Refused]"


@dataclass(slots=True, frozen=True)
class CancelPermit:
    """To the gate actor: the request no longer waits; a slot it got is given back."""

    attempt: str


@dataclass(slots=True, frozen=True)
class FinishPermit:
    """To the gate actor: give a slot back, with what was seen of the instance."""

    attempt: str
    result: Result
    latency_s: float
    draining: bool


@dataclass(slots=True, frozen=True)
class AdmitAttempt:
    """To the gate actor: answer whether an attempt from another VM may be taken in."""

    attempt: str
    deadline: float


@dataclass(slots=True, frozen=True)
class RefuseAttempt:
    """To the gate actor: an admitted attempt ended without a run."""

    attempt: str


@dataclass(slots=True, frozen=True)
class VoidAttempt:
    """To the gate actor: answer True when no copy of an attempt has run or ever will."""

    attempt: str
    deadline: float


@dataclass(slots=True, frozen=True)
class AnswerClaims:
    """To the gate actor: answer a peer's claims; `silent` are dead or departed VMs."""

    claims: tuple[Claim, ...]
    silent: frozenset[str]


@dataclass(slots=True, frozen=True)
class StartClaims:
    """To the gate actor: promise these instances to this VM; answers with the claims."""

    instances: tuple[str, ...]
    silent: frozenset[str]


@dataclass(slots=True, frozen=True)
class FinishClaims:
    """To the gate actor: the peers' replies to claims; answers with the holds won."""

    claims: tuple[Claim, ...]
    replies: dict[str, list[ClaimReply]]
    peers: int


@dataclass(slots=True, frozen=True)
class StartHandover:
    """To the gate actor: stop admitting; answers with the hold and what is in flight."""

    instance: str
    target: str


@dataclass(slots=True, frozen=True)
class EndHandover:
    """To the gate actor: how a hand-over ended; SUPERSEDED also when the target is silent."""

    hold: Hold
    reply: HandoverReply


@dataclass(slots=True, frozen=True)
class AcceptHandover:
    """To the gate actor: take a hold with its requests in flight; answers a HandoverReply."""

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
    """To the gate actor: IP numbers that the platform's list of VMs gives as leaving."""

    ips: frozenset[str]


@dataclass(slots=True, frozen=True)
class GetHolds:
    """To the gate actor: answer with a fresh HoldsView."""


@dataclass(slots=True, frozen=True)
class HealthSeen:
    """To the gate actor: what the endpoints of an instance said; None where nothing."""

    instance: str
    draining: bool | None
    ill: bool | None
    in_flight: int | None


@dataclass(slots=True, frozen=True)
class BeginKey:
    """To the home actor: begin an idempotency key; answers with what is known of it."""

    key: str
    fingerprint: str
    expires: float


@dataclass(slots=True, frozen=True)
class KnowsKey:
    """To the home actor: answer whether a key has been begun here."""

    key: str


@dataclass(slots=True, frozen=True)
class FinishKey:
    """To the home actor: the outcome of a key that ran or may have run."""

    key: str
    outcome: "StoredOutcome"


@dataclass(slots=True, frozen=True)
class ForgetKey:
    """To the home actor: the key certainly did not run."""

    key: str


HomeId = tuple[str, int]
"""A home of keys: a VM's name and the incarnation in the keys' prefix."""


@dataclass(slots=True, frozen=True)
class CloseHome:
    """To the home actor: begin no more keys; answers with a HomeLegacy."""


@dataclass(slots=True, frozen=True)
class HomeLegacy:
    """What a home that stops leaves to its heir: the homes it stood for, and their keys."""

    homes: tuple[HomeId, ...]
    entries: "tuple[KeyEntry[StoredOutcome], ...]"


@dataclass(slots=True, frozen=True)
class InheritKeys:
    """To the home actor: stand for other homes from now on, with (part of) their keys."""

    legacy: HomeLegacy


@dataclass(slots=True, frozen=True)
class StandsFor:
    """To the home actor: answer whether this VM is the home of a prefix."""

    home: HomeId


@dataclass(slots=True, frozen=True)
class StoredOutcome:
    """An outcome that is replayed: a whole answer, or (with `body` None) what is known of it."""

    fingerprint: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    ran: bool


@dataclass(slots=True, frozen=True)
class SyncSteering:
    """To the dispatch actor: rules, upstreams or closed zones on the board have changed."""


@dataclass(slots=True, frozen=True)
class Place:
    """To the dispatch actor: place a request; the future gets the decision."""

    wanted: Wanted
    future: Future


@dataclass(slots=True, frozen=True)
class CancelPlace:
    """To the dispatch actor: the request no longer waits."""

    ticket: int


@dataclass(slots=True, frozen=True)
class SendEnded:
    """To the dispatch actor: a send ended so, after so many seconds, and told this load.

    The instance says that it leaves (`leaving`), and asks for a pause (`pause_s`, seconds).
    """

    upstream: Upstream
    outcome: str
    report: ReportedLoad | None
    seconds: float
    closing: bool
    leaving: bool = False
    pause_s: float = 0.0


@dataclass(slots=True, frozen=True)
class TakeRepeat:
    """To the dispatch actor: may a request to a service be sent once more."""

    service: str


@dataclass(slots=True, frozen=True)
class ExpectRoom:
    """To the dispatch actor: in how many seconds a service will have room for a caller."""

    service: str


@dataclass(slots=True, frozen=True)
class SetSteering:
    """To the dispatch actor: the operators have changed the bounds."""

    steering: SteeringSettings
