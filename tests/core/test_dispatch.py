"""Placement decisions under load, simulated with a small model of instances."""

import math
import random

import pytest

from gypsumwind.core.decisions import Placed, PlacementRequest, Refused
from gypsumwind.core.dispatch import MAX_PAUSE_S, MAX_UTILIZATION, ColdBound, Dispatcher
from gypsumwind.core.fleet import Fleet
from gypsumwind.core.instances import EJECT_S, Outcome, ReportedLoad
from gypsumwind.core.rules import ServicePolicy
from gypsumwind.core.upstreams import Upstream
from gypsumwind.core.warmup import MIN_SEND_INTERVAL_S, warmup_senders

ZONES = {"a1": "a", "a2": "a", "b1": "b"}
VMS = ("vm-1", "vm-2")


def upstream(name, zone="a1", slots=4, **values):
    return Upstream(name, 1, "s", "127.0.0.1", 1, zone, slots, **values)


def make_dispatcher(upstreams, vm="vm-1", vms=VMS, started_at=-math.inf):
    fleet = Fleet(vm, "a1", vms, ("a1",))
    dispatcher = Dispatcher(ZONES, fleet, ColdBound(1.5, 5.0), random.Random(1), started_at)
    dispatcher.policies = {"s": ServicePolicy("s", "/health", 100, 3.0, 5.2)}
    dispatcher.set_upstreams(upstreams, 0.0, 1000.0)
    return dispatcher


def request(ticket, key="k", deadline=10.0, priority=1, **values):
    return PlacementRequest(ticket, "s", key, priority, deadline, **values)


def place_many(dispatcher, count, now=0.0, **values):
    return [dispatcher.place(request(n, **values), now) for n in range(count)]


def test_key_has_the_same_home_on_every_vm():
    upstreams = [upstream(f"i{n}") for n in range(8)]
    for key in ("k1", "k2", "k3", "k4"):
        found = {
            make_dispatcher(upstreams, vm).place(request(1, key), 0.0).upstream.id for vm in VMS
        }
        assert len(found) == 1


def test_callers_of_a_region_share_homes_and_bulky_requests_have_theirs_in_the_zone():
    upstreams = [upstream(f"{zone}-{n}", zone) for zone in ("a1", "a2") for n in range(4)]
    found = {}
    for zone in ("a1", "a2"):
        fleet = Fleet("vm-1", zone, VMS, tuple(ZONES))
        dispatcher = Dispatcher(ZONES, fleet, ColdBound(1.5, 5.0), random.Random(1))
        dispatcher.set_upstreams(upstreams, 0.0, 1000.0)
        for bulky in (False, True):
            placed = [dispatcher.place(request(n, f"k{n}", bulky=bulky), 0.0) for n in range(8)]
            found[zone, bulky] = [p.upstream.id for p in placed]
    assert found["a1", False] == found["a2", False]
    assert {name[:2] for name in found["a1", True]} == {"a1"}
    assert {name[:2] for name in found["a2", True]} == {"a2"}


def test_requests_are_queued_when_their_homes_are_full():
    dispatcher = make_dispatcher([upstream(f"i{n}") for n in range(3)])
    placed = place_many(dispatcher, 2 * int(4 * MAX_UTILIZATION) + 2)
    homes = [p.upstream.id for p in placed if isinstance(p, Placed)]
    assert len(set(homes)) <= 3
    assert max(homes.count(name) for name in set(homes)) <= 4 * MAX_UTILIZATION


def test_hot_key_gets_further_homes_on_idle_instances():
    dispatcher = make_dispatcher([upstream(f"i{n}") for n in range(6)])
    placed = [p for p in place_many(dispatcher, 17) if isinstance(p, Placed)]
    assert len({p.upstream.id for p in placed}) > 2


def test_next_instance_in_the_ranking_replaces_an_ejected_home():
    upstreams = [upstream(f"i{n}") for n in range(6)]
    dispatcher = make_dispatcher(upstreams)
    home = dispatcher.place(request(1), 0.0).upstream
    dispatcher.finish(home, Outcome.UNREACHABLE, None, 0.0, 0.0)
    second = dispatcher.place(request(2), 0.1).upstream
    for n, up in enumerate(upstreams):
        if up.id not in (home.id, second.id):
            dispatcher.finish(up, Outcome.OK, ReportedLoad(3, 0, 4), 0.1, 0.1 + n / 1000)
    found = {dispatcher.place(request(n), 0.2).upstream.id for n in range(3, 9)}
    assert home.id not in found and second.id in found and len(found) == 2


