import threading
import time

import pytest

from gypsumwind.core.membership import Endpoint
from gypsumwind.core.versions import Version
from gypsumwind.eras import Eras
from gypsumwind.errors import Code, StoreError
from gypsumwind.platform.store import KindFeed, PlatformStore, VmRegistry
from tests.standins import platform


@pytest.fixture
def served():
    with platform.PlatformStore() as store:
        yield store


@pytest.fixture
def client(served):
    return PlatformStore(served.url, 0.5, "127.0.0.1")


def names_feed(client):
    return KindFeed(client, "servers", lambda obj, _: obj.spec["address"])


def test_list_is_read_page_after_page(served, client):
    for n in range(8):
        served.register(f"i-{n}", f"127.0.0.1:{n + 1}")
    found, version = client.read_all("servers")
    assert [obj.name for obj in found] == [f"i-{n}" for n in range(8)]
    assert version == Version(served.era, served.revision)


def test_watch_tells_what_changed_and_what_was_removed(served, client):
    feed = names_feed(client)
    start = feed.read().version
    served.register("i-1", "127.0.0.1:1")
    served.register("i-2", "127.0.0.1:2")
    served.remove("servers", "i-1")
    found = feed.changes(start, 5.0)
    assert found.values == {"i-1": None, "i-2": "127.0.0.1:2"}
    assert found.version == Version(served.era, served.revision)


def test_watch_ends_without_events_at_the_end_of_its_wait(served, client):
    found = names_feed(client).changes(Version(served.era, served.revision), 0.05)
    assert not found.values and found.version == Version(served.era, served.revision)


def test_history_that_is_gone_asks_for_a_new_list(served, client):
    served.register("i-1", "127.0.0.1:1")
    served.forget_history()
    with pytest.raises(StoreError) as caught:
        client.watch("servers", Version(), 1.0)
    assert caught.value.code is Code.STORE_HISTORY_GONE


@pytest.mark.parametrize("mode", ["busy", "throttled", "silent", "reset"])
def test_store_that_does_not_answer_is_unavailable(served, client, mode):
    served.set_mode(mode)
    with pytest.raises(StoreError) as caught:
        client.read_all("servers")
    assert caught.value.code is Code.STORE_UNAVAILABLE
    served.set_mode("ok")
    assert client.read_all("servers") == ([], Version(served.era, served.revision))


def test_malformed_entry_counts_as_absent_and_is_told(served, client):
    served.put("servers", "odd", "no entry")
    served.register("i-1", "127.0.0.1:1")

    def decode(obj, _):
        if not isinstance(obj.spec, dict):
            raise ValueError("no table")
        return obj.spec["address"]

    found = KindFeed(client, "servers", decode).read()
    assert found.values == {"odd": None, "i-1": "127.0.0.1:1"}
    assert [(name, text) for name, _, text in found.decode_errors] == [("odd", "no table")]


def test_announced_vms_are_found_replaced_and_withdrawn(served, client):
    registry = VmRegistry(client)
    registry.announce("vm-1", Endpoint("127.0.0.1", 1, 2, 3))
    registry.announce("vm-1", Endpoint("127.0.0.2", 1, 2, 3))
    served.put(VmRegistry.KIND, "odd", ["no address"])
    assert registry.read() == [Endpoint("127.0.0.2", 0, 0, 3)]
    registry.withdraw("vm-1")
    registry.withdraw("vm-1")
    assert registry.read() == []


def test_announcement_that_the_store_refuses_is_an_error(served, client):
    served.set_mode("busy")
    with pytest.raises(StoreError):
        VmRegistry(client).announce("vm-1", Endpoint("127.0.0.1", 1, 2, 3))


def test_every_answer_tells_the_era_and_changes_of_a_later_one_ask_for_a_new_list(served, client):
    feed = names_feed(client)
    copy = served.copy()
    served.register("i-1", "127.0.0.1:1")
    before = feed.read().version
    served.restore(copy)
    for n in range(3):
        served.register(f"i-{n}", f"127.0.0.1:{n + 10}")
    assert before.era == 1 and served.revision > before.revision
    with pytest.raises(StoreError) as caught:
        feed.changes(before, 5.0)
    assert caught.value.code is Code.STORE_HISTORY_GONE
    assert feed.read().version == Version(2, served.revision)


def test_watch_that_waits_ends_when_another_call_tells_of_a_later_era(served):
    """By its revision, which the copy does not have, the store might let it wait for long."""
    eras = Eras()
    client = PlatformStore(served.url, 0.5, "127.0.0.1", eras=eras)
    start = names_feed(client).read().version
    threading.Timer(0.3, eras.observe, (start.era + 1, "vm-2")).start()
    began = time.monotonic()
    with pytest.raises(StoreError) as caught:
        names_feed(client).changes(start, 20.0)
    assert caught.value.code is Code.STORE_HISTORY_GONE and time.monotonic() - began < 10


def test_answer_of_an_era_that_is_over_is_dropped(served):
    eras = Eras()
    client = PlatformStore(served.url, 0.5, "127.0.0.1", eras=eras)
    eras.observe(served.era + 1, "vm-2")
    with pytest.raises(StoreError) as caught:
        client.read_all("servers")
    assert caught.value.code is Code.STORE_UNAVAILABLE


def test_list_whose_pages_are_of_two_eras_is_read_anew(served, client, monkeypatch):
    for n in range(8):
        served.register(f"i-{n}", f"127.0.0.1:{n + 1}")
    copy, page = served.copy(), served.page

    def restored_after_first(kind, after):
        if after and served.era == 1:
            served.restore(copy)
        return page(kind, after)

    monkeypatch.setattr(served, "page", restored_after_first)
    with pytest.raises(StoreError) as caught:
        client.read_all("servers")
    assert caught.value.code is Code.STORE_HISTORY_GONE
    assert client.read_all("servers")[1].era == 2


def test_store_that_tells_no_era_stays_in_era_0(served, client):
    served.era = None
    assert client.read_all("servers")[1].era == 0


def test_announcement_tells_the_era_of_the_store_that_has_it(served, client):
    endpoint = Endpoint("127.0.0.1", 1, 2, 3)
    copy = served.copy()
    assert VmRegistry(client).announce("vm-1", endpoint) == 1
    served.restore(copy)
    assert VmRegistry(client).read() == []
    assert VmRegistry(client).announce("vm-1", endpoint) == 2
