"""Decisions under load, played against a small model of instances."""

import random

import pytest

from gypsumwind.core.dispatch import FULL_SHARE, MAX_PAUSE_S, ColdBound, Dispatcher
from gypsumwind.core.fleet import Fleet
from gypsumwind.core.instances import EJECT_S, Outcome, ReportedLoad
from gypsumwind.core.placing import Placed, Refused, Wanted
from gypsumwind.core.rules import ServicePolicy
from gypsumwind.core.upstreams import Upstream
from gypsumwind.core.warmup import SPACING_S

ZONES = {"a1": "a", "a2": "a", "b1": "b"}
VMS = ("vm-1", "vm-2")


def upstream(name, zone="a1", slots=4, **values):
    return Upstream(name, 1, "s", "127.0.0.1", 1, zone, slots, **values)


def dispatcher(ups, vm="vm-1", vms=VMS):
    made = Dispatcher(ZONES, Fleet(vm, "a1", vms, ("a1",)), ColdBound(1.5, 5.0), random.Random(1))
    made.policies = {"s": ServicePolicy("s", "/health", 100, 3.0, 5.2)}
    made.set_upstreams(ups, 0.0, 1000.0)
    return made


def wanted(ticket, key="k", deadline=10.0, priority=1, **values):
    return Wanted(ticket, "s", key, priority, deadline, **values)


def place_many(made, count, now=0.0, **values):
    return [made.place(wanted(n, **values), now) for n in range(count)]


def test_key_goes_to_its_home_from_every_vm():
    ups = [upstream(f"i{n}") for n in range(8)]
    for key in ("k1", "k2", "k3", "k4"):
        found = {dispatcher(ups, vm).place(wanted(1, key), 0.0).upstream.id for vm in VMS}
        assert len(found) == 1


def test_callers_of_a_region_share_homes_and_bulky_requests_stay_in_their_zone():
    ups = [upstream(f"{zone}-{n}", zone) for zone in ("a1", "a2") for n in range(4)]
    found = {}
    for zone in ("a1", "a2"):
        fleet = Fleet("vm-1", zone, VMS, tuple(ZONES))
        made = Dispatcher(ZONES, fleet, ColdBound(1.5, 5.0), random.Random(1))
        made.set_upstreams(ups, 0.0, 1000.0)
        for bulky in (False, True):
            placed = [made.place(wanted(n, f"k{n}", bulky=bulky), 0.0) for n in range(8)]
            found[zone, bulky] = [p.upstream.id for p in placed]
    assert found["a1", False] == found["a2", False]
    assert {name[:2] for name in found["a1", True]} == {"a1"}
    assert {name[:2] for name in found["a2", True]} == {"a2"}


def test_full_homes_make_a_request_wait_rather_than_run_cold_on_a_busy_instance():
    made = dispatcher([upstream(f"i{n}") for n in range(3)])
    placed = place_many(made, 2 * int(4 * FULL_SHARE) + 2)
    homes = [p.upstream.id for p in placed if isinstance(p, Placed)]
    assert len(set(homes)) <= 3
    assert max(homes.count(name) for name in set(homes)) <= 4 * FULL_SHARE


def test_idle_instance_takes_what_its_homes_cannot():
    made = dispatcher([upstream(f"i{n}") for n in range(6)])
    placed = [p for p in place_many(made, 17) if isinstance(p, Placed)]
    assert len({p.upstream.id for p in placed}) > 2


def test_next_in_order_stands_in_for_a_home_that_is_closed_now():
    ups = [upstream(f"i{n}") for n in range(6)]
    made = dispatcher(ups)
    home = made.place(wanted(1), 0.0).upstream
    made.finish(home, Outcome.UNREACHABLE, None, 0.0, 0.0)
    second = made.place(wanted(2), 0.1).upstream
    for n, up in enumerate(ups):
        if up.id not in (home.id, second.id):
            made.finish(up, Outcome.OK, ReportedLoad(3, 0, 4), 0.1, 0.1 + n / 1000)
    found = {made.place(wanted(n), 0.2).upstream.id for n in range(3, 9)}
    assert home.id not in found and second.id in found and len(found) == 2


def test_requests_that_can_still_be_in_time_go_before_those_that_are_late():
    made = dispatcher([upstream("i1", slots=1)], vms=("vm-1",))
    place_many(made, 2)
    late = wanted(10, deadline=8.0, objective=0.1)
    fresh = wanted(11, deadline=9.0, objective=5.0)
    assert made.place(late, 0.0) is None and made.place(fresh, 0.0) is None
    made.finish(upstream("i1", slots=1), Outcome.OK, None, 0.2, 1.0)
    assert [t for t, d in made.drain(1.0) if isinstance(d, Placed)] == [11]


