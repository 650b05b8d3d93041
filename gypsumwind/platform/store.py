"""HTTP client of the platform's store, which holds objects by kind and name."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

from gypsumwind.connections import KEEPALIVE_OPTIONS
from gypsumwind.core.membership import Endpoint
from gypsumwind.core.versions import Version
from gypsumwind.eras import EraGuard, EraTracker
from gypsumwind.errors import Code, StoreError
from gypsumwind.feeds import Changes
from gypsumwind.hangups import DeadlineTask
from gypsumwind.log import Log
from gypsumwind.platform.headers import STORE_ERA
from gypsumwind.stores import MAX_LOGGED_CHARS, StoreClient
from gypsumwind.utils import is_text, split_address, wall

log = Log("store")

WATCH_MARGIN_S = 1.0
"""Time beyond the wait of a watch after which its answer counts as lost: well over a slow one."""

MAX_PAGES = 1000
"""Maximum number of pages read for one list, lest it never end; a page has some 500 objects."""

MAX_WATCH_WAIT_S = 25.0
"""Longest wait of a watch, in seconds; the platform allows 30 s."""


@dataclass(slots=True, frozen=True)
class StoredObject:
    """One object: its name, the revision of its last change, its spec and its status."""

    name: str
    revision: int
    spec: Any
    status: Any


class PlatformStore:
    """Calls to the store; the code of a StoreError shows whether a write may have been applied."""

    def __init__(
        self,
        url: str,
        timeout_s: float,
        ip: str,
        deadlines: DeadlineTask | None = None,
        eras: EraTracker | None = None,
    ) -> None:
        self._client = StoreClient(url, timeout_s, ip, KEEPALIVE_OPTIONS, deadlines)
        self._era_guard = EraGuard(eras or EraTracker(), STORE_ERA)

    def read_all(self, kind: str) -> tuple[list[StoredObject], Version]:
        """Read the objects of a kind page by page; return them and the version of the list."""
        found: list[StoredObject] = []
        after, first = "", None
        for _ in range(MAX_PAGES):
            doc, era = self._read(kind, {"after": after} if after else {})
            page = _parse_objects(doc.get("items"))
            if doc.get("hasMore") and not page:
                raise StoreError(Code.STORE_UNAVAILABLE, f"list of {kind}: page without any name")
            found.extend(page)
            # A watch from the first page's revision returns changes made between two pages.
            first = Version(era, _parse_revision(doc)) if first is None else first
            if first.era != era:
                raise StoreError(
                    Code.STORE_HISTORY_GONE, f"list of {kind}: restored between two pages"
                )
            if not doc.get("hasMore"):
                return found, first
            after = page[-1].name
        raise StoreError(Code.STORE_UNAVAILABLE, f"list of {kind}: more than {MAX_PAGES} pages")

    def watch(
        self, kind: str, after: Version, wait_s: float
    ) -> tuple[list[tuple[StoredObject, bool]], Version]:
        """Wait for changes of a kind; return each object and whether it was removed.

        Revisions of an earlier era are invalid: such a watch ends with STORE_HISTORY_GONE. So does
        one whose answer an outage may have lost.
        """
        wait_s = min(wait_s, MAX_WATCH_WAIT_S)
        query = {"watch": after.revision, "waitMs": int(wait_s * 1000)}
        guard = self._era_guard.watching(after.era)
        with guard as scope, self._client.outages.watching(scope):
            doc, _ = self._read(kind, query, wait_s + WATCH_MARGIN_S)
        try:
            found = [(_parse_objects([e["object"]]), bool(e["removed"])) for e in doc["events"]]
            events = [(obj, removed) for objs, removed in found for obj in objs]
            return events, Version(after.era, _parse_revision(doc))
        except (KeyError, TypeError) as exc:
            raise StoreError(Code.STORE_UNAVAILABLE, f"watch of {kind}: {exc!r}") from exc

    def upsert(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object unconditionally; only its single writer may call this.

        Return the era of the store that applied the write.
        """
        doc = {"metadata": {"name": name}, "spec": spec}
        reply = self._client.write("POST", f"/objects/{quote(kind)}", doc)
        if reply.status == 409:
            path = f"/objects/{quote(kind)}/{quote(name)}"
            reply = self._client.write("PUT", path, doc)
        if reply.status not in (200, 201):
            raise StoreError(Code.STORE_UNAVAILABLE, f"write {kind}/{name}: status {reply.status}")
        return self._era_guard.era_of(reply.headers)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object; an absent one is not an error."""
        reply = self._client.write("DELETE", f"/objects/{quote(kind)}/{quote(name)}", None)
        if reply.status not in (200, 204, 404):
            raise StoreError(Code.STORE_UNAVAILABLE, f"delete {kind}/{name}: status {reply.status}")

    def _read(
        self, kind: str, query: Mapping[str, Any], timeout_s: float | None = None
    ) -> tuple[dict[str, Any], int]:
        """Return the document and the era of an answer."""
        text = f"?{urlencode(query)}" if query else ""
        reply = self._client.read(f"/objects/{quote(kind)}{text}", timeout_s)
        era = self._era_guard.require_current(reply.headers)
        if reply.status == 410:
            raise StoreError(Code.STORE_HISTORY_GONE, f"read {kind}: the requested history is gone")
        if reply.status != 200 or not isinstance(reply.doc, dict):
            raise StoreError(Code.STORE_UNAVAILABLE, f"read {kind}: status {reply.status}")
        return reply.doc, era


def _parse_revision(doc: Mapping[str, Any]) -> int:
    try:
        return int(doc["at"])
    except (KeyError, TypeError, ValueError, OverflowError) as exc:
        raise StoreError(Code.STORE_UNAVAILABLE, f"malformed revision: {exc!r}") from exc


def _parse_objects(items: Any) -> list[StoredObject]:
    """Return the objects of a list; those without a name are skipped."""
    if not isinstance(items, list):
        raise StoreError(Code.STORE_UNAVAILABLE, "malformed list: items is not an array")
    found = []
    for item in items:
        meta = item.get("metadata") if isinstance(item, dict) else None
        if not isinstance(meta, dict) or not is_text(meta.get("name")):
            log.warning("entry-malformed", feed="", name="", error="no name")
            continue
        revision = meta["revision"] if isinstance(meta.get("revision"), int) else 0
        found.append(StoredObject(meta["name"], revision, item.get("spec"), item.get("status")))
    return found


class KindFeed:
    """A feed of the decoded objects of one kind; malformed ones count as absent."""

    def __init__(
        self, store: PlatformStore, kind: str, decode: Callable[[StoredObject, float], Any]
    ) -> None:
        self._store = store
        self._kind = kind
        self._decode = decode

    def read(self) -> Changes:
        """Return all objects of the kind."""
        found, version = self._store.read_all(self._kind)
        return self._changes([(obj, False) for obj in found], version)

    def changes(self, after: Version, wait_s: float) -> Changes:
        """Wait for changes after a version."""
        events, version = self._store.watch(self._kind, after, wait_s)
        return self._changes(events, version)

    def _changes(self, events: list[tuple[StoredObject, bool]], version: Version) -> Changes:
        values: dict[str, Any] = {}
        decode_errors: list[tuple[str, int, str]] = []
        wall_now = wall()
        for obj, removed in events:
            values[obj.name] = None
            if removed:
                continue
            try:
                values[obj.name] = self._decode(obj, wall_now)
            except (ValueError, ArithmeticError) as exc:
                decode_errors.append((obj.name, obj.revision, str(exc)[:MAX_LOGGED_CHARS]))
        return Changes(values, version, decode_errors)


class VmRegistry:
    """Registry of the entry VMs, stored under a kind of the project's own."""

    KIND = "gypsumwind-vms"

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    def announce(self, vm: str, endpoint: Endpoint) -> int:
        """Store this VM's endpoint and return the era of the store; idempotent."""
        spec = {"ip": endpoint.ip, "peer_port": endpoint.peer_port}
        return self._store.upsert(self.KIND, vm, spec)

    def withdraw(self, vm: str) -> None:
        """Remove this VM's entry."""
        self._store.delete(self.KIND, vm)

    def read(self) -> list[Endpoint]:
        """Return the peer endpoints of the registered VMs; malformed entries are skipped."""
        found, _ = self._store.read_all(self.KIND)
        endpoints = []
        for obj in found:
            try:
                ip, port = split_address(f"{obj.spec['ip']}:{obj.spec['peer_port']}")
            except (KeyError, TypeError, ValueError):
                log.warning("entry-malformed", feed=self.KIND, name=obj.name, error="no address")
                continue
            endpoints.append(Endpoint(ip, 0, 0, port))
        return endpoints
