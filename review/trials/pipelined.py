"""A few instances break off one answer in fifty while clients pipeline requests behind it."""

import itertools
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from kit import Instance, Stream, configuration, head, main, route, trouble  # noqa: E402

TROUBLE_S = 5.5
LARGE_BYTES = 540_000
CUT_AT = 400_000
ONE_IN = 50
CLIENTS = 8
BEHIND = 3


class Faulty(Instance):
    """Breaks off one in fifty of its answers, and closes that connection, while `broken_until`."""

    broken_until = 0.0
    counter = itertools.count(1)

    def _send(self, sock, status, data, fields):
        if time.monotonic() < self.broken_until and len(data) == LARGE_BYTES:
            if next(self.counter) % ONE_IN == 0:
                names = [value for name, value in fields if name.endswith("Request-Id")]
                self.record(f"{self.name} breaks off its answer to {names[0]}")
                lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(data)}"]
                lines += [f"{name}: {value}" for name, value in fields]
                sock.sendall("\r\n".join([*lines, "", ""]).encode() + data[:CUT_AT])
                raise EOFError
        super()._send(sock, status, data, fields)


def case(d):
    large, small = b"x" * LARGE_BYTES, b"ok"
    routes = [
        route("files", "safe", "/files/", "files"), route("look", "safe", "/look/", "lookup"),
    ]
    d.store.put("config", "main", configuration(12, routes, ("files", "lookup")))
    faulty = []
    for n in range(6):
        kind = Faulty if n < 3 else Instance
        values = {"service": "files", "work": lambda *_: (0.01, large), "slots": 6}
        d.instances.append(kind(d.store, d.record, f"file-{n}", **values))
        if n < 3:
            faulty.append(d.instances[-1])
    for n in range(6):
        d.instance(f"look-{n}", work=lambda *_: (0.02, small))
    (vm,) = d.start("a1")
    until = time.monotonic() + TROUBLE_S
    if trouble():
        d.record("3 of 6 instances of the service files break off 2 % of their answers")
        for each in faulty:
            each.broken_until = until
    lost = []
    threads = [threading.Thread(target=client, args=(d, vm, n, until, lost)) for n in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(0.5)
    ran = [name for name in lost if d.runs(name)]
    if len(ran) <= 3:
        return []
    return [
        f"LOST: {len(ran)} requests from kept connections were passed on to sound instances, and "
        f"their connections closed without an answer: {', '.join(ran[:12])}"
    ]


def client(d, vm, number, until, lost):
    """Send a request for a file and three others behind it, again and again on one connection."""
    sock = stream = None
    for n in itertools.count():
        if time.monotonic() > until:
            break
        if sock is None:
            sock = vm.connect(10.0)
            stream = Stream(sock)
            sock.sendall(head("GET", "/look/first", f"c{number}-{n}-first"))
            stream.answer()
        names = [f"c{number}-{n}-{part}" for part in range(1 + BEHIND)]
        targets = [f"/files/{n}"] + [f"/look/{n}"] * BEHIND
        d.record(f"client sends {names[0]} to {names[-1]} on a kept connection")
        sock.sendall(b"".join(head("GET", t, r) for t, r in zip(targets, names)))
        left = list(names)
        try:
            while left:
                status, fields, data = stream.answer()
                d.record(f"client gets {status} with {len(data)} bytes for {left[0]}")
                left.pop(0)
        except (OSError, EOFError, ValueError) as exc:
            d.record(f"client has no answer to {', '.join(left)}: {exc!r}")
            if left[0] == names[0]:
                lost += left[1:]
            else:
                lost += left
            sock.close()
            sock = None
    if sock is not None:
        sock.close()


main(case, Path(__file__).parent)