def test_queued_requests_that_can_meet_their_objective_precede_late_ones():
    dispatcher = make_dispatcher([upstream("i1", slots=1)], vms=("vm-1",))
    place_many(dispatcher, 2)
    late = request(10, deadline=8.0, objective=0.1)
    in_time = request(11, deadline=9.0, objective=5.0)
    assert dispatcher.place(late, 0.0) is None and dispatcher.place(in_time, 0.0) is None
    dispatcher.finish(upstream("i1", slots=1), Outcome.OK, None, 0.2, 1.0)
    assert [t for t, d in dispatcher.drain_queue(1.0) if isinstance(d, Placed)] == [11]


def test_draining_closed_excluded_and_cross_region_instances_get_no_requests():
    dispatcher = make_dispatcher(
        [
            upstream("drains", draining=True),
            upstream("closed", zone="a2"),
            upstream("tried"),
            upstream("abroad", zone="b1"),
            upstream("good"),
        ]
    )
    dispatcher.set_closed_zones(frozenset({"a2"}), 0.0)
    want = {"regions": frozenset({"a"}), "exclude": frozenset({"tried"})}
    found = [dispatcher.place(request(n, f"k{n}", **want), 0.0) for n in range(6)]
    assert {p.upstream.id for p in found if isinstance(p, Placed)} == {"good"}


def test_instance_that_closes_a_connection_is_ejected_before_the_list_changes():
    dispatcher = make_dispatcher([upstream("i1"), upstream("i2")])
    dispatcher.record_connection_close(upstream("i1"), 0.0)
    found = [dispatcher.place(request(n, f"k{n}"), 0.0) for n in range(4)]
    assert {p.upstream.id for p in found} == {"i2"}


def test_request_without_any_instance_is_refused_at_once_with_a_retry_after_time():
    decision = make_dispatcher([]).place(request(1), 0.0)
    assert isinstance(decision, Refused) and decision.retry_after_s > 0


def test_request_that_cannot_be_served_in_time_is_refused_at_once():
    dispatcher = make_dispatcher([upstream("i1")])
    decisions = place_many(dispatcher, 60, deadline=2.0)
    refused = [d for d in decisions if isinstance(d, Refused)]
    assert refused and all(d.waited_s == 0 for d in refused)


def test_waiting_requests_are_placed_by_priority_and_refused_before_their_deadline():
    dispatcher = make_dispatcher([upstream("i1", slots=1)], vms=("vm-1",))
    up = place_many(dispatcher, 2)[0].upstream
    assert dispatcher.place(request(10, priority=2, deadline=8.0), 0.0) is None
    assert dispatcher.place(request(11, priority=1, deadline=8.0), 0.0) is None
    dispatcher.finish(up, Outcome.OK, None, 0.2, 0.3)
    assert [t for t, d in dispatcher.drain_queue(0.3) if isinstance(d, Placed)] == [11]
    late = dispatcher.drain_queue(7.9)
    assert [t for t, d in late if isinstance(d, Refused)] == [10]
    assert dispatcher.queue_length() == 0


def test_request_of_higher_priority_overtakes_the_queue():
    dispatcher = make_dispatcher([upstream("i1", slots=1)], vms=("vm-1",))
    up = place_many(dispatcher, 2)[0].upstream
    assert dispatcher.place(request(10, priority=2), 0.0) is None
    dispatcher.finish(up, Outcome.OK, None, 0.2, 0.3)
    assert isinstance(dispatcher.place(request(12, priority=1), 0.3), Placed)


def test_reported_load_of_other_vms_counts_and_decays():
    dispatcher = make_dispatcher([upstream("i1"), upstream("i2")])
    up = dispatcher.place(request(1), 0.0).upstream
    dispatcher.finish(up, Outcome.OK, ReportedLoad(8, 3, 4), 0.1, 1.0)
    instance = dispatcher.instances[up.id]
    assert instance.load(1.0) > 9
    assert instance.load(4.0) < 3


