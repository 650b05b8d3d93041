"""HTTP pages for the platform and its callers: readiness, VM look-up and metrics."""

from collections.abc import Callable

from gypsumwind.core.lookup import Entry
from gypsumwind.servers import Exchange


class PlatformPages:
    """The pages on the readiness, directory and control addresses."""

    def __init__(
        self,
        ready: Callable[[], bool],
        look_up: Callable[[str, str, str], list[Entry]],
        ttl_s: float,
        metrics: Callable[[], bytes],
    ) -> None:
        self._ready = ready
        self._look_up = look_up
        self._ttl_s = ttl_s
        self._metrics = metrics

    def handle(self, ex: Exchange) -> None:
        """Handle one request; an unknown path gets a 404."""
        if ex.path == "/ready":
            ready = self._ready()
            ex.send_json(200 if ready else 503, {"ready": ready})
        elif ex.path == "/resolve":
            self._resolve(ex)
        elif ex.path == "/metrics":
            ex.send_bytes(self._metrics(), "text/plain; version=0.0.4; charset=utf-8")
        else:
            ex.send_json(404, {"error": f"no page {ex.path}"})

    def _resolve(self, ex: Exchange) -> None:
        query = ex.query
        found = self._look_up(query.get("name", ""), query.get("region", ""), query.get("zone", ""))
        addresses = [f"{entry.ip}:{entry.port}" for entry in found]
        ex.send_json(200 if found else 503, {"addresses": addresses, "ttlS": self._ttl_s})
