"""The home of idempotency keys: a keyed call runs at most once, and its outcome is stored."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

import pykka

from gypsumwind import messages as msg
from gypsumwind.calls import MAX_REPLAY_BYTES, Answer, Call
from gypsumwind.claims import KeyClaims
from gypsumwind.core.idempotency import BeginResult, KeyPrefix, parse_prefix
from gypsumwind.core.membership import State
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.handoffs import HOP_HOME, Handoffs
from gypsumwind.metrics import Metrics
from gypsumwind.routers import ZoneRouter
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.utils import jittered, new_id, wall

RUNNING_RETRY_S = 1.0


@dataclass(slots=True, frozen=True)
class HomeDependencies:
    """The components that a home uses."""

    snapshots: Snapshots
    actor: pykka.ActorRef
    router: ZoneRouter
    handoffs: Handoffs
    claims: KeyClaims
    metrics: Metrics


class Home:
    """Serves keyed calls if this VM is the key's home, else forwards them to the home."""

    def __init__(
        self, cfg: Settings, initial_incarnation: int, deps: HomeDependencies, rng: random.Random
    ) -> None:
        self._cfg = cfg
        self._initial_incarnation = initial_incarnation
        self._deps = deps
        self._rng = rng

    def prefix(self) -> str:
        """Return a key prefix whose home is this process."""
        expires = int(wall() + self._cfg.key_ttl_s)
        return KeyPrefix(self._cfg.vm, self._initial_incarnation, expires).text()

    def serve(self, call: Call) -> Answer:
        """Serve a keyed call; it runs at most once however often and at whichever VM it arrives."""
        prefix = parse_prefix(call.key)
        if prefix is None:
            prefix = self._deps.claims.home_of(call.key)
        vm = self._serving_vm(prefix)
        if vm != self._cfg.vm:
            return self._forward(vm, call)
        return self.serve_locally(call, prefix)

    def _serving_vm(self, prefix: KeyPrefix) -> str:
        """Return the VM that serves a home's keys: the home itself, or its heir."""
        heir = self._deps.snapshots.heirs.get((prefix.vm, prefix.incarnation))
        return heir.vm if heir else prefix.vm

    def _forward(self, vm: str, call: Call) -> Answer:
        member = self._deps.snapshots.members.get(vm)
        if member is None or member.state >= State.DEAD:
            raise _home_lost(f"the key's home {vm} cannot be reached")
        self._deps.metrics.event("hop-to-home")
        try:
            return self._deps.handoffs.send(member, call.with_attempt(new_id()), HOP_HOME)
        except RequestError as exc:
            if exc.code in (Code.PEER_UNREACHABLE, Code.ATTEMPT_VOIDED):
                raise _home_lost(f"the key's home {vm} does not answer") from exc
            raise

    def serve_locally(self, call: Call, prefix: KeyPrefix | None = None) -> Answer:
        """Serve a keyed call as its home."""
        prefix = prefix or parse_prefix(call.key) or self._deps.claims.home_of(call.key)
        home = (prefix.vm, prefix.incarnation)
        if not msg.ask(self._deps.actor, msg.IsHomeOf(home)):
            raise _home_lost(f"the key's home {prefix.vm} was restarted since")
        fingerprint = f"{call.service} {call.method} {call.path}"
        message = msg.BeginKey(call.key, fingerprint, prefix.expires)
        begin, outcome = msg.ask(self._deps.actor, message)
        if begin is BeginResult.RUN:
            return self._execute(call, fingerprint)
        if begin is BeginResult.MOVED:
            return self._forward_to_heir(prefix, call)
        if outcome is not None:
            self._deps.metrics.event("key-replayed")
            return _replay(outcome)
        raise self._key_error(begin)

    def _forward_to_heir(self, prefix: KeyPrefix, call: Call) -> Answer:
        """Forward a call to the heir of its home, which has closed its table of keys."""
        vm = self._serving_vm(prefix)
        if vm == self._cfg.vm:
            raise _home_lost("the key's home is stopping")
        return self._forward(vm, call)

    def verdict_if_rejected(self, key: str) -> Verdict:
        """Return the verdict for a keyed request that is rejected before it reaches its home.

        An earlier copy of the request may have run; only the home can rule that out.
        """
        prefix = parse_prefix(key)
        if prefix is None or (prefix.vm, prefix.incarnation) != (
            self._cfg.vm,
            self._initial_incarnation,
        ):
            return Verdict.MAY_HAVE_RUN
        fresh = prefix.expires > wall() and not msg.ask(self._deps.actor, msg.HasKey(key))
        return Verdict.NOT_RUN if fresh else Verdict.MAY_HAVE_RUN

    def _key_error(self, begin: BeginResult) -> RequestError:
        wait = jittered(RUNNING_RETRY_S, self._rng)
        if begin is BeginResult.RUNNING:
            text = "the key's first request is still running"
            return RequestError(Code.KEY_RUNNING, text, Verdict.MAY_HAVE_RUN, 409, wait)
        if begin is BeginResult.REUSED:
            text = "the key was used for another request"
            return RequestError(Code.BAD_REQUEST, text, Verdict.MAY_HAVE_RUN, 422)
        if begin is BeginResult.FULL:
            text = "too many keys are remembered here"
            return RequestError(Code.KEY_TABLE_FULL, text, Verdict.NOT_RUN, 503, wait)
        text = "the key has expired; what became of it is no longer known"
        return RequestError(Code.KEY_EXPIRED, text, Verdict.MAY_HAVE_RUN, 410)

    def _execute(self, call: Call, fingerprint: str) -> Answer:
        actor = self._deps.actor
        try:
            answer = self._deps.router.route(call)
        except RequestError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                actor.tell(msg.ForgetKey(call.key))
            else:
                actor.tell(msg.FinishKey(call.key, _unknown_outcome(fingerprint)))
            raise
        except BaseException:
            actor.tell(msg.FinishKey(call.key, _unknown_outcome(fingerprint)))
            raise
        return self._record_answer(call, fingerprint, answer)

    def _record_answer(self, call: Call, fingerprint: str, answer: Answer) -> Answer:
        """Record an answer for replay, if it is small enough, while it streams to the caller."""
        recorder = _Recorder(answer.chunks)
        answer.chunks = recorder.stream()

        def finish(whole: bool) -> None:
            body = recorder.read_rest() if not whole else recorder.body()
            outcome = msg.StoredOutcome(
                fingerprint, answer.status, tuple(answer.headers), body, ran=True
            )
            self._deps.actor.tell(msg.FinishKey(call.key, outcome))

        answer.on_end.insert(0, finish)
        return answer


