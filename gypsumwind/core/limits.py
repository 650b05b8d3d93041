"""Limits of one instance: decreases apply at once, increases only after a settle deadline."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Limits:
    """Slots, those of them lent to other regions, and those reserved for class high."""

    slots: int
    lent: int
    reserve: int

    def tighter(self, other: "Limits") -> "Limits":
        """Return the stricter value of each limit."""
        return Limits(
            min(self.slots, other.slots),
            min(self.lent, other.lent),
            max(self.reserve, other.reserve),
        )


class SettlingLimits:
    """Decrease before increase: a stricter limit applies at once, a looser one when settled.

    While a new version of the table propagates, some VMs use the old shares and some the new
    ones; this order keeps the sum over all instances within the owners' limit.
    """

    __slots__ = ("_current", "_target", "_settle_at")

    def __init__(self, limits: Limits) -> None:
        self._current = limits
        self._target = limits
        self._settle_at = 0.0

    def change(self, limits: Limits, settle_at: float) -> None:
        """Set new limits; increases take effect at `settle_at`."""
        if limits == self._target:
            return
        self._current = self._current.tighter(limits)
        self._target = limits
        self._settle_at = settle_at

    def at(self, now: float) -> Limits:
        """Return the limits in force."""
        if self._current != self._target and now >= self._settle_at:
            self._current = self._target
        return self._current
