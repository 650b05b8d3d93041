"""Settings and wire names of the direct way, in which a VM sends to any instance itself."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SteeringSettings:
    """Bounds that the operators of a deployment give; times in seconds.

    Repeats to a service stay under `repeat_ratio` of its requests plus `repeat_headroom` in any
    `repeat_window_s`, over the whole fleet; requests to a cold instance under its own rate times
    `cold_overshoot` plus `cold_slack_per_s`. A stop may take `grace_s`.
    """

    regions: Mapping[str, str]
    repeat_ratio: float
    repeat_headroom: float
    repeat_window_s: float
    cold_overshoot: float
    cold_slack_per_s: float
    grace_s: float
    lookup_ttl_s: float


@dataclass(slots=True, frozen=True)
class HeaderNames:
    """The names, in lower case, of the headers that callers, VMs and instances exchange.

    `not_run` marks an answer of an instance that did not run the request, `load` tells its
    requests that run, that wait, and its slots, `leaving` that it stops soon.
    """

    request_id: str
    affinity: str
    deadline_ms: str
    target: str
    not_run: str
    signature: str
    load: str
    leaving: str