class _Recorder:
    """Copies a stream of at most MAX_REPLAY_BYTES for replay."""

    def __init__(self, chunks: Iterator[bytes]) -> None:
        self._chunks = chunks
        self._copy: bytearray | None = bytearray()

    def stream(self) -> Iterator[bytes]:
        """Yield the chunks and copy them; the copy of a truncated answer is dropped."""
        try:
            for chunk in self._chunks:
                self._add(chunk)
                yield chunk
        except RequestError:
            self._copy = None
            raise

    def read_rest(self) -> bytes | None:
        """Read the rest after the caller has disconnected, so that a retry gets all of it."""
        try:
            while self._copy is not None:
                chunk = next(self._chunks, None)
                if chunk is None:
                    break
                self._add(chunk)
        except RequestError:
            self._copy = None
        return self.body()

    def body(self) -> bytes | None:
        """Return the copy, None if it is incomplete or too large."""
        return None if self._copy is None else bytes(self._copy)

    def _add(self, chunk: bytes) -> None:
        if self._copy is None:
            return
        self._copy.extend(chunk)
        if len(self._copy) > MAX_REPLAY_BYTES:
            self._copy = None


def _replay(outcome: msg.StoredOutcome) -> Answer:
    if not outcome.ran:
        raise _home_lost("the key's first request may have run; its answer was lost")
    if outcome.body is None:
        text = f"the request ran with status {outcome.status}; its answer is not kept"
        raise RequestError(Code.KEY_DONE, text, Verdict.MAY_HAVE_RUN, 409)
    chunks = iter((outcome.body,)) if outcome.body else iter(())
    return Answer(outcome.status, list(outcome.headers), chunks, lambda: None, len(outcome.body))


def _unknown_outcome(fingerprint: str) -> msg.StoredOutcome:
    return msg.StoredOutcome(fingerprint, 0, (), None, ran=False)


def _home_lost(text: str) -> RequestError:
    return RequestError(Code.KEY_HOME_LOST, text, Verdict.MAY_HAVE_RUN, 409)
