"""The platform's store comes back from a copy some seconds old, under real processes."""

import os
import signal
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from gypsumwind.platform.store import VmRegistry
from tests.standins import platform
from tests.standins.fleet import until
from tests.standins.steered import Site

PLACES = [("i-1", "lookup", "a1"), ("i-2", "lookup", "a1"), ("i-3", "files", "a1")]
BLOCK = f"127.{150 + os.getpid() % 30}"


@pytest.fixture
def fleet(tmp_path, request):
    vms = getattr(request, "param", ("a1",))
    with Site(tmp_path, f"{BLOCK}.9", PLACES, vms) as site:
        yield site.start_vms()


def log_of(vm):
    return vm.log_path.read_text()


def knows_restore(vm):
    return "list-restored feed='feed-upstreams'" in log_of(vm)


def announced(site):
    return {name for kind, name in site.store.objects if kind == VmRegistry.KIND}


def used(site, vm, count=6):
    """Return the instances that serve some objects by way of a VM."""
    headers = [{"Gypsumwind-Affinity-Key": str(n)} for n in range(count)]
    answers = [site.send(vm, request=f"r-{vm.name}-{n}", headers=h) for n, h in enumerate(headers)]
    assert [answer.status for answer in answers] == [200] * count
    return {answer.data.split()[0].decode() for answer in answers}


@pytest.mark.parametrize("fleet", [("a1", "a1", "b1")], indirect=True)
def test_restore_under_load_fails_nobody_and_later_changes_are_in_force(fleet):
    one, other, far = fleet.vms.values()
    until(lambda: announced(fleet) == set(fleet.vms), text="all are announced")
    copy = fleet.store.copy()
    until(lambda: used(fleet, one) == {"i-1", "i-2"}, text="both are used")
    fleet.store.register("i-1", fleet.instances["i-1"].address, state="draining")
    fleet.store.put("config", "main", platform.config(20, timeout_s=3))
    for vm in (one, other):
        until(lambda vm=vm: used(fleet, vm) == {"i-2"}, text=f"{vm.name} knows that i-1 leaves")
    until(lambda: all("version=20" in log_of(vm) for vm in fleet.vms.values()), text="version 20")
    ended, statuses = threading.Event(), []

    def load():
        while not ended.is_set():
            answer = fleet.send(one, request=f"load-{len(statuses)}")
            statuses.append((answer.status, answer.data.split()[0]))

    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(load)
        fleet.store.restore(copy, away_s=1.5)
        for vm in fleet.vms.values():
            until(lambda vm=vm: knows_restore(vm), text=f"{vm.name} knows of the restore")
        ended.set()
        running.result(10)
    assert set(statuses) == {(200, b"i-2")}
    until(lambda: announced(fleet) == set(fleet.vms), text="all are announced again")
    assert used(fleet, other) == {"i-2"}
    fleet.store.register("i-1", fleet.instances["i-1"].address, born=2)
    until(lambda: used(fleet, one) == {"i-1", "i-2"}, text="i-1 has started anew")
    assert "version=12" not in log_of(far).split("list-restored")[1]


@pytest.mark.parametrize("fleet", [("a1", "a1")], indirect=True)
def test_restore_while_a_vm_is_paused_is_learnt_when_it_goes_on(fleet):
    one, other = fleet.vms.values()
    copy = fleet.store.copy()
    fleet.store.remove("servers", "i-1")
    for vm in (one, other):
        until(lambda vm=vm: "count=2" in log_of(vm), text=f"{vm.name} knows that i-1 has left")
    other.process.send_signal(signal.SIGSTOP)
    fleet.store.restore(copy)
    fleet.store.register("i-4", "127.0.0.1:9", "lookup", "a1")
    until(lambda: knows_restore(one), text="the other one knows")
    other.process.send_signal(signal.SIGCONT)
    until(lambda: knows_restore(other), text="it knows")
    assert "i-1" not in used(fleet, one) | used(fleet, other)
    fleet.store.register("i-1", fleet.instances["i-1"].address, born=2)
    until(lambda: "i-1" in used(fleet, other), text="changes are in force")


@pytest.mark.parametrize("fleet", [("a1", "a1")], indirect=True)
def test_vm_that_starts_after_a_restore_learns_from_peers_what_the_copy_has_not(fleet):
    one, other = fleet.vms.values()
    copy = fleet.store.copy()
    fleet.store.remove("servers", "i-1")
    fleet.store.put("config", "main", platform.config(20, timeout_s=3))
    until(lambda: "version=20" in log_of(one) and "count=2" in log_of(one), text="it knows")
    other.kill()
    fleet.store.restore(copy)
    until(lambda: knows_restore(one), text="it knows of the restore")
    before = len(log_of(other))
    other.start()
    until(other.ready, text="it is ready again")
    until(lambda: "version=20" in log_of(other)[before:], text="it has the configuration")
    departs = "instance-departs instance='i-1'"
    until(lambda: departs in log_of(other)[before:], text="it knows that i-1 has left")
    assert used(fleet, other) == {"i-2"}


def test_restore_during_a_planned_stop_cuts_nothing(fleet):
    vm = next(iter(fleet.vms.values()))
    fleet.set_instances(work_s=1.5)
    copy = fleet.store.copy()
    with ThreadPoolExecutor(2) as pool:
        answer = pool.submit(fleet.send, vm)
        until(lambda: any(up.asked for up in fleet.instances.values()), text="it runs")
        stopped = pool.submit(vm.stop)
        fleet.store.restore(copy, away_s=0.5)
        assert answer.result(10).status == 200 and stopped.result(15) == 0


@pytest.mark.parametrize("fleet", [("a1", "a1")], indirect=True)
def test_two_restores_in_a_row_end_with_all_vms_on_the_last_list(fleet):
    copy = fleet.store.copy()
    fleet.store.register("i-4", "127.0.0.1:9", "lookup", "a1")
    fleet.store.restore(copy, away_s=0.3)
    fleet.store.register("i-5", "127.0.0.1:9", "lookup", "a1", state="draining")
    fleet.store.restore(copy, away_s=0.3)
    fleet.store.remove("servers", "i-2")
    for vm in fleet.vms.values():
        until(lambda vm=vm: used(fleet, vm) == {"i-1"}, text=f"{vm.name} has the last list")
