"""Decodes objects of the platform's store into the project's types; ValueError if malformed."""

from collections.abc import Mapping
from typing import Any

from gypsumwind.core.rules import (
    CallerLimits,
    RequestKind,
    Rule,
    Ruleset,
    ServicePolicy,
    WeightedService,
    ruleset,
)
from gypsumwind.core.upstreams import MAX_COLD_S, Upstream
from gypsumwind.utils import finite, is_text, split_address

KIND_BY_TYPE = {
    "safe": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "upload": RequestKind.UPLOAD,
    "download": RequestKind.DOWNLOAD,
}
DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_ruleset(name: str, spec: Any) -> Ruleset:
    """Decode the `spec` of the configuration object; others of its kind are no configuration."""
    if name != "main":
        raise ValueError(f"configuration {name}: not in use")
    try:
        rules = [
            _rule(listener["host"], item)
            for listener in spec["listeners"]
            for item in listener["routingRules"]
        ]
        services = {item["name"]: _policy(item) for item in spec["clusters"]}
        limits = _limits(spec["limits"])
        return ruleset(int(spec["version"], 16), rules, services, limits)
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f"malformed configuration: {exc!r}") from exc


def _rule(host: str, item: Mapping[str, Any]) -> Rule:
    action = item["action"]
    parts: tuple[WeightedService, ...]
    if action.get("service"):
        parts = (WeightedService(str(action["service"]), 1.0),)
    else:
        parts = tuple(
            WeightedService(str(part["service"]), finite(part["weight"]))
            for part in action["trafficSplit"]
        )
    if not parts or sum(part.weight for part in parts) <= 0:
        raise ValueError(f"configuration: rule {item['name']!r} has no positive weight")
    return Rule(
        name=str(item["name"]),
        host=str(host),
        prefix=str(item["match"]["pathPrefix"]),
        kind=KIND_BY_TYPE.get(item["type"], RequestKind.NON_IDEMPOTENT),
        parts=parts,
        timeout_s=finite(action["timeoutS"]),
        attempts=max(1, int(action.get("attempts") or 1)),
        objective_s=finite(item.get("targetLatencyS") or action["timeoutS"]),
        priority=int(item.get("priority") or 0),
        sticky=bool(item.get("sticky")),
        regions=frozenset(action.get("allowedRegions") or ()),
    )


def _policy(item: Mapping[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=str(item["name"]),
        health_path=str(item.get("healthPath") or ""),
        max_connections=int(item.get("maxConnections") or 0),
        cold_start_s=finite(item.get("coldStartS") or 0.0),
        cold_per_s=finite(item.get("coldPerS") or 0.0),
    )


def _limits(item: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=int(item["maxHeaderBytes"]),
        body_bytes=int(item["maxBodyBytes"]),
        header_s=finite(item["headerTimeoutS"]),
        idle_s=finite(item["idleTimeoutS"]),
    )


def decode_upstream(name: str, obj: Mapping[str, Any], wall_now: float) -> Upstream:
    """Decode the entry of an instance, as it was at `wall_now` (seconds since 1970).

    `info` has its service, zone and slots, `status` its changing state; `born` is the start of the
    process in milliseconds since 1970, 0 if missing.
    """
    try:
        spec = dict(obj["spec"])
        status = dict(obj["status"] or spec["status"])
        info = spec["info"]
        ip, port = split_address(spec["address"])
        state = status["state"]
        if state not in DRAINING_BY_STATE:
            raise ValueError(f"instance {name}: unknown state {state!r}")
        slots = info["capacity"]
        texts = (info["service"], info["zone"])
        if type(slots) is not int or not all(map(is_text, texts)):
            raise ValueError(f"instance {name}: malformed service, zone or capacity")
        warmup_left_s = finite(status.get("coldRemainingS") or 0.0, MAX_COLD_S)
        return Upstream(
            id=name,
            incarnation=_int_or_zero(spec.get("born", status.get("born", 0))),
            service=texts[0],
            ip=ip,
            port=port,
            zone=texts[1],
            slots=slots,
            draining=DRAINING_BY_STATE[state],
            cold_until=wall_now + warmup_left_s if warmup_left_s > 0 else 0.0,
        )
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f"instance {name}: malformed entry: {exc!r}") from exc


def _int_or_zero(value: Any) -> int:
    return value if isinstance(value, int) and not isinstance(value, bool) else 0
