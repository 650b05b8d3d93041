"""Detection of a partition between this VM and all instances."""

import pytest

from gypsumwind.core.isolation import (
    CONFIRM_S,
    MIN_SENDS,
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
