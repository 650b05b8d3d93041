"""Cost of one daemon: idle, by members and by services; latency per hop; look-ups and requests/s.

`python -m bench.cost [members|tables|hops|lookups ...]` prints the measurements, for members and
tables with a least-squares fit, and writes out/cost.json.
"""

import json
import statistics
import subprocess
import sys
import threading
import time
from pathlib import Path

import urllib3

from bench.processes import cpu_seconds, resident_mb
from gypsumwind.core.edits import CellEdit, EditBatch, InstanceEdit, apply_batch
from gypsumwind.core.table import Instance, ServiceTable, table_to_json
from tests.standins.fleet import ROOT, UPSTREAM_PORT, Fleet, Service, wait_until

OUT = ROOT / "out"
WARMUP_S = 12.0
MEASURE_S = 20.0


def slope(points, name):
    """Return the intercept and slope of a figure over x, by least squares."""
    xs = [point["x"] for point in points]
    fit = statistics.linear_regression(xs, [point[name] for point in points])
    return {"intercept": fit.intercept, "slope": fit.slope}


def control_bytes(vm):
    """Return the control-plane bytes that a daemon has counted."""
    text = vm.fleet.http.request("GET", vm.url + "/metrics").data.decode()
    line = next(x for x in text.splitlines() if x.startswith("gypsumwind_control_bytes_total"))
    return float(line.split()[-1])


def idle_cost(vm, seconds=MEASURE_S):
    """Return the usage of an idle daemon: % of a core, control KB/s, resident MB."""
    pid = vm.process.pid
    cpu, size, start = cpu_seconds(pid), control_bytes(vm), time.monotonic()
    time.sleep(seconds)
    passed = time.monotonic() - start
    return {
        "cpu_percent": 100 * (cpu_seconds(pid) - cpu) / passed,
        "kb_per_s": (control_bytes(vm) - size) / passed / 1000,
        "rss_mb": resident_mb(pid),
    }


def members(gossip_s=0.5, probe_s=0.5):
    """Measure idle cost by the number of members in the daemon's zone."""
    points = []
    for count in (3, 50, 100, 190):
        settings = {"gossip_s": gossip_s, "probe_s": probe_s, "zone_digest_s": gossip_s}
        with Fleet({"accra-a": ("accra", 1)}, [Service("lookup")], settings) as fleet:
            vm = fleet.vms["accra-a-1"]
            vm.start()
            wait_until(lambda: vm.get("/readyz"))
            command = [sys.executable, "-m", "bench.peers", fleet.block, str(gossip_s)]
            command += [str(probe_s), vm.ip, f"accra-a={count}"]
            peer_process = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
            )
            try:
                peer_process.stdout.readline()
                wait_until(lambda: len(vm.status()["vms"]) == count + 1, 90)
                time.sleep(WARMUP_S)
                points.append({"x": count, **idle_cost(vm)})
            finally:
                peer_process.stdin.close()
                peer_process.wait(10)
        print(f"gossip {gossip_s} s, members {points[-1]}", flush=True)
    return points


def big_table(service, instances):
    """Return a table document with rows for 4 regions and the given number of instances."""
    edits = [
        CellEdit(f"region-{r}", column, None, value)
        for r in range(4)
        for column, value in (("weight", 100.0), ("limit", 10), ("reserve", 2))
    ]
    edits += [
        InstanceEdit(name, None, Instance(name, "far-a", f"127.99.{n}.1:{UPSTREAM_PORT}", 4))
        for n in range(instances)
        for name in [f"{service}-{n}"]
    ]
    return table_to_json(apply_batch(ServiceTable(service), EditBatch("e", "b", 0.0, tuple(edits))))


def tables():
    """Measure idle cost by the number of services in the table, 8 instances each."""
    points = []
    for count in (0, 250, 500, 1000, 2000):
        with Fleet({"accra-a": ("accra", 1)}, [Service("lookup")]) as fleet:
            for n in range(count):
                fleet.store.put(f"config/table/s{n}", big_table(f"s{n}", 8), None)
            vm = fleet.vms["accra-a-1"]
            vm.start()
            wait_until(lambda: len(vm.status()["tables"]) == count + 1, 90)
            time.sleep(WARMUP_S / 2)
            points.append({"x": count, **idle_cost(vm, 8)})
        print(f"services {points[-1]}", flush=True)
    return points


def timed(function, count):
    """Return the sorted durations of sequential calls, in milliseconds."""
    times = []
    for _ in range(count):
        start = time.perf_counter()
        function()
        times.append((time.perf_counter() - start) * 1000)
    return sorted(times)


def hops():
    """Measure the latency of a call: direct, through the owner, and through a second VM."""
    with Fleet({"accra-a": ("accra", 2)}, [Service("lookup", instances=1)]) as fleet:
        fleet.start_vms()
        owner = next(vm for vm in fleet.vms.values() if vm.status()["holds"])
        other = next(vm for vm in fleet.vms.values() if vm is not owner)
        up = next(iter(fleet.upstreams.values()))
        pool = urllib3.PoolManager(retries=False)
        urls = {
            "direct": f"http://{up.address}/x",
            "owner": f"{owner.url}/v1/call/lookup/x",
            "other": f"{other.url}/v1/call/lookup/x",
        }
        rows = {}
        for name, url in urls.items():
            timed(lambda url=url: pool.request("GET", url), 200)
            times = timed(lambda url=url: pool.request("GET", url), 1500)
            rows[name] = {"p50_ms": times[750], "p99_ms": times[1485]}
        print(rows, flush=True)
        return rows


def closed_loop(url, threads, seconds):
    """Return the requests per second of closed-loop callers."""
    count = [0] * threads
    ended = threading.Event()

    def run(n):
        pool = urllib3.PoolManager(retries=False)
        while not ended.is_set():
            pool.request("GET", url)
            count[n] += 1

    running = [threading.Thread(target=run, args=(n,)) for n in range(threads)]
    for thread in running:
        thread.start()
    time.sleep(seconds)
    ended.set()
    for thread in running:
        thread.join()
    return sum(count) / seconds


def lookups():
    """Measure look-ups and requests per second per core of the daemon."""
    rows = {}
    with Fleet({"accra-a": ("accra", 1)}, [Service("lookup", slots=16)]) as fleet:
        fleet.start_vms()
        vm = fleet.vms["accra-a-1"]
        paths = {"lookup": "/v1/entries?service=lookup", "request": "/v1/call/lookup/x"}
        for name, path in paths.items():
            closed_loop(vm.url + path, 4, 2)
            cpu, start = cpu_seconds(vm.process.pid), time.monotonic()
            rate = closed_loop(vm.url + path, 4, 6)
            used = (cpu_seconds(vm.process.pid) - cpu) / (time.monotonic() - start)
            rows[name] = {"per_s": rate, "cores": used, "per_core_s": rate / used}
    print(rows, flush=True)
    return rows


def main():
    """Run the benchmarks named on the command line, or all."""
    parts = {
        "members": lambda: {"points": members()},
        "tables": lambda: {"points": tables()},
        "hops": hops,
        "lookups": lookups,
    }
    OUT.mkdir(exist_ok=True)
    path = Path(OUT / "cost.json")
    result = json.loads(path.read_text()) if path.exists() else {}
    for name in sys.argv[1:] or parts:
        result[name] = parts[name]()
        points = result[name].get("points")
        if isinstance(points, list):
            names = ("cpu_percent", "kb_per_s", "rss_mb")
            result[name]["fit"] = {n: slope(points, n) for n in names}
            print(name, json.dumps(result[name]["fit"]), flush=True)
        path.write_text(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
