"""Ownership of upstream instances: a hold moves by hand-over, or by a takeover that peers confirm.

Rendezvous hashing selects the preferred holder; only a VM with the hold may admit requests.
A claim succeeds if all its voters grant it (selected in `holds.py`); each move raises the epoch.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

PROMISE_TTL_S = 3.0


@dataclass(slots=True, frozen=True)
class Hold:
    """An instance, the VM that admits requests to it, and the ownership epoch (fencing token)."""

    instance: str
    holder: str
    epoch: int


@dataclass(slots=True, frozen=True)
class Claim:
    """A request by `claimant` to hold an instance at an epoch."""

    instance: str
    claimant: str
    epoch: int


@dataclass(slots=True, frozen=True)
class ClaimReply:
    """The reply to a claim: granted or not, and the replying VM's known holder and epoch."""

    instance: str
    granted: bool
    holder: str
    epoch: int


class HandoverReply(IntEnum):
    """Reply of a hand-over's target: accepted, declined, or the hold has since moved."""

    TAKEN = 0
    REFUSED = 1
    SUPERSEDED = 2


@dataclass(slots=True, frozen=True)
class _Promise:
    claimant: str
    epoch: int
    until: float


@dataclass(slots=True)
class Ownership:
    """The holds of one VM and the holds of other VMs that it has observed."""

    vm: str
    held: dict[str, int] = field(default_factory=dict)
    known: dict[str, Hold] = field(default_factory=dict)
    handovers: dict[str, Hold] = field(default_factory=dict)
    _promises: dict[str, _Promise] = field(default_factory=dict)

    def may_admit(self, instance: str) -> bool:
        """Return whether this VM holds an instance and is not handing it over."""
        return instance in self.held and instance not in self.handovers

    def holds(self) -> list[Hold]:
        """Return the holds of this VM, including those being handed over."""
        return [Hold(name, self.vm, epoch) for name, epoch in self.held.items()]

    def answer(self, claim: Claim, expired_vms: Iterable[str], now: float) -> ClaimReply:
        """Answer a claim; `expired_vms` are the VMs that left or whose lease has expired here."""
        name = claim.instance
        known = self._current(name)
        epoch = known.epoch if known else 0
        holder = known.holder if known else ""
        free = holder in ("", claim.claimant) or (holder != self.vm and holder in expired_vms)
        promise = self._promises.get(name)
        promised = promise is not None and promise.until > now
        taken = promised and promise is not None and promise.claimant != claim.claimant
        if not free or taken or claim.epoch <= epoch:
            return ClaimReply(name, False, holder, epoch)
        self._promises[name] = _Promise(claim.claimant, claim.epoch, now + PROMISE_TTL_S)
        if claim.claimant != self.vm:
            self.known[name] = Hold(name, claim.claimant, claim.epoch)
        return ClaimReply(name, True, holder, epoch)

    def _current(self, name: str) -> Hold | None:
        if name in self.held:
            return Hold(name, self.vm, self.held[name])
        return self.known.get(name)

    def start_claims(
        self, names: Iterable[str], expired_vms: Iterable[str], now: float
    ) -> list[Claim]:
        """Promise free instances to this VM itself and return the claims to send to peers."""
        expired_vms = set(expired_vms)
        claims = []
        for name in names:
            known = self.known.get(name)
            claim = Claim(name, self.vm, (known.epoch if known else 0) + 1)
            if name not in self.held and self.answer(claim, expired_vms, now).granted:
                claims.append(claim)
        return claims

    def finish_claims(
        self,
        claims: Iterable[Claim],
        replies: Mapping[str, list[ClaimReply]],
        peers: int,
        now: float,
    ) -> list[Hold]:
        """Acquire the holds that all `peers` peers granted; release the promises of all claims."""
        won = []
        for claim in claims:
            answers = replies.get(claim.instance, [])
            granted = len(answers) == peers and all(a.granted for a in answers)
            if granted and self._still_promised(claim, now):
                self.held[claim.instance] = claim.epoch
                won.append(Hold(claim.instance, self.vm, claim.epoch))
            for answer in answers:
                if not answer.granted:
                    self._record_refused_epoch(answer)
            self._release_promise(claim)
        return won

    def _record_refused_epoch(self, answer: ClaimReply) -> None:
        """Record the epoch that a peer reported, so that the next claim uses a higher one."""
        known = self.known.get(answer.instance)
        if known is None or answer.epoch > known.epoch:
            self.known[answer.instance] = Hold(answer.instance, answer.holder, answer.epoch)

    def _still_promised(self, claim: Claim, now: float) -> bool:
        promise = self._promises.get(claim.instance)
        current = self._current(claim.instance)
        mine = promise is not None and promise.claimant == self.vm and promise.until > now
        return mine and (current is None or current.epoch < claim.epoch)

    def _release_promise(self, claim: Claim) -> None:
        promise = self._promises.get(claim.instance)
        if promise is not None and promise.claimant == claim.claimant:
            del self._promises[claim.instance]

    def merge_hold(self, hold: Hold) -> bool:
        """Merge a hold of another VM; return True when this VM thereby loses its own.

        Of two holders the one with the lower epoch yields; at equal epochs the smaller VM name
        keeps the hold.
        """
        if hold.holder == self.vm:
            return False
        known = self.known.get(hold.instance)
        if known is None or hold.epoch >= known.epoch:
            self.known[hold.instance] = hold
        mine = self.held.get(hold.instance)
        if mine is None:
            return False
        if (mine, hold.holder) < (hold.epoch, self.vm) and hold.epoch >= mine:
            del self.held[hold.instance]
            self.handovers.pop(hold.instance, None)
            return True
        return False

    def remove_unlisted(self, holder: str, names: set[str], now: float) -> None:
        """Mark as free the known holds of a VM that the VM no longer lists.

        A list may be older than a claim that was just granted, so entries with an unexpired
        promise are kept.
        """
        for name, hold in list(self.known.items()):
            if hold.holder != holder or name in names:
                continue
            promise = self._promises.get(name)
            if promise is None or promise.until <= now:
                self.known[name] = Hold(name, "", hold.epoch)

    def start_handover(self, instance: str, target: str) -> Hold:
        """Stop admitting to an instance and return the hold to offer to `target`."""
        planned = self.handovers.get(instance)
        if planned is None:
            planned = Hold(instance, target, self.held[instance] + 1)
            self.handovers[instance] = planned
        return planned

    def finish_handover(self, hold: Hold) -> None:
        """Release the hold after the target accepted it."""
        if self.handovers.pop(hold.instance, None) is not None:
            self.held.pop(hold.instance, None)
            self.known[hold.instance] = hold

    def accept_handover(self, hold: Hold, leaving: bool) -> HandoverReply:
        """Accept a hold that its holder hands over; idempotent.

        A hold that was accepted and has since moved is SUPERSEDED, never REFUSED: after
        REFUSED the former holder would resume admission.
        """
        current = self._current(hold.instance)
        epoch = current.epoch if current else 0
        if epoch > hold.epoch:
            return HandoverReply.SUPERSEDED
        if epoch == hold.epoch:
            taken = hold.instance in self.held
            return HandoverReply.TAKEN if taken else HandoverReply.SUPERSEDED
        if leaving:
            return HandoverReply.REFUSED
        self.held[hold.instance] = hold.epoch
        return HandoverReply.TAKEN

    def cancel_handover(self, instance: str) -> None:
        """Keep the hold after the target refused it, and resume admission."""
        self.handovers.pop(instance, None)

    def abandon_handover(self, instance: str) -> None:
        """Release the hold as taken by the target, also if the target's lease has expired."""
        hold = self.handovers.get(instance)
        if hold is not None:
            self.finish_handover(hold)

    def release_all(self) -> list[str]:
        """Release every hold after a pause: others may own them by now; the rest is reclaimed."""
        names = list(self.held)
        for name, epoch in self.held.items():
            planned = self.handovers.get(name)
            holder = planned.holder if planned else self.vm
            self.known[name] = Hold(name, holder, planned.epoch if planned else epoch)
        self.held.clear()
        self.handovers.clear()
        self._promises.clear()
        return names
