"""Rate limits of the links between regions, in bytes a second, split over a region's VMs."""

import threading
import time
from collections.abc import Iterator

from gypsumwind.calls import CHUNK_BYTES
from gypsumwind.core.buckets import LinkBucket
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.utils import monotonic

PIECE_S = 0.02
MIN_PIECE_BYTES = 4096
BODY_SHARE = 0.9
"""Share of a link's budget for bodies; the rest is for headers and control traffic."""


class LinkBudgets:
    """Token buckets for this VM's share of the links from its region to others."""

    def __init__(self, cfg: Settings, snapshots: Snapshots) -> None:
        self._cfg = cfg
        self._snapshots = snapshots
        self._buckets: dict[str, LinkBucket] = {}
        self._lock = threading.Lock()

    def check(self, region: str, size: int, deadline: float) -> None:
        """Reject a body that cannot cross the link by its deadline; nothing has been sent yet."""
        now = monotonic()
        with self._lock:
            bucket = self._bucket(region, now)
            if bucket is None or now + bucket.wait_s(size, now) < deadline:
                return
        raise RequestError(
            Code.LINK_FULL, f"the link to {region} is full", Verdict.NOT_RUN, 503, 1.0
        )

    def pace_chunks(self, region: str, chunks: Iterator[bytes], deadline: float) -> Iterator[bytes]:
        """Yield chunks no faster than the budget; RequestError if the deadline cannot be met."""
        size = self._piece_bytes(region)
        for chunk in chunks:
            for at in range(0, len(chunk), size or len(chunk)):
                piece = chunk[at : at + size] if size else chunk
                if size:
                    self._wait(region, len(piece), deadline)
                yield piece

    def _piece_bytes(self, region: str) -> int:
        """Return the size of the pieces that are sent over a link, 0 without a budget."""
        with self._lock:
            bucket = self._bucket(region, monotonic())
        if bucket is None:
            return 0
        return max(MIN_PIECE_BYTES, min(CHUNK_BYTES, int(bucket.rate * PIECE_S)))

    def _wait(self, region: str, size: int, deadline: float) -> None:
        now = monotonic()
        with self._lock:
            bucket = self._bucket(region, now)
            wait_s = 0.0 if bucket is None else bucket.reserve(size, deadline, now)
        if wait_s is None:
            text = f"the link to {region} is full"
            raise RequestError(Code.LINK_FULL, text, Verdict.MAY_HAVE_RUN, 503, 1.0)
        if wait_s > 0:
            time.sleep(wait_s)

    def _bucket(self, region: str, now: float) -> LinkBucket | None:
        """Return the bucket of a link at this VM's current share, None without a budget."""
        budget = self._snapshots.places.link_budget(self._cfg.region, region)
        if budget is None or region == self._cfg.region:
            return None
        rate = budget * BODY_SHARE / self._region_vm_count()
        bucket = self._buckets.get(region)
        if bucket is None:
            bucket = self._buckets[region] = LinkBucket(rate, now)
        bucket.set_rate(rate, now)
        return bucket

    def _region_vm_count(self) -> int:
        """Return how many VMs share the region's links, as its zones last published."""
        zones = self._snapshots.places.zones_of(self._cfg.region)
        loads = (self._snapshots.zones.get(zone) for zone in zones)
        return max(1, sum(load.vms for load in loads if load is not None))
