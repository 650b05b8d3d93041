"""A stored edit is in force on all VMs within seconds and is never reverted."""

import threading
import time

import pytest

from gypsumwind.core.edits import CellEdit
from gypsumwind.editors import EditOutcome
from gypsumwind.feeds import MAX_LONG_POLL_S
from gypsumwind.utils import new_id
from tests.standins.fleet import Fleet, Service, wait_until
from tests.standins.odd import ODD_VALUES

LOST_FOR_S = 4.0
"""Time, in seconds, for which the store loses all answers: longer than a call takes to fail."""

SHORT_SILENCE_S = 0.3
"""Time, in seconds, for which no watch is answered: shorter than most watches wait."""

ZONES = {"accra-a": ("accra", 3), "accra-b": ("accra", 1), "kumasi-a": ("kumasi", 1)}


class Generations:
    """Records decreases of the generation in force at each VM.

    Generation 0 is skipped: a process that has just started has no table yet and serves no calls.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.decreases = []
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def _run(self):
        seen = {}
        while not self.ended.wait(0.05):
            for vm in self.fleet.vms.values():
                now = vm.status()["tables"].get("lookup", 0)
                if 0 < now < seen.get(vm.name, 0):
                    self.decreases.append((vm.name, seen[vm.name], now))
                seen[vm.name] = max(now, seen.get(vm.name, 0))

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        self.thread.join()


@pytest.fixture
def fleet():
    with Fleet(ZONES, [Service("lookup")]) as running:
        running.start_vms()
        with Generations(running) as generations:
            yield running
        assert generations.decreases == []


def in_force(fleet, generation, vms=None):
    vms = vms or fleet.vms.values()
    return all(vm.status()["tables"].get("lookup", 0) >= generation for vm in vms)


def edit(fleet, column, seen, value, editor=None, edit_id=None):
    editor = editor or fleet.editor()
    cell = CellEdit("accra", column, seen, value)
    return editor.edit("lookup", [cell], edit_id or new_id())


def test_two_operators_on_the_same_and_on_neighbouring_cells(fleet):
    first = edit(fleet, "limit", 100, 7)
    second = edit(fleet, "limit", 100, 9)
    neighbour = edit(fleet, "reserve", None, 2)
    assert (first.outcome, neighbour.outcome) == (EditOutcome.STORED, EditOutcome.STORED)
    assert second.outcome is EditOutcome.REFUSED
    assert "is now 7, was seen as 100, edit says 9" in second.text
    wait_until(lambda: in_force(fleet, neighbour.generation), 10)


def test_racing_operators_lose_no_accepted_edit(fleet):
    results = []

    def race(column):
        for value in range(1, 6):
            seen = fleet.editor().table("lookup").cell("accra", column).value
            results.append((column, value, edit(fleet, column, seen, value)))

    threads = [threading.Thread(target=race, args=(c,)) for c in ("limit", "reserve")]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert all(r.outcome is EditOutcome.STORED for _, _, r in results)
    history = fleet.editor().table("lookup").history
    assert sum(r.place in ("accra/limit", "accra/reserve") for r in history) >= 10


def test_edit_whose_answer_was_lost_is_reported_as_stored(fleet):
    fleet.store.set_mode("lose")
    result = edit(fleet, "limit", 100, 7)
    fleet.store.set_mode("ok")
    assert result.outcome is EditOutcome.STORED
    assert fleet.editor().table("lookup").cell("accra", "limit").value == 7
    wait_until(lambda: in_force(fleet, result.generation), 15)


def test_edit_is_refused_while_the_store_is_down_and_unknown_if_the_write_hangs(fleet):
    fleet.store.set_mode("down")
    assert edit(fleet, "limit", 100, 7).outcome is EditOutcome.REFUSED
    fleet.store.set_mode("ok")
    edit_id = new_id()
    editor = fleet.editor()
    put = editor._store.put

    def hanging_put(key, value, expected):
        fleet.store.set_mode("hang")
        return put(key, value, expected)

    editor._store.put = hanging_put
    assert edit(fleet, "limit", 100, 7, editor, edit_id).outcome is EditOutcome.UNKNOWN
    fleet.store.set_mode("ok")
    assert edit(fleet, "limit", 100, 7, None, edit_id).outcome is EditOutcome.STORED


def test_calls_are_served_during_a_store_outage_and_edits_apply_after_it(fleet):
    caller = fleet.caller("accra-a")
    fleet.store.set_mode("hang")
    until_s = time.monotonic() + 6
    while time.monotonic() < until_s:
        assert caller.send("lookup", "/x").verdict == "answered"
    fleet.store.set_mode("ok")
    result = edit(fleet, "limit", 100, 7)
    wait_until(lambda: in_force(fleet, result.generation), 20)


def test_edit_applies_after_the_store_lost_answers(fleet):
    fleet.store.set_mode("lost")
    time.sleep(LOST_FOR_S)
    fleet.store.set_mode("ok")
    result = edit(fleet, "limit", 100, 7)
    wait_until(lambda: in_force(fleet, result.generation), 10)


def test_edit_applies_though_the_store_lost_only_the_watches_of_the_table(fleet):
    """The other calls of the delegates are answered all the while."""
    fleet.store.loses_watches = True
    edit(fleet, "limit", 100, 90)
    time.sleep(SHORT_SILENCE_S)
    fleet.store.loses_watches = False
    result = edit(fleet, "limit", 90, 7)
    wait_until(lambda: in_force(fleet, result.generation), 10)


def test_edit_applies_beside_odd_objects(fleet):
    for name, value in ODD_VALUES.items():
        fleet.store.put(f"config/table/odd-{name}", value, None)
        fleet.store.put(f"config/table/odd-generation-{name}", {"generation": value}, None)
    result = edit(fleet, "limit", 100, 7)
    wait_until(lambda: in_force(fleet, result.generation), 10)
    vm = fleet.vms["accra-a-1"]
    vm.kill()
    vm.start()
    wait_until(lambda: in_force(fleet, result.generation, [vm]), 15)
    assert "task-failed" not in fleet.logs() and "actor-failed" not in fleet.logs()


def test_daemon_started_during_a_store_outage_gets_the_table_from_peers(fleet):
    vm = fleet.vms["accra-a-1"]
    result = edit(fleet, "limit", 100, 7)
    wait_until(lambda: in_force(fleet, result.generation), 10)
    vm.kill()
    fleet.store.set_mode("hang")
    vm.start()
    wait_until(lambda: in_force(fleet, result.generation, [vm]), 15)
    wait_until(lambda: vm.get("/readyz"))
    fleet.store.set_mode("ok")


def test_store_restored_from_an_old_backup_is_repaired(fleet):
    backup = fleet.store.take_backup()
    result = edit(fleet, "limit", 100, 7)
    wait_until(lambda: in_force(fleet, result.generation), 10)
    fleet.store.restore(backup)
    wait_until(lambda: fleet.editor().table("lookup").cell("accra", "limit").value == 7, 20)
    later = edit(fleet, "limit", 7, 8)
    wait_until(lambda: in_force(fleet, later.generation), 10)


def test_edit_of_a_restored_table_is_merged_with_the_one_in_force(fleet):
    backup = fleet.store.take_backup()
    result = edit(fleet, "limit", 100, 7)
    wait_until(lambda: in_force(fleet, result.generation), 10)
    with fleet.store.changed:
        fleet.store.restore(backup)
        doc = dict(fleet.store.objects["config/table/lookup"]["value"])
    on_old = edit(fleet, "reserve", None, 3)
    assert doc["generation"] < result.generation and on_old.outcome is EditOutcome.STORED

    def merged():
        tables = [vm.get("/v1/table/lookup") or {"rows": {}} for vm in fleet.vms.values()]
        rows = [table["rows"].get("accra", {}) for table in tables]
        cells = [(r["limit"]["value"], r.get("reserve", {"value": 0})["value"]) for r in rows]
        return cells == [(7, 3)] * len(fleet.vms)

    wait_until(merged, 20)


def test_zone_cut_from_the_store_gets_the_edit_from_peers(fleet):
    fleet.partition_store(fleet.in_zone("accra-a"))
    result = edit(fleet, "limit", 100, 7)
    wait_until(lambda: in_force(fleet, result.generation), 10)


def test_isolated_zone_serves_and_catches_up(fleet):
    inside = fleet.in_zone("kumasi-a")
    others = [vm for vm in fleet.vms.values() if vm.zone != "kumasi-a"]
    fleet.cut(inside, others)
    fleet.partition_store(inside)
    result = edit(fleet, "limit", 100, 7)
    wait_until(lambda: in_force(fleet, result.generation, others), 10)
    assert not in_force(fleet, result.generation, inside)
    wait_until(lambda: fleet.caller("kumasi-a").send("lookup", "/x").verdict == "answered", 15)
    fleet.proxy.heal()
    wait_until(lambda: in_force(fleet, result.generation), 15)


def test_only_delegates_hold_watches(fleet):
    """Two of the three VMs of accra-a watch the store, and one VM of each other zone."""
    wait_until(lambda: fleet.store.watching == 4, 60)
    time.sleep(2)
    fleet.store.watching_peak = 0
    time.sleep(2 * MAX_LONG_POLL_S)
    assert fleet.store.watching_peak == 4
