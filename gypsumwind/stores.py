"""The platform's object API: a Protocol, and its HTTP client (API in docs/platform.md)."""

import json
from collections.abc import Iterator, Mapping, Sequence
from contextlib import nullcontext
from dataclasses import dataclass, replace
from typing import Any, Protocol
from urllib.parse import quote

from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError
from urllib3.util import Timeout

from gypsumwind.errors import Code, StoreError
from gypsumwind.hangups import CancelScope, DeadlineTask, TrackedPoolManager, in_scope
from gypsumwind.log import Log
from gypsumwind.outages import OutageGuard
from gypsumwind.utils import is_text, monotonic, parse_json

log = Log("stores")

WATCH_MARGIN_S = 2.0
OBJECTS_PER_PAGE = 50

CONNECT_TIMEOUT_S = 1.0
"""Connect timeout; a store accepts within some milliseconds."""

MAX_LOGGED_CHARS = 200
"""Characters of an error about another writer's entry that go into a log line."""

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Size limit of a response; a store sends about 1 MB in one."""

SocketOptions = Sequence[tuple[int, int, int | bytes]]


@dataclass(slots=True, frozen=True)
class StoredObject:
    """An object and its version in the store."""

    key: str
    version: int
    value: Any


@dataclass(slots=True, frozen=True)
class Listing:
    """Objects under a prefix at a revision of the store.

    `next_key` is the first key of the next page of a list, empty on the last page.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    next_key: str = ""


@dataclass(slots=True, frozen=True)
class PlatformVm:
    """An entry of the platform's list of VMs, which may be stale."""

    vm: str
    ip: str
    zone: str
    leaving: bool


