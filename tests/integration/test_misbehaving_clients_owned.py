"""Clients that keep to no limit, at a daemon that owns instances: it lives, and answers others."""

import pytest

from tests.standins import fleet as standins
from tests.standins import strangers
from tests.standins.fleet import Fleet, Service, wait_until
from tests.standins.strangers import Crowd, chunked, filler, head, sized

MEMORY_MB = 120
CROWD = 100
ANSWER_S = 60.0
MB = 1024 * 1024
CALL = "/v1/call/lookup/x"
PORTS = {"caller": standins.CALLER_PORT, "handoff": standins.HANDOFF_PORT}

SCRIPTS = {
    "one-chunk": lambda path: chunked(head(path=path), [b"800000\r\n"], filler(8 * MB - 1)),
    "length": lambda path: sized(head(path=path), 8 * MB, filler(8 * MB - 1)),
    "request-line": lambda path: [b"GET /", *filler(8 * MB)],
    "field": lambda path: [b"GET / HTTP/1.1\r\nName: ", *filler(8 * MB)],
    "chunk-size": lambda path: chunked(head(path=path), [b"0"], filler(8 * MB)),
    "head": lambda path: [b"GET / HTTP/1.1\r\nHost: x\r\n"],
}


@pytest.fixture
def fleet():
    settings = {"memory_mb": MEMORY_MB}
    with Fleet({"accra-a": ("accra", 1)}, [Service("lookup")], settings) as running:
        yield running.start_vms()


def is_answered(fleet):
    fleet.http.clear()
    return fleet.caller("accra-a").send("lookup", "/ordinary", timeout=5).status == 200


@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize("script", SCRIPTS)
def test_crowd_stays_within_memory_and_others_are_answered(fleet, port, script):
    """Guards against ports without limits of their own."""
    (vm,) = fleet.vms.values()
    wait_until(lambda: is_answered(fleet), ANSWER_S, text="an ordinary call is answered")
    path = CALL if port == "caller" else "/lookup/x"
    address = (vm.real_ip, PORTS[port])
    with Crowd(address, CROWD, lambda n: SCRIPTS[script](path)) as crowd:
        crowd.wait()
        wait_until(lambda: is_answered(fleet), ANSWER_S, text="an ordinary call is answered")
        assert vm.running and strangers.peak_memory_mb(vm.process) < MEMORY_MB
    wait_until(lambda: is_answered(fleet), ANSWER_S, text="an ordinary call is answered")
    assert vm.running and strangers.peak_memory_mb(vm.process) < MEMORY_MB
