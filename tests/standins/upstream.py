"""Stand-ins for upstream instances, with a log of runs and faults that tests inject.

The query of a request sets its service time (`ms`), and the size in bytes (`size`), the status
(`status`) and a header (`echo`) of the response. The response carries the hashes of both bodies.
"""

import hashlib
import json
import random
import select
import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from tests.standins.http import QuietHandler, StandIn

CHUNK = 65536
COLD_MS = 300


@dataclass
class Run:
    """A request that an instance has started to run; `foreign` if it is of another region."""

    instance: str
    service: str
    path: str
    key: str
    foreign: bool
    started: float
    in_flight: int
    foreign_in_flight: int
    ended: float = 0.0


@dataclass
class RunLog:
    """All runs of all instances, with the requests in flight at the start of each."""

    region_of: dict = field(default_factory=dict)
    runs: list = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)
    in_flight: dict = field(default_factory=dict)
    foreign: dict = field(default_factory=dict)

    def begin(self, up, path, key, origin_region):
        with self.lock:
            foreign = origin_region != up.region
            count = self.in_flight[up.name] = self.in_flight.get(up.name, 0) + 1
            scope = (up.service, up.region)
            if foreign:
                self.foreign[scope] = self.foreign.get(scope, 0) + 1
            lent = self.foreign.get(scope, 0)
            run = Run(up.name, up.service, path, key, foreign, time.time(), count, lent)
            self.runs.append(run)
            return run

    def end(self, up, run):
        with self.lock:
            self.in_flight[up.name] -= 1
            if run.foreign:
                self.foreign[(up.service, up.region)] -= 1
            run.ended = time.time()

    def run_counts(self):
        """Return the number of runs of each idempotency key."""
        counts = {}
        for run in list(self.runs):
            if run.key:
                counts[run.key] = counts.get(run.key, 0) + 1
        return counts

    def max_in_flight(self, instance):
        """Return the maximum number of requests in flight at an instance."""
        return max((r.in_flight for r in self.runs if r.instance == instance), default=0)

    def max_foreign_in_flight(self, service):
        """Return the maximum number of requests of other regions in flight for a service."""
        counts = (r.foreign_in_flight for r in self.runs if r.service == service and r.foreign)
        return max(counts, default=0)


class Upstream(StandIn):
    """An instance of a service.

    `mode`: ok, shed, cut-before (closes without a run), fail, cut-answer (closes after the run),
    cut-middle (closes within the response) or stall (pauses within the response for 5 s).
    """

    def __init__(self, log, name, service, region, ip, port, slots):
        super().__init__(ip, port, _Handler)
        self.log = log
        self.name = name
        self.service = service
        self.region = region
        self.ip = ip
        self.slots = slots
        self.mode = "ok"
        self.health = "ok"
        self.load_override = None
        self.echoes_attempt = True
        self.cold_until = 0.0
        self.extra_ms = 0
        self.rng = random.Random(name)


