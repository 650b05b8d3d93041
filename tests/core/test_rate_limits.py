import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.core.decisions import Placed, PlacementRequest, Refused
from gypsumwind.core.dispatch import ColdBound, Dispatcher
from gypsumwind.core.fleet import Fleet
from gypsumwind.core.instances import Outcome
from gypsumwind.core.rate_limits import (
    MAX_AGE_S,
    NO_SHARE,
    UNLIMITED,
    Pacer,
    RateLimit,
    RateLimits,
    SendPace,
    effective_slots,
    send_pace,
)
from gypsumwind.core.upstreams import Upstream

WINDOW_S = 4.0
UP = Upstream("i-1", 1, "s", "127.0.0.1", 1, "z0", 4)
OTHER = Upstream("i-2", 1, "s", "127.0.0.1", 2, "z1", 4)
INF = math.inf


def allowed(per_s):
    return 1.5 * per_s * WINDOW_S + 5


def fleets_of(counts):
    """Return the view of each VM of a fleet with these numbers of VMs in its zones."""
    zones = {f"z{n}": tuple(f"vm-{n}-{i}" for i in range(count)) for n, count in enumerate(counts)}
    return [Fleet(vm, zone, vms, tuple(zones)) for zone, vms in zones.items() for vm in vms]


def paces(per_s, fleets, weights=None, name="i-1"):
    """Return the paces of the VMs that have a share of a limit."""
    weights = weights or dict.fromkeys(fleets[0].zones, 1.0)
    found = [send_pace(name, per_s, fleet, weights) for fleet in fleets]
    return [pace for pace in found if pace not in (UNLIMITED, NO_SHARE)]


def rate_of(found):
    return sum(1 / pace.interval_s for pace in found)


@given(
    st.lists(st.tuples(st.integers(1, 30), st.floats(0.01, 1)), min_size=1, max_size=9),
    st.floats(0, 40) | st.floats(0, 1e308),
)
def test_shares_together_stay_within_a_limit_in_every_window(zones, per_s):
    weights = {f"z{n}": weight for n, (_, weight) in enumerate(zones)}
    found = paces(per_s, fleets_of([count for count, _ in zones]), weights)
    sent = sum(pace.burst + math.floor(WINDOW_S / pace.interval_s) for pace in found)
    assert sent <= allowed(per_s) and rate_of(found) <= max(per_s, 0.1) * (1 + 1e-9)


@pytest.mark.parametrize("counts", [[2] * 6, [2, 2, 2, 1, 1, 1], [13, 15, 14, 16, 16, 13], [40]])
@pytest.mark.parametrize("per_s", [0.5, 2.7, 5.6, 20.0, 100.0])
def test_most_of_a_limit_is_shared_out(counts, per_s):
    assert rate_of(paces(per_s, fleets_of(counts))) >= 0.8 * per_s


def test_zones_have_shares_by_their_weights_and_each_of_them_of_some_instances():
    weights = {"z0": 4.0, "z1": 4.0, "z2": 1.0, "z3": 1.0}
    rates = dict.fromkeys(weights, 0.0)
    for fleet in fleets_of([2] * 4):
        for n in range(100):
            rates[fleet.zone] += rate_of(paces(2.7, [fleet], weights, f"i-{n}"))
    near, far = [rates["z0"], rates["z1"]], [rates["z2"], rates["z3"]]
    assert min(near) > 2 * max(far) and min(far) > 0


def test_missing_vm_in_a_view_adds_at_most_one_sender():
    vms = tuple(f"vm-{n}" for n in range(40))

    def senders(view):
        fleets = [Fleet(vm, "z0", view, ("z0",)) for vm in view]
        return {f.vm for f in fleets if send_pace("i-1", 5.6, f, {"z0": 1.0}) is not NO_SHARE}

    for lost in vms:
        assert len(senders(tuple(vm for vm in vms if vm != lost)) - senders(vms)) <= 1


@given(st.lists(st.tuples(st.floats(0, 9), st.sampled_from([None, 1, 2, 3])), max_size=30))
def test_pacer_allows_no_more_than_its_burst_after_any_pause_or_change(steps):
    pacer, now, sent = Pacer(), 0.0, []
    pacer.set_pace(SendPace(1.0, 3), now, 0.5)
    for seconds, burst in steps:
        now += seconds
        if burst is not None:
            pacer.set_pace(SendPace(1.0, burst), now, 0.5)
        while pacer.next_at <= now:
            pacer.record_send(now)
            sent.append(now)
    for at in sent:
        assert sum(at <= t < at + WINDOW_S for t in sent) <= 3 + WINDOW_S


