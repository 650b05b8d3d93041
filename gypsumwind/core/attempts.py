"""Attempts at a gate: one that was voided before it arrived is never admitted.

An origin that lost touch asks whether its attempt was admitted. If it was not, a tombstone
until the attempt's deadline turns a late copy away, and only then the answer is final.
"""

from enum import Enum

KEEP_S = 10.0
"""Time beyond its deadline that an attempt is remembered: delay of a void plus clock skew."""


class AttemptState(Enum):
    """What a gate knows of an attempt."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    VOIDED = "voided"


class Attempts:
    """States of attempts by id, each kept until a while after its deadline."""

    __slots__ = ("_states",)

    def __init__(self) -> None:
        self._states: dict[str, tuple[AttemptState, float]] = {}

    def __len__(self) -> int:
        return len(self._states)

    def admit(self, attempt: str, deadline: float, now: float) -> bool:
        """Admit an attempt once; False for a voided, repeated or late one."""
        if attempt in self._states or now >= deadline:
            return False
        self._states[attempt] = (AttemptState.ADMITTED, deadline)
        return True

    def refuse(self, attempt: str) -> None:
        """Record that an admitted attempt ended without a run."""
        found = self._states.get(attempt)
        if found is not None:
            self._states[attempt] = (AttemptState.REFUSED, found[1])

    def void(self, attempt: str, deadline: float, now: float) -> bool:
        """Void an attempt; True when no copy of it has run or ever will.

        Once its deadline has passed an attempt that is not known may have been forgotten.
        """
        found = self._states.get(attempt)
        if found is not None:
            return found[0] is not AttemptState.ADMITTED
        if now >= deadline:
            return False
        self._states[attempt] = (AttemptState.VOIDED, deadline)
        return True

    def expire(self, now: float) -> None:
        """Forget attempts long past their deadline; late copies are refused by that."""
        self._states = {a: s for a, s in self._states.items() if s[1] + KEEP_S > now}
