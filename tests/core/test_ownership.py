import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from gypsumwind.core.fence import Fence
from gypsumwind.core.ownership import Claim, ClaimReply, HandoverReply, Hold, Ownership

TAKEN = HandoverReply.TAKEN
VMS = ("a", "b", "c")
NAMES = ("i",)
FENCE_S = 2.0
SILENCE_S = 3.0


def grant_all(owner, name, peers=0, now=0.0):
    claims = owner.start_claims([name], (), now)
    return owner.finish_claims(claims, {name: []}, peers, now)


def test_claim_requires_a_grant_of_every_peer():
    owner = Ownership("a")
    claims = owner.start_claims(["i"], (), 0.0)
    assert owner.finish_claims(claims, {"i": [ClaimReply("i", True, "", 0)]}, 2, 0.0) == []
    assert not owner.may_admit("i")


def test_restarted_vm_reclaims_its_hold_at_a_higher_epoch():
    peer, owner = Ownership("b"), Ownership("a")
    peer.merge_hold(Hold("i", "a", 7))
    for _ in range(2):
        claims = owner.start_claims(["i"], (), 0.0)
        replies = {c.instance: [peer.answer(c, (), 0.0)] for c in claims}
        won = owner.finish_claims(claims, replies, 1, 0.0)
    assert won == [Hold("i", "a", 8)]


def test_holder_refuses_claims_and_replies_with_its_own_hold():
    owner = Ownership("a")
    grant_all(owner, "i")
    assert owner.answer(Claim("i", "b", 9), ("a",), 0.0) == ClaimReply("i", False, "a", 1)


def test_accepting_a_hand_over_is_idempotent():
    old, new = Ownership("a"), Ownership("b")
    grant_all(old, "i")
    hold = old.start_handover("i", "b")
    assert not old.may_admit("i")
    assert [new.accept_handover(hold, leaving) for leaving in (False, True)] == [TAKEN] * 2
    old.finish_handover(hold)
    assert "i" not in old.held and new.may_admit("i")


def test_of_two_holders_the_one_with_the_lower_epoch_yields():
    low, high = Ownership("a"), Ownership("b")
    grant_all(low, "i")
    high.known["i"] = Hold("i", "", 4)
    grant_all(high, "i")
    assert low.merge_hold(Hold("i", "b", 5))
    assert not high.merge_hold(Hold("i", "a", 1))


def test_repeated_hand_over_of_a_hold_that_moved_on_is_superseded():
    """After a refusal the first holder would resume admission beside the current holder."""
    first, second, third = Ownership("a"), Ownership("b"), Ownership("c")
    grant_all(first, "i")
    offered = first.start_handover("i", "b")
    second.accept_handover(offered, False)
    onward = second.start_handover("i", "c")
    third.accept_handover(onward, False)
    second.finish_handover(onward)
    assert second.accept_handover(offered, False) is HandoverReply.SUPERSEDED


class Vm:
    """A modelled VM: its ownership, its fence, and whether its process runs."""

    def __init__(self, name, now, kind):
        self.name = name
        self.kind = kind
        self.restart(now)

    def restart(self, now):
        self.owner = self.kind(self.name)
        self.fence = Fence(FENCE_S, now)
        self.stopped_at = None
        self.claims = []
        self.replies = {}
        self.asked = 0


