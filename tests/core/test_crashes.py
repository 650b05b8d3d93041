"""Quarantine of requests that crash instances, from the reports of several VMs."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.core.crashes import (
    ANNOUNCE_DELAY_S,
    CONFIRM_S,
    MAX_ANNOUNCED,
    MAX_QUARANTINES,
    MAX_REPORTS,
    QUARANTINE_S,
    REPORT_RETENTION_S,
    Answered,
    CrashHistory,
    CrashReport,
    Quarantine,
)

NOW = 1_000_000.0


def report(name, n, sent_at, took_s=0.1):
    return CrashReport(name, f"i-{n}", 1, NOW + sent_at, NOW + sent_at + took_s)


def in_a_row(name, count, first=0):
    return [report(name, first + n, first + n) for n in range(count)]


@pytest.fixture
def history():
    return CrashHistory()


def test_request_is_quarantined_after_three_crashes_in_a_row(history):
    history.apply(in_a_row("a", 2), NOW + 2)
    assert not history.quarantined
    history.apply([report("a", 2, 2)], NOW + 3)
    assert history.quarantined == {"a"}
    assert history.quarantined_until("a") == NOW + 3 + QUARANTINE_S
    assert history.quarantined_until("b") is None


def test_request_in_flight_at_instances_that_crash_at_once_is_innocent(history):
    history.apply([report("popular", n, n / 100, 1.0) for n in range(20)], NOW + 2)
    assert not history.quarantined


def test_reports_of_several_vms_on_one_crash_count_once(history):
    crash = CrashReport("a", "i-1", 1, NOW, NOW + 0.1)
    late = CrashReport("a", "i-1", 1, NOW + 0.15, NOW + 0.2)
    other = CrashReport("a", "i-2", 1, NOW + 1, NOW + 1.1)
    history.apply([crash, late, other], NOW + 2)
    assert not history.quarantined
    again = CrashReport("a", "i-1", 1, NOW + 5, NOW + 5.1)
    history.apply([again], NOW + 6)
    assert history.quarantined == {"a"}


def test_crashes_count_against_the_request_with_the_longest_series(history):
    history.apply(in_a_row("deadly", 4), NOW + 5)
    history.apply(in_a_row("victim", 3), NOW + 5)
    assert history.quarantined == {"deadly"}


def test_victim_that_looked_guilty_is_released_when_the_other_reports_arrive(history):
    history.apply(in_a_row("victim", 3), NOW + 3)
    assert history.quarantined == {"victim"}
    history.apply(in_a_row("deadly", 4), NOW + 3.5)
    assert history.quarantined == {"deadly"}
    assert not any(isinstance(f, Quarantine) for f in history.step(NOW + 3.5))


def test_two_requests_that_always_crash_instances_together_are_both_quarantined(history):
    history.apply(in_a_row("a", 3) + in_a_row("b", 3), NOW + 3)
    assert history.quarantined == {"a", "b"}


def test_request_that_is_answered_between_crashes_is_innocent(history):
    for n in range(20):
        history.apply([report("popular", n, n)], NOW + n + 0.2)
        history.record_answer("popular", NOW + n + 0.5, NOW + n + 0.6)
    assert not history.quarantined


def test_response_to_a_send_from_before_the_crash_clears_nobody(history):
    history.apply(in_a_row("deadly", 3), NOW + 3)
    history.record_answer("deadly", NOW - 1, NOW + 3)
    assert history.quarantined == {"deadly"}


def test_report_is_announced_unless_a_retry_is_answered_first(history):
    history.record_crash(report("deadly", 0, 0), NOW + 0.1)
    history.record_crash(report("victim", 0, 0), NOW + 0.1)
    assert history.step(NOW + 0.2) == []
    assert history.record_answer("victim", NOW + 0.15, NOW + 0.3) == []
    assert history.step(NOW + 0.1 + ANNOUNCE_DELAY_S) == [report("deadly", 0, 0)]
    assert history.step(NOW + 1) == []


def test_response_to_an_announced_request_is_announced_once(history):
    history.apply([report("a", 0, 0)], NOW + 1)
    assert history.record_answer("a", NOW + 2, NOW + 3) == [Answered("a", NOW + 2)]
    assert history.record_answer("a", NOW + 4, NOW + 5) == []
    assert history.record_answer("never reported", NOW + 4, NOW + 5) == []


def test_quarantine_is_announced_once_confirmed_and_outlives_the_reports(history):
    history.apply(in_a_row("deadly", 3), NOW + 3)
    assert history.step(NOW + 3.5) == []
    quarantine = Quarantine("deadly", NOW + 3)
    assert history.step(NOW + 3 + CONFIRM_S) == [quarantine]
    history.step(NOW + 4 + REPORT_RETENTION_S)
    assert history.quarantined == {"deadly"}
    restarted = CrashHistory()
    restarted.apply([quarantine], NOW + 10)
    assert restarted.quarantined == {"deadly"}
    history.step(NOW + 3 + QUARANTINE_S)
    assert not history.quarantined


def test_answer_from_after_a_quarantine_ends_it_at_all_vms(history):
    history.apply([Quarantine("a", NOW)], NOW + 1)
    answered = history.record_answer("a", NOW + 2, NOW + 3)
    assert answered == [Answered("a", NOW + 2)] and not history.quarantined
    other = CrashHistory()
    other.apply([Quarantine("a", NOW), *answered], NOW + 4)
    assert not other.quarantined
    assert not other.apply([Quarantine("a", NOW)], NOW + 4)


def test_full_history_forgets_the_requests_reported_longest_ago(history):
    history.apply(in_a_row("deadly", 2), NOW + 2)
    victims = [report(f"v{n}", 100 + n, 2) for n in range(MAX_REPORTS - 2)]
    history.apply([*victims, report("deadly", 2, 2)], NOW + 3)
    assert history.quarantined == {"deadly"}
    history.apply([report(f"w{n}", 9000 + n, 3) for n in range(100)], NOW + 4)
    kept = [history.evidence(f"v{n}")["reports"] for n in range(MAX_REPORTS - 2)]
    assert sum(kept) == MAX_REPORTS - 103 and kept[-1] == 1 and kept[0] == 0
    assert history.evidence("deadly")["reports"] == 3 and history.quarantined == {"deadly"}
    history.step(NOW + 5 + REPORT_RETENTION_S)
    assert not any(history.evidence(f"w{n}")["reports"] for n in range(100))


def test_full_history_still_quarantines_a_request_that_crashes_instances(history):
    history.apply([report(f"v{n}", n, 0) for n in range(MAX_REPORTS + 5)], NOW + 1)
    history.apply([report("deadly", n, 1 + n) for n in range(3)], NOW + 4)
    assert history.quarantined == {"deadly"}


def test_number_of_quarantines_and_answers_kept_is_bounded(history):
    history.apply([Quarantine(f"q{n}", NOW) for n in range(MAX_QUARANTINES + 5)], NOW + 1)
    assert len(history.quarantined) == MAX_QUARANTINES and "q0" not in history.quarantined
    history.apply([Answered(f"a{n}", NOW) for n in range(MAX_REPORTS + 5)], NOW + 1)
    assert history.apply([report("a0", 0, -1)], NOW + 1)
    assert not history.apply([report("a9", 0, -1)], NOW + 1)


def test_vm_announces_a_bounded_number_of_reports_the_longest_series_first(history):
    for n in range(2 * MAX_ANNOUNCED):
        history.record_crash(report(f"v{n}", 100 + n, 2), NOW + 3)
    for crash in in_a_row("deadly", 3):
        history.record_crash(crash, NOW + 3)
    announced = history.step(NOW + 3.5)
    assert len(announced) == MAX_ANNOUNCED and set(in_a_row("deadly", 3)) <= set(announced)
    history.record_crash(report("late", 0, 10), NOW + 11)
    assert not any(isinstance(f, CrashReport) for f in history.step(NOW + 12))
    history.record_crash(report("later", 0, 70), NOW + 71)
    assert history.step(NOW + 72) == [report("later", 0, 70)]


FINDINGS = st.lists(
    st.one_of(
        st.builds(
            report,
            st.sampled_from("ab"),
            st.integers(0, 4),
            st.integers(0, 20),
            st.sampled_from((0.1, 3.0)),
        ),
        st.builds(
            lambda name, at: Answered(name, NOW + at), st.sampled_from("ab"), st.integers(0, 20)
        ),
        st.builds(
            lambda name, at: Quarantine(name, NOW + at), st.sampled_from("ab"), st.integers(0, 20)
        ),
    ),
    max_size=25,
)


@given(FINDINGS, st.randoms(use_true_random=False))
def test_all_vms_agree_whatever_the_order_of_the_findings(findings, rng):
    one, other = CrashHistory(), CrashHistory()
    shuffled = rng.sample(findings, len(findings))
    for finding in findings:
        one.apply([finding], NOW + 30)
    other.apply(shuffled, NOW + 30)
    assert one.quarantined == other.quarantined


@given(st.integers(0, 1000))
def test_random_crashes_quarantine_no_request_that_is_answered_in_between(seed):
    rng, history, announced = random.Random(seed), CrashHistory(), []
    for second in range(60):
        for name in ("popular", "common"):
            if rng.random() < 0.5:
                history.apply([report(name, rng.randrange(16), second)], NOW + second + 0.2)
            history.record_answer(name, NOW + second + 0.3, NOW + second + 0.5)
        announced += history.step(NOW + second + 0.9)
        assert not history.quarantined
    assert not any(isinstance(finding, Quarantine) for finding in announced)
