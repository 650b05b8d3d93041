"""Plays one seed of the soak, or many from the command line with a report.

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

from tests.soak.callers import AheadCaller, Caller
from tests.soak.faults import Faults
from tests.soak.promises import broken
from tests.standins import platform
from tests.standins.fleet import until
from tests.standins.proxy import Proxy
from tests.standins.steered import Instance, Site

PLACES = [
    ("i-1", "lookup", "a1"),
    ("i-2", "lookup", "a1"),
    ("i-3", "files", "a1"),
    ("i-4", "lookup", "b1"),
    ("i-5", "files", "b1"),
]
ZONES = ("a1", "a1", "a1", "b1")
CALLERS = 8
AHEAD_CALLERS = 4
GAP_S = 0.8
"""Mean time between two faults."""

RECOVER_S = 15.0
"""The users' bound on recovery after the last fault."""

CALM_REQUESTS = 60


class SoakSite(Site):
    """A site whose instances and store are reached through a proxy that faults are set on."""

    def __init__(self, folder, block, proxy):
        super().__init__(folder, block, PLACES, ZONES)
        self.proxy = proxy
        self.store_ip = f"{block}.40"
        self.starts = Counter()
        self.store = platform.PlatformStore(self.store_ip)
        self.instances = {
            name: Instance(name, f"{block}.{50 + n}") for n, (name, *_) in enumerate(PLACES)
        }
        for number, up in enumerate(self.instances.values()):
            up.ip, port = up.address.rsplit(":", 1)
            up.address = f"{block}.{150 + number}:{port}"
            proxy.forward(f"{block}.{150 + number}", up.ip, [int(port)])
        port = self.store.address.rsplit(":", 1)[1]
        self.store.address = f"{block}.140:{port}"
        proxy.forward(f"{block}.140", self.store_ip, [int(port)])

    def register(self, name, state="ready", anew=False):
        """Write an instance's entry, under a new incarnation if it has started anew."""
        service, zone = next((s, z) for n, s, z in PLACES if n == name)
        self.starts[name] += anew
        address, born = self.instances[name].address, 1 + self.starts[name]
        self.store.register(name, address, service, zone, state, born=born)

    def runs(self):
        """Return all runs at instances."""
        return [run for up in self.instances.values() for run in list(up.ran)]


def play(seed, seconds, folder, block):
    """Play one seed; returns the broken promises, the faults begun, and the attempts by status."""
    rng = random.Random(seed)
    noted = []
    with ExitStack() as stack:
        site = stack.enter_context(SoakSite(folder, block, stack.enter_context(Proxy(seed))))
        for vm in site.vms.values():
            vm.start()
        for vm in site.vms.values():
            until(vm.ready, text=f"{vm.name} is ready")
        callers = [Caller(site, n, seed, noted) for n in range(CALLERS)]
        callers += [AheadCaller(site, CALLERS + n, seed, noted) for n in range(AHEAD_CALLERS)]
        for caller in callers:
            caller.start()
        faults = Faults(site, rng)
        _disturb(faults, rng, seconds)
        found = _recovery(site, faults, seed)
        for caller in callers:
            caller.end()
        found += broken(list(noted), site.runs(), faults.interrupted)
        if found:
            (folder / "vms.log").write_text(site.logs())
    return found, faults.log, noted


def _disturb(faults, rng, seconds):
    """Begin faults at random times, and end them in time."""
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        faults.begin_one()
        pause_until = time.monotonic() + rng.expovariate(1 / GAP_S)
        while time.monotonic() < pause_until:
            time.sleep(0.05)
            faults.end_due()
    faults.end_due(everything=True)
    faults.site.proxy.heal()


def _recovery(site, faults, seed):
    """Tell what is not as it should be once the time for recovery has passed."""
    deadline = time.monotonic() + RECOVER_S
    while time.monotonic() < deadline and not all(vm.ready() for vm in site.vms.values()):
        time.sleep(0.1)
    found = [f"not-recovered {vm.name} is not ready" for vm in site.vms.values() if not vm.ready()]
    time.sleep(max(0.0, deadline - time.monotonic()))
    noted = []
    caller = Caller(site, 99, seed, noted)
    answered = [caller.send_one(vm) for vm in site.vms.values() for _ in range(CALM_REQUESTS // 4)]
    served = sum(sent.status == 200 for sent in answered)
    if served < CALM_REQUESTS * 0.95:
        found.append(f"not-recovered {served} of {CALM_REQUESTS} served after the last fault")
    services = {name: service for name, service, _ in PLACES}
    for sent in answered:
        if sent.kind == "read" and sent.status == 200:
            service = services[sent.data.split()[0].decode()]
            if service != faults.service:
                found.append(
                    f"old-configuration {sent.id}: run by {service}, in force is {faults.service}"
                )
    for up in site.instances.values():
        up.ran = [run for run in up.ran if not run[0].startswith("c99-")]
    return found


def _seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


@click.command()
@click.option("--seeds", default="1-5", help="a seed, or the first and the last: 1-50")
@click.option("--seconds", default=15.0, help="time for which faults begin, a seed")
@click.option("--report", default="out/soak.md", help="file of the report")
@click.option("--block", default="127.200.1", help="loopback addresses to use: the first three")
def main(seeds, seconds, report, block):
    """Play seeds one after the other, with a line each, and write a report."""
    # An end by signal must end the processes that were started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    lines, failed = ["# Soak", "", "| seed | faults | attempts | answered | broken |"], 0
    lines.append("| --- | --- | --- | --- | --- |")
    details = []
    for seed in _seeds(seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        try:
            found, log, noted = play(seed, seconds, folder, block)
        except AssertionError as exc:
            found, log, noted = [f"stuck {exc}"], [], []
        good = sum(sent.status == 200 for sent in noted)
        row = f"| {seed} | {len(log)} | {len(noted)} | {good} | {len(found)} |"
        lines.append(row)
        click.echo(row + (f" {folder} {found[:3]}" if found else ""))
        failed += bool(found)
        if found:
            details += ["", f"## Seed {seed}", "", *(f"- {line}" for line in [*found, *log])]
    Path(report).parent.mkdir(parents=True, exist_ok=True)
    Path(report).write_text("\n".join([*lines, *details]) + "\n")
    click.echo(
        f"{failed} seeds broke a promise; {report}; threads left: {threading.active_count()}"
    )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
