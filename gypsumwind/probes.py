"""Probes of the health and load endpoints of owned instances; results are only evidence."""

import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pykka
from urllib3.exceptions import HTTPError

from gypsumwind import messages as msg
from gypsumwind.core.table import Instance
from gypsumwind.hangups import DeadlineTask, TrackedPoolManager
from gypsumwind.log import Log
from gypsumwind.response_syntax import malformation
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.tasks import Task
from gypsumwind.utils import monotonic

log = Log("probes")

PROBE_TIMEOUT_S = 0.5
PROBE_DEADLINE_S = 2 * PROBE_TIMEOUT_S
"""Longest time, in seconds, for the connection and the whole response."""

WORKERS = 4
MAX_RESPONSE_BYTES = 4096


class HealthTask(Task):
    """Probes the health and load endpoints of each owned instance, once a period."""

    def __init__(
        self, cfg: Settings, snapshots: Snapshots, gate: pykka.ActorRef, deadlines: DeadlineTask
    ) -> None:
        super().__init__("health", cfg.health_s)
        self._deadlines = deadlines
        self._cfg = cfg
        self._snapshots = snapshots
        self._gate = gate
        self._pool = TrackedPoolManager(
            num_pools=200, source_address=(cfg.ip, 0), timeout=PROBE_TIMEOUT_S
        )
        self._workers = ThreadPoolExecutor(WORKERS, thread_name_prefix="health")
        self._last_held: set[str] = set()

    def step(self) -> None:
        """Probe every instance that this VM owns."""
        held = set(self._snapshots.holds.held)
        found = [
            inst
            for route in self._snapshots.routes.values()
            for inst in route.instances
            if inst.name in held
        ]
        list(self._workers.map(self._probe, found))

    def pause_s(self) -> float:
        """Return a short pause after a hold was gained, for its instance's first load report."""
        held = set(self._snapshots.holds.held)
        new, self._last_held = held - self._last_held, held
        return 0.1 if new else self._period_s

    def _probe(self, inst: Instance) -> None:
        health = self._get(inst, self._cfg.health_path)
        load = self._get(inst, self._cfg.load_path)
        state = health.get("state") if isinstance(health, dict) else None
        in_flight = load.get("in_flight") if isinstance(load, dict) else None
        seen = msg.HealthObserved(
            instance=inst.name,
            draining=None if state is None else state == "draining",
            unhealthy=None if state is None else state not in ("ok", "draining"),
            in_flight=in_flight if isinstance(in_flight, int) else None,
        )
        self._gate.tell(seen)

    def _get(self, inst: Instance, path: str) -> Any:
        """Return the JSON document of an endpoint, None if the request or its decoding fails."""
        if not path:
            return None
        try:
            with self._deadlines.enforce(monotonic() + PROBE_DEADLINE_S):
                answer = self._pool.request(
                    "GET", f"http://{inst.address}{path}", preload_content=False
                )
            try:
                return json.loads(answer.read(MAX_RESPONSE_BYTES))
            finally:
                answer.release_conn()
        except (HTTPError, OSError, ValueError) as exc:
            malformed = malformation(exc)
            if malformed is not None:
                log.warning("probe-malformed", instance=inst.name, path=path, error=str(malformed))
            return None
