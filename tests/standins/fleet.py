"""Starts a fleet for tests: daemon processes, a store, upstreams and a fault-injecting proxy."""

import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

from gypsumwind.core.edits import CellEdit, InstanceEdit
from gypsumwind.core.table import Instance, Places
from gypsumwind.editors import Editor
from gypsumwind.stores import HttpStore
from gypsumwind.utils import new_id
from tests.standins.caller import Caller
from tests.standins.proxy import Proxy
from tests.standins.store import Store
from tests.standins.upstream import RunLog, Upstream

CALLER_PORT, HANDOFF_PORT, PEER_PORT, STORE_PORT, UPSTREAM_PORT = 18080, 18081, 18082, 18083, 18084
ROOT = Path(__file__).resolve().parents[2]


def wait_until(check, timeout=30.0, period=0.05, text=""):
    """Poll until `check` returns a true value and return it; AssertionError at the timeout."""
    deadline = time.monotonic() + timeout
    last = None
    while time.monotonic() < deadline:
        last = check()
        if last:
            return last
        time.sleep(period)
    raise AssertionError(f"timed out after {timeout} s: {text or check} (last value: {last!r})")


KILL_TIMEOUT_S = 10
"""Longest wait, in seconds, for the exit of a process that was killed."""


@dataclass
class Service:
    """A service: instances per zone, slots per instance, and cells that every row gets."""

    name: str
    instances: int = 2
    slots: int = 4
    cells: dict = field(default_factory=dict)


class Vm:
    """One daemon process."""

    def __init__(self, fleet, name, zone, region, number):
        self.fleet, self.name, self.zone, self.region = fleet, name, zone, region
        self.real_ip = f"{fleet.block}.1.{number}"
        self.ip = f"{fleet.block}.2.{number}"
        self.url = f"http://{self.real_ip}:{CALLER_PORT}"
        self.process = None
        self.log_path = fleet.folder / f"{name}.log"

    def start(self, **settings):
        """Start the process with the settings as command-line flags."""
        flags = {
            "vm": self.name,
            "zone": self.zone,
            "region": self.region,
            "ip": self.real_ip,
            "advertise_ip": self.ip,
            "caller_port": CALLER_PORT,
            "handoff_port": HANDOFF_PORT,
            "peer_port": PEER_PORT,
            "store_url": f"http://{self.fleet.store_proxy_ip}:{STORE_PORT}",
            "seeds": " ".join(f"{v.zone}={v.ip}:{PEER_PORT}" for v in self.fleet.vms.values()),
            **self.fleet.settings,
            **settings,
        }
        module = "tests.standins.ablated" if self.fleet.ablate else "gypsumwind"
        command = [sys.executable, "-m", module]
        for name, value in flags.items():
            command += ["--" + name.replace("_", "-"), str(value)]
        env = {k: v for k, v in os.environ.items() if not k.startswith("GYPSUMWIND_")}
        env["ABLATE"] = self.fleet.ablate
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=log, stdout=log)
        return self

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its exit."""
        self.signal(signal.SIGKILL)
        self.process.wait(KILL_TIMEOUT_S)

    def pause(self):
        """Pause the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Resume the paused process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def stop(self, timeout=60):
        """Stop the process gracefully and return its exit code."""
        self.signal(signal.SIGTERM)
        return self.process.wait(timeout)

    def get(self, path):
        """Return the JSON document at a path, None if there is no response with status 200."""
        try:
            answer = self.fleet.http.request("GET", self.url + path, timeout=3)
            return json.loads(answer.data) if answer.status == 200 else None
        except (urllib3.exceptions.HTTPError, ValueError):
            return None

    def status(self):
        """Return the status document, an empty one if it cannot be read."""
        return self.get("/v1/status") or {"holds": {}, "tables": {}, "zones": {}, "vms": []}

    @property
    def running(self):
        """Report whether the process is running."""
        return self.process is not None and self.process.poll() is None


