"""Load shedding beyond capacity: immediate refusals, lowest class first, stable goodput."""

import random
import threading
import time

import pytest

from tests.standins.fleet import Fleet, Service, wait_until
from tests.standins.load import Load

ZONES = {"accra-a": ("accra", 2), "accra-b": ("accra", 1)}
SERVICE_MS = 200
SLOTS = 12
CAPACITY = SLOTS * 1000 / SERVICE_MS
DEADLINE_MS = 2000
SECONDS = 6


@pytest.fixture
def fleet():
    cells = {"reserve": 2, "local_bias": 1.0}
    with Fleet(ZONES, [Service("lookup", slots=3, cells=cells)]) as running:
        yield running.start_vms()


def offer(fleet, rate, seed, classes=("normal",)):
    """Send requests in an open loop at a mean rate; return class and reply of each."""
    rng = random.Random(seed)
    callers = [fleet.caller(zone) for zone in ZONES for _ in range(4)]
    for caller in callers:
        caller.lookup("lookup")
    replies, threads = [], []
    start = time.monotonic()
    at = 0.0
    while at < SECONDS:
        at += rng.expovariate(rate)
        kind, caller = rng.choice(classes), rng.choice(callers)
        thread = threading.Thread(target=_send, args=(caller, kind, replies))
        time.sleep(max(0.0, start + at - time.monotonic()))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    return replies


def _send(caller, kind, replies):
    headers = {"Gypsumwind-Class": kind, "Gypsumwind-Timeout-Ms": str(DEADLINE_MS)}
    reply = caller.send("lookup", f"/v?ms={SERVICE_MS}", headers=headers)
    replies.append((kind, reply))


def good(replies, kind=None):
    """Return the answered replies, of one class or all."""
    return [r for k, r in replies if r.verdict == "answered" and kind in (None, k)]


def test_goodput_holds_at_three_times_the_load(fleet):
    once = offer(fleet, CAPACITY, 1)
    thrice = offer(fleet, 3 * CAPACITY, 2)
    assert len(good(thrice)) >= 0.9 * len(good(once))
    refused = [r for _, r in thrice if r.verdict == "not-run"]
    assert len(refused) > CAPACITY * SECONDS / 2
    assert all(int(r.headers["retry-after"]) >= 1 for r in refused)
    assert {r.verdict for _, r in thrice} <= {"answered", "not-run"}


def test_highest_class_is_served_first(fleet):
    classes = ("high", "normal", "low", "low", "low")
    replies = offer(fleet, 3 * CAPACITY, 3, classes)
    share = {}
    for kind in ("high", "normal", "low"):
        sent = sum(k == kind for k, _ in replies)
        share[kind] = len(good(replies, kind)) / sent
    assert share["high"] > share["normal"] > share["low"]
    assert share["high"] > 0.9


def test_instance_that_reports_healthy_but_fails_is_ejected(fleet):
    up = fleet.upstreams["lookup-accra-a-1"]
    with Load(fleet, "lookup", "/v?ms=5", callers=3):
        time.sleep(1)
        up.mode = "fail"
        time.sleep(2)
        mark = len(fleet.log.runs)
        time.sleep(3)
        runs = fleet.log.runs[mark:]
    failing = sum(run.instance == up.name for run in runs)
    assert failing < 0.05 * len(runs)


def test_instances_that_report_unhealthy_but_work_are_used(fleet):
    for up in fleet.upstreams.values():
        up.health = "ill"
    time.sleep(2)
    with Load(fleet, "lookup", "/v?ms=5", callers=2) as sent:
        wait_until(lambda: len(sent.replies) > 200)
    assert {r.verdict for r in sent.replies} == {"answered"}


def test_frozen_load_reports_do_not_reduce_capacity(fleet):
    for up in fleet.upstreams.values():
        up.load_override = 3
    time.sleep(3)
    with Load(fleet, "lookup", "/v?ms=5", callers=2) as sent:
        wait_until(lambda: len(sent.replies) > 200)
    assert {r.verdict for r in sent.replies} == {"answered"}


def test_not_run_status_is_retried_at_another_instance(fleet):
    for region in ("accra",):
        fleet.set_cell("lookup", region, "not_run_statuses", "503")
    wait_until(lambda: all(vm.status()["tables"]["lookup"] == 2 for vm in fleet.vms.values()))
    fleet.upstreams["lookup-accra-a-1"].mode = "shed"
    caller = fleet.caller("accra-a")
    replies = [caller.send("lookup", "/book", "POST", b"x") for _ in range(60)]
    assert {r.verdict for r in replies} == {"answered"}
