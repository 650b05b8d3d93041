"""Routing rules: the service of a caller's request, its timeout, retries and priority.

A ruleset is one complete configuration. Its version only increases; a request is served to its end
under the rule that it first matched.
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any

import xxhash

from gypsumwind.core.documents import from_fields

DEFAULT_HEADER_BYTES = 65536
DEFAULT_BODY_BYTES = 64 * 1024 * 1024
DEFAULT_HEADER_S = 10.0
DEFAULT_IDLE_S = 30.0


class RequestKind(Enum):
    """Whether requests of a rule may be retried, and whether their bodies are large."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    UPLOAD = "upload"
    """Non-idempotent with a large body."""
    DOWNLOAD = "download"
    """Idempotent with a large response body."""

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have run may be retried."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD)


@dataclass(slots=True, frozen=True)
class WeightedService:
    """A service and its relative weight in the traffic split of a rule."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Rule:
    """Route of the requests under one path prefix of a host.

    `timeout_s` is the longest time that a caller waits, `objective_s` the time within which a
    response has its full value. A lower `priority` number goes first. Empty `regions` allow all.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    parts: tuple[WeightedService, ...]
    timeout_s: float
    attempts: int
    objective_s: float
    priority: int
    sticky: bool
    regions: frozenset[str] = frozenset()

    def service_for(self, request_id: str) -> str:
        """Return the service of a request: chosen by weight, and the same on every VM."""
        total = sum(part.weight for part in self.parts)
        point = xxhash.xxh64_intdigest(request_id.encode()) / 2**64 * total
        for part in self.parts:
            point -= part.weight
            if point < 0:
                return part.service
        return self.parts[-1].service


@dataclass(slots=True, frozen=True)
class ServicePolicy:
    """Settings of a service: its health check, its connections, and its cold starts.

    A cold instance accepts `cold_per_s` requests per second, for `cold_start_s` after its start.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits of a caller: sizes in bytes, and times to send a header and to idle in seconds."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_s: float = DEFAULT_HEADER_S
    idle_s: float = DEFAULT_IDLE_S


DEFAULT_LIMITS = CallerLimits()


@dataclass(slots=True, frozen=True)
class Ruleset:
    """One complete configuration; `rules` by host, the longest prefix first."""

    version: int
    rules: Mapping[str, tuple[Rule, ...]]
    services: Mapping[str, ServicePolicy] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find(self, host: str, path: str) -> Rule | None:
        """Return the rule that matches a request, None if none does."""
        name = host.rpartition(":")[0] if ":" in host else host
        for rule in self.rules.get(name.lower(), ()):
            if path.startswith(rule.prefix):
                return rule
        return None

    def regions_of(self, host: str) -> frozenset[str]:
        """Return the regions that the rules of a host allow; empty if a rule allows all regions."""
        rules = self.rules.get(host.lower(), ())
        if any(not rule.regions for rule in rules):
            return frozenset()
        return frozenset(region for rule in rules for region in rule.regions)

    def objectives(self) -> dict[str, float]:
        """Return the shortest latency objective of the rules to each service, in seconds."""
        found: dict[str, float] = {}
        for rules in self.rules.values():
            for rule in rules:
                for part in rule.parts:
                    found[part.service] = min(
                        rule.objective_s, found.get(part.service, rule.objective_s)
                    )
        return found


def ruleset(
    version: int,
    rules: list[Rule],
    services: Mapping[str, ServicePolicy],
    limits: CallerLimits | None = None,
) -> Ruleset:
    """Build a ruleset from rules in any order."""
    by_host: dict[str, list[Rule]] = {}
    for rule in rules:
        by_host.setdefault(rule.host.lower(), []).append(rule)
    ordered = {
        host: tuple(sorted(found, key=lambda r: len(r.prefix), reverse=True))
        for host, found in by_host.items()
    }
    return Ruleset(version, ordered, dict(services), limits or CallerLimits())


def ruleset_to_json(rules: Ruleset) -> dict[str, Any]:
    """Return a ruleset as the document that VMs exchange."""
    return {
        "version": rules.version,
        "rules": [_rule_to_json(rule) for found in rules.rules.values() for rule in found],
        "services": [asdict(policy) for policy in rules.services.values()],
        "limits": asdict(rules.limits),
    }


def ruleset_from_json(doc: Mapping[str, Any]) -> Ruleset:
    """Decode a ruleset from a document; ValueError if it is malformed."""
    try:
        policies = [from_fields(ServicePolicy, item) for item in doc["services"]]
        return ruleset(
            int(doc["version"]),
            [_rule_from_json(item) for item in doc["rules"]],
            {policy.name: policy for policy in policies},
            from_fields(CallerLimits, doc["limits"]),
        )
    except (KeyError, TypeError) as exc:
        raise ValueError(f"malformed ruleset: {exc!r}") from exc


def _rule_to_json(rule: Rule) -> dict[str, Any]:
    doc = asdict(rule)
    doc["kind"] = rule.kind.value
    doc["parts"] = [[part.service, part.weight] for part in rule.parts]
    doc["regions"] = sorted(rule.regions)
    return doc


def _rule_from_json(doc: Mapping[str, Any]) -> Rule:
    values = dict(doc)
    values["kind"] = RequestKind(doc["kind"])
    values["parts"] = tuple(WeightedService(service, weight) for service, weight in doc["parts"])
    values["regions"] = frozenset(doc["regions"])
    return from_fields(Rule, values)
