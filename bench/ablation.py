"""Ablation study of placement: scenarios run with one mechanism disabled at a time.

`python -m bench.ablation --seeds 4` prints a Markdown table: the mean share of requests answered
within their objective, with the standard deviation over the seeds for all mechanisms on.
"""

import dataclasses
import statistics
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import click

from bench.emulator import Emulator, Scenario, dispatcher
from gypsumwind.core import dispatch, instances, warmth

WORKERS = 3

BOOKING = Scenario(
    rate=266,
    seconds=20.0,
    instances_per_zone=(("ka", 4), ("kb", 4), ("ea", 1), ("eb", 1), ("pa", 3), ("pb", 3)),
    objects=66,
    cache_size=48,
    service_time_s=0.48,
    objective_s=0.4,
    deadline_s=1.2,
    inter_region_delay_s=0.07,
    burst=(0.0, 0.0, 1.0),
    wave=(0.55, 36.0),
)
"""Look-ups of a booking fleet: a third of the callers in a region with 1/8 of the capacity."""

SCENARIOS = {
    "calm": BOOKING,
    "short requests": dataclasses.replace(
        BOOKING, rate=65, service_time_s=0.192, objective_s=0.19, slots=3, queue=9
    ),
    "room lost while cold": dataclasses.replace(BOOKING, rate=340, closed=("ka", 1.3, 10.3)),
    "zone not reached": dataclasses.replace(BOOKING, rate=300, down=("pa", 6.0, 14.0)),
    "slow instances": dataclasses.replace(
        BOOKING, rate=340, slow=(("ka-0", "ea-0", "pb-0"), 6.0, 16.0, 4.0)
    ),
    "overload": dataclasses.replace(BOOKING, rate=560),
    "hot objects": dataclasses.replace(BOOKING, rate=450, skew=1.2),
    "first fleet, burst": Scenario(rate=360, seconds=20.0, burst=(8.0, 12.0, 1.5)),
    "three instances": Scenario(
        rate=30, seconds=20.0, instances_per_zone=(("ka", 2), ("ea", 1)), objects=30, cache_size=20
    ),
    "many objects, many VMs": Scenario(
        300, 20.0, (("ka", 8), ("ea", 8), ("pa", 8)), 6, objects=400, cache_size=40
    ),
}


def _all_on() -> None:
    """Disable no mechanism."""


def _no_cache_affinity() -> None:
    warmth.WarmObjects.is_warm = lambda self, key, instance, now: False  # type: ignore[method-assign]


def _cold_runs_anywhere() -> None:
    dispatch.MAX_COLD_UTILIZATION = dispatch.MAX_UTILIZATION
    dispatch.COLD_HOME_COST = dispatch.SECOND_HOME_COST


def _one_home() -> None:
    dispatch.MIN_HOMES = dispatch.RANKING_LENGTH = 1


def _two_homes() -> None:
    dispatch.RANKING_LENGTH = dispatch.MIN_HOMES


def _no_ejection() -> None:
    instances.InstanceState.eject = lambda self, now: None  # type: ignore[method-assign]


def _own_load_only() -> None:
    instances.InstanceState.update_load = lambda self, report, now: None  # type: ignore[method-assign]


def _no_mean_load() -> None:
    instances.MEAN_LOAD_WEIGHT = 0.0


def _no_waiting() -> None:
    dispatch.MAX_QUEUE_LENGTH = 0


MECHANISMS: dict[str, Callable[[], None]] = {
    "all on": _all_on,
    "without memory of warm objects": _no_cache_affinity,
    "cold runs at any home with room": _cold_runs_anywhere,
    "one home": _one_home,
    "two homes, also of hot objects": _two_homes,
    "without leaving instances out": _no_ejection,
    "own sends for load": _own_load_only,
    "without the mean of told loads": _no_mean_load,
    "nothing waits": _no_waiting,
}


def _share(job: tuple[str, str, int]) -> float:
    mechanism, name, seed = job
    MECHANISMS[mechanism]()
    scenario = SCENARIOS[name]
    totals = Emulator(scenario, dispatcher(scenario), seed).run()
    return totals.in_objective / max(1, totals.requests)


@click.command()
@click.option("--seeds", default=4, help="number of seeds per scenario, from 1")
def main(seeds: int) -> None:
    """Run all scenarios with each mechanism disabled and print the table."""
    click.echo("| mechanism | " + " | ".join(SCENARIOS) + " |")
    click.echo("| --- |" + " --- |" * len(SCENARIOS))
    for mechanism in MECHANISMS:
        jobs = [(mechanism, name, seed) for name in SCENARIOS for seed in range(1, seeds + 1)]
        with ProcessPoolExecutor(WORKERS) as pool:
            shares = list(pool.map(_share, jobs))
        cells = []
        for n in range(len(SCENARIOS)):
            of_scenario = shares[n * seeds : (n + 1) * seeds]
            spread = f" ± {statistics.stdev(of_scenario):.3f}" if mechanism == "all on" else ""
            cells.append(f"{statistics.mean(of_scenario):.3f}{spread}")
        click.echo(f"| {mechanism} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
