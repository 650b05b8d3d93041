"""The dispatch actor: slots of requests that no longer wait, and requests that crash instances."""

import random
from concurrent.futures import Future
from dataclasses import replace
from types import SimpleNamespace

import logbook
import pykka
import pytest

from gypsumwind import messages as msg
from gypsumwind.core.crashes import QUARANTINE_S, Quarantine
from gypsumwind.core.decisions import QUARANTINED, Placed, PlacementRequest
from gypsumwind.core.instances import Outcome
from gypsumwind.core.membership import Endpoint, Member, State
from gypsumwind.core.upstreams import Upstream, UpstreamList
from gypsumwind.core.versions import Version
from gypsumwind.dispatchers import DispatchActor
from gypsumwind.snapshots import Snapshots
from gypsumwind.steering import SteeringSettings
from gypsumwind.utils import wall

UP = Upstream("i1", 1, "s", "127.0.0.1", 1, "a1", 1)


@pytest.fixture
def snapshots():
    me = Member("vm-1", "a1", Endpoint("127.0.0.1", 1, 2, 3), 1, State.ALIVE)
    snapshots = Snapshots(me)
    snapshots.upstreams = UpstreamList(Version(0, 1), {"i1": UP})
    return snapshots


@pytest.fixture
def actor(snapshots):
    steering = SteeringSettings({"a1": "a"}, 0.2, 64, 10, 1.5, 5, 6, 1)
    cfg = SimpleNamespace(vm="vm-1", zone="a1")
    ref = DispatchActor.start(cfg, steering, snapshots, random.Random(1))
    ref.tell(msg.SyncSteering())
    yield ref
    pykka.ActorRegistry.stop_all()


def place(actor, ticket, fingerprint="f"):
    future = Future()
    request = PlacementRequest(ticket, "s", "k", 1, 1e12, fingerprint=fingerprint)
    actor.ask(msg.PlaceRequest(request, future))
    return future


def finish_send(actor):
    actor.ask(msg.SendFinished(UP, Outcome.OK, None, 0.1, False))


def test_slot_of_a_disconnected_caller_is_released_and_the_actor_survives(actor):
    placed = [place(actor, n) for n in range(2)]
    disconnected, waiting = place(actor, 10), place(actor, 11)
    assert all(isinstance(f.result(1), Placed) for f in placed)
    disconnected.set_result(None)
    finish_send(actor)
    assert isinstance(waiting.result(1), Placed)
    assert actor.is_alive()


def test_failing_message_does_not_stop_the_actor(actor):
    actor.ask(msg.SendFinished(None, Outcome.OK, None, 0.1, False))
    assert isinstance(place(actor, 1).result(1), Placed)


def test_quarantined_request_is_refused_whether_new_or_queued(actor):
    placed = [place(actor, n) for n in range(2)]
    queued, innocent = place(actor, 10, "deadly"), place(actor, 11)
    assert all(isinstance(f.result(1), Placed) for f in placed)
    actor.ask(msg.ApplyFindings((Quarantine("deadly", wall()),)))
    for refusal in (queued.result(1), place(actor, 12, "deadly").result(1)):
        assert refusal.reason == QUARANTINED
        assert QUARANTINE_S - 5 < refusal.retry_after_s <= QUARANTINE_S
    finish_send(actor)
    assert isinstance(innocent.result(1), Placed)


def test_crashes_that_this_vm_observed_count_before_its_next_attempt(actor):
    now = wall()
    for n in range(3):
        at = now + n
        up = Upstream(f"x{n}", 1, "s", "127.0.0.1", 1, "a1", 1)
        actor.tell(
            msg.SendFinished(up, Outcome.CUT, None, 0.1, False, fingerprint="f", crashed_at=at)
        )
    assert place(actor, 1).result(1).reason == QUARANTINED


@pytest.fixture
def handler():
    with logbook.TestHandler().applicationbound() as found:
        yield found


def test_log_names_the_instances_that_left_and_those_kept_for_the_grace_period(
    handler, snapshots, actor
):
    snapshots.upstreams = UpstreamList(Version(0, 2), {}, wall() + 60)
    actor.ask(msg.SyncSteering())
    snapshots.upstreams = UpstreamList(Version(0, 3), {"i1": replace(UP, draining=True)})
    actor.ask(msg.SyncSteering())
    lines = [line for line in handler.formatted_records if "instances-changed" in line]
    assert "list='1' usable=1 added=['i1'] removed=[] kept=[]" in lines[0]
    assert "list='2' usable=1 added=[] removed=[] kept=['i1']" in lines[1]
    assert "list='3' usable=0 added=[] removed=['i1'] kept=[]" in lines[2]
