"""Routing at the VM that receives a call: chooses an availability zone, and retries if safe."""

import random
from dataclasses import replace

from gypsumwind.calls import Answer, Call
from gypsumwind.core.admission import Headroom
from gypsumwind.core.buckets import RetryBudget
from gypsumwind.core.choice import ZoneOption, order_zones
from gypsumwind.core.routes import ServiceRoute
from gypsumwind.core.verdict import Verdict
from gypsumwind.errors import Code, RequestError
from gypsumwind.gateways import ZoneGateway
from gypsumwind.gossip import live_loads, sum_headroom
from gypsumwind.handoffs import HOP_GATE, Handoffs
from gypsumwind.hangups import cancelled
from gypsumwind.metrics import Metrics
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.utils import jittered, new_id, wall

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0
MAX_LOAD_AGE_S = 10.0


class ZoneRouter:
    """Routes the calls that callers send to this VM, by zone weight, headroom and reachability."""

    def __init__(
        self,
        cfg: Settings,
        snapshots: Snapshots,
        gateway: ZoneGateway,
        handoffs: Handoffs,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._snapshots = snapshots
        self._gateway = gateway
        self._handoffs = handoffs
        self._metrics = metrics
        self._budget = RetryBudget()
        self._rng = rng

    def route(self, call: Call) -> Answer:
        """Send a call to a zone that can serve it; RequestError has the worst verdict so far."""
        route = self._route_of(call.service)
        zones = self._ordered_zones(route, call)
        uncertain: RequestError | None = None
        last = RequestError(
            Code.NO_ROUTE,
            "no zone with a weight for the service can be reached in time",
            Verdict.NOT_RUN,
            503,
            jittered(RETRY_AFTER_S, self._rng),
        )
        for zone in zones[:MAX_ATTEMPTS]:
            try:
                answer = self._send_to_zone(zone, call.with_attempt(new_id()))
            except RequestError as exc:
                last = exc
                if exc.verdict is not Verdict.NOT_RUN:
                    uncertain = exc
                if not self._may_retry(route, call, exc):
                    break
                self._metrics.event("retry")
                continue
            self._budget.record_success()
            return answer
        raise self._final_error(uncertain, last)

    def _final_error(self, uncertain: RequestError | None, last: RequestError) -> RequestError:
        """Return the last error, as MAY_HAVE_RUN if an earlier attempt may have run."""
        if uncertain is None or last.verdict is not Verdict.NOT_RUN:
            return last
        return RequestError(
            last.code, last.message, Verdict.MAY_HAVE_RUN, last.status, last.retry_after_s
        )

    def _route_of(self, service: str) -> ServiceRoute:
        route = self._snapshots.routes.get(service)
        if route is None:
            raise RequestError(
                Code.UNKNOWN_SERVICE,
                f"no service {service!r} in the table",
                Verdict.NOT_RUN,
                404,
            )
        return route

    def _may_retry(self, route: ServiceRoute, call: Call, exc: RequestError) -> bool:
        if not call.body.replayable or exc.code is Code.DEADLINE_EXCEEDED or cancelled():
            return False
        if exc.verdict is Verdict.NOT_RUN:
            return True
        repeatable = call.method in route.row(self._cfg.region).repeatable
        return repeatable and exc.code is not Code.BAD_REQUEST and self._budget.take()

    def _ordered_zones(self, route: ServiceRoute, call: Call) -> list[str]:
        now = wall()
        options = [
            option
            for zone, region in self._snapshots.places.zones.items()
            if (option := self._zone_option(route, call, zone, region, now)) is not None
        ]
        return [option.zone for option in order_zones(options, call.remaining_s(), self._rng)]

    def _zone_option(
        self, route: ServiceRoute, call: Call, zone: str, region: str, now: float
    ) -> ZoneOption | None:
        slots = route.zone_slots.get(zone, 0)
        if not slots or not self._reachable(zone):
            return None
        zones = self._snapshots.places.zones_of(region)
        region_slots = sum(route.zone_slots.get(z, 0) for z in zones if self._reachable(z))
        row = route.row(region)
        weight = row.weight.weight_at(now) * slots / region_slots
        if region == self._cfg.region:
            weight *= row.local_bias
        free, known = self._free_slots(route.service, call, zone, region, now)
        return ZoneOption(zone, weight, free if known else 1, True, 0.0)

    def _reachable(self, zone: str) -> bool:
        """Return whether a zone is this VM's own or has live VMs.

        Other zones of the region serve the instances of a zone without live VMs.
        """
        return zone == self._cfg.zone or bool(self._snapshots.members.live(zone))

    def _free_slots(
        self, service: str, call: Call, zone: str, region: str, now: float
    ) -> tuple[int, bool]:
        """Return the free slots of a zone for a call, and whether its load is known (not stale)."""
        if zone == self._cfg.zone:
            loads = live_loads(self._snapshots, zone)
            headroom = sum_headroom(loads).get(service, Headroom())
        else:
            load = self._snapshots.zones.get(zone)
            if load is None or now - load.at > MAX_LOAD_AGE_S:
                return 0, False
            headroom = load.headroom.get(service, Headroom())
        if region != self._cfg.region:
            return headroom.free_lent, True
        return (headroom.free_high if call.priority == 0 else headroom.free), True

    def _send_to_zone(self, zone: str, call: Call) -> Answer:
        call = replace(call, origin_region=self._cfg.region)
        if zone == self._cfg.zone:
            return self._gateway.serve(call)
        live = self._snapshots.members.live(zone)
        if not live:
            raise RequestError(
                Code.PEER_UNREACHABLE, f"no VM of {zone} is reached", Verdict.NOT_RUN, 503
            )
        self._metrics.event("hop-to-zone")
        return self._handoffs.send(self._rng.choice(live), call, HOP_GATE)
