"""Restores of the platform's store from a backup some seconds old, with real processes."""

import os
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from gypsumwind.platform.store import VmRegistry
from tests.standins import platform
from tests.standins.fleet import wait_until
from tests.standins.steered import DirectFleet

INSTANCES = [("i-1", "lookup", "a1"), ("i-2", "lookup", "a1"), ("i-3", "files", "a1")]
BLOCK = f"127.{150 + os.getpid() % 30}"


@pytest.fixture
def fleet(tmp_path, request):
    vms = getattr(request, "param", ("a1",))
    with DirectFleet(tmp_path, f"{BLOCK}.9", INSTANCES, vms) as site:
        yield site.start_vms()


def log_of(vm):
    return vm.log_path.read_text()


def detected_restore(vm):
    return "list-restored feed='feed-upstreams'" in log_of(vm)


def registered_vms(site):
    return {name for kind, name in site.store.objects if kind == VmRegistry.KIND}


def used_instances(site, vm, count=6):
    """Return the instances that serve some objects requested through a VM."""
    headers = [{"Gypsumwind-Affinity-Key": str(n)} for n in range(count)]
    answers = [site.send(vm, request=f"r-{vm.name}-{n}", headers=h) for n, h in enumerate(headers)]
    assert [answer.status for answer in answers] == [200] * count
    return {answer.data.split()[0].decode() for answer in answers}


@pytest.mark.parametrize("fleet", [("a1", "a1", "b1")], indirect=True)
def test_restore_under_load_fails_no_request_and_later_changes_take_effect(fleet):
    one, other, remote = fleet.vms.values()
    wait_until(lambda: registered_vms(fleet) == set(fleet.vms), text="all VMs are registered")
    backup = fleet.store.take_backup()
    wait_until(lambda: used_instances(fleet, one) == {"i-1", "i-2"}, text="both instances are used")
    fleet.store.register("i-1", fleet.instances["i-1"].address, state="draining")
    fleet.store.put("config", "main", platform.config(20, timeout_s=3))
    for vm in (one, other):
        wait_until(
            lambda vm=vm: used_instances(fleet, vm) == {"i-2"},
            text=f"{vm.name} excludes i-1, which is draining",
        )
    wait_until(
        lambda: all("version=20" in log_of(vm) for vm in fleet.vms.values()),
        text="all VMs have version 20",
    )
    ended, statuses = threading.Event(), []

    def load():
        while not ended.is_set():
            answer = fleet.send(one, request=f"load-{len(statuses)}")
            statuses.append((answer.status, answer.data.split()[0]))

    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(load)
        fleet.store.restore(backup, outage_s=1.5)
        for vm in fleet.vms.values():
            wait_until(lambda vm=vm: detected_restore(vm), text=f"{vm.name} detects the restore")
        ended.set()
        running.result(10)
    assert set(statuses) == {(200, b"i-2")}
    wait_until(lambda: registered_vms(fleet) == set(fleet.vms), text="all VMs are registered again")
    assert used_instances(fleet, other) == {"i-2"}
    fleet.store.register("i-1", fleet.instances["i-1"].address, born=2)
    wait_until(
        lambda: used_instances(fleet, one) == {"i-1", "i-2"}, text="the restarted i-1 is used"
    )
    assert "version=12" not in log_of(remote).split("list-restored")[1]


@pytest.mark.parametrize("fleet", [("a1", "a1")], indirect=True)
def test_paused_vm_detects_a_restore_when_it_resumes(fleet):
    one, other = fleet.vms.values()
    backup = fleet.store.take_backup()
    fleet.store.remove("servers", "i-1")
    for vm in (one, other):
        wait_until(
            lambda vm=vm: "count=2" in log_of(vm), text=f"{vm.name} has applied the removal of i-1"
        )
    other.process.send_signal(signal.SIGSTOP)
    fleet.store.restore(backup)
    fleet.store.register("i-4", "127.0.0.1:9", "lookup", "a1")
    wait_until(lambda: detected_restore(one), text="the running VM detects the restore")
    other.process.send_signal(signal.SIGCONT)
    wait_until(lambda: detected_restore(other), text="the resumed VM detects the restore")
    assert "i-1" not in used_instances(fleet, one) | used_instances(fleet, other)
    fleet.store.register("i-1", fleet.instances["i-1"].address, born=2)
    wait_until(
        lambda: "i-1" in used_instances(fleet, other), text="the resumed VM applies later changes"
    )