def test_unreachable_instance_is_ejected_and_treated_as_cold_afterwards():
    dispatcher = make_dispatcher([upstream("i1"), upstream("i2")])
    up = dispatcher.place(request(1), 0.0).upstream
    dispatcher.finish(up, Outcome.UNREACHABLE, None, 0.0, 0.0)
    now = EJECT_S / 2
    assert {dispatcher.place(request(n), now).upstream.id for n in (2, 3)} != {up.id}
    assert dispatcher.instances[up.id].cold_until == 3.0


@pytest.mark.parametrize("vms", [2, 12, 60])
def test_whole_fleet_stays_within_the_rate_limit_of_a_cold_instance(vms):
    names = tuple(f"vm-{n}" for n in range(vms))
    cold = upstream("i1", cold_until=1003.0)
    fleet = [make_dispatcher([cold], vm, names) for vm in names]
    sends = []
    for step in range(29):
        now = step * 0.1
        for dispatcher in fleet:
            if isinstance(dispatcher.place(request(step, deadline=60.0), now), Placed):
                sends.append(now)
                dispatcher.finish(cold, Outcome.OK, None, 0.05, now)
            dispatcher.cancel(step)
    assert sends
    for start in sends:
        assert sum(start <= t < start + 1.0 for t in sends) <= 5.2 * 1.5 + 5
    assert MIN_SEND_INTERVAL_S > 1.0


def test_restarted_instance_under_the_same_id_starts_with_no_load():
    dispatcher = make_dispatcher([upstream("i1"), upstream("i2")])
    up = dispatcher.place(request(1), 0.0).upstream
    restarted = Upstream(up.id, 2, "s", "127.0.0.1", 1, "a1", 4)
    dispatcher.set_upstreams([restarted], 1.0, 1001.0)
    assert dispatcher.instances[up.id].own_in_flight == 0
    dispatcher.finish(up, Outcome.CUT, None, 0.0, 1.0)
    assert dispatcher.instances[up.id].failure_rate == 0.0


def test_restarted_vms_do_not_send_to_a_cold_instance_again_within_the_second():
    """Guards against intervals of cold instances that a start forgets (FAILBACK)."""
    cold, names = upstream("i1", cold_until=1003.0), tuple(f"vm-{n}" for n in range(12))
    sent = []
    for started_at in (0.0, 0.3, 0.6):
        for vm in names:
            dispatcher = make_dispatcher([cold], vm, names, started_at)
            placed = dispatcher.place(request(1), started_at + 0.1)
            sent += [started_at + 0.1] * isinstance(placed, Placed)
            assert isinstance(dispatcher.place(request(2), started_at + 2.0), Placed) is (
                vm in warmup_senders("i1", dispatcher.fleet, 5.2 * 1.5 + 5)
            )
    assert len(sent) <= 5.2 * 1.5 + 5


def test_instances_of_a_reopened_zone_are_treated_as_cold():
    dispatcher = make_dispatcher([upstream("i1", zone="a2"), upstream("i2")])
    dispatcher.set_closed_zones(frozenset({"a2"}), 0.0)
    dispatcher.set_closed_zones(frozenset(), 5.0)
    assert dispatcher.instances["i1"].cold_until == 8.0
    assert dispatcher.instances["i2"].cold_until < 0


def used_instances(dispatcher, now, count=6):
    """Return the instances on which requests of several keys are placed."""
    return {
        dispatcher.place(request(n, f"k{n}", deadline=60.0), now).upstream.id for n in range(count)
    }


def test_instance_that_closed_a_connection_but_stays_listed_is_used_again():
    """An instance may close a connection after a response without stopping."""
    dispatcher = make_dispatcher([upstream("i1"), upstream("i2")])
    dispatcher.record_connection_close(upstream("i1"), 0.0)
    assert used_instances(dispatcher, 30.0) == {"i1", "i2"}


def test_only_instance_is_used_although_it_closed_a_connection():
    dispatcher = make_dispatcher([upstream("i1")])
    dispatcher.record_connection_close(upstream("i1"), 0.0)
    assert used_instances(dispatcher, 0.1, 3) == {"i1"}


