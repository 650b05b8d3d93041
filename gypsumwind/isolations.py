"""Health checks of an isolated VM, which notice that instances respond again without callers."""

import random

import pykka
import urllib3
from urllib3.exceptions import HTTPError

from gypsumwind import messages as msg
from gypsumwind.core.upstreams import Upstream
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.tasks import Task
from gypsumwind.utils import wall

CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 0.5
MAX_RESPONSE_BYTES = 4096


class IsolationTask(Task):
    """Checks one random instance per period while this VM is isolated, over a new connection.

    Look-ups leave the VM out meanwhile, so there may be no request that could serve as a trial.
    """

    def __init__(
        self, cfg: Settings, snapshots: Snapshots, dispatch: pykka.ActorRef, rng: random.Random
    ) -> None:
        super().__init__("isolation", CHECK_INTERVAL_S)
        self._cfg = cfg
        self._snapshots = snapshots
        self._dispatch = dispatch
        self._rng = rng

    def step(self) -> None:
        """Check an instance; any response of it shows that this VM is no longer isolated."""
        if not self._snapshots.isolated(self._cfg.vm, wall()):
            return
        instances = self._instances()
        if instances and self._responds(*self._rng.choice(instances)):
            self._dispatch.tell(msg.InstanceResponded())

    def _instances(self) -> list[tuple[Upstream, str]]:
        """Return the instances that may get a health check, with the paths for it."""
        snapshots = self._snapshots
        services = snapshots.rules.services if snapshots.rules else {}
        return [
            (up, services[up.service].health_path)
            for up in (snapshots.upstreams.by_id or {}).values()
            if not up.draining
            and up.zone not in snapshots.closed_zones.revisions
            and up.service in services
            and services[up.service].health_path
        ]

    def _responds(self, up: Upstream, path: str) -> bool:
        with urllib3.HTTPConnectionPool(
            up.ip, up.port, source_address=(self._cfg.ip, 0), timeout=CHECK_TIMEOUT_S
        ) as pool:
            try:
                response = pool.request("GET", path, retries=False, preload_content=False)
                response.read(MAX_RESPONSE_BYTES)
                response.close()
            except (HTTPError, OSError, ValueError):
                return False
            return True