class Fleet:
    """Zones with VMs and upstreams; `zones` maps a zone to its region and number of VMs.

    `block` is an IP prefix; with it the fleet does not write its table to the store. If `proxied`,
    requests to upstreams pass through the proxy. `ablate` names a function of
    tests.standins.ablated.
    """

    def __init__(
        self, zones, services, settings=None, links=(), seed=1, block=None, proxied=False, ablate=""
    ):
        self.zones = zones
        self.services = {s.name: s for s in services}
        self.settings = {"entry_ttl_s": 1, "log_level": "INFO", **(settings or {})}
        self.links = {(min(a, b), max(a, b)): rate for a, b, rate in links}
        self.block = block or f"127.{20 + os.getpid() % 200}"
        self.store_ip = f"{self.block}.4.1"
        self.store_proxy_ip = f"{self.block}.4.2"
        self.folder = Path(tempfile.mkdtemp(prefix="gypsumwind-"))
        self.http = urllib3.PoolManager(retries=False, maxsize=16)
        self.rng = random.Random(seed)
        self.writes_table = block is None
        self.proxied = proxied
        self.ablate = ablate or os.environ.get("ABLATE", "")
        self.log = RunLog()
        self.vms = {}
        self.upstreams = {}
        self._stack = ExitStack()
        number = 0
        for zone, (region, count) in zones.items():
            for i in range(count):
                number += 1
                name = f"{zone}-{i + 1}"
                self.vms[name] = Vm(self, name, zone, region, number)

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self._stop()
            raise
        return self

    def _start(self):
        enter = self._stack.enter_context
        self.store = enter(Store(self.store_ip, STORE_PORT))
        self.proxy = enter(Proxy())
        for vm in self.vms.values():
            ports = (CALLER_PORT, HANDOFF_PORT, PEER_PORT)
            self.proxy.forward(vm.ip, vm.real_ip, ports, (PEER_PORT,))
        self.proxy.forward(self.store_proxy_ip, self.store_ip, (STORE_PORT,))
        number = 0
        for service in self.services.values():
            for zone, (region, _) in self.zones.items():
                for i in range(service.instances):
                    number += 1
                    name = f"{service.name}-{zone}-{i + 1}"
                    ip = f"{self.block}.3.{number}"
                    up = Upstream(
                        self.log, name, service.name, region, ip, UPSTREAM_PORT, service.slots
                    )
                    up.zone = zone
                    self.upstreams[name] = enter(up)
                    if self.proxied:
                        front = f"{self.block}.5.{number}"
                        self.proxy.forward(front, ip, (UPSTREAM_PORT,))
                        up.address = f"{front}:{UPSTREAM_PORT}"
        if self.writes_table:
            self.write_table()

    def write_table(self):
        """Write the tables of all services and the places to the store."""
        editor = self.editor()
        zones = {zone: region for zone, (region, _) in self.zones.items()}
        editor.edit_places(lambda p: Places(p.generation, zones, self.links, p.draining_vms))
        for service in self.services.values():
            editor.edit(service.name, self._edits(service), new_id())

    def _edits(self, service):
        regions = sorted({region for region, _ in self.zones.values()})
        cells = {"weight": 100.0, "limit": 100, "shift_cap": 60000.0, **service.cells}
        edits = [
            CellEdit(region, column, None, value)
            for region in regions
            for column, value in cells.items()
        ]
        for zone in self.zones:
            for i in range(service.instances):
                name = f"{service.name}-{zone}-{i + 1}"
                up = self.upstreams[name]
                inst = Instance(name, zone, up.address, service.slots)
                edits.append(InstanceEdit(name, None, inst))
        return edits

    def editor(self, author="tester"):
        """Return an editor that writes to the store directly, without the proxy."""
        url = f"http://{self.store_ip}:{STORE_PORT}"
        return Editor(HttpStore(url, 2.0), author, self.rng)

    def set_cell(self, service, region, column, value):
        """Set one cell and return the result of the edit."""
        editor = self.editor()
        seen = editor.table(service).cells[region].get(column)
        seen = seen.value if seen else None
        return editor.edit(service, [CellEdit(region, column, seen, value)], new_id())

    def start_vms(self, **settings):
        """Start every daemon; wait until all instances are held and have reported free slots."""
        for vm in self.vms.values():
            vm.start(**settings)
        self.wait_until_converged()
        wait_until(self.has_free_slots, text="instances have reported their load")
        return self

    def has_free_slots(self):
        """Report whether every VM sees free slots for every service in every zone with VMs."""
        running = [vm for vm in self.vms.values() if vm.running]
        zones = {vm.zone for vm in running}
        pages = [vm.status() for vm in running]
        headrooms = [page["zones"][zone]["headroom"] for page in pages for zone in zones]
        return all(
            headroom.get(name, {"free_high": 0})["free_high"] > 0
            for headroom in headrooms
            for name in self.services
        )

    def wait_until_converged(self, timeout=30):
        """Wait until has_converged() is true; AssertionError at the timeout."""
        wait_until(self.has_converged, timeout, 0.1, "the fleet has converged")

    def has_converged(self):
        """Report whether all VMs have all tables and see each other, and instances are held once.

        Instances in zones without running VMs do not count.
        """
        running = [vm for vm in self.vms.values() if vm.running]
        pages = {vm.name: vm.status() for vm in running}
        if any(len(page["tables"]) < len(self.services) for page in pages.values()):
            return False
        if any(len(_alive(page)) != len(running) for page in pages.values()):
            return False
        zones = {vm.zone for vm in running}
        held = [name for page in pages.values() for name in page["holds"]]
        expected = [n for n in self.upstreams if any(f"-{zone}-" in n for zone in zones)]
        return sorted(held) == sorted(expected)

    def caller(self, zone=None):
        """Return a caller that looks up entry VMs at the VMs of a zone, by default of any zone."""
        vms = [vm for vm in self.vms.values() if zone in (None, vm.zone)]
        return Caller([vm.url for vm in vms])

    def cut(self, some, others):
        """Block traffic between two sets of VMs in both directions."""
        for one in some:
            for other in others:
                self.proxy.set_fault(one.real_ip, other.real_ip, cut=True)
                self.proxy.set_fault(other.real_ip, one.real_ip, cut=True)

    def isolate_zone(self, zone):
        """Isolate a zone, including its upstreams, from all other zones and from the store."""
        inside = [vm.real_ip for vm in self.in_zone(zone)]
        inside += [up.ip for up in self.upstreams.values() if up.zone == zone]
        outside = [vm.real_ip for vm in self.vms.values() if vm.zone != zone] + [self.store_ip]
        outside += [up.ip for up in self.upstreams.values() if up.zone != zone]
        for one in inside:
            for other in outside:
                self.proxy.set_fault(one, other, cut=True)
                self.proxy.set_fault(other, one, cut=True)

    def partition_store(self, vms):
        """Block traffic between VMs and the store in both directions."""
        for vm in vms:
            self.proxy.set_fault(vm.real_ip, self.store_ip, cut=True)
            self.proxy.set_fault(self.store_ip, vm.real_ip, cut=True)

    def in_zone(self, zone):
        """Return the VMs of a zone."""
        return [vm for vm in self.vms.values() if vm.zone == zone]

    def __exit__(self, *_):
        self._stop()

    def _stop(self):
        """Kill all VMs before waiting for any, so that one that is slow to exit leaves no other."""
        with self._stack:
            running = [vm for vm in self.vms.values() if vm.running]
            for vm in running:
                vm.signal(signal.SIGKILL)
            for vm in running:
                vm.process.wait(KILL_TIMEOUT_S)

    def logs(self):
        """Return the logs of all daemons, for the report of a failed test."""
        return "\n".join(
            f"--- {vm.name}\n{vm.log_path.read_text()}"
            for vm in self.vms.values()
            if vm.log_path.exists()
        )


def _alive(page):
    return [vm for vm in page["vms"] if vm["state"] == "alive"]