def test_draining_evacuated_excluded_and_foreign_instances_get_nothing():
    made = dispatcher(
        [
            upstream("drains", draining=True),
            upstream("closed", zone="a2"),
            upstream("tried"),
            upstream("abroad", zone="b1"),
            upstream("good"),
        ]
    )
    made.set_closed_zones(frozenset({"a2"}), 0.0)
    want = {"regions": frozenset({"a"}), "exclude": frozenset({"tried"})}
    found = [made.place(wanted(n, f"k{n}", **want), 0.0) for n in range(6)]
    assert {p.upstream.id for p in found if isinstance(p, Placed)} == {"good"}


def test_answer_that_says_close_stops_new_work_before_the_list_does():
    made = dispatcher([upstream("i1"), upstream("i2")])
    made.hear_close(upstream("i1"), 0.0)
    found = [made.place(wanted(n, f"k{n}"), 0.0) for n in range(4)]
    assert {p.upstream.id for p in found} == {"i2"}


def test_nothing_to_send_to_is_refused_at_once_with_a_time_to_come_back():
    decision = dispatcher([]).place(wanted(1), 0.0)
    assert isinstance(decision, Refused) and decision.retry_after_s > 0


def test_request_that_cannot_be_served_in_time_is_refused_at_once():
    made = dispatcher([upstream("i1")])
    decisions = place_many(made, 60, deadline=2.0)
    refused = [d for d in decisions if isinstance(d, Refused)]
    assert refused and all(d.waited_s == 0 for d in refused)


def test_waiting_requests_are_placed_by_priority_and_refused_before_their_deadline():
    made = dispatcher([upstream("i1", slots=1)], vms=("vm-1",))
    up = place_many(made, 2)[0].upstream
    assert made.place(wanted(10, priority=2, deadline=8.0), 0.0) is None
    assert made.place(wanted(11, priority=1, deadline=8.0), 0.0) is None
    made.finish(up, Outcome.OK, None, 0.2, 0.3)
    assert [t for t, d in made.drain(0.3) if isinstance(d, Placed)] == [11]
    late = made.drain(7.9)
    assert [t for t, d in late if isinstance(d, Refused)] == [10]
    assert made.waiting() == 0


def test_higher_priority_passes_a_queue_of_lower():
    made = dispatcher([upstream("i1", slots=1)], vms=("vm-1",))
    up = place_many(made, 2)[0].upstream
    assert made.place(wanted(10, priority=2), 0.0) is None
    made.finish(up, Outcome.OK, None, 0.2, 0.3)
    assert isinstance(made.place(wanted(12, priority=1), 0.3), Placed)


def test_load_that_others_cause_is_seen_and_fades():
    made = dispatcher([upstream("i1"), upstream("i2")])
    up = made.place(wanted(1), 0.0).upstream
    made.finish(up, Outcome.OK, ReportedLoad(8, 3, 4), 0.1, 1.0)
    lane = made.lanes[up.id]
    assert lane.load(1.0) > 9
    assert lane.load(4.0) < 3


def test_unreachable_instance_is_left_out_then_tried_again_as_a_cold_one():
    made = dispatcher([upstream("i1"), upstream("i2")])
    up = made.place(wanted(1), 0.0).upstream
    made.finish(up, Outcome.UNREACHABLE, None, 0.0, 0.0)
    now = EJECT_S / 2
    assert {made.place(wanted(n), now).upstream.id for n in (2, 3)} != {up.id}
    assert made.lanes[up.id].cold_until == 3.0


@pytest.mark.parametrize("vms", [2, 12, 60])
def test_cold_instance_gets_no_more_than_the_bound_from_the_whole_fleet(vms):
    names = tuple(f"vm-{n}" for n in range(vms))
    cold = upstream("i1", cold_until=1003.0)
    fleet = [dispatcher([cold], vm, names) for vm in names]
    sends = []
    for step in range(29):
        now = step * 0.1
        for made in fleet:
            if isinstance(made.place(wanted(step, deadline=60.0), now), Placed):
                sends.append(now)
                made.finish(cold, Outcome.OK, None, 0.05, now)
            made.cancel(step)
    assert sends
    for start in sends:
        assert sum(start <= t < start + 1.0 for t in sends) <= 5.2 * 1.5 + 5
    assert SPACING_S > 1.0


