"""Which instances a VM checks that suspects its isolation, and what a check tells."""

import random
import socket
from types import SimpleNamespace

import pytest

from gypsumwind import isolations
from gypsumwind import messages as msg
from gypsumwind.core.rules import ServicePolicy
from gypsumwind.core.upstreams import Upstream, UpstreamList
from gypsumwind.core.versions import Version
from gypsumwind.hangups import HangupTask
from gypsumwind.isolations import MAX_CHECK_S, MAX_CHECKS, IsolationTask
from tests.standins.raw import answering, raw_server
from tests.standins.steered import Instance
from tests.test_exchanges import BODIES_WITHOUT_END, UNBOUNDED, server, wait_for

ZONES = ["a1", "a2", "b1", "b2", "c1"]


class Dispatch(list):
    """Collects the messages to the dispatch actor."""

    tell = list.append


def upstream(name, zone="a1", port=1, **values):
    return Upstream(name, 1, "s", "127.0.0.1", port, zone, 4, **values)


def make_task(upstreams, suspected=True, deadlines=None):
    snapshots = SimpleNamespace(
        rules=SimpleNamespace(services={"s": ServicePolicy("s", "/health", 10, 3.0, 5.0)}),
        upstreams=UpstreamList(Version(), {up.id: up for up in upstreams}),
        closed_zones=SimpleNamespace(revisions={"b2": 1}),
        isolation_suspected=suspected,
        isolated=lambda vm, epoch: False,
    )
    cfg = SimpleNamespace(vm="vm-1", zone="a1", ip="127.0.0.1")
    dispatch = Dispatch()
    deadlines = deadlines or HangupTask()
    return IsolationTask(cfg, snapshots, dispatch, random.Random(1), deadlines), dispatch


def test_instances_of_all_open_zones_are_checked_and_of_this_vm_s_zone_first():
    upstreams = [upstream(f"{zone}-{n}", zone) for zone in ZONES for n in range(9)]
    task, _ = make_task([*upstreams, upstream("leaving", draining=True)])
    for _ in range(20):
        zones = [up.zone for up, _ in task._sample(task._instances())]
        assert len(zones) == MAX_CHECKS and zones[0] == "a1"
        assert set(zones) == {"a1", "a2", "b1", "c1"}


@pytest.mark.parametrize("suspected", [False, True])
def test_nothing_is_checked_without_a_suspicion_or_an_instance(suspected):
    upstreams = [] if suspected else [upstream("i-1")]
    task, dispatch = make_task(upstreams, suspected)
    task.step()
    assert not dispatch


def closed_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@pytest.mark.parametrize(
    ("how", "accepted", "responded"),
    [
        ("refused", False, False),
        ("refuse-new", False, False),
        ("hang", True, False),
        ("ok", True, True),
    ],
)
def test_one_instance_shows_that_connections_are_accepted_or_answered(how, accepted, responded):
    with Instance("i-1") as instance:
        if how in ("refuse-new", "hang"):
            instance.cut_from = {"127.0.0.1": how}
        port = closed_port() if how == "refused" else int(instance.address.partition(":")[2])
        task, dispatch = make_task(
            [upstream("i-0", "a2", closed_port()), upstream("i-1", port=port)]
        )
        task.step()
        instance.cut_from = {}
    assert dispatch == [msg.ConnectionsChecked(accepted, responded)]


def test_check_during_which_the_process_was_paused_tells_nothing(monkeypatch):
    task, dispatch = make_task([upstream("i-1"), upstream("i-2")])
    now = [0.0]

    def check(checked):
        now[0] += MAX_CHECK_S
        return False

    monkeypatch.setattr(isolations, "monotonic", lambda: now[0])
    monkeypatch.setattr(task, "_check", check)
    task.step()
    assert not dispatch


@pytest.mark.parametrize("kind", {**UNBOUNDED, **BODIES_WITHOUT_END})
def test_check_of_an_instance_whose_response_never_ends_is_over(kind):
    """Guards against a VM that remains isolated as its check waits for ever."""
    begin, more = {**UNBOUNDED, **BODIES_WITHOUT_END}[kind]
    with server(begin, more, 0.02) as (address, closed), HangupTask() as deadlines:
        task, dispatch = make_task([upstream("i-1", port=address[1])], deadlines=deadlines)
        task.step()
        has_head = b"\r\n\r\n" in begin
        assert dispatch == [msg.ConnectionsChecked(True, has_head)]
        wait_for(lambda: closed)


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0x\r\n\r\n",
        b"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_malformed_response_shows_that_an_instance_is_reached(head):
    """Guards against a VM that sends its callers away although its instances respond."""
    with raw_server(answering(head)) as address, HangupTask() as deadlines:
        task, dispatch = make_task([upstream("i-1", port=address[1])], deadlines=deadlines)
        task.step()
    assert dispatch == [msg.ConnectionsChecked(True, True)]
