"""A configuration removes a route while a client asks for it with HEAD on a kept connection."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from kit import HOST, Stream, configuration, head, main, route, trouble  # noqa: E402

ROUNDS = 4


def case(d):
    kept = route("look", "safe", "/look/", "lookup")
    removed = route("plan", "safe", "/plan/", "lookup")
    d.store.put("config", "main", configuration(12, [kept, removed]))
    for n in range(3):
        d.instance(f"i-{n}")
    (vm,) = d.start("a1")
    if trouble():
        d.store.put("config", "main", configuration(19, [kept]))
        d.record(f"the store has acknowledged version 19 of {HOST}, without the route /plan/")
        time.sleep(4.0)
    return [text for n in range(ROUNDS) for text in one_round(d, vm, n)]


def one_round(d, vm, n):
    """Send HEAD on the removed route, then GET on the other one, on the same connection."""
    asked, wanted = f"head-{n}", f"get-{n}"
    sock = vm.connect(5.0)
    stream = Stream(sock)
    d.record(f"client sends {asked}: HEAD /plan/{n}")
    sock.sendall(head("HEAD", f"/plan/{n}", asked))
    first, fields = stream.head()
    d.record(f"client gets {first!r} for {asked}, {fields.get('connection', 'kept open')}: a "
             "response to HEAD ends with its head")
    if fields.get("connection") == "close":
        sock.close()
        return []
    d.record(f"client sends {wanted}: GET /look/{n}")
    sock.sendall(head("GET", f"/look/{n}", wanted))
    try:
        status, fields, data = stream.answer()
    except (OSError, EOFError, ValueError) as exc:
        text = f"MIXED: bytes that are no answer in the protocol come before that to {wanted}: {exc}"
        d.record(text)
        return [text]
    finally:
        sock.close()
    answered = fields.get("gypsumwind-request-id")
    d.record(f"client gets {status} for {wanted}, of {answered}: {data!r}")
    return [] if answered == wanted and status == 200 else [f"MIXED: {wanted} got {status}, {data!r}"]


main(case, Path(__file__).parent)
