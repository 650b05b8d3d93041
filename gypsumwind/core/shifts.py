"""Effective weight during a shift of traffic: a pure function of the cell and the time."""

from dataclasses import dataclass

SECONDS_PER_MINUTE = 60.0


@dataclass(slots=True, frozen=True)
class Shift:
    """A ramp from one weight to another between two instants, in epoch seconds."""

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


def steady(weight: float) -> Shift:
    """Return a shift that is already over: the weight holds at all times."""
    return Shift(weight, weight, 0.0, 0.0)


def plan_shift(current: Shift, target: float, cap_per_minute: float, now: float) -> Shift:
    """Plan a ramp from where `current` stands to `target`, no steeper than the owners' cap.

    `cap_per_minute` is the greatest change of weight in one minute; it must be above 0.
    """
    begin = current.weight_at(now)
    duration_s = abs(target - begin) / cap_per_minute * SECONDS_PER_MINUTE
    return Shift(begin, target, now, now + duration_s)
