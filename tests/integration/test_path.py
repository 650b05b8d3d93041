"""End to end with real processes: table, look-up, call, hop, upload, and verdict."""

import hashlib

import pytest

from tests.standins.fleet import Fleet, Service, wait_until

ZONES = {
    "accra-a": ("accra", 1),
    "accra-b": ("accra", 1),
    "kumasi-a": ("kumasi", 1),
    "kumasi-b": ("kumasi", 1),
}


@pytest.fixture(scope="module")
def fleet():
    with Fleet(ZONES, [Service("lookup"), Service("signoff")]) as running:
        yield running.start_vms()


def test_request_reaches_an_upstream_and_returns_complete(fleet):
    caller = fleet.caller("accra-a")
    reply = caller.send("lookup", "/vents/7?echo=seven&size=1000")
    assert (reply.status, reply.verdict) == (200, "answered")
    assert hashlib.sha256(reply.data).hexdigest() == reply.headers["x-answer-hash"]


def test_weights_spread_over_zones_of_both_regions(fleet):
    caller = fleet.caller("accra-a")
    seen = {caller.send("lookup", "/x").headers["gypsumwind-instance"] for _ in range(80)}
    zones = {name.removeprefix("lookup-").rsplit("-", 1)[0] for name in seen}
    assert zones == set(ZONES)


def test_upload_of_64_mb_passes_in_constant_memory(fleet):
    caller = fleet.caller("accra-a")
    block = b"0123456789abcdef" * 4096
    count = 1024
    digest = hashlib.sha256(block * count).hexdigest()
    before = max(_resident_kb(vm) for vm in fleet.vms.values())
    reply = caller.send(
        "lookup",
        "/photos",
        method="POST",
        body=(block for _ in range(count)),
        headers={"Content-Length": str(len(block) * count)},
        timeout=60,
    )
    assert (reply.status, reply.verdict) == (200, "answered"), reply
    assert reply.headers["x-body-hash"] == digest
    assert max(_resident_kb(vm) for vm in fleet.vms.values()) < before + 16 * 1024


def test_keyed_request_runs_once_and_is_replayed(fleet):
    caller = fleet.caller("accra-a")
    key = caller.key("signoff", "booking-1")
    headers = {"Idempotency-Key": key}
    replies = [
        caller.send("signoff", "/book?echo=b", "POST", b"x", headers, url=vm.url)
        for vm in fleet.vms.values()
    ]
    assert [(r.status, r.verdict) for r in replies] == [(200, "answered")] * 4
    assert len({r.data for r in replies}) == 1
    assert fleet.log.run_counts()[key] == 1


def test_edit_of_a_cell_is_in_force_everywhere(fleet):
    result = fleet.set_cell("lookup", "kumasi", "limit", 3)
    assert result.outcome.value == "stored"

    def in_force():
        pages = [vm.status() for vm in fleet.vms.values()]
        return all(page["tables"].get("lookup") == result.generation for page in pages)

    wait_until(in_force, 10)


def test_unknown_service_is_refused_as_not_run(fleet):
    reply = fleet.caller().send("nothing", "/", url=next(iter(fleet.vms.values())).url)
    assert (reply.status, reply.verdict, reply.code) == (404, "not-run", "GW301")


def _resident_kb(vm):
    with open(f"/proc/{vm.process.pid}/status") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1])
