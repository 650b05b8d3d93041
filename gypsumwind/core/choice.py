"""Load balancing: choice among instances with a free slot, and among weighted zones."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

EWMA_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.001


@dataclass(slots=True, frozen=True)
class Candidate:
    """An instance that may receive a request now."""

    name: str
    in_flight: int
    slots: int
    latency_s: float
    unhealthy: bool = False


class InstanceChoice(Protocol):
    """A load-balancing policy; `candidates` is never empty."""

    def pick(self, candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
        """Return the instance to send the request to."""
        ...


class LeastExpectedLatency:
    """Least peak-EWMA latency, scaled by slot utilization; unhealthy instances come last."""

    def pick(self, candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
        """Return the candidate with the least expected latency."""
        return min(candidates, key=lambda c: (c.unhealthy, _expected(c), rng.random()))


def _expected(candidate: Candidate) -> float:
    """Return the latency scaled by the utilization."""
    return candidate.latency_s * (candidate.in_flight + 1) / max(1, candidate.slots)


class RoundRobin:
    """Round robin by name; a baseline."""

    def __init__(self) -> None:
        self._last = ""

    def pick(self, candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
        """Return the next candidate by name."""
        ordered = sorted(candidates, key=lambda c: c.name)
        chosen = next((c for c in ordered if c.name > self._last), ordered[0])
        self._last = chosen.name
        return chosen


class RandomChoice:
    """Random choice; a baseline."""

    def pick(self, candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
        """Return a random candidate."""
        return rng.choice(list(candidates))


class LeastInFlight:
    """The fewest requests in flight; a baseline."""

    def pick(self, candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
        """Return the candidate with the fewest requests in flight."""
        return min(candidates, key=lambda c: (c.in_flight, rng.random()))


CHOICES: Mapping[str, type] = {
    "least-expected-latency": LeastExpectedLatency,
    "round-robin": RoundRobin,
    "random": RandomChoice,
    "least-in-flight": LeastInFlight,
}


class PeakEwma:
    """Peak EWMA of latency in seconds: rises immediately and decays slowly."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = INITIAL_LATENCY_S

    def observe(self, latency_s: float) -> None:
        """Add the latency of one answer."""
        if latency_s > self.value:
            self.value = latency_s
        else:
            self.value += EWMA_WEIGHT * (latency_s - self.value)


@dataclass(slots=True, frozen=True)
class ZoneOption:
    """A candidate zone: current weight, free slots for this request, and reachability."""

    zone: str
    weight: float
    free: int
    reachable: bool
    rtt_s: float


def order_zones(
    options: Sequence[ZoneOption], remaining_s: float, rng: random.Random
) -> list[ZoneOption]:
    """Return the zones to try, in weighted random order, those without headroom last.

    Excludes zones of weight 0, unreachable ones, and those with a round trip of `remaining_s`
    or more.
    """
    fit = [o for o in options if o.weight > 0 and o.reachable and o.rtt_s < remaining_s]
    free = _weighted_order([o for o in fit if o.free > 0], rng)
    full = _weighted_order([o for o in fit if o.free <= 0], rng)
    return free + full


def _weighted_order(options: list[ZoneOption], rng: random.Random) -> list[ZoneOption]:
    """Order by weighted sampling without replacement.

    Source: P. Efraimidis, P. Spirakis, "Weighted random sampling with a reservoir",
    Information Processing Letters 97, 2006.
    """
    return sorted(options, key=lambda o: rng.random() ** (1.0 / o.weight), reverse=True)
