"""A VM gets SIGTERM while instances work on requests that had bodies."""

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from kit import Stream, configuration, head, main, route, trouble  # noqa: E402

WORK_S = 3.0
"""Time at the instance: it ends well before the last sixth of graceS, which begins after 5 s."""

BEFORE_TERM_S = 0.3
ETHERNET, LOOPBACK = 1448, 0
"""Bytes of a packet to a client: on Ethernet, and the largest that the loopback device takes."""

ANSWERS = (
    (5_120, ETHERNET),
    (539_904, ETHERNET),
    (2_000_128, ETHERNET),
    (8_000_000, LOOPBACK),
)
"""Bytes of an answer, and of a packet; the site kclhu-booking has answers of up to 540 KB."""

REQUEST_BYTES = 4_000


def work(method, target, body):
    return WORK_S, bytes(range(256)) * (int(target.rpartition("/")[2]) // 256)


def client(vm, record, request, size, segment, found):
    """Send a request as two packets, head and body, and read the answer."""
    body = b"b" * REQUEST_BYTES
    sock = vm.connect(15.0, segment)
    stream = Stream(sock, pause_s=0.001, block=16384)
    sock.sendall(head("POST", f"/plan/{size}", request, Content_Length=len(body)))
    time.sleep(0.02)
    sock.sendall(body)
    record(f"client has sent {request}")
    try:
        status, fields, data = stream.answer()
        whole = data == work("", f"/{size}", b"")[1]
        record(f"client gets {status} for {request}, {len(data)} bytes, as the instance's: {whole}")
        found[request] = whole if status == 200 else f"status {status}"
    except (OSError, EOFError, ValueError) as exc:
        record(f"client gets no whole answer for {request}: {exc!r}, {len(stream.buf)} bytes of {size}")
        found[request] = f"{exc!r} after {len(stream.buf)} bytes of {size}"
    sock.close()


def case(d):
    d.store.put("config", "main", configuration(12, [
        route("plan", "non_idempotent", "/plan/", "lookup"),
    ]))
    for n in range(4):
        d.instance(f"i-{n}", work=work)
    first, _ = d.start("a1", "a1")
    found, clients = {}, []
    for n, (size, segment) in enumerate(ANSWERS * 3):
        args = (first, d.record, f"r-{n}", size, segment, found)
        clients.append(threading.Thread(target=client, args=args))
        clients[-1].start()
    time.sleep(BEFORE_TERM_S)
    if trouble():
        first.signal(signal.SIGTERM)
    for each in clients:
        each.join()
    ran = {run[0] for each in d.instances for run in each.runs}
    return [
        f"LOST: {request} was passed on, and its connection ended without a complete answer: {why}"
        for request, why in sorted(found.items())
        if why is not True and request in ran
    ]


main(case, Path(__file__).parent)
