"""Demo: four daemons in two regions serve requests through a weight change and a shutdown."""

import os
import subprocess
import sys
import threading
import time
from collections import Counter

from tests.standins.fleet import ROOT, STORE_PORT, Fleet, Service, wait_until

ZONES = {
    "accra-a": ("accra", 1),
    "accra-b": ("accra", 1),
    "kumasi-a": ("kumasi", 1),
    "kumasi-b": ("kumasi", 1),
}
CALLERS = 6
PAUSE_S = 0.02


class Traffic:
    """Callers that send requests until the context exits, and the replies."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.replies = []
        self.ended = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(n,)) for n in range(CALLERS)]

    def _run(self, number):
        caller = self.fleet.caller("accra-a" if number % 2 else "accra-b")
        count = 0
        while not self.ended.wait(PAUSE_S):
            count += 1
            if number % 3:
                self.replies.append(caller.send_with_failover("lookup", f"/vents/{count}?ms=10"))
            else:
                key = caller.key("signoff", f"demo-{number}-{count}")
                headers = {"Idempotency-Key": key, "Gypsumwind-Class": "high"}
                self.replies.append(
                    caller.send_with_failover(
                        "signoff", "/book?ms=15", method="POST", headers=headers
                    )
                )

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        for thread in self.threads:
            thread.join(30)


def report(title, replies):
    """Print the verdicts and the latency percentiles of replies."""
    verdicts = Counter(r.verdict or r.error.split(":")[0] for r in replies)
    times = sorted(r.elapsed_s * 1000 for r in replies) or [0.0]
    p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
    print(f"{title}: {len(replies)} requests, {dict(verdicts)}, p50 {p50:.0f} ms, p99 {p99:.0f} ms")


def count_by_region(replies):
    """Return the number of requests served by each region."""
    names = (r.headers.get("gypsumwind-instance", "--") for r in replies)
    return dict(Counter(name.split("-")[1] or "none" for name in names))


def run_cli(fleet, *args):
    """Run the command-line tool, print its output and return its exit code."""
    env = {
        **os.environ,
        "GYPSUMWIND_STORE_URL": f"http://{fleet.store_ip}:{STORE_PORT}",
        "GYPSUMWIND_ENTRY": fleet.vms["accra-a-1"].url,
    }
    command = [sys.executable, "-m", "gypsumwind.tools.cli", *args]
    print(f"$ gypsumwind {' '.join(args)}", flush=True)
    done = subprocess.run(command, cwd=ROOT, env=env, text=True, capture_output=True, timeout=60)
    print(done.stdout + done.stderr, end="", flush=True)
    return done.returncode


def run_phase(fleet, title, seconds=2.0):
    """Send traffic for some seconds, print a report and return the replies."""
    with Traffic(fleet) as traffic:
        time.sleep(seconds)
    report(title, traffic.replies)
    print(f"  served by region: {count_by_region(traffic.replies)}")
    return traffic.replies


def main():
    """Run the demo; exit 0 if all requests were answered, no key ran twice, no command failed."""
    services = [Service("lookup"), Service("signoff")]
    with Fleet(ZONES, services, block="127.0") as fleet:
        for vm in fleet.vms.values():
            vm.start()
        wait_until(
            lambda: all(vm.get("/healthz") for vm in fleet.vms.values()),
            text="all daemons are healthy",
        )
        statuses = [run_cli(fleet, "apply", "samples/demo/table.csv")]
        fleet.wait_until_converged()
        statuses.append(run_cli(fleet, "status"))
        replies = run_phase(fleet, "steady state")
        statuses.append(run_cli(fleet, "set", "lookup", "accra", "weight", "20"))
        time.sleep(1.0)
        replies += run_phase(fleet, "after the weight change")
        with Traffic(fleet) as traffic:
            time.sleep(0.5)
            code = fleet.vms["accra-b-1"].stop()
            print(f"accra-b-1 stopped gracefully under load, exit code {code}")
            time.sleep(1.0)
        report("during the shutdown of accra-b-1", traffic.replies)
        replies += traffic.replies
        answered = all(r.verdict == "answered" for r in replies)
        duplicates = [key for key, count in fleet.log.run_counts().items() if count > 1]
        print(f"all requests answered: {answered}; idempotency keys run twice: {len(duplicates)}")
    sys.exit(0 if answered and not duplicates and not any(statuses) and code == 0 else 1)


if __name__ == "__main__":
    main()
