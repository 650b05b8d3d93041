"""What is asked of the placing of requests, and what it decides."""

from dataclasses import dataclass

from gypsumwind.core.upstreams import Upstream


@dataclass(slots=True, frozen=True)
class Wanted:
    """A request to be placed; `deadline` is the latest useful answer on the VM's clock.

    An answer by `objective` is of full use, a later one of some; 0 means that only the deadline
    counts.

    Objects are shared by the callers of a region, so homes are planned for regions; a `bulky`
    request has its home in its zone, where its body crosses no link between zones.
    """

    ticket: int
    service: str
    key: str
    priority: int
    deadline: float
    regions: frozenset[str] = frozenset()
    exclude: frozenset[str] = frozenset()
    bulky: bool = False
    objective: float = 0.0


@dataclass(slots=True, frozen=True)
class Placed:
    """Send the request to this instance; the values after it say why."""

    upstream: Upstream
    load: float
    load_age_s: float
    home: bool
    waited_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Refused:
    """The request cannot be served in time; it may come back after `retry_after_s`."""

    reason: str
    retry_after_s: float
    waited_s: float = 0.0


Decision = Placed | Refused