class Store(Protocol):
    """The platform calls that gypsumwind requires; each ends by its timeout."""

    def get(self, key: str) -> StoredObject | None:
        """Return an object, None if there is none."""
        ...

    def put(self, key: str, value: Any, expected: int | None) -> int:
        """Write an object if its version is `expected` (None: absent); return the new version.

        StoreError: STORE_CONFLICT if the version differs, STORE_OUTCOME_UNKNOWN if the response
        was lost, STORE_UNAVAILABLE if nothing was written.
        """
        ...

    def list_objects(self, prefix: str) -> Iterator[Listing]:
        """Yield all objects under a prefix, page by page."""
        ...

    def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Long-poll for changes after a revision; return the changed objects, possibly none.

        StoreError: STORE_HISTORY_GONE if an outage may have lost its answer.
        """
        ...

    def vms(self) -> list[PlatformVm]:
        """Return the list of VMs."""
        ...


@dataclass(slots=True, frozen=True)
class StoreResponse:
    """A response of a store: status, headers, body, and the decoded document of a read."""

    status: int
    headers: Mapping[str, str]
    data: bytes
    doc: Any = None


class StoreClient:
    """HTTP client of a store, with the errors that are common to all its calls.

    `outages` ends the watches whose answers an outage may have lost.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float,
        ip: str | None = None,
        socket_options: SocketOptions | None = None,
        deadlines: DeadlineTask | None = None,
    ) -> None:
        self.outages = OutageGuard()
        self._deadlines = deadlines
        self._url = url
        self._timeout_s = timeout_s
        options: dict[str, Any] = (
            {} if socket_options is None else {"socket_options": socket_options}
        )
        self._pool = TrackedPoolManager(
            maxsize=4,
            block=False,
            source_address=(ip, 0) if ip else None,
            **options,
        )

    def read(self, path: str, timeout_s: float | None = None) -> StoreResponse:
        """Return the response to a read; it has a document only if the status is 200 or 404.

        StoreError: STORE_UNAVAILABLE if there was no response, or its body is not JSON.
        """
        with self.outages.calling() as call:
            try:
                reply = self._call("GET", path, timeout_s)
                doc = parse_json(reply.data) if reply.status in (200, 404) else None
            except (HTTPError, ValueError) as exc:
                raise StoreError(Code.STORE_UNAVAILABLE, f"read {path}: {exc}") from exc
            call.refused = reply.status in (429, 503)
        return replace(reply, doc=doc)

    def write(
        self, method: str, path: str, doc: Any, headers: Mapping[str, str] | None = None
    ) -> StoreResponse:
        """Make a call that changes the store, and return the response.

        StoreError: STORE_UNAVAILABLE if the call was not sent, STORE_OUTCOME_UNKNOWN if there was
        no response: the change may have been made, or may still be made.
        """
        body = None if doc is None else json.dumps(doc).encode()
        content_type = {"Content-Type": "application/json"} if body else {}
        try:
            return self._call(method, path, None, body, {**content_type, **(headers or {})})
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise StoreError(Code.STORE_UNAVAILABLE, f"{method} {path}: {exc}") from exc
        except HTTPError as exc:
            raise StoreError(Code.STORE_OUTCOME_UNKNOWN, f"{method} {path}: {exc}") from exc

    def _call(
        self,
        method: str,
        path: str,
        timeout_s: float | None,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> StoreResponse:
        """Return the response; HTTPError unless it is whole in time and within the size limit."""
        read_s = timeout_s or self._timeout_s
        timeout = Timeout(connect=CONNECT_TIMEOUT_S, read=read_s)
        deadline = monotonic() + CONNECT_TIMEOUT_S + read_s
        with self._deadlines.enforce(deadline) if self._deadlines else nullcontext():
            response = self._pool.request(
                method,
                self._url + path,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )
        data = response.read(MAX_RESPONSE_BYTES + 1)
        if len(data) > MAX_RESPONSE_BYTES:
            response.close()
            raise HTTPError(f"an answer of more than {MAX_RESPONSE_BYTES} bytes")
        response.release_conn()
        return StoreResponse(response.status, response.headers, data)


class HttpStore:
    """The platform's store over HTTP."""

    def __init__(
        self,
        url: str,
        timeout_s: float,
        ip: str | None = None,
        deadlines: DeadlineTask | None = None,
    ) -> None:
        self._client = StoreClient(url, timeout_s, ip, deadlines=deadlines)

    def get(self, key: str) -> StoredObject | None:
        """Return an object, None if there is none."""
        status, doc = self._read(f"/v1/objects/{quote(key)}")
        if status == 404:
            return None
        return _parse_object(doc)

    def put(self, key: str, value: Any, expected: int | None) -> int:
        """Write an object if its version is `expected`, and return the new version."""
        condition = {"If-None-Match": "*"} if expected is None else {"If-Match": f'"{expected}"'}
        reply = self._client.write("PUT", f"/v1/objects/{quote(key)}", value, condition)
        return _parse_written_version(key, reply.status, reply.data)

    def list_objects(self, prefix: str) -> Iterator[Listing]:
        """Yield all objects under a prefix, page by page."""
        start = ""
        while True:
            query = f"prefix={quote(prefix)}&start={quote(start)}&limit={OBJECTS_PER_PAGE}"
            _, doc = self._read(f"/v1/objects?{query}")
            page = _parse_listing(doc)
            yield page
            if not page.next_key:
                return
            start = page.next_key

    def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Long-poll for changes after a revision."""
        query = f"prefix={quote(prefix)}&after={after}&wait={wait_s:g}"
        scope = CancelScope()
        with in_scope(scope), self._client.outages.watching(scope):
            _, doc = self._read(f"/v1/watch?{query}", wait_s + WATCH_MARGIN_S)
        return _parse_listing(doc)

    def vms(self) -> list[PlatformVm]:
        """Return the list of VMs."""
        _, doc = self._read("/v1/vms")
        try:
            found = list(doc["vms"])
        except (KeyError, TypeError) as exc:
            raise StoreError(Code.STORE_UNAVAILABLE, f"malformed list of VMs: {exc!r}") from exc
        vms = []
        for item in found:
            try:
                texts = item["vm"], item["ip"], item["zone"]
                leaving = item["state"] == "leaving"
            except (KeyError, TypeError) as exc:
                log.warning("entry-malformed", feed="vms", name="", error=repr(exc))
                continue
            if all(map(is_text, texts)):
                vms.append(PlatformVm(*texts, leaving))
        return vms

    def _read(self, path: str, timeout_s: float | None = None) -> tuple[int, Any]:
        reply = self._client.read(path, timeout_s)
        if reply.doc is None:
            raise StoreError(Code.STORE_UNAVAILABLE, f"read {path}: status {reply.status}")
        return reply.status, reply.doc


def _parse_written_version(key: str, status: int, data: bytes) -> int:
    if status in (200, 201):
        try:
            return int(json.loads(data)["version"])
        except (ValueError, KeyError, TypeError) as exc:
            raise StoreError(
                Code.STORE_OUTCOME_UNKNOWN, f"write {key}: malformed response: {exc!r}"
            ) from exc
    if status in (409, 412):
        raise StoreError(Code.STORE_CONFLICT, f"write {key}: the object was changed concurrently")
    if status in (429, 503):
        raise StoreError(Code.STORE_UNAVAILABLE, f"write {key}: status {status}")
    raise StoreError(Code.STORE_OUTCOME_UNKNOWN, f"write {key}: status {status}")


def _parse_object(doc: Mapping[str, Any]) -> StoredObject:
    try:
        return StoredObject(str(doc["key"]), int(doc["version"]), doc["value"])
    except (KeyError, TypeError, ValueError, OverflowError) as exc:
        raise StoreError(Code.STORE_UNAVAILABLE, f"object from the store: {exc!r}") from exc


def _parse_listing(doc: Mapping[str, Any]) -> Listing:
    try:
        items = list(doc["objects"])
        revision, next_key = int(doc["revision"]), str(doc.get("next", ""))
    except (KeyError, TypeError, ValueError, OverflowError) as exc:
        raise StoreError(
            Code.STORE_UNAVAILABLE, f"malformed listing from the store: {exc!r}"
        ) from exc
    objects = []
    for item in items:
        try:
            objects.append(_parse_object(item))
        except StoreError as exc:
            log.error("object-unreadable", key="", error=exc.message[:MAX_LOGGED_CHARS])
    return Listing(tuple(objects), revision, next_key)
