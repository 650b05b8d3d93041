"""Requests that crash each instance that runs them, with real daemons in two zones."""

import os
import threading
import time

import pytest

from tests.standins.fleet import wait_until
from tests.standins.steered import DirectFleet

INSTANCES = [(f"i-{n}", "lookup", "a1" if n % 2 else "b1") for n in range(8)]
BLOCK = f"127.{160 + os.getpid() % 30}"

DEADLY = "/read/deadly"
MOST_CRASHES = 3
SETTLE_S = 4.0
"""Time after the third crash from which the fleet has to know the request, in seconds."""
MOST_RETRIES = 3
"""Most sends of the request to instances from then on."""
REQUESTS_PER_S = 10
"""Load of other requests at each VM."""


@pytest.fixture
def fleet(tmp_path):
    with DirectFleet(tmp_path, f"{BLOCK}.15", INSTANCES, ("a1", "a1", "b1")) as site:
        yield site.start_vms()


def send_others(fleet, vm, until, statuses):
    """Send requests for different objects until a time; collect the times and statuses."""
    n = 0
    while time.monotonic() < until:
        path = f"/read/{vm.name}-{n}"
        answer = fleet.send(vm, path, request=path, headers={"Gypsumwind-Affinity-Key": path})
        statuses.append((time.monotonic(), answer.status))
        n += 1
        time.sleep(1 / REQUESTS_PER_S)


def send_deadly(fleet, seconds, interval_s):
    """Send the deadly request to each VM in turn, as another attempt; return the responses."""
    vms, answers = list(fleet.vms.values()), []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        vm = vms[len(answers) % len(vms)]
        answers.append(fleet.send(vm, DEADLY, request=f"deadly-{len(answers)}"))
        time.sleep(interval_s)
    return answers


def send_many(fleet, vm):
    """Send requests for different objects and return the responses."""
    keys = [f"many-{n}" for n in range(8)]
    headers = [{"Gypsumwind-Affinity-Key": key} for key in keys]
    return [
        fleet.send(vm, f"/read/{k}", request=k, headers=h)
        for k, h in zip(keys, headers, strict=True)
    ]


def crash_times(fleet):
    return sorted(at for up in fleet.instances.values() for at in up.crashes)


def test_request_that_crashes_its_instances_soon_reaches_none(fleet):
    fleet.set_instances(deadly=(DEADLY,), service_time_s=0.05)
    statuses = []
    until = time.monotonic() + 12.0
    others = [
        threading.Thread(target=send_others, args=(fleet, vm, until, statuses))
        for vm in fleet.vms.values()
    ]
    for thread in others:
        thread.start()
    send_deadly(fleet, 10.0, 0.25)
    for thread in others:
        thread.join()
    crashes = crash_times(fleet)
    late = [at for at in crashes if at > crashes[MOST_CRASHES - 1] + SETTLE_S]
    assert len(crashes) >= MOST_CRASHES and len(late) <= MOST_RETRIES
    assert {status for at, status in statuses if at > until - 1.0} == {200}


def test_restarted_vm_learns_which_requests_crash_instances(fleet):
    fleet.set_instances(deadly=(DEADLY,), restart_s=1.0)
    vm = list(fleet.vms.values())[2]
    answers = send_deadly(fleet, 3.0, 0.25)
    belief = "request-quarantined"
    wait_until(lambda: all(belief in one.log_path.read_text() for one in fleet.vms.values()))
    known = vm.log_path.read_text().count(belief)
    vm.kill()
    vm.start()
    wait_until(vm.ready)
    wait_until(lambda: vm.log_path.read_text().count(belief) > known)
    crashes = len(crash_times(fleet))
    refusal = fleet.send(vm, DEADLY, request="after-restart")
    assert refusal.status == 503 and refusal.headers["Gypsumwind-Verdict"] == "not-run"
    assert refusal.json()["code"] == "GW323" and float(refusal.headers["Retry-After"]) > 60
    assert len(crash_times(fleet)) == crashes
    assert {answer.status for answer in answers} <= {502, 503}
    assert fleet.send(vm, "/read/other", request="other").status == 200


def test_requests_that_look_like_a_quarantined_one_are_served(fleet):
    fleet.set_instances(deadly=(DEADLY,), restart_s=1.0)
    vms = list(fleet.vms.values())
    send_deadly(fleet, 3.0, 0.25)
    wait_until(lambda: all("request-quarantined" in vm.log_path.read_text() for vm in vms))
    fleet.set_instances(deadly=())
    for vm in vms:
        # Each VM sends little to instances that have just restarted.
        wait_until(
            lambda vm=vm: not any("no-upstream" in str(a.data) for a in send_many(fleet, vm))
        )
    alike = {
        "another caller": {"headers": {"Authorization": "Bearer other"}},
        "another query": {"path": f"{DEADLY}?page=2"},
        "a longer path": {"path": f"{DEADLY}/2"},
        "another body": {"method": "POST", "body": b"1"},
        "the same object": {"path": "/read/healthy"},
    }
    for vm in vms:
        for name, values in alike.items():
            answer = fleet.send(vm, **{"path": DEADLY, "request": f"{vm.name} {name}", **values})
            assert answer.status == 200, (vm.name, name)
        assert fleet.send(vm, DEADLY, request=f"{vm.name} again").json()["code"] == "GW323"
