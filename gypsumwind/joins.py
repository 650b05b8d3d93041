"""Joining: a VM that has just started reads the records of the seeds that answer."""

import threading
from collections.abc import Callable

from gypsumwind.core.membership import Endpoint
from gypsumwind.gossip import GossipTask
from gypsumwind.log import Log
from gypsumwind.peers import PeerError
from gypsumwind.settings import Settings
from gypsumwind.tasks import Task

log = Log("joins")

JOIN_RETRY_S = 0.5


class JoinTask(Task):
    """Asks every seed until one has answered, or `loaded` says that the store was read."""

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
        """Try the seeds; joined once one has answered or the store has been read."""
        if self._joined.is_set():
            return
        answered = [self._sync(seed) for seed in self._seeds()]
        if any(answered) or self._loaded():
            self._joined.set()
            log.info("joined", seeds=len(answered), answered=sum(answered))

    def _seeds(self) -> list[Endpoint]:
        mine = (self._cfg.advertise_ip, self._cfg.peer_port)
        return [
            Endpoint(seed.ip, 0, 0, seed.peer_port)
            for seed in self._cfg.seeds
            if (seed.ip, seed.peer_port) != mine
        ]

    def _sync(self, endpoint: Endpoint) -> bool:
        try:
            self._gossip.sync(endpoint)
        except PeerError:
            return False
        return True
