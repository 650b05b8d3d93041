"""Registry of attempts sent by other VMs: one voided before it arrived is never admitted.

A VM whose connection broke queries whether its attempt was admitted. If not, a tombstone
rejects late copies until the attempt's deadline, which makes the answer final.
"""

from enum import Enum

RETENTION_S = 10.0
"""Retention of an attempt beyond its deadline: covers the delay of a void plus clock skew."""


class AttemptState(Enum):
    """State of an attempt sent by another VM."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    VOIDED = "voided"


class Attempts:
    """States of attempts by id, each kept for RETENTION_S after its deadline."""

    __slots__ = ("_states",)

    def __init__(self) -> None:
        self._states: dict[str, tuple[AttemptState, float]] = {}

    def __len__(self) -> int:
        return len(self._states)

    def admit(self, attempt: str, deadline: float, now: float) -> bool:
        """Admit an attempt once; return False for a voided, duplicate or late one."""
        if attempt in self._states or now >= deadline:
            return False
        self._states[attempt] = (AttemptState.ADMITTED, deadline)
        return True

    def refuse(self, attempt: str) -> None:
        """Record that an admitted attempt ended without being run."""
        found = self._states.get(attempt)
        if found is not None:
            self._states[attempt] = (AttemptState.REFUSED, found[1])

    def void(self, attempt: str, deadline: float, now: float) -> bool:
        """Void an attempt; return True if no copy of it has run or ever will.

        An unknown attempt after its deadline returns False: its state may have expired.
        """
        found = self._states.get(attempt)
        if found is not None:
            return found[0] is not AttemptState.ADMITTED
        if now >= deadline:
            return False
        self._states[attempt] = (AttemptState.VOIDED, deadline)
        return True

    def expire(self, now: float) -> None:
        """Remove expired attempts; late copies of them are refused by their deadline."""
        self._states = {a: s for a, s in self._states.items() if s[1] + RETENTION_S > now}
