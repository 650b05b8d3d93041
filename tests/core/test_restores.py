"""Zones that were closed or reopened around a restore of the store from a backup."""

import pytest

from gypsumwind.core.restores import (
    CLOSURE_GRACE_S,
    RELISTED_GRACE_S,
    ClosedZones,
    ZoneClosures,
)
from gypsumwind.core.versions import Version


@pytest.fixture
def closed():
    zones = ClosedZones()
    zones.apply_list(listed(1, 90, a1=80), 0.0)
    return zones


def listed(era, revision, **zones):
    return ZoneClosures(Version(era, revision), zones)


def test_zone_stays_closed_until_its_closure_is_written_again(closed):
    closed.apply_list(listed(1, 95, a1=80, b1=95), 1.0)
    closed.apply_list(listed(2, 91, a1=80), 2.0)
    assert closed.zones == {"a1", "b1"}
    closed.apply_list(listed(2, 92, a1=80, b1=92), 5.0)
    closed.expire(2.0 + CLOSURE_GRACE_S)
    assert closed.zones == {"a1", "b1"}
    closed.apply_list(listed(2, 93, a1=80), 20.0)
    assert closed.zones == {"a1"}


def test_zone_whose_closure_is_not_written_again_reopens_after_the_grace_period(closed):
    closed.apply_list(listed(2, 70), 2.0)
    assert closed.zones == {"a1"} and not closed.expire(2.0 + CLOSURE_GRACE_S - 0.1)
    assert closed.expire(2.0 + CLOSURE_GRACE_S) and not closed.zones


def test_closure_lifted_before_a_restore_stays_lifted(closed):
    closed.apply_list(listed(1, 95), 1.0)
    closed.apply_list(listed(2, 90, a1=80), 2.0)
    assert not closed.zones


def test_zone_closed_again_after_a_restore_is_closed(closed):
    closed.apply_list(listed(1, 95), 1.0)
    closed.apply_list(listed(2, 90, a1=80), 2.0)
    closed.apply_list(listed(2, 91, a1=91), 3.0)
    assert closed.zones == {"a1"}


def test_two_restores_in_a_row_reopen_no_zone(closed):
    closed.apply_list(listed(2, 70), 2.0)
    closed.apply_list(listed(3, 60), 3.0)
    assert closed.zones == {"a1"}


@pytest.fixture
def reopened(closed):
    """A zone whose closure at revision 80 was lifted before a restore."""
    closed.apply_list(listed(1, 95), 1.0)
    return closed


@pytest.mark.parametrize("revision", [79, 80, 81])
def test_closure_written_after_a_restore_is_in_force_whatever_its_revision(reopened, revision):
    """Guards against a new closure being taken for a lifted one whose revision it has (EVAC)."""
    reopened.apply_list(listed(2, 70), 2.0)
    reopened.apply_list(listed(2, revision, a1=revision), 20.0)
    assert reopened.zones == {"a1"}
    reopened.expire(60.0)
    assert reopened.zones == {"a1"}


def test_closure_lifted_in_the_backup_and_written_again_is_in_force(closed):
    """The zone was closed, reopened and closed again; the last one gets the first revision."""
    closed.apply_list(listed(1, 95), 1.0)
    closed.apply_list(listed(1, 96, a1=96), 2.0)
    closed.apply_list(listed(2, 80, a1=80), 3.0)
    closed.expire(3.0 + CLOSURE_GRACE_S)
    assert closed.zones == {"a1"}


def test_closure_that_a_backup_brings_back_is_in_force_unless_it_is_soon_removed_again(reopened):
    """A VM that was paused cannot tell it from a new closure with an assigned-again revision."""
    reopened.apply_list(listed(2, 90, a1=80), 2.0)
    assert not reopened.zones and reopened.relisted == {"a1"}
    assert not reopened.expire(2.0 + RELISTED_GRACE_S - 0.1)
    assert reopened.expire(2.0 + RELISTED_GRACE_S) and reopened.zones == {"a1"}
    assert not reopened.relisted


def test_closure_that_a_backup_brings_back_stays_lifted_by_other_changes_of_the_list(reopened):
    reopened.apply_list(listed(2, 90, a1=80), 2.0)
    reopened.apply_list(listed(2, 91, a1=80, b1=91), 3.0)
    assert reopened.zones == {"b1"}
    reopened.apply_list(listed(2, 92, b1=91), 4.0)
    reopened.expire(60.0)
    assert reopened.zones == {"b1"}


def test_closure_written_after_its_reopening_was_written_again_is_in_force(reopened):
    reopened.apply_list(listed(2, 90, a1=80), 2.0)
    reopened.apply_list(listed(2, 91), 2.5)
    reopened.apply_list(listed(2, 92, a1=92), 2.6)
    assert reopened.zones == {"a1"}


def test_earlier_closure_that_a_backup_brings_back_stays_lifted(reopened):
    reopened.apply_list(listed(1, 96, a1=96), 1.5)
    reopened.apply_list(listed(1, 97), 1.6)
    reopened.apply_list(listed(2, 90, a1=80), 2.0)
    assert not reopened.zones


def test_closure_that_two_restores_in_a_row_bring_back_stays_lifted(reopened):
    reopened.apply_list(listed(2, 90, a1=80), 2.0)
    reopened.apply_list(listed(3, 85, a1=80), 3.0)
    assert not reopened.zones
    reopened.apply_list(listed(3, 86), 4.0)
    reopened.apply_list(listed(3, 87, a1=87), 5.0)
    assert reopened.zones == {"a1"}


def test_vm_that_missed_a_restore_closes_a_zone_closed_after_it(reopened):
    reopened.apply_list(listed(3, 80, a1=80), 20.0)
    reopened.expire(20.0 + RELISTED_GRACE_S)
    assert reopened.zones == {"a1"}


def test_zone_reopened_in_the_outage_opens_after_the_grace_period(closed):
    closed.apply_list(listed(2, 85), 2.0)
    closed.expire(2.0 + CLOSURE_GRACE_S)
    assert not closed.zones
    closed.apply_list(listed(2, 86, a1=86), 20.0)
    assert closed.zones == {"a1"}
