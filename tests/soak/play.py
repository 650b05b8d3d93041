"""Runs the soak for one seed, or from the command line for a range of seeds with a report.

`python -m tests.soak.play --seeds 1-50 [--seconds 20] [--report out/soak.md]`
"""

import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path

import click

from tests.soak.callers import Caller, PipeliningCaller
from tests.soak.faults import Faults
from tests.soak.promises import find_violations
from tests.standins import platform
from tests.standins.fleet import wait_until
from tests.standins.proxy import Proxy
from tests.standins.steered import DirectFleet, Instance

INSTANCES = [
    ("i-1", "lookup", "a1"),
    ("i-2", "lookup", "a1"),
    ("i-3", "files", "a1"),
    ("i-4", "lookup", "b1"),
    ("i-5", "files", "b1"),
]
ZONES = ("a1", "a1", "a1", "b1")
CALLERS = 8
PIPELINING_CALLERS = 4
MEAN_FAULT_INTERVAL_S = 0.8
"""Mean time between the starts of two faults."""

RECOVERY_TIME_S = 15.0
"""Time within which the users require recovery after the last fault."""

RECOVERY_REQUESTS = 60


class SoakFleet(DirectFleet):
    """A fleet whose instances and store are reached through a fault-injecting proxy."""

    def __init__(self, folder, block, proxy):
        super().__init__(folder, block, INSTANCES, ZONES)
        self.proxy = proxy
        self.store_ip = f"{block}.40"
        self.restarts = Counter()
        self.store = platform.PlatformStore(self.store_ip)
        self.instances = {
            name: Instance(name, f"{block}.{50 + n}") for n, (name, *_) in enumerate(INSTANCES)
        }
        for number, up in enumerate(self.instances.values()):
            up.ip, port = up.address.rsplit(":", 1)
            up.address = f"{block}.{150 + number}:{port}"
            proxy.forward(f"{block}.{150 + number}", up.ip, [int(port)])
        port = self.store.address.rsplit(":", 1)[1]
        self.store.address = f"{block}.140:{port}"
        proxy.forward(f"{block}.140", self.store_ip, [int(port)])

    def register(self, name, state="ready", restarted=False):
        """Write the entry of an instance, under a new incarnation if it has restarted."""
        service, zone = next((s, z) for n, s, z in INSTANCES if n == name)
        self.restarts[name] += restarted
        address, born = self.instances[name].address, 1 + self.restarts[name]
        self.store.register(name, address, service, zone, state, born=born)

    def runs(self):
        """Return all runs of all instances."""
        return [run for up in self.instances.values() for run in list(up.ran)]


def run_seed(seed, seconds, folder, block):
    """Run one seed; return the violations, the log of faults and the attempts."""
    rng = random.Random(seed)
    attempts = []
    with ExitStack() as stack:
        fleet = stack.enter_context(SoakFleet(folder, block, stack.enter_context(Proxy(seed))))
        for vm in fleet.vms.values():
            vm.start()
        for vm in fleet.vms.values():
            wait_until(vm.ready, text=f"{vm.name} is ready")
        callers = [Caller(fleet, n, seed, attempts) for n in range(CALLERS)]
        callers += [
            PipeliningCaller(fleet, CALLERS + n, seed, attempts) for n in range(PIPELINING_CALLERS)
        ]
        for caller in callers:
            caller.start()
        faults = Faults(fleet, rng)
        _inject_faults(faults, rng, seconds)
        violations = _check_recovery(fleet, faults, seed)
        for caller in callers:
            caller.end()
        violations += find_violations(list(attempts), fleet.runs(), faults.interrupted)
        if violations:
            (folder / "vms.log").write_text(fleet.logs())
    return violations, faults.log, attempts


def _inject_faults(faults, rng, seconds):
    """Start faults at random times for `seconds`, and end each when it expires."""
    end_at = time.monotonic() + seconds
    while time.monotonic() < end_at:
        faults.start_random()
        interval_end = time.monotonic() + rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
        while time.monotonic() < interval_end:
            time.sleep(0.05)
            faults.end_expired()
    faults.end_expired(everything=True)
    faults.fleet.proxy.heal()


def _check_recovery(fleet, faults, seed):
    """Wait for the recovery time, then return a line for each sign of incomplete recovery."""
    deadline = time.monotonic() + RECOVERY_TIME_S
    while time.monotonic() < deadline and not all(vm.ready() for vm in fleet.vms.values()):
        time.sleep(0.1)
    violations = [
        f"not-recovered {vm.name} is not ready" for vm in fleet.vms.values() if not vm.ready()
    ]
    time.sleep(max(0.0, deadline - time.monotonic()))
    attempts = []
    caller = Caller(fleet, 99, seed, attempts)
    answered = [
        caller.send_one(vm) for vm in fleet.vms.values() for _ in range(RECOVERY_REQUESTS // 4)
    ]
    served = sum(attempt.status == 200 for attempt in answered)
    if served < RECOVERY_REQUESTS * 0.95:
        violations.append(
            f"not-recovered {served} of {RECOVERY_REQUESTS} requests served after recovery time"
        )
    services = {name: service for name, service, _ in INSTANCES}
    for attempt in answered:
        if attempt.kind == "read" and attempt.status == 200:
            service = services[attempt.data.split()[0].decode()]
            if service != faults.service:
                violations.append(
                    f"stale-configuration {attempt.id}: run by {service}, not {faults.service}"
                )
    for up in fleet.instances.values():
        up.ran = [run for run in up.ran if not run[0].startswith("c99-")]
    return violations


def _seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


@click.command()
@click.option("--seeds", default="1-5", help="a seed, or the first and last seed, as in 1-50")
@click.option("--seconds", default=15.0, help="time for which faults are started, per seed")
@click.option("--report", default="out/soak.md", help="file of the report")
@click.option(
    "--block", default="127.200.1", help="first three numbers of the loopback addresses to use"
)
def main(seeds, seconds, report, block):
    """Run seeds one after the other, print a line for each and write a report."""
    # Exit through the context managers on SIGTERM, so that child processes are stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    lines, failed = ["# Soak", "", "| seed | faults | attempts | succeeded | violations |"], 0
    lines.append("| --- | --- | --- | --- | --- |")
    details = []
    for seed in _seeds(seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        try:
            violations, log, attempts = run_seed(seed, seconds, folder, block)
        except AssertionError as exc:
            violations, log, attempts = [f"timeout {exc}"], [], []
        succeeded = sum(attempt.status == 200 for attempt in attempts)
        row = f"| {seed} | {len(log)} | {len(attempts)} | {succeeded} | {len(violations)} |"
        lines.append(row)
        click.echo(row + (f" {folder} {violations[:3]}" if violations else ""))
        failed += bool(violations)
        if violations:
            details += ["", f"## Seed {seed}", "", *(f"- {line}" for line in [*violations, *log])]
    Path(report).parent.mkdir(parents=True, exist_ok=True)
    Path(report).write_text("\n".join([*lines, *details]) + "\n")
    click.echo(
        f"{failed} seeds with violations; report: {report}; threads: {threading.active_count()}"
    )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