def test_restarted_instance_under_the_same_id_starts_with_no_load():
    made = dispatcher([upstream("i1"), upstream("i2")])
    up = made.place(wanted(1), 0.0).upstream
    again = Upstream(up.id, 2, "s", "127.0.0.1", 1, "a1", 4)
    made.set_upstreams([again], 1.0, 1001.0)
    assert made.lanes[up.id].own == 0
    made.finish(up, Outcome.CUT, None, 0.0, 1.0)
    assert made.lanes[up.id].failures == 0.0


def test_zone_that_is_taken_back_counts_as_cold():
    made = dispatcher([upstream("i1", zone="a2"), upstream("i2")])
    made.set_closed_zones(frozenset({"a2"}), 0.0)
    made.set_closed_zones(frozenset(), 5.0)
    assert made.lanes["i1"].cold_until == 8.0
    assert made.lanes["i2"].cold_until < 0


def served_at(made, now, count=6):
    """Return the instances at which requests of several keys are placed."""
    return {made.place(wanted(n, f"k{n}", deadline=60.0), now).upstream.id for n in range(count)}


def test_instance_that_closed_a_connection_but_is_still_listed_as_ready_is_used_again():
    """Some answers close their connection although the instance stays."""
    made = dispatcher([upstream("i1"), upstream("i2")])
    made.hear_close(upstream("i1"), 0.0)
    assert served_at(made, 30.0) == {"i1", "i2"}


def test_answer_that_closes_its_connection_takes_no_instance_that_is_the_only_one():
    made = dispatcher([upstream("i1")])
    made.hear_close(upstream("i1"), 0.0)
    assert served_at(made, 0.1, 3) == {"i1"}


def test_address_of_another_instance_is_used_again_once_its_entry_changes():
    made = dispatcher([upstream("i1"), upstream("i2")])
    made.finish(upstream("i1"), Outcome.MISDIRECTED, None, 0.01, 0.1)
    assert served_at(made, 0.2, 2) == {"i2"}
    moved = Upstream("i1", 1, "s", "127.0.0.9", 1, "a1", 4)
    made.set_upstreams([moved, upstream("i2")], 1.0, 1001.0)
    assert served_at(made, 1.1) == {"i1", "i2"}


def test_instance_whose_address_another_has_is_left_out_until_its_entry_changes():
    made = dispatcher([upstream("i1"), upstream("i2")])
    gone = made.place(wanted(1), 0.0).upstream
    made.finish(gone, Outcome.MISDIRECTED, None, 0.01, 0.1)
    found = {made.place(wanted(n), 0.2).upstream.id for n in range(2, 5)}
    assert gone.id not in found


def test_instance_that_says_that_it_leaves_gets_nothing_until_it_has_started_anew():
    """Its entry may say ready all the while, vanish and come back."""
    made = dispatcher([upstream("i1", slots=99), upstream("i2", slots=99)])
    assert made.hear_departure("i1", 1) and not made.hear_departure("i1", 1)
    assert served_at(made, 0.1) == {"i2"}
    made.set_upstreams([upstream("i2", slots=99)], 1.0, 1001.0)
    made.set_upstreams([upstream("i1", slots=99), upstream("i2", slots=99)], 200.0, 1200.0)
    assert served_at(made, 200.1) == {"i2"}
    again = Upstream("i1", 2, "s", "127.0.0.1", 1, "a1", 99)
    made.set_upstreams([again, upstream("i2", slots=99)], 300.0, 1300.0)
    assert served_at(made, 300.1) == {"i1", "i2"}


def test_request_that_waits_does_not_go_to_an_instance_that_says_meanwhile_that_it_leaves():
    made = dispatcher([upstream("i1", slots=1)])
    up = made.place(wanted(1), 0.0).upstream
    assert isinstance(made.place(wanted(2), 0.0), Placed)
    assert made.place(wanted(3), 0.0) is None
    made.hear_departure("i1", 1)
    made.finish(up, Outcome.OK, ReportedLoad(0, 0, 1), 0.1, 0.1)
    assert not [d for _, d in made.drain(0.1) if isinstance(d, Placed)]


def test_instance_gets_nothing_during_its_pause():
    made = dispatcher([upstream("i1", slots=99), upstream("i2", slots=99)])
    made.hear_pause(upstream("i1"), 2.0, 0.0)
    assert served_at(made, 1.9) == {"i2"}
    assert served_at(made, 2.0) == {"i1", "i2"}


def test_pause_is_not_cut_short_by_another_answer_and_does_not_outlast_its_bound():
    made = dispatcher([upstream("i1", slots=99), upstream("i2", slots=99)])
    made.hear_pause(upstream("i1"), 2.0, 0.0)
    made.hear_pause(upstream("i1"), 0.5, 0.0)
    assert served_at(made, 1.0) == {"i2"}
    made.hear_pause(upstream("i1"), 1e9, 2.0)
    assert served_at(made, 2.0 + MAX_PAUSE_S) == {"i1", "i2"}


