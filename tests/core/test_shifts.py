from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.core.shifts import constant_shift, plan_shift

weight = st.floats(0, 1000)
cap = st.floats(0.1, 1000)
moment = st.floats(0, 10_000)


@given(weight, weight, cap, moment, st.floats(0, 100))
def test_slope_never_exceeds_the_cap(start, target, per_minute, at, step):
    shift = plan_shift(constant_shift(start), target, per_minute, 1000.0)
    change = abs(shift.weight_at(at + step) - shift.weight_at(at))
    assert change <= per_minute * step / 60.0 + 1e-6


@given(weight, weight, weight, cap, st.floats(0, 600))
def test_second_shift_starts_from_the_effective_weight_of_the_first(
    start, first, second, per_minute, after
):
    ramp = plan_shift(constant_shift(start), first, per_minute, 0.0)
    current = ramp.weight_at(after)
    assert plan_shift(ramp, second, per_minute, after).weight_at(after) == current


@given(weight, weight, cap)
def test_shift_ends_at_its_target(start, target, per_minute):
    shift = plan_shift(constant_shift(start), target, per_minute, 0.0)
    assert shift.weight_at(shift.end) == target
