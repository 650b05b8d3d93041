"""Detection of a partition between this VM and all instances."""

import pytest

from gypsumwind.core.isolation import (
    CONFIRM_S,
    MIN_REFUSALS,
    MIN_SENDS,
    MIN_UNANSWERED,
    RECHECK_S,
    STALL_S,
    TRIAL_INTERVAL_S,
    IsolationDetector,
)

INSTANCES = 10


@pytest.fixture
def detector():
    return IsolationDetector()


def send(detector, ticket, now, instance=None):
    detector.record_send(ticket, instance or f"i-{ticket % 3}", now)


def steps(detector, instances, now):
    """Step twice, so far apart that a lack of responses is confirmed; return the last result."""
    detector.step(instances, now)
    return detector.step(instances, now + CONFIRM_S)


def fail(detector, count, now, instance=None):
    for ticket in range(count):
        send(detector, ticket, now, instance)
        detector.record_end(ticket, False, now + 0.01)


def test_vm_whose_sends_all_fail_is_isolated_until_an_instance_responds(detector):
    fail(detector, MIN_SENDS, 1.0)
    assert steps(detector, INSTANCES, 1.1) and detector.isolated
    assert not detector.step(INSTANCES, 1.2 + CONFIRM_S)
    assert not detector.admits(1.2 + CONFIRM_S)
    trial_at = 1.2 + CONFIRM_S + TRIAL_INTERVAL_S
    assert detector.admits(trial_at) and not detector.admits(trial_at)
    send(detector, 99, trial_at)
    detector.record_end(99, True, trial_at + 0.2)
    assert not detector.isolated and detector.admits(trial_at + 0.2)


def test_vm_whose_sends_all_hang_is_isolated(detector):
    for ticket in range(MIN_SENDS):
        send(detector, ticket, 1.0)
    assert not steps(detector, INSTANCES, 0.9 + STALL_S - CONFIRM_S)
    assert steps(detector, INSTANCES, 1.0 + STALL_S)


def test_responses_that_arrived_during_a_pause_of_the_process_are_read_first(detector):
    for ticket in range(2 * MIN_SENDS):
        send(detector, ticket, 1.0)
    assert not detector.step(INSTANCES, 9.0)
    detector.record_end(0, True, 9.05)
    assert not steps(detector, INSTANCES, 9.1)


def test_sends_from_before_the_last_response_are_no_evidence(detector):
    for ticket in range(MIN_SENDS):
        send(detector, ticket, 1.0)
    send(detector, 99, 1.0)
    detector.record_end(99, True, 1.5)
    for ticket in range(MIN_SENDS):
        detector.record_end(ticket, False, 9.0)
    assert not steps(detector, INSTANCES, 9.0)


def test_one_failing_instance_does_not_isolate_a_vm_unless_it_is_the_only_one(detector):
    fail(detector, 2 * MIN_SENDS, 1.0, "i-1")
    assert not steps(detector, INSTANCES, 2.0)
    assert steps(detector, 1, 3.0)


def test_sends_whose_end_is_open_are_no_evidence(detector):
    for ticket in range(MIN_SENDS):
        send(detector, ticket, 1.0)
        detector.record_end(ticket, None, 1.1)
    assert not steps(detector, INSTANCES, 9.0)
    assert not steps(detector, 0, 10.0)


def refuse(detector, count, now, instance=None):
    """Record sends that fail on new connections, while others are answered on open ones."""
    for ticket in range(count):
        send(detector, ticket, now, instance)
        detector.record_end(ticket, False, now + 0.01, False)
        send(detector, 50, now)
        detector.record_end(50, True, now + 0.01)


def test_responses_on_open_connections_do_not_hide_that_new_ones_are_refused(detector):
    refuse(detector, MIN_REFUSALS, 1.0)
    assert detector.suspects(INSTANCES, 1.1) and not detector.isolated
    detector.record_check(False, False, INSTANCES, 1.2)
    assert detector.isolated and detector.unconnected and not detector.silenced
    send(detector, 51, 1.3)
    detector.record_end(51, True, 1.4)
    assert detector.unconnected and detector.admits(1.4)
    assert not detector.suspects(INSTANCES, 1.5)
    send(detector, 52, 1.5)
    detector.record_end(52, True, 1.6, True)
    assert not detector.isolated


