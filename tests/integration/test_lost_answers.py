"""Real daemons that each follow a store which lost answers of waiting calls, for good."""

import os
import time

import pytest

from tests.standins import platform
from tests.standins.fleet import wait_until
from tests.standins.steered import DirectFleet

INSTANCES = [("i-1", "lookup", "a1"), ("i-2", "lookup", "a1")]
BLOCK = f"127.{140 + os.getpid() % 30}"

UPDATES = 8
UPDATE_INTERVAL_S = 0.7
"""Changes of each list before the fault, until the long polls have their full length."""

LOST_FOR_S = 4.0


@pytest.fixture
def fleet(tmp_path):
    with DirectFleet(tmp_path, f"{BLOCK}.9", INSTANCES, ("a1", "a1", "b1")) as site:
        yield site.start_vms()


def lose_answers(fleet):
    """Let the store lose the answers to all calls that wait or begin, and answer later ones."""
    for n in range(UPDATES):
        fleet.store.register("i-9", "127.0.0.1:9", "other", slots=n + 1)
        fleet.store.put("evacuations", f"unused-{n}", {})
        fleet.store.put("config", "main", platform.config(20 + n))
        time.sleep(UPDATE_INTERVAL_S)
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


def test_configuration_applies_at_all_vms_after_the_store_lost_answers(fleet):
    lose_answers(fleet)
    doc = platform.config(40)
    doc["listeners"][0]["routingRules"][0]["match"]["pathPrefix"] = "/new/"
    fleet.store.put("config", "main", doc)
    wait_until(lambda: statuses(fleet, "/new/x") == {200}, timeout=8, text="the rule is in force")
