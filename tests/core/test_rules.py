import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumwind.core.rules import (
    CallerLimits,
    RequestKind,
    Rule,
    ServicePolicy,
    WeightedService,
    ruleset,
    ruleset_from_json,
    ruleset_to_json,
)

ONE_SERVICE = (WeightedService("s", 1.0),)


def rule(prefix="/a/", host="h.example", parts=ONE_SERVICE, regions=()):
    return Rule(
        f"r{prefix}",
        host,
        prefix,
        RequestKind.IDEMPOTENT,
        parts,
        2.0,
        2,
        0.5,
        1,
        True,
        frozenset(regions),
    )


def test_longest_prefix_of_the_host_wins():
    rules = ruleset(1, [rule("/a/"), rule("/a/b/"), rule("/", host="other.example")], {})
    assert rules.find("h.example", "/a/b/c").prefix == "/a/b/"
    assert rules.find("H.example:8080", "/a/x").prefix == "/a/"
    assert rules.find("other.example", "/a/x").prefix == "/"
    assert rules.find("h.example", "/a") is None
    assert rules.find("none.example", "/a/x") is None


@given(st.lists(st.integers(1, 50), min_size=1, max_size=4))
def test_requests_are_split_by_weight_and_a_request_always_gets_the_same_service(weights):
    found = rule(parts=tuple(WeightedService(f"s{i}", float(w)) for i, w in enumerate(weights)))
    chosen = [found.service_for(f"request-{n}") for n in range(4000)]
    assert chosen == [found.service_for(f"request-{n}") for n in range(4000)]
    for i, weight in enumerate(weights):
        assert abs(chosen.count(f"s{i}") / 4000 - weight / sum(weights)) < 0.05


def test_service_of_weight_zero_gets_no_requests():
    found = rule(parts=(WeightedService("none", 0.0), WeightedService("all", 1.0)))
    assert {found.service_for(str(n)) for n in range(200)} == {"all"}


def test_host_is_restricted_to_regions_only_if_all_its_rules_are():
    restricted = ruleset(1, [rule("/a/", regions=["x"]), rule("/b/", regions=["y"])], {})
    unrestricted = ruleset(1, [rule("/a/", regions=["x"]), rule("/b/")], {})
    assert restricted.regions_of("h.example") == {"x", "y"}
    assert unrestricted.regions_of("h.example") == frozenset()


def test_ruleset_document_round_trips():
    policy = ServicePolicy("s", "/health", 390, 3.0, 5.2)
    rules = ruleset(7, [rule(regions=["x"])], {"s": policy}, CallerLimits(1, 2, 3.0, 4.0))
    assert ruleset_from_json(ruleset_to_json(rules)) == rules


@pytest.mark.parametrize("key", ["version", "rules", "services", "limits"])
def test_incomplete_document_is_rejected(key):
    doc = ruleset_to_json(ruleset(7, [rule()], {}))
    del doc[key]
    with pytest.raises(ValueError, match=key):
        ruleset_from_json(doc)