def test_effective_slots_change_in_steps():
    assert effective_slots(6, INF, 0.25) == effective_slots(6, 100.0, 0.25) == 6
    steps = {effective_slots(6, per_s / 100, 0.25) for per_s in range(300, 600)}
    assert len(steps) <= 4 and max(steps) < 2
    assert effective_slots(6, 0.0, 0.25) == effective_slots(6, 2.0, 0.0) > 0


def dispatcher_of(fleet, upstreams=(UP, OTHER)):
    regions = dict.fromkeys(fleet.zones, "a")
    dispatcher = Dispatcher(regions, fleet, ColdBound(1.5, 5.0), random.Random(fleet.vm))
    dispatcher.set_upstreams(upstreams, 0.0, 1000.0)
    return dispatcher


@pytest.mark.parametrize("seed", range(5))
def test_fleet_under_load_with_frozen_vms_stays_within_a_stated_limit(seed):
    """Each VM sends 8 requests/s and learns the limit from its own responses alone."""
    rng, per_s, step_s, latency_s = random.Random(seed), 2.7, 0.05, 0.2
    vms = [dispatcher_of(fleet) for fleet in fleets_of([2] * 6)]
    arrivals, ended, served = [], [], 0
    for tick in range(1200):
        now = tick * step_s
        while ended and ended[0][0] <= now:
            _, vm, up, sent_at = ended.pop(0)
            vm.finish(up, Outcome.OK, None, latency_s, now)
            vm.record_rate_limit(up, per_s if up is UP else INF, sent_at, now, now)
        for number, vm in enumerate(vms):
            frozen = number < 4 and int(now) % 20 in range(10, 16)
            if frozen or rng.random() > 8 * step_s:
                continue
            placed = vm.place(PlacementRequest(tick, "s", "", 1, now + 0.1), now)
            if isinstance(placed, Placed):
                served += 1
                ended.append((now + latency_s, vm, placed.upstream, now))
                arrivals += [now] * (placed.upstream is UP)
    settled = [t for t in arrivals if t >= 4.0]
    assert max(sum(t <= u < t + WINDOW_S for u in settled) for t in settled) <= allowed(per_s)
    assert len(settled) > 0.5 * per_s * 56 and served > 3000


def test_service_whose_instances_are_all_limited_queues_or_refuses_at_once():
    shares = 0
    for fleet in fleets_of([20]):
        dispatcher = dispatcher_of(fleet, (UP,))
        dispatcher.record_rate_limit(UP, 1.0, 0.0, 0.0, 1000.0)
        requests = [PlacementRequest(n, "s", "", 1, 60.0) for n in range(99)]
        refused = [d for r in requests if isinstance(d := dispatcher.place(r, 0.0), Refused)]
        assert len(refused) > 70 and all(d.retry_after_s > 0 for d in refused)
        shares += len(refused) < 99
    assert 1 <= shares <= 6


def test_response_to_an_earlier_request_does_not_lift_a_limit():
    limits = RateLimits(random.Random(1))
    assert limits.observe(UP, 2.0, 0.0, 1.0, 1001.0).per_s == 2.0
    assert limits.observe(UP, INF, 0.9, 1.2, 1001.2) is None and limits.per_s(UP) == 2.0
    assert limits.observe(UP, INF, 1.1, 1.3, 1001.3).per_s == INF and limits.per_s(UP) == INF


def test_restarted_instance_has_no_limit_and_older_news_do_not_replace_newer():
    limits = RateLimits(random.Random(1))
    restarted = Upstream("i-1", 2, "s", "127.0.0.1", 1, "z0", 4)
    limits.observe(UP, 2.0, 0.0, 1.0, 1001.0)
    assert limits.per_s(restarted) == INF
    assert not limits.apply(RateLimit("i-1", 1, INF, 1000.5), 1.1) and limits.per_s(UP) == 2.0
    assert limits.apply(RateLimit("i-1", 1, INF, 1001.5), 1.6) and limits.per_s(UP) == INF
    assert limits.apply(RateLimit("i-1", 2, 3.0, 1001.2), 1.7) and limits.per_s(restarted) == 3.0


def test_changing_limit_is_announced_at_most_once_a_second():
    limits = RateLimits(random.Random(1))
    announced = [limits.observe(UP, 2.0 + n / 100, 0.0, n / 10, n / 10) for n in range(31)]
    assert sum(limit is not None for limit in announced) == 4 and limits.per_s(UP) == 2.3


def test_limit_that_nothing_confirms_is_forgotten():
    limits = RateLimits(random.Random(1))
    limits.apply(RateLimit("i-1", 1, 2.0, 1000.0), 0.0)
    assert limits.expire(MAX_AGE_S - 1) == [] and limits.expire(2 * MAX_AGE_S) == ["i-1"]
    assert limits.per_s(UP) == INF
