"""Retries in direct mode, and the error that the caller gets, for any series of send outcomes."""

from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from gypsumwind import messages as msg
from gypsumwind.calls import Answer, Body
from gypsumwind.core.decisions import Placed, Refused
from gypsumwind.core.instances import Outcome
from gypsumwind.core.rules import RequestKind, Rule, WeightedService, ruleset
from gypsumwind.core.upstreams import Upstream, UpstreamList
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.exchanges import SendResult
from gypsumwind.forwarders import Forwarder, _bounded_key
from gypsumwind.memory import unlimited
from gypsumwind.platform.headers import HEADERS
from gypsumwind.utils import monotonic

# By the name of an outcome: whether the instance ran the request, and the status it answered.
SENDS = {
    "ok": (True, 200),
    "failed": (True, 500),
    "shed": (False, None),
    "unreachable": (False, None),
    "misdirected": (False, None),
    "cut-ran": (True, None),
    "cut-not-ran": (False, None),
    "late": (True, None),
}


ROOM_IN_S = 0.7


class FakeDispatch:
    """Stands in for the dispatch actor: assigns a new instance each time, or refuses."""

    def __init__(self, places, budget):
        self.places, self.budget = places, budget
        self.taken = 0

    def tell(self, message):
        if isinstance(message, msg.PlaceRequest):
            if self.taken >= self.places:
                message.future.set_result(Refused("queue-too-long", 0.5))
                return
            self.taken += 1
            up = Upstream(f"i{self.taken}", 1, "s", "127.0.0.1", 1, "a1", 4)
            message.future.set_result(Placed(up, 0.0, 0.0, True))

    def ask(self, message, timeout=None):
        if isinstance(message, msg.EstimateWait):
            return ROOM_IN_S
        assert isinstance(message, msg.TakeRetry)
        self.budget -= 1
        return self.budget >= 0


class ScriptedExchanger:
    """Stands in for the upstream client: each send has the scripted outcome."""

    def __init__(self, script):
        self.script = list(script)
        self.ran = 0
        self.deadlines = []

    def send(self, up, req):
        name = self.script[len(self.deadlines) % len(self.script)]
        self.deadlines.append(req.deadline)
        ran, status = SENDS[name]
        self.ran += ran
        if status is not None:
            answer = Answer(status, [], iter(()), lambda: None, 0)
            return SendResult(Outcome.OK if status == 200 else Outcome.FAILED, answer)
        not_run = name in ("shed", "unreachable", "misdirected")
        verdict = Verdict.NOT_RUN if not_run else Verdict.MAY_HAVE_RUN
        status = {"late": 504}.get(name, 503 if not_run else 502)
        outcome = {"late": Outcome.LATE}.get(name, name if not_run else Outcome.CUT)
        return SendResult(outcome, None, RequestError(Code.UPSTREAM_FAILED, name, verdict, status))


def serve_request(kind, script, attempts, places, budget):
    rule = Rule("r", "h", "/", kind, (WeightedService("s", 1.0),), 5.0, attempts, 0.5, 1, True)
    snapshots = SimpleNamespace(rules=ruleset(1, [rule], {}), upstreams=UpstreamList())
    sends = ScriptedExchanger(script)
    forwarder = Forwarder(snapshots, FakeDispatch(places, budget), sends, HEADERS, None)
    ex = SimpleNamespace(
        headers={"host": "h", HEADERS.request_id: "r-1", HEADERS.deadline_ms: "3000"},
        method="GET",
        target="/",
        path="/",
        body=Body(SimpleNamespace(read=lambda n: b""), 0),
        head_bytes=0,
        memory=unlimited(),
        limit_body=lambda deadline: None,
        pass_on_body=lambda: None,
    )
    try:
        return forwarder.serve(ex, forwarder.rule_for(ex), monotonic()), None, sends
    except RequestError as exc:
        return None, exc, sends


@given(
    st.sampled_from(list(RequestKind)),
    st.lists(st.sampled_from(list(SENDS)), min_size=1, max_size=6),
    st.integers(1, 4),
    st.integers(0, 5),
    st.integers(0, 5),
)
def test_retries_stay_within_limits_and_the_verdict_is_correct(
    kind, script, attempts, places, budget
):
    answer, error, sends = serve_request(kind, script, attempts, places, budget)
    assert len(sends.deadlines) <= min(attempts, places, budget + 1)
    assert len(set(sends.deadlines)) <= 1
    if not kind.repeatable:
        assert sends.ran <= 1
    if error is not None:
        said_not_run = error.status in (408, 421, 429, 503)
        assert said_not_run == (error.verdict is Verdict.NOT_RUN)
        assert not (said_not_run and sends.ran)
        assert not said_not_run or error.retry_after_s > 0
    else:
        assert answer.status in (200, 500)


@given(st.sampled_from(list(RequestKind)), st.integers(1, 4))
def test_every_kind_is_retried_if_the_request_certainly_did_not_run(kind, failures):
    script = ["unreachable"] * failures + ["ok"]
    answer, error, sends = serve_request(kind, script, failures + 1, 9, 9)
    assert answer is not None and len(sends.deadlines) == failures + 1


def test_ambiguous_verdict_is_kept_when_the_last_attempt_was_shed():
    _, error, _ = serve_request(RequestKind.IDEMPOTENT, ["cut-ran", "shed"], 2, 9, 9)
    assert (error.status, error.verdict) == (502, Verdict.MAY_HAVE_RUN)


def test_long_affinity_keys_are_remembered_by_their_hash():
    """Guards against keys as long as a head, of which thousands are kept."""
    short, one, other = "k" * 64, "k" * 16_000, "k" * 15_999 + "j"
    assert _bounded_key(short) == short
    assert len(_bounded_key(one)) <= 64 and _bounded_key(one) == _bounded_key(one)
    assert _bounded_key(one) != _bounded_key(other)
