"""Routing rules: which service a caller's request goes to, and on what terms.

A ruleset is one whole configuration. Its version only rises; a request is served to its end under
the rule that it was matched with.
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any

import xxhash

DEFAULT_HEADER_BYTES = 65536
DEFAULT_BODY_BYTES = 64 * 1024 * 1024
DEFAULT_HEADER_S = 10.0
DEFAULT_IDLE_S = 30.0


class Kind(Enum):
    """What may be repeated of the requests of a rule."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    UPLOAD = "upload"
    """Non-idempotent with a large body."""
    DOWNLOAD = "download"
    """Idempotent with large answers."""

    @property
    def repeatable(self) -> bool:
        """Tell whether a request that may have run may be sent again."""
        return self in (Kind.IDEMPOTENT, Kind.DOWNLOAD)


@dataclass(slots=True, frozen=True)
class Part:
    """A service that gets `weight` shares of a rule's requests."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Rule:
    """Where the requests below one path prefix of a host go.

    `timeout_s` is the longest that a caller is kept waiting, `objective_s` the time within which
    an answer is of full use; a lower `priority` number goes first. An empty `regions` allows all.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    parts: tuple[Part, ...]
    timeout_s: float
    attempts: int
    objective_s: float
    priority: int
    sticky: bool
    regions: frozenset[str] = frozenset()

    def service_for(self, request_id: str) -> str:
        """Return the service of a request: by weight, and the same at every VM."""
        total = sum(part.weight for part in self.parts)
        point = xxhash.xxh64_intdigest(request_id.encode()) / 2**64 * total
        for part in self.parts:
            point -= part.weight
            if point < 0:
                return part.service
        return self.parts[-1].service


@dataclass(slots=True, frozen=True)
class ServicePolicy:
    """What is configured of a service: its health page, its connections, and its cold starts.

    A cold instance takes `cold_per_s` requests a second, for `cold_start_s` after its start.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take or stay idle, in seconds."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_s: float = DEFAULT_HEADER_S
    idle_s: float = DEFAULT_IDLE_S


@dataclass(slots=True, frozen=True)
class Ruleset:
    """One whole configuration; `rules` by host, the longest prefix first."""

    version: int
    rules: Mapping[str, tuple[Rule, ...]]
    services: Mapping[str, ServicePolicy] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find(self, host: str, path: str) -> Rule | None:
        """Return the rule of a request, None if no rule takes it."""
        name = host.rpartition(":")[0] if ":" in host else host
        for rule in self.rules.get(name.lower(), ()):
            if path.startswith(rule.prefix):
                return rule
        return None

    def regions_of(self, host: str) -> frozenset[str]:
        """Return the regions that any rule of a host is bound to, none if one is free."""
        rules = self.rules.get(host.lower(), ())
        if any(not rule.regions for rule in rules):
            return frozenset()
        return frozenset(region for rule in rules for region in rule.regions)


def ruleset(
    version: int,
    rules: list[Rule],
    services: Mapping[str, ServicePolicy],
    limits: CallerLimits | None = None,
) -> Ruleset:
    """Return a ruleset of rules in any order."""
    by_host: dict[str, list[Rule]] = {}
    for rule in rules:
        by_host.setdefault(rule.host.lower(), []).append(rule)
    ordered = {
        host: tuple(sorted(found, key=lambda r: len(r.prefix), reverse=True))
        for host, found in by_host.items()
    }
    return Ruleset(version, ordered, dict(services), limits or CallerLimits())


def ruleset_to_json(rules: Ruleset) -> dict[str, Any]:
    """Return a ruleset as the document that VMs give each other."""
    return {
        "version": rules.version,
        "rules": [_rule_to_json(rule) for found in rules.rules.values() for rule in found],
        "services": [asdict(policy) for policy in rules.services.values()],
        "limits": asdict(rules.limits),
    }


def ruleset_from_json(doc: Mapping[str, Any]) -> Ruleset:
    """Read such a document; ValueError if it is not one."""
    try:
        policies = [ServicePolicy(**item) for item in doc["services"]]
        return ruleset(
            int(doc["version"]),
            [_rule_from_json(item) for item in doc["rules"]],
            {policy.name: policy for policy in policies},
            CallerLimits(**doc["limits"]),
        )
    except (KeyError, TypeError) as exc:
        raise ValueError(f"ruleset: {exc!r}") from exc


def _rule_to_json(rule: Rule) -> dict[str, Any]:
    doc = asdict(rule)
    doc["kind"] = rule.kind.value
    doc["parts"] = [[part.service, part.weight] for part in rule.parts]
    doc["regions"] = sorted(rule.regions)
    return doc


def _rule_from_json(doc: Mapping[str, Any]) -> Rule:
    values = dict(doc)
    values["kind"] = Kind(doc["kind"])
    values["parts"] = tuple(Part(service, weight) for service, weight in doc["parts"])
    values["regions"] = frozenset(doc["regions"])
    return Rule(**values)
