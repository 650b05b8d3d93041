"""Who follows whom in a zone: few followers a VM, two levels at the most, few moves."""

import pytest

from gypsumwind.core.delegates import FOLLOWERS, Tiers, delegates

SIZES = [1, 2, 3, 9, 18, 19, 30, 50, 100, 190]


def zone(size):
    return [f"vm-{n}" for n in range(size)]


def first_choices(vms):
    return {vm: next(iter(Tiers("a1", vms).sources(vm)), None) for vm in vms}


def followers(vms):
    named = list(first_choices(vms).values())
    return {vm: named.count(vm) for vm in vms}


@pytest.mark.parametrize("size", SIZES)
def test_no_vm_has_many_followers(size):
    """Twice the mean allows for what hashing spreads unevenly."""
    assert max(followers(zone(size)).values()) <= 2 * FOLLOWERS


@pytest.mark.parametrize("size", SIZES)
def test_every_vm_reaches_the_first_delegate_in_two_steps(size):
    vms = zone(size)
    first, choices = delegates("a1", vms)[0], first_choices(vms)
    for vm in vms if size > 2 else []:
        steps = 0
        while vm != first:
            vm, steps = choices[vm], steps + 1
        assert steps <= 2


@pytest.mark.parametrize("size", [s for s in SIZES if s <= 18])
def test_zone_of_few_vms_has_no_relays(size):
    vms = zone(size)
    named = delegates("a1", vms)
    assert not Tiers("a1", vms).relays
    for vm in vms:
        others = named[: named.index(vm)] if vm in named else named
        assert Tiers("a1", vms).sources(vm) == (others if size > 2 else [])


def test_loss_of_a_relay_moves_only_its_followers():
    vms = zone(100)
    gone = Tiers("a1", vms).relays[1]
    before = first_choices(vms)
    left = [vm for vm in vms if vm != gone]
    after = first_choices(left)
    new = set(Tiers("a1", left).relays) - set(Tiers("a1", vms).relays)
    moved = {vm for vm in left if after[vm] != before[vm]}
    assert all(before[vm] == gone or after[vm] in new or vm in new for vm in moved)


def test_vm_that_leaves_follows_others_and_nobody_follows_it():
    vms = zone(30)
    first = delegates("a1", vms)[0]
    left = [vm for vm in vms if vm != first]
    assert Tiers("a1", left).sources(first) and first not in first_choices(left).values()
