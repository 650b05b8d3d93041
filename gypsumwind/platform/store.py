"""A client of the platform's store of objects by kind and name, over HTTP."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

from gypsumwind.connections import WAITING_OPTIONS
from gypsumwind.core.membership import Endpoint
from gypsumwind.errors import Code, StoreError
from gypsumwind.feeds import Changes
from gypsumwind.hangups import Cutter
from gypsumwind.log import Log
from gypsumwind.stores import StoreCalls
from gypsumwind.utils import wall

log = Log("store")

WATCH_MARGIN_S = 3.0
"""Time beyond the wait of a watch after which the connection counts as silent."""

MAX_PAGES = 1000
"""Pages of one list; a page holds some 500 objects, and a list that never ends must end here."""

MAX_WAIT_S = 25.0
"""Longest wait of a watch; the platform allows 30 s."""


@dataclass(slots=True, frozen=True)
class StoredObject:
    """One object: its name, the revision of its last change, and what it holds."""

    name: str
    revision: int
    spec: Any
    status: Any


class PlatformStore:
    """Calls to the store; StoreError tells whether a call may have been done."""

    def __init__(self, url: str, timeout_s: float, ip: str, cutter: Cutter | None = None) -> None:
        self._calls = StoreCalls(url, timeout_s, ip, WAITING_OPTIONS, cutter)

    def read_all(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return the objects of a kind and the revision that they are of, page after page."""
        found: list[StoredObject] = []
        after, revision = "", None
        for _ in range(MAX_PAGES):
            doc = self._read(kind, {"after": after} if after else {})
            page = _objects(doc.get("items"))
            found.extend(page)
            # Changes between two pages are seen again by a watch from the first page's revision.
            revision = _revision(doc) if revision is None else revision
            if not doc.get("hasMore") or not page:
                return found, revision
            after = page[-1].name
        raise StoreError(Code.STORE_UNAVAILABLE, f"list of {kind}: more than {MAX_PAGES} pages")

    def watch(
        self, kind: str, after: int, wait_s: float
    ) -> tuple[list[tuple[StoredObject, bool]], int]:
        """Wait for changes of a kind; returns each object and whether it was removed."""
        wait_s = min(wait_s, MAX_WAIT_S)
        doc = self._read(
            kind, {"watch": after, "waitMs": int(wait_s * 1000)}, wait_s + WATCH_MARGIN_S
        )
        try:
            events = [(_object(e["object"]), bool(e["removed"])) for e in doc["events"]]
            return events, _revision(doc)
        except (KeyError, TypeError) as exc:
            raise StoreError(Code.STORE_UNAVAILABLE, f"watch of {kind}: {exc!r}") from exc

    def put_whole(self, kind: str, name: str, spec: Any) -> None:
        """Create an object, or replace it whatever it is; only its one writer may call this."""
        doc = {"metadata": {"name": name}, "spec": spec}
        status, _ = self._calls.write("POST", f"/objects/{quote(kind)}", doc)
        if status == 409:
            path = f"/objects/{quote(kind)}/{quote(name)}"
            status, _ = self._calls.write("PUT", path, doc)
        if status not in (200, 201):
            raise StoreError(Code.STORE_UNAVAILABLE, f"write {kind}/{name}: status {status}")

    def delete(self, kind: str, name: str) -> None:
        """Remove an object; one that is not there is fine."""
        status, _ = self._calls.write("DELETE", f"/objects/{quote(kind)}/{quote(name)}", None)
        if status not in (200, 204, 404):
            raise StoreError(Code.STORE_UNAVAILABLE, f"delete {kind}/{name}: status {status}")

    def _read(self, kind: str, query: Mapping[str, Any], timeout_s: float | None = None) -> Any:
        text = f"?{urlencode(query)}" if query else ""
        status, doc = self._calls.read(f"/objects/{quote(kind)}{text}", timeout_s)
        if status == 410:
            raise StoreError(Code.STORE_HISTORY_GONE, f"read {kind}: the history is gone")
        if status != 200 or not isinstance(doc, dict):
            raise StoreError(Code.STORE_UNAVAILABLE, f"read {kind}: status {status}")
        return doc


def _object(doc: Any) -> StoredObject:
    try:
        meta = doc["metadata"]
        return StoredObject(
            str(meta["name"]), int(meta["revision"]), doc.get("spec"), doc.get("status")
        )
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as exc:
        raise StoreError(Code.STORE_UNAVAILABLE, f"object from the store: {exc!r}") from exc


def _revision(doc: Mapping[str, Any]) -> int:
    """Return the store's revision that an answer is of."""
    try:
        return int(doc["at"])
    except (KeyError, TypeError, ValueError, OverflowError) as exc:
        raise StoreError(Code.STORE_UNAVAILABLE, f"revision of an answer: {exc!r}") from exc


def _objects(items: Any) -> list[StoredObject]:
    if not isinstance(items, list):
        raise StoreError(Code.STORE_UNAVAILABLE, "the store's list has no items")
    return [_object(item) for item in items]


class KindFeed:
    """The objects of one kind, decoded; a malformed one counts as absent."""

    def __init__(
        self, store: PlatformStore, kind: str, decode: Callable[[StoredObject, float], Any]
    ) -> None:
        self._store = store
        self._kind = kind
        self._decode = decode

    def read(self) -> Changes:
        """Return everything of the kind."""
        found, revision = self._store.read_all(self._kind)
        return self._changes([(obj, False) for obj in found], revision)

    def changes(self, after: int, wait_s: float) -> Changes:
        """Wait for what changes after a revision."""
        events, revision = self._store.watch(self._kind, after, wait_s)
        return self._changes(events, revision)

    def _changes(self, events: list[tuple[StoredObject, bool]], revision: int) -> Changes:
        values: dict[str, Any] = {}
        faults: list[tuple[str, int, str]] = []
        epoch = wall()
        for obj, removed in events:
            values[obj.name] = None
            if removed:
                continue
            try:
                values[obj.name] = self._decode(obj, epoch)
            except ValueError as exc:
                faults.append((obj.name, obj.revision, str(exc)))
        return Changes(values, revision, faults)


class VmRegistry:
    """The entry VMs that have announced themselves, in a kind of the project's own."""

    KIND = "gypsumwind-vms"

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    def announce(self, vm: str, endpoint: Endpoint) -> None:
        """Write where this VM is reached; the same call again changes nothing."""
        self._store.put_whole(self.KIND, vm, {"ip": endpoint.ip, "peer_port": endpoint.peer_port})

    def withdraw(self, vm: str) -> None:
        """Remove this VM's entry."""
        self._store.delete(self.KIND, vm)

    def read(self) -> list[Endpoint]:
        """Return where the announced VMs are reached by peers; malformed entries are left out."""
        found, _ = self._store.read_all(self.KIND)
        endpoints = []
        for obj in found:
            try:
                endpoint = Endpoint(str(obj.spec["ip"]), 0, 0, int(obj.spec["peer_port"]))
            except (KeyError, TypeError, ValueError):
                log.warning("entry-malformed", feed=self.KIND, name=obj.name, error="no address")
                continue
            endpoints.append(endpoint)
        return endpoints
