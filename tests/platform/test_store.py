import threading
import time

import pytest

from gypsumwind.core.membership import Endpoint
from gypsumwind.core.versions import Version
from gypsumwind.eras import EraTracker
from gypsumwind.errors import Code, StoreError
from gypsumwind.platform.store import KindFeed, PlatformStore, VmRegistry


def names_feed(client):
    return KindFeed(client, "servers", lambda obj, _: obj.spec["address"])


def test_list_is_read_page_by_page(served, client):
    for n in range(8):
        served.register(f"i-{n}", f"127.0.0.1:{n + 1}")
    found, version = client.read_all("servers")
    assert [obj.name for obj in found] == [f"i-{n}" for n in range(8)]
    assert version == Version(served.era, served.revision)


def test_watch_reports_changed_and_removed_objects(served, client):
    feed = names_feed(client)
    start = feed.read().version
    served.register("i-1", "127.0.0.1:1")
    served.register("i-2", "127.0.0.1:2")
    served.remove("servers", "i-1")
    found = feed.changes(start, 5.0)
    assert found.values == {"i-1": None, "i-2": "127.0.0.1:2"}
    assert found.version == Version(served.era, served.revision)


def test_watch_returns_without_events_after_its_wait(served, client):
    found = names_feed(client).changes(Version(served.era, served.revision), 0.05)
    assert not found.values and found.version == Version(served.era, served.revision)


def test_missing_history_raises_history_gone(served, client):
    served.register("i-1", "127.0.0.1:1")
    served.compact_history()
    with pytest.raises(StoreError) as caught:
        client.watch("servers", Version(), 1.0)
    assert caught.value.code is Code.STORE_HISTORY_GONE


@pytest.mark.parametrize("mode", ["busy", "throttled", "silent", "reset"])
def test_failing_store_is_reported_as_unavailable(served, client, mode):
    served.set_mode(mode)
    with pytest.raises(StoreError) as caught:
        client.read_all("servers")
    assert caught.value.code is Code.STORE_UNAVAILABLE
    served.set_mode("ok")
    assert client.read_all("servers") == ([], Version(served.era, served.revision))


def test_malformed_entry_counts_as_absent_and_is_reported(served, client):
    served.put("servers", "odd", "no entry")
    served.register("i-1", "127.0.0.1:1")

    def decode(obj, _):
        if not isinstance(obj.spec, dict):
            raise ValueError("no table")
        return obj.spec["address"]

    found = KindFeed(client, "servers", decode).read()
    assert found.values == {"odd": None, "i-1": "127.0.0.1:1"}
    assert [(name, text) for name, _, text in found.decode_errors] == [("odd", "no table")]


def test_vm_registration_is_read_replaced_and_withdrawn(served, client):
    registry = VmRegistry(client)
    registry.announce("vm-1", Endpoint("127.0.0.1", 1, 2, 3))
    registry.announce("vm-1", Endpoint("127.0.0.2", 1, 2, 3))
    served.put(VmRegistry.KIND, "odd", ["no address"])
    assert registry.read() == [Endpoint("127.0.0.2", 0, 0, 3)]
    registry.withdraw("vm-1")
    registry.withdraw("vm-1")
    assert registry.read() == []


def test_registration_that_the_store_refuses_is_an_error(served, client):
    served.set_mode("busy")
    with pytest.raises(StoreError):
        VmRegistry(client).announce("vm-1", Endpoint("127.0.0.1", 1, 2, 3))


def test_watch_from_an_earlier_era_raises_history_gone(served, client):
    feed = names_feed(client)
    backup = served.take_backup()
    served.register("i-1", "127.0.0.1:1")
    before = feed.read().version
    served.restore(backup)
    for n in range(3):
        served.register(f"i-{n}", f"127.0.0.1:{n + 10}")
    assert before.era == 1 and served.revision > before.revision
    with pytest.raises(StoreError) as caught:
        feed.changes(before, 5.0)
    assert caught.value.code is Code.STORE_HISTORY_GONE
    assert feed.read().version == Version(2, served.revision)


def test_waiting_watch_ends_when_a_later_era_is_observed(served):
    """A restored store may be at a lower revision; the long poll would then last its whole wait."""
    eras = EraTracker()
    client = PlatformStore(served.url, 0.5, "127.0.0.1", eras=eras)
    start = names_feed(client).read().version
    threading.Timer(0.3, eras.observe, (start.era + 1, "vm-2")).start()
    began = time.monotonic()
    with pytest.raises(StoreError) as caught:
        names_feed(client).changes(start, 20.0)
    assert caught.value.code is Code.STORE_HISTORY_GONE and time.monotonic() - began < 10


def test_answer_from_a_superseded_era_is_rejected(served):
    eras = EraTracker()
    client = PlatformStore(served.url, 0.5, "127.0.0.1", eras=eras)
    eras.observe(served.era + 1, "vm-2")
    with pytest.raises(StoreError) as caught:
        client.read_all("servers")
    assert caught.value.code is Code.STORE_UNAVAILABLE


def test_list_with_pages_of_two_eras_raises_history_gone(served, client, monkeypatch):
    for n in range(8):
        served.register(f"i-{n}", f"127.0.0.1:{n + 1}")
    backup, page = served.take_backup(), served.page

    def restore_after_first_page(kind, after):
        if after and served.era == 1:
            served.restore(backup)
        return page(kind, after)

    monkeypatch.setattr(served, "page", restore_after_first_page)
    with pytest.raises(StoreError) as caught:
        client.read_all("servers")
    assert caught.value.code is Code.STORE_HISTORY_GONE
    assert client.read_all("servers")[1].era == 2


def test_store_without_an_era_header_stays_in_era_0(served, client):
    served.era = None
    assert client.read_all("servers")[1].era == 0


def test_registration_returns_the_era_of_the_store(served, client):
    endpoint = Endpoint("127.0.0.1", 1, 2, 3)
    backup = served.take_backup()
    assert VmRegistry(client).announce("vm-1", endpoint) == 1
    served.restore(backup)
    assert VmRegistry(client).read() == []
    assert VmRegistry(client).announce("vm-1", endpoint) == 2
