"""Joining: a VM that has just started syncs records with the seeds that answer."""

import random
import threading
from collections.abc import Callable
from typing import Protocol

import pykka

from gypsumwind import messages as msg
from gypsumwind.core.membership import Endpoint
from gypsumwind.eras import EraTracker
from gypsumwind.errors import StoreError
from gypsumwind.gossip import GossipTask
from gypsumwind.log import Log
from gypsumwind.peers import PeerError
from gypsumwind.settings import Settings
from gypsumwind.tasks import Task

log = Log("joins")

JOIN_RETRY_S = 0.5

DISCOVERY_PERIOD_S = 5.0
"""Period of look-ups of announced VMs while no other VM is known."""

ANNOUNCE_RETRY_S = 2.0
"""Pause before an announcement that failed is retried."""


class Registry(Protocol):
    """Discovery of other VMs if all seeds are gone; StoreError while the store is unavailable."""

    def announce(self, vm: str, endpoint: Endpoint) -> int:
        """Store the endpoint of a VM; return the era of the store."""
        ...

    def withdraw(self, vm: str) -> None:
        """Delete the endpoint of a VM."""
        ...

    def read(self) -> list[Endpoint]:
        """Return the endpoints of the announced VMs."""
        ...


class AnnounceTask(Task):
    """Announces this VM once in each era of the store, and looks up others while none is known.

    A store restored from a backup may lack the announcement. The pause is jittered so that the
    VMs of a fleet don't all announce again at once.
    """

    def __init__(
        self,
        cfg: Settings,
        registry: Registry,
        endpoint: Endpoint,
        members: pykka.ActorRef,
        isolated: Callable[[], bool],
        eras: EraTracker,
        rng: random.Random,
    ) -> None:
        super().__init__("announce", DISCOVERY_PERIOD_S)
        self._cfg = cfg
        self._registry = registry
        self._endpoint = endpoint
        self._members = members
        self._isolated = isolated
        self._eras = eras
        self._rng = rng
        self._announced: int | None = None

    def pause_s(self) -> float:
        """Return a jittered pause, shorter until the announcement is in the store."""
        longest_s = ANNOUNCE_RETRY_S if self._announced is None else DISCOVERY_PERIOD_S
        return longest_s * self._rng.uniform(0.5, 1.0)

    def step(self) -> None:
        """Announce, then look up other VMs if none is known."""
        try:
            if self._announced is None or self._announced < self._eras.current:
                self._announced = self._registry.announce(self._cfg.vm, self._endpoint)
                log.info("announced", era=self._announced)
            if self._isolated():
                found = [e for e in self._registry.read() if e.ip != self._endpoint.ip]
                self._members.tell(msg.AddSeeds(tuple(found)))
                log.info("seeds-found", count=len(found))
        except StoreError as exc:
            log.warning("announce-failed", error=exc.message)

    def withdraw(self) -> None:
        """Withdraw the announcement at a graceful shutdown."""
        try:
            self._registry.withdraw(self._cfg.vm)
        except StoreError as exc:
            log.warning("announce-failed", error=exc.message)


class JoinTask(Task):
    """Syncs with every seed until one has answered, or `loaded` reports that the store was read."""

    def __init__(
        self,
        cfg: Settings,
        gossip: GossipTask,
        loaded: Callable[[], bool],
        joined: threading.Event,
    ) -> None:
        super().__init__("join", JOIN_RETRY_S)
        self._cfg = cfg
        self._gossip = gossip
        self._loaded = loaded
        self._joined = joined

    def step(self) -> None:
        """Sync with the seeds; set `joined` once one has answered or the store was read."""
        if self._joined.is_set():
            return
        answered = [self._sync(seed) for seed in self._seeds()]
        if any(answered) or self._loaded():
            self._joined.set()
            log.info("joined", seeds=len(answered), answered=sum(answered))

    def _seeds(self) -> list[Endpoint]:
        own = (self._cfg.advertise_ip, self._cfg.peer_port)
        return [
            Endpoint(seed.ip, 0, 0, seed.peer_port)
            for seed in self._cfg.seeds
            if (seed.ip, seed.peer_port) != own
        ]

    def _sync(self, endpoint: Endpoint) -> bool:
        try:
            self._gossip.sync(endpoint)
        except PeerError:
            return False
        return True