def test_misdirected_instance_is_used_again_once_the_address_in_its_entry_changes():
    dispatcher = make_dispatcher([upstream("i1"), upstream("i2")])
    dispatcher.finish(upstream("i1"), Outcome.MISDIRECTED, None, 0.01, 0.1)
    assert used_instances(dispatcher, 0.2, 2) == {"i2"}
    moved = Upstream("i1", 1, "s", "127.0.0.9", 1, "a1", 4)
    dispatcher.set_upstreams([moved, upstream("i2")], 1.0, 1001.0)
    assert used_instances(dispatcher, 1.1) == {"i1", "i2"}


def test_misdirected_instance_gets_no_requests_while_its_entry_is_unchanged():
    dispatcher = make_dispatcher([upstream("i1"), upstream("i2")])
    misdirected = dispatcher.place(request(1), 0.0).upstream
    dispatcher.finish(misdirected, Outcome.MISDIRECTED, None, 0.01, 0.1)
    found = {dispatcher.place(request(n), 0.2).upstream.id for n in range(2, 5)}
    assert misdirected.id not in found


def test_instance_that_announced_its_shutdown_gets_no_requests_until_it_has_restarted():
    """Its entry may stay ready meanwhile, or disappear and return."""
    dispatcher = make_dispatcher([upstream("i1", slots=99), upstream("i2", slots=99)])
    assert dispatcher.record_departure("i1", 1) and not dispatcher.record_departure("i1", 1)
    assert used_instances(dispatcher, 0.1) == {"i2"}
    dispatcher.set_upstreams([upstream("i2", slots=99)], 1.0, 1001.0)
    dispatcher.set_upstreams([upstream("i1", slots=99), upstream("i2", slots=99)], 200.0, 1200.0)
    assert used_instances(dispatcher, 200.1) == {"i2"}
    restarted = Upstream("i1", 2, "s", "127.0.0.1", 1, "a1", 99)
    dispatcher.set_upstreams([restarted, upstream("i2", slots=99)], 300.0, 1300.0)
    assert used_instances(dispatcher, 300.1) == {"i1", "i2"}


def test_queued_request_is_not_placed_on_an_instance_that_has_announced_its_shutdown():
    dispatcher = make_dispatcher([upstream("i1", slots=1)])
    up = dispatcher.place(request(1), 0.0).upstream
    assert isinstance(dispatcher.place(request(2), 0.0), Placed)
    assert dispatcher.place(request(3), 0.0) is None
    dispatcher.record_departure("i1", 1)
    dispatcher.finish(up, Outcome.OK, ReportedLoad(0, 0, 1), 0.1, 0.1)
    assert not [d for _, d in dispatcher.drain_queue(0.1) if isinstance(d, Placed)]


def test_instance_gets_no_requests_during_its_pause():
    dispatcher = make_dispatcher([upstream("i1", slots=99), upstream("i2", slots=99)])
    dispatcher.record_pause(upstream("i1"), 2.0, 0.0)
    assert used_instances(dispatcher, 1.9) == {"i2"}
    assert used_instances(dispatcher, 2.0) == {"i1", "i2"}


def test_pause_is_not_shortened_by_a_later_response_and_does_not_exceed_its_limit():
    dispatcher = make_dispatcher([upstream("i1", slots=99), upstream("i2", slots=99)])
    dispatcher.record_pause(upstream("i1"), 2.0, 0.0)
    dispatcher.record_pause(upstream("i1"), 0.5, 0.0)
    assert used_instances(dispatcher, 1.0) == {"i2"}
    dispatcher.record_pause(upstream("i1"), 1e9, 2.0)
    assert used_instances(dispatcher, 2.0 + MAX_PAUSE_S) == {"i1", "i2"}


def test_retry_after_time_of_a_paused_service_is_the_end_of_its_pause():
    dispatcher = make_dispatcher([upstream("i1", slots=99), upstream("i2", slots=99)])
    dispatcher.record_pause(upstream("i1"), 4.0, 0.0)
    dispatcher.record_pause(upstream("i2"), 3.0, 0.0)
    refused = dispatcher.place(request(1, deadline=3.2), 0.0)
    assert isinstance(refused, Refused) and 1.5 <= refused.retry_after_s <= 4.5
    assert 1.5 <= dispatcher.estimate_retry_after_s("s", 0.0) <= 4.5
    assert dispatcher.place(request(2, deadline=5.0), 0.0) is None
    assert [type(d) for _, d in dispatcher.drain_queue(2.9)] == []
    assert [d.upstream.id for _, d in dispatcher.drain_queue(3.0)] == ["i2"]


