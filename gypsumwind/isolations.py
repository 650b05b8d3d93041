"""Health checks of a VM that is isolated, or suspects it; each uses a new connection.

They show whether any instance accepts connections and responds, and, as an isolated VM may have no
callers left, that instances respond again.
"""

import random
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pykka
from urllib3.exceptions import HTTPError, ReadTimeoutError

from gypsumwind import messages as msg
from gypsumwind.core.upstreams import Upstream
from gypsumwind.hangups import DeadlineTask, TrackedPool
from gypsumwind.log import Log
from gypsumwind.response_syntax import malformation
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.tasks import Task
from gypsumwind.utils import monotonic, wall

log = Log("isolations")

CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 0.5
CHECK_DEADLINE_S = 2 * CHECK_TIMEOUT_S
"""Longest time, in seconds, for the connection and the whole head of the response."""

MAX_CHECK_S = 3 * CHECK_TIMEOUT_S
"""Time, in seconds, from which a check without any response is dropped: the process was paused, and
what its instances sent meanwhile came too late for the timeout."""

MAX_CHECKS = 8
"""Instances checked at a time by a VM that suspects that it reaches none."""

Checked = tuple[Upstream, str]
"""An instance and the path of its health check."""


class IsolationTask(Task):
    """Checks instances while this VM is isolated or suspects it."""

    def __init__(
        self,
        cfg: Settings,
        snapshots: Snapshots,
        dispatch: pykka.ActorRef,
        rng: random.Random,
        deadlines: DeadlineTask,
    ) -> None:
        super().__init__("isolation", CHECK_INTERVAL_S)
        self._deadlines = deadlines
        self._cfg = cfg
        self._snapshots = snapshots
        self._dispatch = dispatch
        self._rng = rng

    def step(self) -> None:
        """Check one random instance if this VM is isolated, some of all zones if it suspects it."""
        isolated = self._snapshots.isolated(self._cfg.vm, wall())
        if not isolated and not self._snapshots.isolation_suspected:
            return
        instances = self._instances()
        if not instances:
            return
        if isolated:
            if self._check(self._rng.choice(instances)):
                self._dispatch.tell(msg.InstanceResponded())
            return
        chosen = list(self._sample(instances))
        valid_until = monotonic() + MAX_CHECK_S
        with ThreadPoolExecutor(len(chosen)) as pool:
            results = list(pool.map(self._check, chosen))
        accepted = sum(result is not False for result in results)
        responded = sum(result is True for result in results)
        valid = responded > 0 or monotonic() < valid_until
        log.info(
            "connections-checked",
            instances=len(chosen),
            accepted=accepted,
            responded=responded,
            valid=valid,
        )
        if valid:
            self._dispatch.tell(msg.ConnectionsChecked(accepted > 0, responded > 0))

    def _instances(self) -> list[Checked]:
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

    def _sample(self, instances: list[Checked]) -> Iterator[Checked]:
        """Return some instances, of as many zones as possible, this VM's own zone among them."""
        self._rng.shuffle(instances)
        seen: dict[str, int] = {}
        turns: list[tuple[int, bool, int, Checked]] = []
        for checked in instances:
            zone = checked[0].zone
            turns.append((seen.get(zone, 0), zone != self._cfg.zone, len(turns), checked))
            seen[zone] = seen.get(zone, 0) + 1
        return (checked for *_, checked in sorted(turns, key=lambda t: t[:3])[:MAX_CHECKS])

    def _check(self, checked: Checked) -> bool | None:
        """Return whether an instance responds, None if it only accepts the connection in time.

        A malformed response shows as well as another one that the instance is reached.
        """
        up, path = checked
        deadline = monotonic() + CHECK_DEADLINE_S
        with (
            TrackedPool(
                up.ip, up.port, source_address=(self._cfg.ip, 0), timeout=CHECK_TIMEOUT_S
            ) as pool,
            self._deadlines.enforce(deadline),
        ):
            try:
                pool.request("GET", path, retries=False, preload_content=False).close()
            except ReadTimeoutError:
                return None
            except (HTTPError, OSError, ValueError) as exc:
                malformed = malformation(exc)
                if malformed is None:
                    return None if monotonic() >= deadline else False
                log.warning("health-check-malformed", instance=up.id, error=str(malformed))
            return True
