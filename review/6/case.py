"""Requests sent behind each other on one connection, the third one with a body."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from kit import configuration, head, main, route, trouble  # noqa: E402

QUOTED = head("GET", "/look/quoted", "id-nobody-sent")
"""A saved request, as a text."""

NOTE = b"line one\r\n\r\nline three\r\n"


def work(method, target, body):
    seconds = {"/look/first": 0.8, "/look/second": 1.6}.get(target, 0.0)
    return seconds, b"ok " + target.encode()


def send(vm, record, parts):
    """Send requests, one behind the other or one after the other; return their statuses."""
    found = {}
    sock = vm.connect(12.0)
    from kit import Stream

    stream = Stream(sock)

    def read(request):
        try:
            status, fields, data = stream.answer()
            answered = fields.get("gypsumwind-request-id", "none")
            record(f"client gets {status} for {request}, of {answered}: {data[:60]!r}")
            found[request] = status
        except (OSError, EOFError, ValueError) as exc:
            record(f"client gets no answer for {request}: {exc!r}")
            found[request] = 0

    for request, data in parts:
        record(f"client sends {request}, {len(data)} bytes")
        sock.sendall(data)
        if not trouble():
            read(request)
    if trouble():
        for request, _ in parts:
            read(request)
    sock.close()
    return found


def case(d):
    d.store.put("config", "main", configuration(12, [
        route("look", "safe", "/look/", "lookup"),
        route("save", "non_idempotent", "/save/", "lookup"),
    ]))
    for n in range(3):
        d.instance(f"i-{n}", work=work)
    (vm,) = d.start("a1")
    broken, sent = [], {}
    for label, body in (("quoted", QUOTED), ("note", NOTE)):
        requests = [
            (f"{label}-1", head("GET", "/look/first", f"{label}-1")),
            (f"{label}-2", head("GET", "/look/second", f"{label}-2")),
            (f"{label}-3",
             head("PUT", "/look/third", f"{label}-3", Content_Length=len(body)) + body),
        ]
        requests.append((f"{label}-4", head("GET", "/look/fourth", f"{label}-4")))
        sent |= {request: b"" for request, _ in requests} | {f"{label}-3": body}
        send(vm, d.record, requests)
    for each in d.instances:
        for request, method, target, body in each.runs:
            if request not in sent:
                broken.append(f"UNASKED: {each.name} ran {request} {method} {target}: nobody sent it")
            elif body != sent[request]:
                broken.append(f"UNASKED: {each.name} ran {request} with another body, {len(body)} "
                              f"bytes of {len(sent[request])}: {body[:40]!r}")
    return broken


main(case, Path(__file__).parent)
