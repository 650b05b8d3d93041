"""Instances leave while the two delegates of a zone of five machines stand still."""

import itertools
import random
import signal
import sys
import threading
import time
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "review/common2"), str(ROOT / "target/deps")]
import xxhash  # noqa: E402
from kit import BOUNDS, Stream, configuration, head, main, route, trouble  # noqa: E402

ZONES, MACHINES_PER_ZONE, FROZEN = ("a1", "a2", "a3", "a4"), 5, 2
FREEZE_S = 3.5
ROUNDS = 4
HEARTBEAT_S = 1.5


def case(d):
    d.store.put("config", "main", configuration(12, [route("look", "safe", "/look/", "lookup")]))
    arrivals = []

    def instance(n):
        def work(method, target, body):
            arrivals.append((time.monotonic(), n, target))
            return 0.02, b"ok"

        each = d.instance(f"i-{n}", zone=ZONES[n % len(ZONES)], work=work, slots=50)
        each.record = lambda text: None
        return each

    instances = [instance(n) for n in range(12)]
    vms = d.start(*(ZONES[n % len(ZONES)] for n in range(MACHINES_PER_ZONE * len(ZONES))))
    time.sleep(6.0)
    frozen = first_of_zone(vms, ZONES[0])
    left, broken = set(), []
    for _ in range(ROUNDS):
        broken += one_round(d, vms, frozen, instances, left, arrivals)
        time.sleep(5.0)
    return broken


def first_of_zone(vms, zone):
    """Return the machines that the daemons of a zone choose as its delegates (core/delegates)."""
    inside = [vm for vm in vms if vm.zone == zone]
    inside.sort(key=lambda vm: xxhash.xxh64_intdigest(f"{zone}\0{vm.name}".encode()), reverse=True)
    return inside[:FROZEN]


def one_round(d, vms, frozen, instances, left, arrivals):
    """Freeze the machines, and let the busiest instance leave 0.05 s later."""
    over = threading.Event()
    calm = [vm for vm in vms if vm not in frozen]
    threads = [threading.Thread(target=client, args=(vm, len(left), over)) for vm in calm]
    for thread in threads:
        thread.start()
    time.sleep(1.5 + random.random())
    counts = Counter(n for at, n, _ in arrivals if at > time.monotonic() - 1.0 and n not in left)
    number = counts.most_common(1)[0][0]
    left.add(number)
    leaving = instances[number]
    if trouble():
        for vm in frozen:
            vm.signal(signal.SIGSTOP)
    time.sleep(0.05)
    leaving._closed.set()
    spec = d.store.objects["servers", leaving.name]["spec"]
    acknowledged = None
    began = time.monotonic()
    for beat in itertools.count():
        status = {"state": "draining", "sequence": 1000 + beat, "coldRemainingS": 0}
        d.store.put("servers", leaving.name, spec, status)
        if acknowledged is None:
            acknowledged = time.monotonic()
            d.record(f"the store has acknowledged that {leaving.name} is draining")
        until = began + min(FREEZE_S, HEARTBEAT_S * (beat + 1))
        time.sleep(max(0.0, until - time.monotonic()))
        if time.monotonic() >= began + FREEZE_S:
            break
    if trouble():
        for vm in frozen:
            vm.signal(signal.SIGCONT)
    time.sleep(2.0)
    over.set()
    for thread in threads:
        thread.join()
    d.store.remove("servers", leaving.name)
    after = [(at - acknowledged, target) for at, n, target in arrivals
             if n == number and at > acknowledged]
    d.record(f"{len(calm)} clients have sent {len(arrivals)} requests so far, all instances")
    for seconds, target in after:
        d.record(f"{leaving.name} ran {target.split('/')[2]} {seconds:.3f} s after it")
    late = [target.split("/")[2] for seconds, target in after if seconds > BOUNDS["drainS"]]
    last = max((seconds for seconds, _ in after), default=0.0)
    text = f"{leaving.name}: {len(late)} requests later than drainS, the last after {last:.3f} s"
    d.record(text)
    if not late:
        return []
    senders = sorted({name.split("_")[0] for name in late})
    return [f"DRAIN {text}; sent by {', '.join(senders)}, which were not disturbed"]


def client(vm, number, over):
    """Send small requests to one machine on a kept connection."""
    sock = None
    for n in itertools.count():
        if over.is_set():
            break
        try:
            sock = sock or vm.connect(3.0)
            name = f"{vm.name}_{number}_{n}"
            sock.sendall(head("GET", f"/look/{name}", name, deadline_ms=3000))
            Stream(sock).answer()
        except (OSError, EOFError, ValueError):
            sock = None
        time.sleep(0.05)
    if sock is not None:
        sock.close()


main(case, Path(__file__).parent)
