"""Every command of the command-line tool against a running fleet."""

import json
import os
import subprocess
import sys

import pytest

from tests.standins.fleet import ROOT, STORE_PORT, Fleet, Service, wait_until

ZONES = {"accra-a": ("accra", 1), "kumasi-a": ("kumasi", 1)}


@pytest.fixture(scope="module")
def fleet():
    with Fleet(ZONES, [Service("lookup"), Service("signoff")]) as running:
        yield running.start_vms()


def tool(fleet, *args, store=True, entry=True):
    env = {k: v for k, v in os.environ.items() if not k.startswith("GYPSUMWIND_")}
    if store:
        env["GYPSUMWIND_STORE_URL"] = f"http://{fleet.store_ip}:{STORE_PORT}"
    if entry:
        env["GYPSUMWIND_ENTRY"] = fleet.vms["accra-a-1"].url
    command = [sys.executable, "-m", "gypsumwind.tools.cli", *args]
    return subprocess.run(command, cwd=ROOT, env=env, text=True, capture_output=True, timeout=60)


def test_export_diff_apply_round_trip(fleet, tmp_path):
    assert tool(fleet, "export", str(tmp_path)).returncode == 0
    table = tmp_path / "table.csv"
    same = tool(fleet, "diff", str(table))
    assert (same.returncode, same.stdout) == (0, "no difference\n")
    table.write_text(table.read_text().replace("lookup,accra,100,100", "lookup,accra,100,9"))
    differs = tool(fleet, "diff", str(table))
    assert differs.returncode == 5
    assert "lookup/accra limit: 100 -> 9" in differs.stdout
    done = tool(fleet, "apply", str(table))
    assert done.returncode == 0, done.stderr
    assert "lookup: stored at generation 2" in done.stdout
    assert "kumasi-a: in force" in done.stdout
    assert "signoff: unchanged" in done.stdout


def test_invalid_table_writes_nothing(fleet, tmp_path):
    tool(fleet, "export", str(tmp_path))
    table = tmp_path / "table.csv"
    table.write_text(table.read_text().replace("signoff,accra,100,100", "signoff,accra,7,-1"))
    writes = fleet.store.writes
    done = tool(fleet, "apply", str(table))
    assert done.returncode == 1
    assert "GW102 table.csv:4: column limit -1 is not a whole number of slots" in done.stderr
    assert fleet.store.writes == writes


def test_get_set_history(fleet):
    done = tool(fleet, "--json", "set", "signoff", "kumasi", "reserve", "2")
    assert done.returncode == 0, done.stderr
    doc = json.loads(done.stdout)
    assert doc["results"][0]["outcome"] == "stored"
    assert doc["zones"]["kumasi-a"]["in_force"]
    rows = json.loads(tool(fleet, "--json", "get", "signoff", "kumasi").stdout)
    assert rows[0]["reserve"] == 2
    history = json.loads(tool(fleet, "--json", "history", "signoff").stdout)
    assert (history[-1]["cell"], history[-1]["before"]) == ("kumasi/reserve", "(absent)")


def test_conflict_shows_both_values(fleet):
    done = tool(fleet, "set", "signoff", "accra", "limit", "8", "--seen", "55")
    assert done.returncode == 1
    assert "is now 100, was seen as 55, edit says 8" in done.stdout


def test_invalid_cells_are_named_in_the_error(fleet):
    done = tool(fleet, "set", "signoff", "accra", "limit", "many")
    assert done.returncode == 2
    assert "signoff/accra column limit: many is not a whole number of slots" in done.stderr
    assert "no such column" in tool(fleet, "set", "signoff", "accra", "x", "1").stderr
    assert "no row signoff/lagos" in tool(fleet, "set", "signoff", "lagos", "limit", "1").stderr


def test_unknown_outcome_is_resolved_by_the_printed_command(fleet):
    fleet.store.set_mode("lose-all")
    try:
        done = tool(fleet, "set", "lookup", "kumasi", "limit", "44", "--edit-id", "e1")
    finally:
        fleet.store.set_mode("ok")
    assert done.returncode == 3, done.stdout + done.stderr
    assert "outcome unknown; settle it with: gypsumwind set lookup kumasi limit 44" in done.stderr
    settled = tool(fleet, "set", "lookup", "kumasi", "limit", "44", "--edit-id", "e1")
    assert settled.returncode == 0
    assert "lookup: stored" in settled.stdout


def test_status_lookup_histograms(fleet):
    fleet.caller().send("lookup", "/x", headers={"Gypsumwind-Tenant": "clinic-1"})
    status = json.loads(tool(fleet, "--json", "status").stdout)
    assert set(status["zones"]) == set(ZONES)
    assert "accra-a-1" in tool(fleet, "status").stdout
    page = json.loads(tool(fleet, "--json", "lookup", "lookup").stdout)
    assert page["entries"][0]["vm"] == "accra-a-1"
    assert tool(fleet, "lookup", "nothing").returncode == 1
    rows = [
        row
        for vm in fleet.vms.values()
        for row in vm.get("/v1/histograms")["histograms"]
        if row["tenant"] == "clinic-1"
    ]
    assert sum(row["count"] for row in rows) == 1
    assert tool(fleet, "histograms").returncode == 0
    metrics = fleet.http.request("GET", fleet.vms["accra-a-1"].url + "/metrics").data.decode()
    assert "gypsumwind_request_seconds" in metrics


def test_drain_and_undrain(fleet):
    name = "lookup-accra-a-1"
    assert tool(fleet, "drain", "instance", name).returncode == 0
    wait_until(lambda: _slots(fleet) == 4)
    assert tool(fleet, "undrain", "instance", name).returncode == 0
    wait_until(lambda: _slots(fleet) == 8)
    assert tool(fleet, "drain", "vm", "kumasi-a-1").returncode == 0
    wait_until(lambda: fleet.vms["kumasi-a-1"].status()["leaving"])
    assert tool(fleet, "undrain", "vm", "kumasi-a-1").returncode == 0
    wait_until(fleet.has_converged)
    assert tool(fleet, "drain", "instance", "nothing").returncode == 1


def _slots(fleet):
    headroom = fleet.vms["accra-a-1"].status()["zones"]["accra-a"]["headroom"]
    return headroom["lookup"]["slots"]


def test_check_needs_no_network(fleet):
    done = tool(fleet, "check", "samples/adjei/table.csv", store=False, entry=False)
    assert done.returncode == 0
    assert "9 rows are valid" in done.stdout


def test_missing_addresses_are_named_in_the_error(fleet):
    assert "GYPSUMWIND_STORE_URL" in tool(fleet, "get", store=False).stderr
    assert "GYPSUMWIND_ENTRY" in tool(fleet, "status", entry=False).stderr


@pytest.mark.parametrize("sample", ["adjei", "cofre"])
def test_samples_apply_to_an_empty_store(fleet, sample):
    from tests.standins.store import Store

    with Store(f"{fleet.block}.4.9", STORE_PORT) as store:
        args = ["--store-url", store.url]
        done = tool(fleet, *args, "apply", f"samples/{sample}/table.csv", entry=False)
        assert done.returncode == 0, done.stderr
        again = tool(fleet, *args, "diff", f"samples/{sample}/table.csv", entry=False)
        assert again.returncode == 0
