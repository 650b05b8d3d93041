"""Settings and header names of direct mode, in which a VM sends straight to any instance."""

from collections.abc import Mapping
from dataclasses import dataclass

from gypsumwind.core.lapses import Lease


@dataclass(slots=True, frozen=True)
class SteeringSettings:
    """Limits set by the operators of a deployment; times in seconds.

    Retries to a service stay under `retry_ratio` of its requests plus `retry_headroom` in any
    `retry_window_s`, over all VMs; requests to a cold instance under its own rate times
    `cold_overshoot` plus `cold_slack_per_s`. A graceful shutdown may take `grace_s`.
    `lease` is that of the instances' entries. At the `first_start` of the whole system no process
    has run before this one.
    """

    regions: Mapping[str, str]
    retry_ratio: float
    retry_headroom: float
    retry_window_s: float
    cold_overshoot: float
    cold_slack_per_s: float
    grace_s: float
    lookup_ttl_s: float
    lease: Lease = Lease()
    first_start: bool = False


@dataclass(slots=True, frozen=True)
class HeaderNames:
    """Names, in lower case, of the headers that callers, VMs and instances exchange.

    `not_run` marks the response of an instance that did not run the request, `load` reports its
    running requests, its waiting requests and its slots, `leaving` that it stops soon, `rate_limit`
    how many requests per second it accepts from all VMs together.
    """

    request_id: str
    affinity: str
    deadline_ms: str
    target: str
    not_run: str
    signature: str
    load: str
    leaving: str
    rate_limit: str