def test_callers_of_a_service_whose_instances_pause_are_told_when_it_ends():
    made = dispatcher([upstream("i1", slots=99), upstream("i2", slots=99)])
    made.hear_pause(upstream("i1"), 4.0, 0.0)
    made.hear_pause(upstream("i2"), 3.0, 0.0)
    refused = made.place(wanted(1, deadline=3.2), 0.0)
    assert isinstance(refused, Refused) and 1.5 <= refused.retry_after_s <= 4.5
    assert 1.5 <= made.room_in_s("s", 0.0) <= 4.5
    assert made.place(wanted(2, deadline=5.0), 0.0) is None
    assert [type(d) for _, d in made.drain(2.9)] == []
    assert [d.upstream.id for _, d in made.drain(3.0)] == ["i2"]


def test_refusal_behind_a_queue_tells_the_time_of_the_queue_and_not_that_of_the_instances():
    made = dispatcher([upstream("i1", slots=1)])
    waiting = [made.place(wanted(n, deadline=1000.0), 0.0) for n in range(40)]
    assert waiting.count(None) == 38
    refused = made.place(wanted(99, deadline=0.3), 0.0)
    assert (refused.reason, refused.retry_after_s > 1.0) == ("queue-too-long", True)


def play_slow(slow, timeout_s=1.2, rounds=600):
    """Play requests on eight instances, some of which answer nothing in time; count those late."""
    made = dispatcher([upstream(f"i{n}") for n in range(8)])
    late = sent = 0
    running = []
    for n in range(rounds):
        now = n * 0.02
        for ends, placed, outcome, seconds in [r for r in running if r[0] <= now]:
            made.finish(placed.upstream, outcome, None, seconds, ends)
        running = [r for r in running if r[0] > now]
        placed = made.place(wanted(n, f"k{n % 40}", deadline=now + timeout_s), now)
        if isinstance(placed, Placed):
            is_late = placed.upstream.id in slow
            seconds = timeout_s if is_late else 0.2
            outcome = Outcome.LATE if is_late else Outcome.OK
            running.append((now + seconds, placed, outcome, seconds))
            late, sent = late + is_late, sent + 1
        else:
            made.cancel(n)
    return late, sent


def test_instance_that_answers_nothing_in_time_is_left_out_though_it_fails_no_request():
    """A slow instance keeps its slots busy: its callers time out, and must not be sent again."""
    late, sent = play_slow({"i1"})
    assert sent > 550 and late < sent / 8 / 2


def test_instances_that_are_slow_alike_are_all_used():
    made = dispatcher([upstream(f"i{n}", slots=99) for n in range(4)])
    for n in range(200):
        now = n * 0.02
        placed = made.place(wanted(n, f"k{n % 40}", deadline=now + 9), now)
        made.finish(placed.upstream, Outcome.LATE, None, 1.2, now + 0.01)
    assert not [lane for lane in made.lanes.values() if lane.ejected_until > 4.0]


def test_send_that_had_little_time_tells_nothing_of_its_instance():
    made = dispatcher([upstream("i1"), upstream("i2")])
    for _ in range(20):
        made.finish(upstream("i1"), Outcome.LATE, None, 0.1, 0.0)
    assert made.lanes["i1"].failures == 0.0


def play_sheds(shedding, rounds=400):
    """Play requests on eight instances, some of which shed half of what comes; count the sends.

    Returns the sends at an instance that was no home of the request, and the sheds, in parts.
    """
    made = dispatcher([upstream(f"i{n}") for n in range(8)])
    rng = random.Random(3)
    away = sheds = 0
    for n in range(rounds):
        now = n * 0.05
        placed = made.place(wanted(n, f"k{n % 40}", deadline=now + 5), now)
        home = made._order(wanted(n, f"k{n % 40}"))[0]
        away += placed.upstream.id != home
        shed = placed.upstream.id in shedding and rng.random() < 0.55
        sheds += shed
        outcome = Outcome.SHED if shed else Outcome.OK
        made.finish(placed.upstream, outcome, ReportedLoad(0, 0, 4), 0.2, now + 0.04)
    return away / rounds, sheds / rounds


def test_objects_stay_at_their_homes_while_all_instances_shed_alike():
    away, _ = play_sheds({f"i{n}" for n in range(8)})
    assert away < 0.1


def test_instance_that_sheds_more_than_its_peers_is_left_out():
    _, sheds = play_sheds({"i1"})
    assert sheds < 0.55 / 8 * 0.7
