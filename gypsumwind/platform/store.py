"""A client of the platform's store of objects by kind and name, over HTTP."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

from gypsumwind.connections import WAITING_OPTIONS
from gypsumwind.core.membership import Endpoint
from gypsumwind.core.versions import Version
from gypsumwind.eras import EraGuard, Eras
from gypsumwind.errors import Code, StoreError
from gypsumwind.feeds import Changes
from gypsumwind.hangups import Cutter
from gypsumwind.log import Log
from gypsumwind.platform.headers import STORE_ERA
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

    def __init__(
        self,
        url: str,
        timeout_s: float,
        ip: str,
        cutter: Cutter | None = None,
        eras: Eras | None = None,
    ) -> None:
        self._calls = StoreCalls(url, timeout_s, ip, WAITING_OPTIONS, cutter)
        self._guard = EraGuard(eras or Eras(), STORE_ERA)

    def read_all(self, kind: str) -> tuple[list[StoredObject], Version]:
        """Return the objects of a kind and the version that they are of, page after page."""
        found: list[StoredObject] = []
        after, first = "", None
        for _ in range(MAX_PAGES):
            doc, era = self._read(kind, {"after": after} if after else {})
            page = _objects(doc.get("items"))
            found.extend(page)
            # Changes between two pages are seen again by a watch from the first page's revision.
            first = Version(era, _revision(doc)) if first is None else first
            if first.era != era:
                raise StoreError(
                    Code.STORE_HISTORY_GONE, f"list of {kind}: restored between two pages"
                )
            if not doc.get("hasMore") or not page:
                return found, first
            after = page[-1].name
        raise StoreError(Code.STORE_UNAVAILABLE, f"list of {kind}: more than {MAX_PAGES} pages")

    def watch(
        self, kind: str, after: Version, wait_s: float
    ) -> tuple[list[tuple[StoredObject, bool]], Version]:
        """Wait for changes of a kind; returns each object and whether it was removed.

        The revisions of an earlier era mean nothing: such a watch ends with STORE_HISTORY_GONE.
        """
        wait_s = min(wait_s, MAX_WAIT_S)
        query = {"watch": after.revision, "waitMs": int(wait_s * 1000)}
        with self._guard.watching(after.era):
            doc, _ = self._read(kind, query, wait_s + WATCH_MARGIN_S)
        try:
            events = [(_object(e["object"]), bool(e["removed"])) for e in doc["events"]]
            return events, Version(after.era, _revision(doc))
        except (KeyError, TypeError) as exc:
            raise StoreError(Code.STORE_UNAVAILABLE, f"watch of {kind}: {exc!r}") from exc

    def put_whole(self, kind: str, name: str, spec: Any) -> int:
        """Create an object, or replace it whatever it is; only its one writer may call this.

        Returns the era of the store that has it.
        """
        doc = {"metadata": {"name": name}, "spec": spec}
        reply = self._calls.write("POST", f"/objects/{quote(kind)}", doc)
        if reply.status == 409:
            path = f"/objects/{quote(kind)}/{quote(name)}"
            reply = self._calls.write("PUT", path, doc)
        if reply.status not in (200, 201):
            raise StoreError(Code.STORE_UNAVAILABLE, f"write {kind}/{name}: status {reply.status}")
        return self._guard.hear(reply.headers)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object; one that is not there is fine."""
        reply = self._calls.write("DELETE", f"/objects/{quote(kind)}/{quote(name)}", None)
        if reply.status not in (200, 204, 404):
            raise StoreError(Code.STORE_UNAVAILABLE, f"delete {kind}/{name}: status {reply.status}")

    def _read(
        self, kind: str, query: Mapping[str, Any], timeout_s: float | None = None
    ) -> tuple[dict[str, Any], int]:
        """Return the document of an answer and the era that it is of."""
        text = f"?{urlencode(query)}" if query else ""
        reply = self._calls.read(f"/objects/{quote(kind)}{text}", timeout_s)
        era = self._guard.check(reply.headers)
        if reply.status == 410:
            raise StoreError(Code.STORE_HISTORY_GONE, f"read {kind}: the history is gone")
        if reply.status != 200 or not isinstance(reply.doc, dict):
            raise StoreError(Code.STORE_UNAVAILABLE, f"read {kind}: status {reply.status}")
        return reply.doc, era


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
        found, version = self._store.read_all(self._kind)
        return self._changes([(obj, False) for obj in found], version)

    def changes(self, after: Version, wait_s: float) -> Changes:
        """Wait for what changes after a version."""
        events, version = self._store.watch(self._kind, after, wait_s)
        return self._changes(events, version)

    def _changes(self, events: list[tuple[StoredObject, bool]], version: Version) -> Changes:
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
        return Changes(values, version, faults)


class VmRegistry:
    """The entry VMs that have announced themselves, in a kind of the project's own."""

    KIND = "gypsumwind-vms"

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    def announce(self, vm: str, endpoint: Endpoint) -> int:
        """Write where this VM is reached, and return the era; the same call changes nothing."""
        spec = {"ip": endpoint.ip, "peer_port": endpoint.peer_port}
        return self._store.put_whole(self.KIND, vm, spec)

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
