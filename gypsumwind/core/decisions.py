"""Requests for a placement on an instance, and the decisions on them."""

from dataclasses import dataclass

from gypsumwind.core.upstreams import Upstream

QUARANTINED = "quarantined"
"""Reason of the refusal of a request that crashes the instances that run it."""

ISOLATED = "isolated"
"""Reason of the refusal of a request while this VM reaches no instance."""


@dataclass(slots=True, frozen=True)
class PlacementRequest:
    """A request to be placed on an instance.

    `deadline` is the time of the latest useful response on the VM's clock. A response by
    `objective` has its full value, a later one has less; 0 means that only the deadline counts.

    The callers of a region share objects, so homes are assigned per region. A `bulky` request has
    its home in its own zone, so that its body crosses no link between zones. Repeats of a request
    have the same `fingerprint`.
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
    fingerprint: str = ""


@dataclass(slots=True, frozen=True)
class Placed:
    """The instance to send a request to, and the values behind the choice, for the log."""

    upstream: Upstream
    load: float
    load_age_s: float
    home: bool
    waited_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Refused:
    """A request that cannot be served in time; the caller may retry it after `retry_after_s`."""

    reason: str
    retry_after_s: float
    waited_s: float = 0.0


Decision = Placed | Refused
