"""For any input, a decoder returns a value or raises the error that its caller expects."""

import copy
from dataclasses import asdict

from hypothesis import example, given
from hypothesis import strategies as st
from urllib3 import HTTPHeaderDict

from gypsumwind.core.membership import Ack, Endpoint, Member, Probe, State
from gypsumwind.core.rules import ruleset_from_json, ruleset_to_json
from gypsumwind.core.upstreams import upstream_from_json
from gypsumwind.core.versions import Version
from gypsumwind.eras import EraTracker
from gypsumwind.errors import SettingsError, StoreError
from gypsumwind.outages import OutageGuard
from gypsumwind.platform.decoding import decode_ruleset, decode_upstream
from gypsumwind.platform.headers import read_load
from gypsumwind.platform.settings import read_platform_settings
from gypsumwind.platform.store import KindFeed, PlatformStore
from gypsumwind.stores import StoreResponse
from gypsumwind.wire import datagram_from_bytes, datagram_to_bytes
from tests.standins.platform import CONFIG, server_entry, settings_lines

ARBITRARY = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from(["", "127.0.0.1:1", "127.0.0.1:99999", "ready", "safe"]),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=4,
)
ENTRY = server_entry("127.0.0.1:80")
OBJECT = {"metadata": {"name": "i-1", "revision": 3}, **ENTRY}


def node_paths(doc, path=()):
    """Return the paths of all nodes of a JSON document."""
    inner = (
        doc.items() if isinstance(doc, dict) else enumerate(doc if isinstance(doc, list) else ())
    )
    return [
        path,
        *(node_path for key, value in inner for node_path in node_paths(value, (*path, key))),
    ]


@st.composite
def corrupted(draw, doc):
    """Return the document with up to three nodes replaced by arbitrary JSON or removed."""
    changed_doc = copy.deepcopy(doc)
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(node_paths(changed_doc)))
        if not path:
            return draw(ARBITRARY)
        part = changed_doc
        for key in path[:-1]:
            part = part[key]
        if draw(st.booleans()):
            part[path[-1]] = draw(ARBITRARY)
        else:
            del part[path[-1]]
    return changed_doc


@given(spec=corrupted(CONFIG))
def test_decode_ruleset_of_a_corrupted_configuration(spec):
    try:
        rules = decode_ruleset("main", spec)
    except ValueError:
        return
    assert ruleset_from_json(ruleset_to_json(rules)) == rules


@given(entry=corrupted(ENTRY))
def test_decode_upstream_of_a_corrupted_entry(entry):
    try:
        up = decode_upstream("i-1", entry, 1000.0)
    except ValueError:
        return
    assert upstream_from_json(asdict(up)) == up


@given(text=st.text(max_size=12) | st.from_regex(r"[0-9]{1,3},[0-9]{1,3},[0-9]{1,3}"))
def test_read_load_of_any_text(text):
    report = read_load(text)
    assert report is None or min(report.running, report.waiting, report.slots) >= 0


class Calls:
    """Stands in for the HTTP calls to the store: returns one document."""

    def __init__(self, doc, headers=()):
        self.doc, self.headers = doc, headers
        self.outages = OutageGuard()

    def read(self, path, timeout_s=None):
        return StoreResponse(200, HTTPHeaderDict(self.headers), b"", self.doc)


def feed(doc, headers=(), eras=None):
    store = PlatformStore("http://127.0.0.1:1", 1.0, "127.0.0.1", eras=eras)
    store._client = Calls(doc, headers)
    decode = lambda obj, wall_now: decode_upstream(  # noqa: E731
        obj.name, {"spec": obj.spec, "status": obj.status}, wall_now
    )
    return KindFeed(store, "servers", decode)


@given(doc=corrupted({"items": [OBJECT], "hasMore": False, "at": 9}))
def test_read_of_a_corrupted_list(doc):
    try:
        feed(doc).read()
    except StoreError:
        return


@given(doc=corrupted({"events": [{"object": OBJECT, "removed": False}], "at": 9}))
def test_watch_with_corrupted_events(doc):
    try:
        feed(doc).changes(Version(0, 3), 0.1)
    except StoreError:
        return


@given(data=st.binary(max_size=80))
def test_datagram_of_any_bytes(data):
    try:
        datagram_from_bytes(data)
    except ValueError:
        return


@given(cut=st.integers(0, 300), at=st.integers(0, 300), byte=st.integers(0, 255))
def test_datagram_that_is_truncated_or_has_a_changed_byte(cut, at, byte):
    me = Member("vm-1", "a1", Endpoint("127.0.0.1", 1, 2, 3), 5, State.ALIVE)
    for message in (Probe(7, me, (me, me), me.endpoint), Ack(7, me, ())):
        data = bytearray(datagram_to_bytes(message))
        data[at % len(data)] = byte
        try:
            datagram_from_bytes(bytes(data[: cut or len(data)]))
        except ValueError:
            continue


@given(drop=st.integers(0, 60), line=st.text(max_size=30), at=st.integers(0, 60))
def test_settings_file_with_changed_lines(tmp_path_factory, drop, line, at):
    lines = settings_lines("vm-1", "127.0.0.1")
    lines[drop % len(lines)] = line
    lines[at % len(lines)] = lines[at % len(lines)].partition("=")[0] + "=" + line
    path = tmp_path_factory.getbasetemp() / "fuzz.conf"
    path.write_text("\n".join(lines), encoding="utf-8", errors="replace")
    try:
        read_platform_settings(str(path))
    except SettingsError as exc:
        assert exc.message


@given(text=st.text(max_size=12) | st.from_regex(r"[0-9]{1,12}", fullmatch=True))
@example(text="9" * 5000)
def test_era_header_of_any_text(text):
    """With any value of the header the list is read, unless its era is superseded."""
    eras = EraTracker()
    eras.observe(7, "test")
    doc = {"items": [OBJECT], "hasMore": False, "at": 9}
    try:
        found = feed(doc, {"Store-Era": text}, eras).read()
    except StoreError:
        assert int(text) < 7
        return
    assert found.version.era == eras.current >= 7
    assert eras.current == 7 or eras.current == int(text)
