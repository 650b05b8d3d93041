"""Starts a fleet in direct mode for tests: daemon processes, instances and a platform store."""

import os
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

import urllib3

from tests.standins import platform
from tests.standins.fleet import wait_until
from tests.standins.http import QuietHandler, StandIn
from tests.standins.platform import PlatformStore, settings_lines
from tests.standins.raw import RESET_ON_CLOSE

ROOT = Path(__file__).resolve().parents[2]
SIGNATURE = "Gypsumwind-Response-Signature"
LARGE_BYTES = 16 * 1024 * 1024


class Instance(StandIn):
    """An instance of a service that logs what it runs, with faults that tests inject.

    `mode`: ok, shed, cut (runs, then closes without a response), short (half of the body), extra
    (a second response), endless (a body without a length that never ends, `head_start` bytes of it
    at once), malformed (as ok, with `malformed` as another line of the head), reset (a part of a
    body without a length before it has read the request's, then a reset), unsigned, fail (500) or
    large (a body of LARGE_BYTES).
    `headers` are sent with every response but a 421.
    `arrivals` has the time of each request in `received`.

    A request whose path is in `deadly` crashes the instance, for `restart_s`; `crashes` has the
    times.

    `cut_from` maps addresses of VMs to how they are partitioned from the instance: reset, hang, or
    refuse-new (open connections live on).
    """

    def __init__(self, name, ip="127.0.0.1", service_time_s=0.0):
        super().__init__(ip, 0, _Handler)
        self.name = name
        self.service_time_s = service_time_s
        self.mode = "ok"
        self.headers = {}
        self.head_start = 0
        self.malformed = b""
        self.ran = []
        self.received = []
        self.arrivals = []
        self.cut_from = {}
        self.deadly = ()
        self.restart_s = 2.0
        self.crashes = []
        self.cancelled = []
        self.lock = threading.Lock()

    def accepts(self, ip):
        """Close new connections at once in a partition that refuses them."""
        return self.cut_from.get(ip) != "refuse-new"


