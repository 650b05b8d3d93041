"""Traffic from the VMs of one region to another stays within the link's budget."""

import threading
import time

import pytest

from tests.standins.fleet import Fleet, Service, wait_until

ZONES = {"accra-a": ("accra", 1), "accra-b": ("accra", 1), "kumasi-a": ("kumasi", 1)}
BUDGET = 400_000
WINDOW_S = 2.0


@pytest.fixture
def fleet():
    links = [("accra", "kumasi", BUDGET)]
    with Fleet(ZONES, [Service("media", slots=8)], links=links) as running:
        running.start_vms()
        running.set_cell("media", "accra", "weight", 0.0)
        wait_until(lambda: all(_weight(vm) == 0.0 for vm in running.vms.values()))
        wait_until(lambda: all(_vms(vm) == 2 for vm in running.in_zone("accra-a")))
        yield running


def _weight(vm):
    return vm.status()["weights"]["media"]["accra"]


def _vms(vm):
    zones = vm.status()["zones"]
    return zones["accra-a"]["vms"] + zones["accra-b"]["vms"]


def check_windows(fleet, sources, targets, start, end):
    """Check that no window carries more than the budget; return the maximum bytes per window."""
    greatest = 0
    at = start
    while at + WINDOW_S <= end:
        size = fleet.proxy.bytes_between(sources, targets, at, at + WINDOW_S)
        assert size <= BUDGET * WINDOW_S
        greatest = max(greatest, size)
        at += 0.1
    return greatest


def run_all(fleet, function):
    replies = []
    threads = [
        threading.Thread(target=lambda z=z: replies.append(function(fleet.caller(z))))
        for z in ("accra-a", "accra-b")
        for _ in range(3)
    ]
    start = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return replies, start, time.monotonic()


def region_ips(fleet):
    accra = {vm.real_ip for vm in fleet.vms.values() if vm.region == "accra"}
    kumasi = {vm.real_ip for vm in fleet.vms.values() if vm.region == "kumasi"}
    return accra, kumasi


def test_uploads_are_paced_and_arrive_complete(fleet):
    def upload(caller):
        headers = {"Gypsumwind-Timeout-Ms": "20000"}
        return caller.send("media", "/photo", "POST", b"p" * 300_000, headers)

    replies, start, end = run_all(fleet, upload)
    assert {r.verdict for r in replies} == {"answered"}
    assert check_windows(fleet, *region_ips(fleet), start, end) > BUDGET * WINDOW_S / 4


def test_downloads_are_paced_and_arrive_complete(fleet):
    def download(caller):
        return caller.send("media", "/photo?size=200000")

    replies, start, end = run_all(fleet, download)
    assert {r.verdict for r in replies} == {"answered"}
    accra, kumasi = region_ips(fleet)
    check_windows(fleet, kumasi, accra, start, end)


def test_upload_too_large_for_the_link_by_its_deadline_is_refused_as_not_run(fleet):
    caller = fleet.caller("accra-a")
    headers = {"Gypsumwind-Timeout-Ms": "1500"}
    reply = caller.send("media", "/photo", "POST", b"p" * 2_000_000, headers)
    assert (reply.verdict, reply.code) == ("not-run", "GW317")
    assert reply.headers["retry-after"]
    assert not fleet.log.runs