@pytest.mark.parametrize("fleet", [("a1", "a1")], indirect=True)
def test_vm_started_after_a_restore_gets_from_peers_what_the_backup_lacks(fleet):
    one, other = fleet.vms.values()
    backup = fleet.store.take_backup()
    fleet.store.remove("servers", "i-1")
    fleet.store.put("config", "main", platform.config(20, timeout_s=3))
    wait_until(
        lambda: "version=20" in log_of(one) and "count=2" in log_of(one),
        text="the running VM has version 20 and the removal",
    )
    other.kill()
    fleet.store.restore(backup)
    wait_until(lambda: detected_restore(one), text="the running VM detects the restore")
    before = len(log_of(other))
    other.start()
    wait_until(other.ready, text="the restarted VM is ready")
    wait_until(
        lambda: "version=20" in log_of(other)[before:], text="the restarted VM has version 20"
    )
    departs = "instance-departs instance='i-1'"
    wait_until(
        lambda: departs in log_of(other)[before:], text="the restarted VM has the departure of i-1"
    )
    assert used_instances(fleet, other) == {"i-2"}


def test_restore_during_a_graceful_shutdown_drops_no_request(fleet):
    vm = next(iter(fleet.vms.values()))
    fleet.set_instances(service_time_s=1.5)
    backup = fleet.store.take_backup()
    with ThreadPoolExecutor(2) as pool:
        answer = pool.submit(fleet.send, vm)
        wait_until(
            lambda: any(up.received for up in fleet.instances.values()), text="the request runs"
        )
        stopped = pool.submit(vm.stop)
        fleet.store.restore(backup, outage_s=0.5)
        assert answer.result(10).status == 200 and stopped.result(15) == 0


@pytest.mark.parametrize("fleet", [("a1", "a1")], indirect=True)
def test_all_vms_have_the_last_list_after_two_restores(fleet):
    backup = fleet.store.take_backup()
    fleet.store.register("i-4", "127.0.0.1:9", "lookup", "a1")
    fleet.store.restore(backup, outage_s=0.3)
    fleet.store.register("i-5", "127.0.0.1:9", "lookup", "a1", state="draining")
    fleet.store.restore(backup, outage_s=0.3)
    fleet.store.remove("servers", "i-2")
    for vm in fleet.vms.values():
        wait_until(
            lambda vm=vm: used_instances(fleet, vm) == {"i-1"}, text=f"{vm.name} has the last list"
        )


@pytest.mark.parametrize("fleet", [("a1", "a1", "b1")], indirect=True)
def test_zone_closed_at_the_revision_of_a_closure_lifted_before_a_restore_is_closed(fleet):
    """Guards against an evacuation that every VM ignores after a restore (EVAC)."""
    wait_until(lambda: registered_vms(fleet) == set(fleet.vms), text="all VMs are registered")

    def reached():
        """Return whether any VM sends a request to the zone within a second."""
        statuses = set()
        for n in range(4):
            time.sleep(0.25)
            statuses |= {fleet.send(vm, request=f"r-{n}").status for vm in fleet.vms.values()}
        return 200 in statuses

    backup = fleet.store.take_backup()
    fleet.store.revision += 50
    fleet.store.put("evacuations", "a1", {})
    revision = fleet.store.revision
    wait_until(lambda: not reached(), text="all VMs have closed the zone")
    fleet.store.remove("evacuations", "a1")
    wait_until(reached, text="a VM has reopened the zone")
    fleet.store.restore(backup, outage_s=0.3)
    for vm in fleet.vms.values():
        wait_until(
            lambda vm=vm: "list-restored feed='feed-closed-zones'" in log_of(vm),
            text=f"{vm.name} detects the restore",
        )
    wait_until(lambda: registered_vms(fleet) == set(fleet.vms), text="all VMs are registered again")
    assert fleet.store.revision < revision
    fleet.store.revision = revision - 1
    fleet.store.put("evacuations", "a1", {})
    wait_until(lambda: not reached(), text="all VMs have closed the zone again")
