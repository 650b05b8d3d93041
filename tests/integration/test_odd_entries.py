"""Daemons follow the lists of the store although another writer left odd entries in each."""

import os

import pytest

from gypsumwind.platform.store import VmRegistry
from tests.standins import platform
from tests.standins.fleet import wait_until
from tests.standins.odd import ENTRY_PATHS, ODD_VALUES, VM_PATHS, with_value
from tests.standins.steered import DirectFleet

INSTANCES = [("i-1", "lookup", "a1"), ("i-2", "lookup", "a1")]
BLOCK = f"127.{110 + os.getpid() % 30}"
ENTRY = platform.server_entry("127.0.0.1:7", "other")


def write_odd_entries(store):
    for name, value in ODD_VALUES.items():
        for n, path in enumerate(ENTRY_PATHS):
            entry = with_value(ENTRY, path, value)
            store.put("servers", f"odd-{name}-{n}", entry["spec"], entry["status"])
        for n, path in enumerate(VM_PATHS):
            spec = with_value({"ip": "127.0.0.3", "peer_port": 1}, path, value)
            store.put(VmRegistry.KIND, f"odd-{name}-{n}", spec)
        store.put(VmRegistry.KIND, f"odd-{name}", value)
        store.put("evacuations", f"odd-{name}", value)
        store.put("config", f"odd-{name}", value)


@pytest.mark.parametrize("when", ["before the start", "while they run"])
def test_daemons_follow_the_store_beside_odd_entries_of_any_list(tmp_path, when):
    with DirectFleet(tmp_path, f"{BLOCK}.9", INSTANCES, ("a1", "b1")) as fleet:
        if when == "before the start":
            write_odd_entries(fleet.store)
        fleet.start_vms()
        if when == "while they run":
            write_odd_entries(fleet.store)
        (home,) = {fleet.send(vm).data.split()[0].decode() for vm in fleet.vms.values()}
        fleet.store.register(home, fleet.instances[home].address, state="draining")
        wait_until(
            lambda: all(
                fleet.send(vm, request=vm.name).data.split()[0].decode() != home
                for vm in fleet.vms.values()
            ),
            timeout=10,
            text="no VM uses the instance that leaves",
        )
        fleet.store.put("config", "main", platform.config(40))
        wait_until(
            lambda: all("version=40" in vm.log_path.read_text() for vm in fleet.vms.values()),
            text="the configuration is in force",
        )
        fleet.store.put("evacuations", "a1", {})
        wait_until(
            lambda: {fleet.send(vm, request="z").status for vm in fleet.vms.values()} == {503},
            text="the zone is closed",
        )
        assert "task-failed" not in fleet.logs() and "actor-failed" not in fleet.logs()
        assert all(vm.process.poll() is None for vm in fleet.vms.values())
