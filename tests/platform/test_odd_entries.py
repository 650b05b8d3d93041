"""One odd entry in a list of the store names nothing to use; all others hold."""

import json
import random

import pytest

from gypsumwind.core.decisions import Placed, PlacementRequest
from gypsumwind.core.dispatch import ColdBound, Dispatcher
from gypsumwind.core.fleet import Fleet
from gypsumwind.core.membership import Endpoint
from gypsumwind.core.rules import ruleset_from_json, ruleset_to_json
from gypsumwind.core.upstreams import UpstreamList, upstreams_from_json, upstreams_to_json
from gypsumwind.platform.__main__ import _feeds
from gypsumwind.platform.store import VmRegistry
from gypsumwind.utils import pack_json, unpack_json
from tests.standins import platform
from tests.standins.http import RawJson
from tests.standins.odd import ENTRY_PATHS, ODD_VALUES, VM_PATHS, with_value

ENTRY = platform.server_entry("127.0.0.1:7")
PORT = 1000


def register_around(served, kind, odd):
    """Write odd objects, given as (spec, status), between and after good ones."""
    good = platform.server_entry(f"127.0.0.1:{PORT}")
    for n, (spec, status) in enumerate(odd):
        served.put(kind, f"m-{n}", spec, status)
    for name in ("a", "n"):
        served.put(kind, name, good["spec"], good["status"])


def follow(feed, served, kind):
    """Return the values of a feed by a list and by a watch from its begin."""
    found = feed.read()
    watched = feed.changes(type(found.version)(found.version.era, 0), 1.0)
    assert watched.version == found.version
    return found.values, watched.values


@pytest.mark.parametrize("name", ODD_VALUES)
def test_instances_beside_an_odd_entry_are_used(served, client, name):
    odd = [with_value(ENTRY, path, ODD_VALUES[name]) for path in ENTRY_PATHS]
    register_around(served, "servers", [(entry["spec"], entry["status"]) for entry in odd])
    for values in follow(_feeds(client).upstreams, served, "servers"):
        ups = {n: up for n, up in values.items() if up is not None}
        assert {"a", "n"} <= set(ups)
        assert use(ups) <= set(ups)


def use(ups):
    """Send the list through a record, and place requests on its instances; return those used."""
    doc = unpack_json(pack_json(upstreams_to_json(UpstreamList(by_id=ups))))
    listed = upstreams_from_json(doc)
    fleet = Fleet("vm-1", "a1", ("vm-1",), ("a1", "b1"))
    dispatcher = Dispatcher({"a1": "a", "b1": "b"}, fleet, ColdBound(1.5, 5.0), random.Random(1))
    dispatcher.set_upstreams(listed, 1.0, 1000.0)
    used = set()
    for n in range(40):
        for key in ("", f"s\x00{n}"):
            request = PlacementRequest(n, "lookup", key, 1, 100.0)
            placed = dispatcher.place(request, 1.0)
            if isinstance(placed, Placed):
                used.add(placed.upstream.id)
                assert f"{placed.upstream}".encode()
                assert 0 < placed.upstream.port < 65536
    assert used
    return used


@pytest.mark.parametrize("name", ODD_VALUES)
def test_vms_beside_an_odd_registration_are_found(served, client, name):
    registry = VmRegistry(client)
    good = Endpoint("127.0.0.2", 1, 2, 3)
    registry.announce("a", good)
    spec = {"ip": "127.0.0.3", "peer_port": PORT}
    for n, path in enumerate(VM_PATHS):
        served.put(VmRegistry.KIND, f"m-{n}", with_value(spec, path, ODD_VALUES[name]))
    served.put(VmRegistry.KIND, "o", ODD_VALUES[name])
    registry.announce("z", good)
    found = registry.read()
    assert found.count(Endpoint(good.ip, 0, 0, good.peer_port)) == 2
    assert all(e.ip.startswith("127.0.0.") and 0 < e.peer_port < 65536 for e in found)


@pytest.mark.parametrize("name", ODD_VALUES)
def test_zones_beside_an_odd_closure_are_closed(served, client, name):
    served.put("evacuations", "a1", {})
    served.put("evacuations", "odd", ODD_VALUES[name])
    served.put("evacuations", "z9", {})
    for values in follow(_feeds(client).closed_zones, served, "evacuations"):
        assert {n for n, revision in values.items() if revision} >= {"a1", "z9"}


def config_paths(doc, path=()):
    inner = doc.items() if isinstance(doc, dict) else enumerate(doc)
    for name, value in inner:
        yield (*path, name)
        if isinstance(value, dict | list):
            yield from config_paths(value, (*path, name))


@pytest.mark.parametrize("name", ODD_VALUES)
def test_configuration_beside_an_odd_one_is_read(served, client, name):
    paths = [path for path in config_paths(platform.CONFIG) if len(path) < 7]
    for n, path in enumerate(paths[::3]):
        served.put("config", f"m-{n}", with_value(platform.CONFIG, path, ODD_VALUES[name]))
    served.put("config", "main", platform.config(77))
    for values in follow(_feeds(client).rules, served, "config"):
        rules = values["main"]
        assert rules.version == 77
        for other in values.values():
            if other is not None:
                doc = unpack_json(pack_json(ruleset_to_json(other)))
                assert ruleset_from_json(doc).version == other.version


@pytest.mark.parametrize("name", ["nested-arrays", "number-of-5000-digits", "lone-surrogate"])
@pytest.mark.parametrize("field", ["name", "revision", "finalizers"])
def test_list_beside_odd_metadata_is_read(served, client, name, field):
    register_around(served, "servers", [(ENTRY["spec"], ENTRY["status"])])
    served.objects[("servers", "m-0")]["metadata"][field] = ODD_VALUES[name]
    found = _feeds(client).upstreams.read()
    assert {"a", "n"} <= {n for n, up in found.values.items() if up is not None}


def test_stand_in_sends_odd_values_as_they_are(served):
    assert isinstance(ODD_VALUES["nested-arrays"], RawJson)
    with pytest.raises(RecursionError):
        json.loads(ODD_VALUES["nested-arrays"])


@pytest.mark.parametrize("name", ODD_VALUES)
def test_configuration_after_an_odd_one_is_read(served, client, name):
    """The odd one is no configuration, or one that VMs can pass on; the next one is in force."""
    feed = _feeds(client).rules
    served.put("config", "main", platform.CONFIG)
    version = feed.read().version
    for path in [path for path in config_paths(platform.CONFIG) if len(path) < 7]:
        served.put("config", "main", with_value(platform.CONFIG, path, ODD_VALUES[name]))
        found = feed.changes(version, 1.0)
        version, rules = found.version, found.values["main"]
        if rules is not None:
            doc = unpack_json(pack_json(ruleset_to_json(rules)))
            assert ruleset_from_json(doc).version == rules.version
    served.put("config", "main", platform.config(77))
    assert feed.changes(version, 1.0).values["main"].version == 77
