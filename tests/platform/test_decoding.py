import copy

import pytest

from gypsumwind.core.rules import Kind
from gypsumwind.platform.decoding import decode_ruleset, decode_upstream
from gypsumwind.platform.headers import read_load
from tests.standins.platform import CONFIG, server_entry


def test_configuration_becomes_rules():
    rules = decode_ruleset(CONFIG)
    assert rules.version == 12
    upload = rules.find("files.example", "/put/x")
    assert (upload.kind, upload.timeout_s, upload.attempts) == (Kind.UPLOAD, 5.0, 2)
    read = rules.find("api.example", "/read/x")
    assert read.kind is Kind.IDEMPOTENT and read.sticky and read.objective_s == 0.5
    assert read.regions == {"a"}
    assert rules.services["lookup"].cold_per_s == 5.2
    assert rules.limits.idle_s == 15


def test_split_has_its_weights():
    split = decode_ruleset(CONFIG).find("api.example", "/split/x")
    assert [(part.service, part.weight) for part in split.parts] == [("lookup", 9), ("files", 1)]


def test_kind_that_is_unknown_is_never_repeated():
    doc = copy.deepcopy(CONFIG)
    doc["listeners"][0]["routingRules"][0]["type"] = "new"
    rules = decode_ruleset(doc)
    assert not rules.find("api.example", "/read/x").kind.repeatable


@pytest.mark.parametrize("doc", [None, {}, [], {"version": "zz"}, {**CONFIG, "listeners": [1]}])
def test_configuration_that_is_none_is_refused(doc):
    with pytest.raises(ValueError):
        decode_ruleset(doc)


def test_entry_becomes_an_upstream():
    found = decode_upstream("i-1", server_entry("127.0.0.1:9", cold_s=2.5, born=77), 1000.0)
    assert (found.id, found.ip, found.port, found.slots) == ("i-1", "127.0.0.1", 9, 4)
    assert (found.cold_until, found.incarnation, found.draining) == (1002.5, 77, False)


def test_entry_with_its_state_inside_the_spec_is_read_too():
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
def test_entry_by_another_writer_names_no_instance(path, value):
    obj = server_entry("127.0.0.1:9")
    place = obj
    for name in path[:-1]:
        place = place[name]
    place[path[-1]] = value
    with pytest.raises(ValueError, match="."):
        decode_upstream("i-1", obj, 0.0)


@pytest.mark.parametrize("text", ["", "1,2", "a,b,c", "1,2,3,4", "-1,0,4"])
def test_malformed_load_is_none(text):
    assert read_load(text) is None


def test_load_is_read():
    load = read_load("3, 1,8")
    assert (load.running, load.waiting, load.slots) == (3, 1, 8)