class _Handler(QuietHandler):
    def _partition(self):
        return self.server.standin.cut_from.get(self.client_address[0])

    def do_GET(self):
        up = self.server.standin
        while self._partition() == "hang":
            time.sleep(0.1)
        if self._partition() == "reset":
            self.close_connection = True
            return
        request = self.headers.get("Gypsumwind-Request-Id", "")
        if up.mode == "reset":
            self._send_part_and_reset(up, request)
            return
        body = self._body()
        if body is None:
            self.close_connection = True
            return
        with up.lock:
            up.received.append((request, dict(self.headers)))
            up.arrivals.append(time.monotonic())
        if self.headers.get("Gypsumwind-Target-Instance") != up.name:
            self._answer(421, b"", request, signed=False)
            return
        if up.mode == "shed":
            self._answer(503, b"", request, {"Gypsumwind-Not-Executed": "1"}, signed=False)
            return
        with up.lock:
            up.ran.append((request, self.command, self.path, body))
        if self.path in up.deadly:
            up.crashes.append(time.monotonic())
            up.restart(up.restart_s)
            self.close_connection = True
            return
        if self._work(up, request):
            self._answer_in_mode(up, request)

    def _answer_in_mode(self, up, request):
        if up.mode == "cut":
            self.close_connection = True
            return
        if up.mode == "endless":
            self._send_endless_body(up, request)
            return
        status = 500 if up.mode == "fail" else 200
        data = f"{up.name} {request}\n".encode() * 20
        if up.mode == "large":
            data = b"l" * LARGE_BYTES
        self._answer(status, data, request, signed=up.mode != "unsigned", short=up.mode == "short")
        if up.mode == "extra":
            self._answer(200, b"of nobody", "other", signed=True)

    def do_POST(self):
        self.do_GET()

    def do_PUT(self):
        self.do_GET()

    def _work(self, up, request):
        finish_at = time.monotonic() + up.service_time_s
        while time.monotonic() < finish_at:
            time.sleep(0.02)
            self.connection.setblocking(False)
            try:
                if self.connection.recv(1, 2) == b"":
                    up.cancelled.append(request)
                    self.close_connection = True
                    return False
            except BlockingIOError:
                pass
            finally:
                self.connection.setblocking(True)
        return True

    def _body(self):
        """Return the body, None if the connection closes within it."""
        if "chunked" not in self.headers.get("Transfer-Encoding", ""):
            length = int(self.headers.get("Content-Length", "0"))
            data = self.rfile.read(length)
            return data if len(data) == length else None
        data = bytearray()
        while size := int(self.rfile.readline() or b"-1", 16):
            chunk = self.rfile.read(size) if size > 0 else b""
            if len(chunk) < size or size < 0:
                return None
            data += chunk
            self.rfile.readline()
        return bytes(data) if self.rfile.readline() else None

    def _send_part_and_reset(self, up, request):
        """Answer before the body is read; the close with unread bytes resets the connection."""
        self.close_connection = True
        with up.lock:
            up.ran.append((request, self.command, self.path, b""))
        self._send_head_without_length(request)
        self.wfile.write(b"a part")
        self.wfile.flush()
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def _send_head_without_length(self, request):
        self.send_response(200)
        self.send_header(SIGNATURE, f"signed.{request}")
        self.send_header("Gypsumwind-Request-Id", request)
        self.end_headers()

    def _send_endless_body(self, up, request):
        """Send bytes without end, slowly, until the caller closes the connection."""
        self.close_connection = True
        self._send_head_without_length(request)
        with suppress(OSError):
            self.wfile.write(b"x" * up.head_start)
            while True:
                self.wfile.write(b"\x00\xff" * 8)
                self.wfile.flush()
                time.sleep(0.05)
        up.cancelled.append(request)

    def _answer(self, status, data, request, headers=None, signed=True, short=False):
        self.send_response(status)
        instance_headers = self.server.standin.headers if status != 421 else {}
        for name, value in {**instance_headers, **(headers or {})}.items():
            self.send_header(name, value)
        if signed:
            self.send_header(SIGNATURE, f"signed.{request}")
        self.send_header("Gypsumwind-Request-Id", request)
        self.send_header("Gypsumwind-Instance-Load", "0,0,4")
        if self.server.standin.mode == "malformed":
            self._headers_buffer.append(self.server.standin.malformed + b"\r\n")
            self.close_connection = True
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data[: len(data) // 2] if short else data)
        self.wfile.flush()
        if short:
            self.close_connection = True


class DirectVm:
    """One daemon process in direct mode."""

    def __init__(self, fleet, name, zone, number):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.ip = f"{fleet.block}.{number}"
        self.path = fleet.folder / f"{name}.conf"
        self.log_path = fleet.folder / f"{name}.log"
        self.process = None

    def start(self, seeds=(), stdout=None):
        """Write the settings file and start the process; output goes to its log or to `stdout`."""
        seeds = seeds or [vm.ip for vm in self.fleet.vms.values()][:3] or [self.ip]
        store, first_start = self.fleet.store.address, self.process is None
        lines = settings_lines(self.name, self.ip, self.zone, store, seeds, first_start)
        lines += self.fleet.settings
        self.path.write_text("\n".join(lines))
        env = {**os.environ, "GYPSUMWIND_SETTINGS": str(self.path)}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gypsumwind.platform"],
                cwd=ROOT,
                env=env,
                stdout=stdout or log,
                stderr=log,
            )
        return self

    def get(self, port, path):
        """Return status and JSON document of a GET request, (0, None) if it fails."""
        try:
            answer = self.fleet.http.request("GET", f"http://{self.ip}:{port}{path}", timeout=2)
            return answer.status, answer.json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return 0, None

    def ready(self):
        """Report whether the readiness endpoint returns 200."""
        return self.get(platform.READINESS_PORT, "/ready")[0] == 200

    def resolve(self, zone="a1", name="api.example"):
        """Return the addresses of entry VMs that the directory lists for a host name."""
        region = platform.ZONES[zone]
        _, doc = self.get(
            platform.DIRECTORY_PORT, f"/resolve?name={name}&region={region}&zone={zone}"
        )
        return (doc or {}).get("addresses", [])

    def kill(self):
        """Kill the process and wait for its exit."""
        self.process.kill()
        self.process.wait(10)

    def stop(self):
        """Stop the process gracefully and return its exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(15)


class DirectFleet:
    """A platform store, instances and daemons on the loopback addresses of `block`.

    `settings` are further lines of the daemons' settings files.
    """

    def __init__(self, folder, block, instances=(), vms=("a1",), settings=()):
        self.folder, self.block, self.settings = folder, block, list(settings)
        self.store = PlatformStore()
        self.instances = {name: Instance(name) for name, *_ in instances}
        self._instance_specs = list(instances)
        self.vms = {}
        for n, zone in enumerate(vms, 1):
            self.vms[f"vm-{n}"] = DirectVm(self, f"vm-{n}", zone, n)
        self.http = urllib3.PoolManager(retries=False, maxsize=32)

    def __enter__(self):
        self.store.__enter__()
        self.store.put("config", "main", platform.CONFIG)
        for name, service, zone in self._instance_specs:
            instance = self.instances[name]
            instance.__enter__()
            self.store.register(name, instance.address, service, zone)
        return self

    def start_vms(self):
        """Start all VMs and return the fleet once they are ready."""
        for vm in self.vms.values():
            vm.start()
        for vm in self.vms.values():
            wait_until(vm.ready, text=f"{vm.name} is ready")
        return self

    def __exit__(self, *_):
        for vm in self.vms.values():
            if vm.process is not None and vm.process.poll() is None:
                vm.kill()
        for instance in self.instances.values():
            instance.__exit__()
        self.store.set_mode("ok")
        self.store.__exit__()

    def logs(self):
        """Return the logs of all daemons."""
        return "".join(vm.log_path.read_text() for vm in self.vms.values())

    def set_instances(self, **values):
        """Set attributes of all instances, such as `mode` or `service_time_s`."""
        for up in self.instances.values():
            for name, value in values.items():
                setattr(up, name, value)

    def send(self, vm, path="/read/x", method="GET", host="api.example", request="r-1", **values):
        """Send one request to a VM and return the response."""
        headers = {
            "Host": host,
            "Gypsumwind-Request-Id": request,
            "Gypsumwind-Affinity-Key": "7",
            "Gypsumwind-Deadline-Ms": "4000",
            **values.pop("headers", {}),
        }
        return self.http.request(
            method,
            f"http://{vm.ip}:{platform.FRONT_PORT}{path}",
            headers=headers,
            timeout=10,
            **values,
        )
