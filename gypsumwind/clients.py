"""A client for a daemon's operator pages: status, look-up, histograms."""

import json
from typing import Any

from urllib3.exceptions import HTTPError

from gypsumwind.errors import Code, GypsumwindError
from gypsumwind.hangups import TrackedPoolManager

TIMEOUT_S = 5.0


class EntryClient:
    """Reads pages of one entry VM's daemon."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = TrackedPoolManager()

    def page(self, path: str) -> Any:
        """Return the JSON document of a page; GypsumwindError if it cannot be fetched."""
        try:
            answer = self._pool.request("GET", self._url + path, timeout=TIMEOUT_S)
            doc = json.loads(answer.data)
        except (HTTPError, ValueError) as exc:
            raise GypsumwindError(
                Code.PEER_UNREACHABLE, f"{self._url}{path}: {exc}; check --entry"
            ) from exc
        if answer.status != 200:
            text = doc.get("error", doc) if isinstance(doc, dict) else doc
            raise GypsumwindError(Code.NOT_FOUND, f"{self._url}{path}: {text}")
        return doc

    def status(self) -> dict[str, Any]:
        """Return the status page: zones, VMs, tables and headroom."""
        return self.page("/v1/status")

    def lookup(self, service: str) -> dict[str, Any]:
        """Return the look-up page: the entry VMs for a service."""
        return self.page(f"/v1/entries?service={service}")

    def histograms(self) -> list[dict[str, Any]]:
        """Return the request histograms."""
        return self.page("/v1/histograms")["histograms"]
