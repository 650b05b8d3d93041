"""Real daemons that each follow a store which lost answers of waiting calls, for good."""

import os
import re
import signal
import time

import pytest

from gypsumwind.core.delegates import delegates
from tests.standins import platform
from tests.standins.fleet import wait_until
from tests.standins.steered import DirectFleet

INSTANCES = [("i-1", "lookup", "a1"), ("i-2", "lookup", "a1")]
BLOCK = f"127.{140 + os.getpid() % 30}"

UPDATES = 8
UPDATE_INTERVAL_S = 0.7
"""Changes of each list before the fault, until the long polls have their full length."""

LOST_FOR_S = 4.0


SHORT_SILENCE_S = 0.3
"""Time, in seconds, for which no call is answered: shorter than most calls wait."""

UP_TO_DATE_S = 6.5
"""Longest time, in seconds, from a change to its effect, if the store lost answers just before it:
four seconds to be up to date and 2.5 for the change itself."""


IN_FORCE = re.compile(r"(?P<list>[a-z-]+)-in-force version='?((?P<era>\d+)\.)?(?P<revision>\d+)")
"""Log line of a list that is put in force."""


@pytest.fixture
def fleet(tmp_path, request):
    vms = getattr(request, "param", ("a1", "a1", "b1"))
    with DirectFleet(tmp_path, f"{BLOCK}.9", INSTANCES, vms) as site:
        yield site.start_vms()
        assert decreasing_versions(site) == []


def decreasing_versions(fleet):
    """Return the lists of an earlier version that a process put in force, by its log."""
    found = []
    for vm in fleet.vms.values():
        text, last = vm.log_path.read_text(), {}
        for match in IN_FORCE.finditer(text):
            version = (int(match["era"] or 0), int(match["revision"]))
            if version < last.get(match["list"], version):
                found.append((vm.name, match[0]))
            last[match["list"]] = version
        assert last
    return found


def update_lists(fleet):
    """Change each list until the waits of the VMs' calls have their full length."""
    for n in range(UPDATES):
        fleet.store.register("i-9", "127.0.0.1:9", "other", slots=n + 1)
        fleet.store.put("evacuations", f"unused-{n}", {})
        fleet.store.put("config", "main", platform.config(20 + n))
        time.sleep(UPDATE_INTERVAL_S)


def lose_answers(fleet):
    """Let the store lose the answers to all calls that wait or begin, and answer later ones."""
    update_lists(fleet)
    fleet.store.set_mode("lost")
    time.sleep(LOST_FOR_S)
    fleet.store.set_mode("ok")


def statuses(fleet, path="/read/x"):
    return {
        fleet.send(vm, path, request=f"r-{time.monotonic()}").status for vm in fleet.vms.values()
    }


def servers(fleet):
    return {
        fleet.send(vm, request=f"r-{time.monotonic()}").data.split()[0] for vm in fleet.vms.values()
    }


def test_instance_that_leaves_after_the_store_lost_answers_gets_no_requests(fleet):
    (home,) = servers(fleet)
    lose_answers(fleet)
    name = home.decode()
    fleet.store.register(name, fleet.instances[name].address, state="draining")
    wait_until(lambda: home not in servers(fleet), timeout=8, text="no VM uses the instance")


def test_zone_that_is_closed_after_the_store_lost_answers_gets_no_requests(fleet):
    lose_answers(fleet)
    fleet.store.put("evacuations", "a1", {})
    wait_until(lambda: statuses(fleet) == {503}, timeout=8, text="no VM uses the zone")


def change_route(fleet):
    doc = platform.config(40)
    doc["listeners"][0]["routingRules"][0]["match"]["pathPrefix"] = "/new/"
    fleet.store.put("config", "main", doc)


def close_zone(fleet):
    fleet.store.put("evacuations", "a1", {})


def drain_instance(fleet):
    fleet.store.register("i-1", fleet.instances["i-1"].address, state="draining")


def test_configuration_applies_at_all_vms_after_the_store_lost_answers(fleet):
    lose_answers(fleet)
    change_route(fleet)
    wait_until(lambda: statuses(fleet, "/new/x") == {200}, timeout=8, text="the rule is in force")


FEEDS = {
    "config": (change_route, lambda fleet: statuses(fleet, "/new/x") == {200}),
    "evacuations": (close_zone, lambda fleet: statuses(fleet) == {503}),
    "servers": (drain_instance, lambda fleet: servers(fleet) == {b"i-2"}),
}
"""By kind, a change of the list and whether it is in force at all VMs."""