class OwnershipMachine(RuleBasedStateMachine):
    """Claims, hand-overs, pauses, crashes and restarts in any order, without partitions."""

    kind = Ownership
    fenced = True

    @initialize()
    def start(self):
        self.now = 0.0
        self.vms = {name: Vm(name, 0.0, self.kind) for name in VMS}

    def running(self, name):
        return self.vms[name].stopped_at is None

    def expired_vms(self):
        stopped = ((n, vm.stopped_at) for n, vm in self.vms.items())
        return {n for n, at in stopped if at is not None and self.now - at >= SILENCE_S}

    @rule(step=st.sampled_from([0.5, 1.5, 3.5]))
    def time_passes(self, step):
        """Advance the time; running processes renew their fence meanwhile."""
        self.now += step
        for vm in self.vms.values():
            if vm.stopped_at is None:
                vm.fence = Fence(FENCE_S, self.now)

    @rule(name=st.sampled_from(VMS), finishes=st.booleans())
    def claim(self, name, finishes):
        """Send claims to every peer whose lease is valid; the claim may be finished later."""
        vm = self.vms[name]
        if not self.running(name):
            return
        vm.claims = vm.owner.start_claims(NAMES, self.expired_vms(), self.now)
        vm.replies = {}
        asked = [peer for peer in VMS if peer != name and peer not in self.expired_vms()]
        for peer in filter(self.running, asked):
            for claim in vm.claims:
                answer = self.vms[peer].owner.answer(claim, self.expired_vms(), self.now)
                vm.replies.setdefault(claim.instance, []).append(answer)
        vm.asked = len(asked)
        if finishes:
            self.finish_claim(name)

    @rule(name=st.sampled_from(VMS))
    def finish_claim(self, name):
        vm = self.vms[name]
        if self.running(name) and vm.claims:
            vm.owner.finish_claims(vm.claims, vm.replies, vm.asked, self.now)
            vm.claims = []

    @rule(
        item=st.sampled_from(NAMES),
        handover_target=st.sampled_from(VMS),
        fate=st.sampled_from(["whole", "call lost", "answer lost"]),
        leaving=st.booleans(),
    )
    def hand_over(self, item, handover_target, fate, leaving):
        """Hand over a hold; the call or its reply may be lost, and a retry follows."""
        holders = [n for n in VMS if self.running(n) and item in self.vms[n].owner.held]
        for name in holders:
            owner = self.vms[name].owner
            if handover_target == name and item not in owner.handovers:
                continue
            hold = owner.start_handover(item, handover_target)
            if fate == "call lost" or not self.running(hold.holder):
                continue
            reply = self.vms[hold.holder].owner.accept_handover(hold, leaving)
            if fate == "whole":
                self._end(owner, hold, reply)

    @staticmethod
    def _end(owner, hold, reply):
        if reply is TAKEN:
            owner.finish_handover(hold)
        elif reply is HandoverReply.REFUSED:
            owner.cancel_handover(hold.instance)
        else:
            owner.abandon_handover(hold.instance)

    @rule(name=st.sampled_from(VMS))
    def give_up_handover(self, name):
        """Abandon the hand-over to a target whose lease has expired."""
        owner = self.vms[name].owner
        for item, hold in list(owner.handovers.items()):
            if self.running(name) and hold.holder in self.expired_vms():
                owner.abandon_handover(item)

    @rule(name=st.sampled_from(VMS), other=st.sampled_from(VMS))
    def gossip(self, name, other):
        if self.running(name) and self.running(other) and name != other:
            for hold in self.vms[other].owner.holds():
                self.vms[name].owner.merge_hold(hold)

    @rule(item=st.sampled_from(NAMES), step=st.sampled_from([0.5, 3.5]))
    def stop_holders(self, item, step):
        """Stop the processes that hold an instance, until thaw() or restart()."""
        for name in VMS:
            if self.running(name) and item in self.vms[name].owner.held:
                self.vms[name].stopped_at = self.now
        self.time_passes(step)

    @rule()
    def thaw(self):
        """Resume paused processes; they check the fence before anything else."""
        for vm in self.vms.values():
            if vm.stopped_at is None:
                continue
            vm.stopped_at = None
            if self.fenced and not vm.fence.renew(self.now):
                vm.owner.release_all()
                vm.claims = []

    @rule(name=st.sampled_from(VMS))
    def restart(self, name):
        if not self.running(name):
            self.vms[name].restart(self.now)

    @invariant()
    def one_holder_admits(self):
        for item in NAMES:
            admitting = [n for n in VMS if self.running(n) and self.vms[n].owner.may_admit(item)]
            assert len(admitting) <= 1, (item, admitting)


TestOwnershipMachine = OwnershipMachine.TestCase
TestOwnershipMachine.settings = settings(max_examples=400, stateful_step_count=40)


class GrantsHeldInstances(Ownership):
    """Injected fault: grants claims for instances that it holds itself."""

    def answer(self, claim, expired_vms, now):
        if claim.claimant == self.vm:
            return super().answer(claim, expired_vms, now)
        return ClaimReply(claim.instance, True, "", 0)


class AdmitsDuringHandover(Ownership):
    """Injected fault: keeps admitting while a hand-over is in progress."""

    def may_admit(self, instance):
        return instance in self.held


@pytest.mark.parametrize("kind", [GrantsHeldInstances, AdmitsDuringHandover])
def test_state_machine_detects_an_injected_fault(kind):
    class Faulty(OwnershipMachine):
        pass

    Faulty.kind = kind
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Faulty, settings=_injected_fault_settings())


def test_state_machine_detects_missing_fencing():
    class Faulty(OwnershipMachine):
        fenced = False

    with pytest.raises(AssertionError):
        run_state_machine_as_test(Faulty, settings=_injected_fault_settings())


def _injected_fault_settings():
    return settings(
        max_examples=2000,
        stateful_step_count=25,
        derandomize=True,
        deadline=None,
        phases=[Phase.generate],
    )
