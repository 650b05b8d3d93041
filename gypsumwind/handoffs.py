"""Forwarding of a call to another VM, and voiding of an attempt whose answer was lost."""

from gypsumwind.calls import H_CODE, H_VERDICT, Answer, Call
from gypsumwind.core.membership import Member
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.hangups import DeadlineTask
from gypsumwind.links import LinkBudgets
from gypsumwind.log import Log
from gypsumwind.metrics import Metrics
from gypsumwind.peers import PeerClient, PeerError
from gypsumwind.senders import OutgoingRequest, Sender, Target
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.utils import monotonic

log = Log("handoffs")

HOP_HOME = "home"
HOP_GATE = "gate"
HOP_OWNER = "owner"


class Handoffs:
    """Forwards calls to other VMs; returns an answer or raises an error with a verdict."""

    def __init__(
        self, cfg: Settings, snapshots: Snapshots, metrics: Metrics, deadlines: DeadlineTask
    ) -> None:
        self._snapshots = snapshots
        self.links = LinkBudgets(cfg, snapshots)
        self._sender = Sender(cfg.ip, cfg.connect_timeout_s, deadlines)
        self._peers = PeerClient(cfg.ip, cfg.peer_timeout_s)
        self._metrics = metrics

    def send(self, to: Member, call: Call, hop: str) -> Answer:
        """Send a call under its attempt id; if the answer is lost, void the attempt."""
        endpoint = to.endpoint
        target = Target(endpoint.ip, endpoint.handoff_port, Code.PEER_UNREACHABLE, Code.PEER_FAILED)
        region = self._snapshots.places.region_of(to.zone)
        self.links.check(region, call.body.length or 0, call.deadline)
        out = OutgoingRequest(
            method=call.method,
            path=f"/{call.service}{call.path}",
            headers=call.hop_headers(hop),
            body=call.body,
            deadline=call.deadline,
            repeatable=True,
            pace=lambda chunks: self.links.pace_chunks(region, chunks, call.deadline),
        )
        try:
            answer = self._sender.send(target, out)
        except RequestError as exc:
            if exc.verdict is Verdict.MAY_HAVE_RUN and self._void(to, call):
                self._metrics.event("attempt-voided")
                raise RequestError(
                    Code.ATTEMPT_VOIDED, exc.message, Verdict.NOT_RUN, 503, 1.0
                ) from exc
            raise
        return _unwrap(answer)

    def _void(self, to: Member, call: Call) -> bool:
        remaining_ms = int((call.deadline - monotonic()) * 1000)
        if remaining_ms <= 0:
            return False
        try:
            return self._peers.void_attempt(to.endpoint, call.attempt, remaining_ms, to.incarnation)
        except PeerError:
            return False


def _unwrap(answer: Answer) -> Answer:
    """Return a peer's answer, or raise the RequestError that it reports."""
    headers = {name.lower(): value for name, value in answer.headers}
    verdict = headers.get(H_VERDICT, "")
    if verdict == Verdict.ANSWERED.value:
        return answer
    answer.close()
    retry_after = headers.get("retry-after", "")
    raise RequestError(
        _code(headers.get(H_CODE, "")),
        f"at {headers.get('gypsumwind-vm', 'a peer')}",
        Verdict.NOT_RUN if verdict == Verdict.NOT_RUN.value else Verdict.MAY_HAVE_RUN,
        answer.status,
        float(retry_after) if retry_after.isdecimal() else None,
    )


def _code(text: str) -> Code:
    try:
        return Code(text)
    except ValueError:
        return Code.PEER_FAILED