class _Handler(QuietHandler):
    def do_GET(self):
        self._serve()

    def do_POST(self):
        self._serve()

    def do_PUT(self):
        self._serve()

    def do_DELETE(self):
        self._serve()

    def _serve(self):
        up = self.server.standin
        url = urlsplit(self.path)
        if url.path == "/health":
            self._json({"state": up.health})
        elif url.path == "/load":
            count = up.log.in_flight.get(up.name, 0)
            self._json({"in_flight": up.load_override if up.load_override is not None else count})
        else:
            self._run(up, url)

    def _json(self, doc):
        self.reply(200, json.dumps(doc).encode())

    def _run(self, up, url):
        query = {k: v[-1] for k, v in parse_qs(url.query).items()}
        if up.mode == "shed":
            self._read_body()
            self.reply(503, b"shed", [("Retry-After", "1")])
            return
        if up.mode == "cut-before":
            self.close_connection = True
            return
        region = self.headers.get("gypsumwind-origin-region", "")
        run = up.log.begin(up, self.path, self.headers.get("Idempotency-Key", ""), region)
        try:
            digest = self._read_body()
            self._work((int(query.get("ms", "0")) + self._added_latency_ms(up)) / 1000.0)
            ended = up.log.end(up, run)
            run = None
            self._answer(up, query, digest, ended)
        except OSError:
            self.close_connection = True
        finally:
            if run is not None:
                up.log.end(up, run)

    def _added_latency_ms(self, up):
        """Return the added latency of a slow or cold instance in milliseconds."""
        return up.extra_ms + (COLD_MS if time.time() < up.cold_until else 0)

    def _work(self, seconds):
        """Sleep for the service time; OSError if the deadline passes or the client disconnects."""
        finish_at = time.monotonic() + seconds
        deadline = time.monotonic() + int(self.headers.get("gypsumwind-timeout-ms", "60000")) / 1000
        while (left := min(finish_at, deadline) - time.monotonic()) > 0:
            readable, _, _ = select.select([self.connection], [], [], min(left, 0.1))
            if readable and not self.connection.recv(1, socket.MSG_PEEK):
                raise OSError("the client closed the connection")
        if deadline < finish_at:
            raise OSError("the deadline passed during the service time")

    def _read_body(self):
        digest = hashlib.sha256()
        if "chunked" in self.headers.get("Transfer-Encoding", ""):
            for chunk in self._chunked():
                digest.update(chunk)
            return digest.hexdigest()
        left = int(self.headers.get("Content-Length", "0"))
        while left:
            chunk = self.rfile.read(min(CHUNK, left))
            if not chunk:
                raise OSError(f"the body ended {left} bytes early")
            left -= len(chunk)
            digest.update(chunk)
        return digest.hexdigest()

    def _chunked(self):
        while True:
            line = self.rfile.readline()
            if not line:
                raise OSError("the body ended before a chunk size")
            size = int(line, 16)
            data = self.rfile.read(size + 2)
            if len(data) < size + 2:
                raise OSError(f"the body ended within a chunk of {size} bytes")
            if not size:
                return
            yield data[:size]

    def _answer(self, up, query, digest, _):
        if up.mode == "fail":
            self.reply(500, b"failed")
            return
        if up.mode == "cut-answer":
            self.close_connection = True
            return
        size = int(query.get("size", "32"))
        echo = query.get("echo", "")
        block = hashlib.sha256(f"{echo}{size}".encode()).hexdigest().encode()
        data = (block * (size // len(block) + 1))[:size]
        self.send_response(int(query.get("status", "200")))
        self.send_header("Content-Length", str(size))
        self.send_header("X-Body-Hash", digest)
        self.send_header("X-Answer-Hash", hashlib.sha256(data).hexdigest())
        self.send_header("X-Echo", echo)
        if up.echoes_attempt:
            self.send_header("Gypsumwind-Attempt", self.headers.get("gypsumwind-attempt", ""))
        if up.health == "draining":
            self.send_header("Upstream-Draining", "true")
        self.end_headers()
        if up.mode == "cut-middle":
            self.wfile.write(data[: size // 2])
            self.wfile.flush()
            self.close_connection = True
            return
        if up.mode == "stall":
            self.wfile.write(data[: size // 2])
            self.wfile.flush()
            time.sleep(5)
        self.wfile.write(data)
        self.wfile.flush()


def main():
    """Serve one upstream instance until interrupted."""
    import argparse

    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--name", default="upstream-1")
    parser.add_argument("--service", default="lookup")
    parser.add_argument("--region", default="accra")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=9100)
    parser.add_argument("--slots", type=int, default=4)
    args = parser.parse_args()
    up = Upstream(RunLog(), args.name, args.service, args.region, args.ip, args.port, args.slots)
    with up, suppress(KeyboardInterrupt):
        print(up.url, flush=True)
        threading.Event().wait()


if __name__ == "__main__":
    main()
