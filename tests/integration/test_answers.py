"""Each caller gets the complete answer to its own request, or an error."""

import hashlib
import random
import threading

import pytest

from tests.standins.fleet import Fleet, Service, wait_until
from tests.standins.load import Load

ZONES = {"accra-a": ("accra", 1), "kumasi-a": ("kumasi", 1)}
CALLERS = 8
REQUESTS = 250


@pytest.fixture
def fleet():
    cells = {"local_bias": 1.0}
    with Fleet(ZONES, [Service("lookup", slots=6, cells=cells)], proxied=True) as running:
        yield running.start_vms()


def check_complete(reply, echo):
    """Return whether a reply is an answer; if so, check that it is complete and to this request."""
    if reply.verdict != "answered" or reply.error:
        return False
    assert reply.headers["x-echo"] == echo, (reply.headers, echo)
    assert hashlib.sha256(reply.data).hexdigest() == reply.headers["x-answer-hash"]
    return True


def send_requests(fleet, seed, counts, faults=()):
    """Send requests of all sizes with short deadlines from several callers at once."""

    def run(number):
        rng = random.Random(seed * 1000 + number)
        caller = fleet.caller()
        for i in range(REQUESTS):
            echo = f"c{number}r{i}"
            size = rng.choice([0, 1, 700, 9000, 150_000])
            ms = rng.choice([0, 0, 1, 5, 60])
            headers = {"Gypsumwind-Timeout-Ms": str(rng.choice([50, 400, 2000]))}
            path = f"/v?echo={echo}&size={size}&ms={ms}"
            reply = caller.send("lookup", path, headers=headers)
            counts[check_complete(reply, echo)] += 1

    threads = [threading.Thread(target=run, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def test_thousands_of_requests_over_a_faulty_network(fleet):
    """The proxy delays and drops connections among VMs and between VMs and upstreams."""
    stop = threading.Event()
    rng = random.Random(7)
    vms = [vm.real_ip for vm in fleet.vms.values()]
    ups = [up.ip for up in fleet.upstreams.values()]

    def inject_faults():
        while not stop.wait(0.05):
            src, dst = rng.choice(vms), rng.choice(vms + ups)
            if rng.random() < 0.5:
                fleet.proxy.drop_connections(src, dst)
            fleet.proxy.set_fault(src, dst, delay_s=rng.choice([0, 0, 0.02, 0.08]))
            fleet.proxy.set_fault(dst, src, delay_s=rng.choice([0, 0, 0.02]))

    injecting = threading.Thread(target=inject_faults)
    injecting.start()
    counts = {True: 0, False: 0}
    send_requests(fleet, 1, counts)
    stop.set()
    injecting.join()
    assert sum(counts.values()) == CALLERS * REQUESTS
    assert counts[True] > CALLERS * REQUESTS / 3


@pytest.mark.parametrize("mode", ["cut-middle", "stall"])
def test_truncated_and_stalled_answers_never_look_complete(fleet, mode):
    for up in fleet.upstreams.values():
        up.mode = mode
    caller = fleet.caller()
    headers = {"Gypsumwind-Timeout-Ms": "700"}
    for i in range(6):
        reply = caller.send("lookup", f"/v?echo=e{i}&size=200000", headers=headers)
        assert not (reply.verdict == "answered" and not reply.error), reply.headers
    for up in fleet.upstreams.values():
        up.mode = "ok"
    for i in range(20):
        reply = caller.send("lookup", f"/v?echo=after{i}&size=500")
        assert check_complete(reply, f"after{i}")


def test_disconnected_caller_cancels_the_work_upstream(fleet):
    caller = fleet.caller("accra-a")
    reply = caller.send("lookup", "/v?ms=8000", timeout=1.0)
    assert reply.error
    run = wait_until(lambda: next((r for r in fleet.log.runs if "ms=8000" in r.path), None))
    wait_until(lambda: run.ended, 5, text="cancelled upstream")
    assert run.ended - run.started < 6


def test_slots_are_released_when_callers_disconnect(fleet):
    caller = fleet.caller("accra-a")
    for _ in range(30):
        caller.send("lookup", "/v?ms=3000", timeout=0.05)

    def free():
        headrooms = [
            vm.status()["zones"][vm.zone]["headroom"]["lookup"] for vm in fleet.vms.values()
        ]
        return all(headroom["in_flight"] == 0 for headroom in headrooms)

    wait_until(free, 15)
    with Load(fleet, "lookup", "/v?ms=5", callers=2) as sent:
        wait_until(lambda: len(sent.replies) > 50)
    assert {r.verdict for r in sent.replies} == {"answered"}


def test_refusal_of_a_large_upload_reaches_the_caller(fleet):
    """The answer is sent at once; a TCP reset must not discard it before it is read."""
    caller = fleet.caller("accra-a")
    url = caller.lookup("lookup")["entries"][0]["url"]
    for _ in range(20):
        reply = caller.send("nothing", "/x", "POST", b"x" * 5_000_000, url=url)
        assert (reply.status, reply.verdict) == (404, "not-run"), reply
