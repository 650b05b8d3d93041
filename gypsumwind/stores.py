"""The platform's object API: a Protocol, and its HTTP form that docs/platform.md gives."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import quote

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from gypsumwind.errors import Code, StoreError

WATCH_MARGIN_S = 2.0
PAGE_OBJECTS = 50


@dataclass(slots=True, frozen=True)
class StoredObject:
    """An object with the store's version of it."""

    key: str
    version: int
    value: Any


@dataclass(slots=True, frozen=True)
class Listing:
    """Objects under a prefix and the store's revision that they are of.

    `next_key` is where the next page of a list begins, empty after the last.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    next_key: str = ""


@dataclass(slots=True, frozen=True)
class PlatformVm:
    """An entry of the platform's lagging list of VMs."""

    vm: str
    ip: str
    zone: str
    leaving: bool


class Store(Protocol):
    """What gypsumwind needs of the platform; every call ends by its time limit."""

    def get(self, key: str) -> StoredObject | None:
        """Return an object, None if there is none."""
        ...

    def put(self, key: str, value: Any, expected: int | None) -> int:
        """Write an object if its version is as expected (None: absent); return the new one.

        StoreError: STORE_CONFLICT when it is not, STORE_OUTCOME_UNKNOWN when the answer was
        lost, STORE_UNAVAILABLE when nothing was written.
        """
        ...

    def list_objects(self, prefix: str) -> Iterator[Listing]:
        """Yield all objects under a prefix, a page after the other."""
        ...

    def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Wait for changes after a revision; returns the changed objects, maybe none."""
        ...

    def vms(self) -> list[PlatformVm]:
        """Return the list of VMs."""
        ...


class HttpStore:
    """The platform's store over HTTP."""

    def __init__(self, url: str, timeout_s: float, ip: str | None = None) -> None:
        source = (ip, 0) if ip else None
        self._url = url
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(
            retries=False, maxsize=4, block=False, source_address=source
        )

    def get(self, key: str) -> StoredObject | None:
        """Return an object, None if there is none."""
        status, doc = self._read(f"/v1/objects/{quote(key)}")
        if status == 404:
            return None
        return _object(doc)

    def put(self, key: str, value: Any, expected: int | None) -> int:
        """Write an object if its version is as expected, and return the new version."""
        condition = {"If-None-Match": "*"} if expected is None else {"If-Match": f'"{expected}"'}
        headers = {"Content-Type": "application/json", **condition}
        body = json.dumps(value).encode()
        try:
            answer = self._pool.request(
                "PUT",
                f"{self._url}/v1/objects/{quote(key)}",
                body=body,
                headers=headers,
                timeout=self._timeout_s,
            )
        except NewConnectionError as exc:
            raise StoreError(Code.STORE_UNAVAILABLE, f"write {key}: {exc}") from exc
        except HTTPError as exc:
            raise StoreError(Code.STORE_OUTCOME_UNKNOWN, f"write {key}: {exc}") from exc
        return _written(key, answer.status, answer.data)

    def list_objects(self, prefix: str) -> Iterator[Listing]:
        """Yield all objects under a prefix, a page after the other."""
        start = ""
        while True:
            query = f"prefix={quote(prefix)}&start={quote(start)}&limit={PAGE_OBJECTS}"
            _, doc = self._read(f"/v1/objects?{query}")
            page = _listing(doc)
            yield page
            if not page.next_key:
                return
            start = page.next_key

    def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Wait for changes after a revision."""
        query = f"prefix={quote(prefix)}&after={after}&wait={wait_s:g}"
        _, doc = self._read(f"/v1/watch?{query}", wait_s + WATCH_MARGIN_S)
        return _listing(doc)

    def vms(self) -> list[PlatformVm]:
        """Return the list of VMs."""
        _, doc = self._read("/v1/vms")
        try:
            return [
                PlatformVm(str(v["vm"]), str(v["ip"]), str(v["zone"]), v["state"] == "leaving")
                for v in doc["vms"]
            ]
        except (KeyError, TypeError) as exc:
            raise StoreError(Code.STORE_UNAVAILABLE, f"list of VMs: {exc!r}") from exc

    def _read(self, path: str, timeout_s: float | None = None) -> tuple[int, Any]:
        try:
            answer = self._pool.request(
                "GET", self._url + path, timeout=timeout_s or self._timeout_s
            )
            doc = json.loads(answer.data) if answer.status in (200, 404) else None
        except (HTTPError, ValueError) as exc:
            raise StoreError(Code.STORE_UNAVAILABLE, f"read {path}: {exc}") from exc
        if doc is None:
            raise StoreError(Code.STORE_UNAVAILABLE, f"read {path}: status {answer.status}")
        return answer.status, doc


def _written(key: str, status: int, data: bytes) -> int:
    if status in (200, 201):
        try:
            return int(json.loads(data)["version"])
        except (ValueError, KeyError, TypeError) as exc:
            raise StoreError(Code.STORE_OUTCOME_UNKNOWN, f"write {key}: {exc!r}") from exc
    if status in (409, 412):
        raise StoreError(Code.STORE_CONFLICT, f"write {key}: it was changed meanwhile")
    if status in (429, 503):
        raise StoreError(Code.STORE_UNAVAILABLE, f"write {key}: status {status}")
    raise StoreError(Code.STORE_OUTCOME_UNKNOWN, f"write {key}: status {status}")


def _object(doc: Mapping[str, Any]) -> StoredObject:
    try:
        return StoredObject(str(doc["key"]), int(doc["version"]), doc["value"])
    except (KeyError, TypeError, ValueError) as exc:
        raise StoreError(Code.STORE_UNAVAILABLE, f"object from the store: {exc!r}") from exc


def _listing(doc: Mapping[str, Any]) -> Listing:
    try:
        objects = tuple(_object(item) for item in doc["objects"])
        return Listing(objects, int(doc["revision"]), str(doc.get("next", "")))
    except (KeyError, TypeError, ValueError) as exc:
        raise StoreError(Code.STORE_UNAVAILABLE, f"listing from the store: {exc!r}") from exc