def test_check_that_reaches_an_instance_ends_the_suspicion(detector):
    refuse(detector, MIN_REFUSALS, 1.0)
    detector.record_check(True, True, INSTANCES, 1.2)
    assert not detector.suspects(INSTANCES, 1.2) and not detector.isolated
    refuse(detector, MIN_REFUSALS, 1.3)
    assert not detector.suspects(INSTANCES, 1.4)
    assert detector.suspects(INSTANCES, 1.2 + RECHECK_S)


def test_connection_that_is_accepted_ends_the_suspicion(detector):
    refuse(detector, MIN_REFUSALS - 1, 1.0)
    send(detector, 60, 1.1)
    refuse(detector, 1, 1.1)
    detector.record_end(60, True, 1.2, True)
    refuse(detector, MIN_REFUSALS - 1, 1.3)
    assert not detector.suspects(INSTANCES, 1.4)
    detector.record_check(False, False, INSTANCES, 1.4)
    assert not detector.isolated


def test_refusals_from_before_the_last_accepted_connection_are_no_evidence(detector):
    for ticket in range(MIN_REFUSALS):
        send(detector, ticket, 1.0)
    send(detector, 60, 1.1)
    detector.record_end(60, True, 1.2, True)
    for ticket in range(MIN_REFUSALS):
        detector.record_end(ticket, False, 1.3, False)
    assert not detector.suspects(INSTANCES, 1.4)


def test_refusals_of_one_instance_are_no_suspicion_unless_it_is_the_only_one(detector):
    refuse(detector, 2 * MIN_REFUSALS, 1.0, "i-1")
    assert not detector.suspects(INSTANCES, 1.1)
    assert detector.suspects(1, 1.1) and not detector.suspects(0, 1.1)


def hang(detector, now, count=MIN_UNANSWERED):
    """Begin sends that get no response; return when that counts."""
    for ticket in range(count):
        send(detector, ticket, now)
    return now + STALL_S


def test_vm_with_few_requests_is_isolated_after_a_check_that_no_instance_answers(detector):
    """Its callers wait long for each answer, so that there are no more sends."""
    now = hang(detector, 1.0)
    assert not detector.suspects(INSTANCES, now - 0.1)
    assert detector.suspects(INSTANCES, now) and not steps(detector, INSTANCES, now)
    detector.record_check(True, False, INSTANCES, now + 0.5)
    assert detector.isolated and not detector.unconnected and not detector.admits(now + 0.5)
    detector.record_end(0, True, now + 0.6)
    assert not detector.isolated


def test_vm_whose_instances_are_slow_is_not_isolated_as_others_answer_the_check(detector):
    now = hang(detector, 1.0)
    detector.record_check(True, True, INSTANCES, now + 0.1)
    assert not detector.isolated and not detector.suspects(INSTANCES, now + 9.0)
    assert detector.suspects(INSTANCES, hang(detector, now + 9.0))


def test_response_during_a_check_refutes_it(detector):
    """As after a pause of the process, whose waiting responses are read before the check ends."""
    now = hang(detector, 1.0, MIN_UNANSWERED + 1)
    assert detector.suspects(INSTANCES, now)
    detector.record_end(0, True, now + 0.1)
    detector.record_check(False, False, INSTANCES, now + 0.5)
    assert not detector.isolated


def test_unanswered_sends_to_one_instance_are_no_suspicion_unless_it_is_the_only_one(detector):
    for ticket in range(9):
        send(detector, ticket, 1.0, "i-1")
    assert not detector.suspects(INSTANCES, 1.0 + STALL_S)
    assert detector.suspects(1, 1.0 + STALL_S)


def test_check_of_connections_does_not_admit_requests_to_a_silenced_vm(detector):
    """The VM was silenced by other sends while the check was under way."""
    for ticket in range(MIN_SENDS):
        send(detector, ticket, 1.0)
        detector.record_end(ticket, False, 1.1, False)
    assert steps(detector, INSTANCES, 1.2)
    detector.record_check(False, False, INSTANCES, 1.6)
    assert detector.unconnected and detector.silenced


def test_refused_connections_do_not_silence_a_vm_that_may_serve_on_open_ones(detector):
    for ticket in range(MIN_REFUSALS):
        send(detector, ticket, 1.0)
        detector.record_end(ticket, False, 1.1, False)
    detector.record_check(False, False, INSTANCES, 1.2)
    assert detector.unconnected and not detector.silenced and detector.admits(1.2)
