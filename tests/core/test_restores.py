"""Zones that were closed or reopened around a restore of the store from a backup."""

import pytest

from gypsumwind.core.restores import CLOSURE_GRACE_S, ClosedZones, ZoneClosures
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
