import copy

import pytest

from gypsumwind.core.rules import RequestKind
from gypsumwind.platform.decoding import decode_ruleset, decode_upstream
from gypsumwind.platform.headers import read_load
from tests.standins.odd import with_value
from tests.standins.platform import CONFIG, server_entry


def test_configuration_is_decoded_into_rules():
    rules = decode_ruleset("main", CONFIG)
    assert rules.version == 12
    upload = rules.find("files.example", "/put/x")
    assert (upload.kind, upload.timeout_s, upload.attempts) == (RequestKind.UPLOAD, 5.0, 2)
    read = rules.find("api.example", "/read/x")
    assert read.kind is RequestKind.IDEMPOTENT and read.sticky and read.objective_s == 0.5
    assert read.regions == {"a"}
    assert rules.services["lookup"].cold_per_s == 5.2
    assert rules.limits.idle_s == 15


def test_traffic_split_has_its_weights():
    rule = decode_ruleset("main", CONFIG).find("api.example", "/split/x")
    assert [(part.service, part.weight) for part in rule.parts] == [("lookup", 9), ("files", 1)]


def test_request_of_an_unknown_type_is_not_retried():
    doc = copy.deepcopy(CONFIG)
    doc["listeners"][0]["routingRules"][0]["type"] = "new"
    rules = decode_ruleset("main", doc)
    assert not rules.find("api.example", "/read/x").kind.repeatable


@pytest.mark.parametrize("doc", [None, {}, [], {"version": "zz"}, {**CONFIG, "listeners": [1]}])
def test_malformed_configuration_is_rejected(doc):
    with pytest.raises(ValueError):
        decode_ruleset("main", doc)


def test_entry_is_decoded_into_an_upstream():
    found = decode_upstream("i-1", server_entry("127.0.0.1:9", cold_s=2.5, born=77), 1000.0)
    assert (found.id, found.ip, found.port, found.slots) == ("i-1", "127.0.0.1", 9, 4)
    assert (found.cold_until, found.incarnation, found.draining) == (1002.5, 77, False)


def test_entry_with_its_status_inside_the_spec_is_decoded():
    obj = server_entry("127.0.0.1:9", state="draining")
    obj = {"spec": {**obj["spec"], "status": obj["status"]}, "status": None}
    assert decode_upstream("i-1", obj, 0.0).draining


@pytest.mark.parametrize(
    "path,value",
    [
        (("spec",), None),
        (("spec",), "bytes"),
        (("spec", "address"), "host:80"),
        (("spec", "address"), 7),
        (("spec", "info"), None),
        (("spec", "info", "capacity"), "4"),
        (("spec", "info", "capacity"), 0),
        (("spec", "info", "service"), 3),
        (("spec", "info", "zone"), None),
        (("status", "state"), "sleeping"),
        (("status", "state"), []),
        (("status", "coldRemainingS"), "long"),
        (("status",), 5),
    ],
)
def test_malformed_entry_is_rejected(path, value):
    obj = with_value(server_entry("127.0.0.1:9"), path, value)
    with pytest.raises(ValueError, match="."):
        decode_upstream("i-1", obj, 0.0)


@pytest.mark.parametrize("text", ["", "1,2", "a,b,c", "1,2,3,4", "-1,0,4"])
def test_malformed_load_is_none(text):
    assert read_load(text) is None


def test_load_is_parsed():
    load = read_load("3, 1,8")
    assert (load.running, load.waiting, load.slots) == (3, 1, 8)
