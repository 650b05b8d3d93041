"""Effective weight during a gradual traffic shift, a pure function of cell and time."""

from dataclasses import dataclass

SECONDS_PER_MINUTE = 60.0


@dataclass(slots=True, frozen=True)
class Shift:
    """A linear ramp from one weight to another; start and end in epoch seconds."""

    from_weight: float
    to_weight: float
    start: float
    end: float

    def weight_at(self, now: float) -> float:
        """Return the effective weight at `now`, by linear interpolation."""
        if now >= self.end:
            return self.to_weight
        if now <= self.start:
            return self.from_weight
        fraction = (now - self.start) / (self.end - self.start)
        return self.from_weight + (self.to_weight - self.from_weight) * fraction


def constant_shift(weight: float) -> Shift:
    """Return a completed shift, whose weight is the same at all times."""
    return Shift(weight, weight, 0.0, 0.0)


def plan_shift(current: Shift, target: float, cap_per_minute: float, now: float) -> Shift:
    """Return a ramp from the effective weight of `current` to `target`, at the capped rate.

    `cap_per_minute` is the maximum change of weight per minute; it must be above 0.
    """
    begin = current.weight_at(now)
    duration_s = abs(target - begin) / cap_per_minute * SECONDS_PER_MINUTE
    return Shift(begin, target, now, now + duration_s)
