"""Distribution tree of a zone: few followers per VM, at most two levels, few changes."""

import pytest

from gypsumwind.core.delegates import FANOUT, RelayTree, delegates

SIZES = [1, 2, 3, 9, 18, 19, 30, 50, 100, 190]


def zone(size):
    return [f"vm-{n}" for n in range(size)]


def first_choices(vms):
    return {vm: next(iter(RelayTree("a1", vms).sources(vm)), None) for vm in vms}


def followers(vms):
    sources = list(first_choices(vms).values())
    return {vm: sources.count(vm) for vm in vms}


@pytest.mark.parametrize("size", SIZES)
def test_no_vm_has_many_followers(size):
    """Twice the target allows for the uneven distribution by hashing."""
    assert max(followers(zone(size)).values()) <= 2 * FANOUT


@pytest.mark.parametrize("size", SIZES)
def test_every_vm_is_at_most_two_levels_below_the_first_delegate(size):
    vms = zone(size)
    first, choices = delegates("a1", vms)[0], first_choices(vms)
    for vm in vms if size > 2 else []:
        steps = 0
        while vm != first:
            vm, steps = choices[vm], steps + 1
        assert steps <= 2


@pytest.mark.parametrize("size", [s for s in SIZES if s <= 18])
def test_small_zone_has_no_relays(size):
    vms = zone(size)
    ranked = delegates("a1", vms)
    assert not RelayTree("a1", vms).relays
    for vm in vms:
        others = ranked[: ranked.index(vm)] if vm in ranked else ranked
        assert RelayTree("a1", vms).sources(vm) == (others if size > 2 else [])


def test_loss_of_a_relay_moves_only_its_followers():
    vms = zone(100)
    lost = RelayTree("a1", vms).relays[1]
    before = first_choices(vms)
    remaining = [vm for vm in vms if vm != lost]
    after = first_choices(remaining)
    new = set(RelayTree("a1", remaining).relays) - set(RelayTree("a1", vms).relays)
    moved = {vm for vm in remaining if after[vm] != before[vm]}
    assert all(before[vm] == lost or after[vm] in new or vm in new for vm in moved)


def test_vm_that_leaves_still_follows_others_but_has_no_followers():
    vms = zone(30)
    first = delegates("a1", vms)[0]
    remaining = [vm for vm in vms if vm != first]
    assert (
        RelayTree("a1", remaining).sources(first) and first not in first_choices(remaining).values()
    )