def test_retry_after_time_behind_a_queue_is_that_of_the_queue():
    dispatcher = make_dispatcher([upstream("i1", slots=1)])
    waiting = [dispatcher.place(request(n, deadline=1000.0), 0.0) for n in range(40)]
    assert waiting.count(None) == 38
    refused = dispatcher.place(request(99, deadline=0.3), 0.0)
    assert (refused.reason, refused.retry_after_s > 1.0) == ("queue-too-long", True)


def simulate_slow_instances(slow, timeout_s=1.2, rounds=600):
    """Simulate eight instances, the `slow` ones of which never respond in time.

    Returns the numbers of late and of all sends.
    """
    dispatcher = make_dispatcher([upstream(f"i{n}") for n in range(8)])
    late = sent = 0
    running = []
    for n in range(rounds):
        now = n * 0.02
        for ends, placed, outcome, seconds in [r for r in running if r[0] <= now]:
            dispatcher.finish(placed.upstream, outcome, None, seconds, ends)
        running = [r for r in running if r[0] > now]
        placed = dispatcher.place(request(n, f"k{n % 40}", deadline=now + timeout_s), now)
        if isinstance(placed, Placed):
            is_late = placed.upstream.id in slow
            seconds = timeout_s if is_late else 0.2
            outcome = Outcome.LATE if is_late else Outcome.OK
            running.append((now + seconds, placed, outcome, seconds))
            late, sent = late + is_late, sent + 1
        else:
            dispatcher.cancel(n)
    return late, sent


def test_instance_that_never_responds_in_time_is_ejected_though_no_request_fails():
    """The requests of a slow instance time out, and retries must not be sent to it again."""
    late, sent = simulate_slow_instances({"i1"})
    assert sent > 550 and late < sent / 8 / 2


def test_no_instance_is_ejected_if_all_are_equally_slow():
    dispatcher = make_dispatcher([upstream(f"i{n}", slots=99) for n in range(4)])
    for n in range(200):
        now = n * 0.02
        placed = dispatcher.place(request(n, f"k{n % 40}", deadline=now + 9), now)
        dispatcher.finish(placed.upstream, Outcome.LATE, None, 1.2, now + 0.01)
    assert not [
        instance for instance in dispatcher.instances.values() if instance.ejected_until > 4.0
    ]


def test_late_send_with_a_short_deadline_does_not_count_as_a_failure():
    dispatcher = make_dispatcher([upstream("i1"), upstream("i2")])
    for _ in range(20):
        dispatcher.finish(upstream("i1"), Outcome.LATE, None, 0.1, 0.0)
    assert dispatcher.instances["i1"].failure_rate == 0.0


def simulate_sheds(shedding, rounds=400):
    """Simulate eight instances, the `shedding` ones of which shed about half of their requests.

    Returns the fractions of requests that were sent to an instance other than the first home, and
    that were shed.
    """
    dispatcher = make_dispatcher([upstream(f"i{n}") for n in range(8)])
    rng = random.Random(3)
    away = sheds = 0
    for n in range(rounds):
        now = n * 0.05
        placed = dispatcher.place(request(n, f"k{n % 40}", deadline=now + 5), now)
        home = dispatcher._ranking(request(n, f"k{n % 40}"))[0]
        away += placed.upstream.id != home
        shed = placed.upstream.id in shedding and rng.random() < 0.55
        sheds += shed
        outcome = Outcome.SHED if shed else Outcome.OK
        dispatcher.finish(placed.upstream, outcome, ReportedLoad(0, 0, 4), 0.2, now + 0.04)
    return away / rounds, sheds / rounds


def test_objects_stay_at_their_homes_while_all_instances_shed_equally():
    away, _ = simulate_sheds({f"i{n}" for n in range(8)})
    assert away < 0.1


def test_instance_that_sheds_more_than_the_others_is_ejected():
    _, sheds = simulate_sheds({"i1"})
    assert sheds < 0.55 / 8 * 0.7