fleets = pytest.mark.parametrize(
    "fleet", [("a1", "a1", "b1"), ("a1",) * 5], indirect=True, ids=["each-alone", "followers"]
)


@fleets
@pytest.mark.parametrize("kind", FEEDS)
def test_change_is_in_force_though_a_short_silence_hit_only_this_feed(fleet, kind):
    """All VMs begin their next call for the list in the silence, right after a change of it."""
    change, in_force = FEEDS[kind]
    update_lists(fleet)
    fleet.store.loses = lambda ip, called: called == kind
    if kind == "evacuations":
        fleet.store.put(kind, "unused-again", {})
    elif kind == "config":
        fleet.store.put(kind, "main", platform.config(30))
    else:
        fleet.store.register("i-9", "127.0.0.1:9", "other", slots=9)
    time.sleep(SHORT_SILENCE_S)
    fleet.store.loses = lambda ip, called: False
    change(fleet)
    wait_until(lambda: in_force(fleet), timeout=UP_TO_DATE_S, text=f"{kind} in force")


@pytest.mark.parametrize("fleet", [("a1",) * 5], indirect=True)
@pytest.mark.parametrize("kind", FEEDS)
def test_followers_do_not_wait_for_a_delegate_that_gets_no_answer_to_this_feed(fleet, kind):
    """The store answers the delegate's other calls, and all calls of its followers."""
    change, in_force = FEEDS[kind]
    update_lists(fleet)
    first = fleet.vms[delegates("a1", list(fleet.vms))[0]]
    fleet.store.loses = lambda ip, called: ip == first.ip and called == kind
    time.sleep(SHORT_SILENCE_S)
    change(fleet)
    wait_until(lambda: in_force(fleet), timeout=UP_TO_DATE_S, text=f"{kind} in force")


@fleets
def test_vm_that_was_paused_is_up_to_date_and_no_other_goes_back_to_its_old_list(fleet):
    """The first delegate wakes up with an unread answer, after changes that the others have."""
    update_lists(fleet)
    first = fleet.vms[delegates("a1", [vm.name for vm in fleet.vms.values() if vm.zone == "a1"])[0]]
    first.process.send_signal(signal.SIGSTOP)
    try:
        for n in range(3):
            fleet.store.put("config", "main", platform.config(30 + n))
            time.sleep(LOST_FOR_S / 3)
        fleet.store.compact_history()
    finally:
        first.process.send_signal(signal.SIGCONT)
    change_route(fleet)
    wait_until(lambda: statuses(fleet, "/new/x") == {200}, timeout=UP_TO_DATE_S)


@fleets
def test_vm_that_starts_while_the_store_does_not_answer_it_is_up_to_date(fleet):
    """It has its lists from peers then, and the store has answered its peers later."""
    vm = list(fleet.vms.values())[-1]
    vm.kill()
    vm.log_path.unlink()
    fleet.store.loses = lambda ip, kind: ip == vm.ip
    vm.start()
    wait_until(vm.ready, text="the VM has its lists from peers")
    change_route(fleet)
    fleet.store.loses = lambda ip, kind: False
    wait_until(lambda: statuses(fleet, "/new/x") == {200}, timeout=UP_TO_DATE_S)


@fleets
def test_instance_removed_after_a_watch_was_cut_off_is_not_kept(fleet):
    """Guards against a grace period for lapsed entries after any failed call (DRAIN)."""
    update_lists(fleet)
    before = {vm.name: len(vm.log_path.read_text()) for vm in fleet.vms.values()}
    fleet.store.cut_watches()
    fleet.store.remove("servers", "i-1")
    for vm in fleet.vms.values():
        wait_until(
            lambda vm=vm: "removed=['i-1']" in vm.log_path.read_text()[before[vm.name] :],
            timeout=8,
            text=f"{vm.name} no longer uses the instance",
        )
    logs = "".join(vm.log_path.read_text()[before[vm.name] :] for vm in fleet.vms.values())
    assert "store-lost" in logs and "kept=['i-1']" not in logs


@fleets
def test_instance_whose_lease_expired_in_an_outage_is_kept(fleet):
    """The outage lasts as long as leases, but for one renewal."""
    update_lists(fleet)
    before = {vm.name: len(vm.log_path.read_text()) for vm in fleet.vms.values()}
    fleet.store.set_mode("reset")
    time.sleep(3.0)
    fleet.store.remove("servers", "i-1")
    fleet.store.set_mode("ok")
    for vm in fleet.vms.values():
        wait_until(
            lambda vm=vm: "kept=['i-1']" in vm.log_path.read_text()[before[vm.name] :],
            timeout=8,
            text=f"{vm.name} keeps the instance for the grace period",
        )
