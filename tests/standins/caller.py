"""A caller that looks up entry VMs, caches the result until it expires, and sends requests."""

import threading
import time
from contextlib import suppress
from dataclasses import dataclass

import urllib3


@dataclass
class Reply:
    """The outcome of one request; `error` is set if there was no response."""

    status: int
    verdict: str
    code: str
    headers: dict
    data: bytes
    elapsed_s: float
    entry: str
    error: str = ""


class Caller:
    """Sends requests to the first entry VM of the look-up."""

    def __init__(self, bootstrap, ip="127.0.0.1"):
        self.bootstrap = list(bootstrap)
        self.pool = urllib3.PoolManager(
            retries=False, maxsize=64, source_address=(ip, 0), num_pools=64
        )
        self.lookups = {}
        self.lock = threading.Lock()

    def lookup(self, service):
        """Return the look-up result, cached until it expires; LookupError if no VM returns one."""
        with self.lock:
            found = self.lookups.get(service)
        if found is not None and time.time() < found["expires"]:
            return found
        urls = [e["url"] for e in found["entries"]] if found else []
        for url in [*urls, *self.bootstrap]:
            with suppress(urllib3.exceptions.HTTPError):
                answer = self.pool.request("GET", f"{url}/v1/entries?service={service}", timeout=2)
                if answer.status == 200 and answer.json()["entries"]:
                    with self.lock:
                        self.lookups[service] = answer.json()
                    return answer.json()
        raise LookupError(f"no entry VM found for service {service}")

    def key(self, service, suffix):
        """Return an idempotency key whose home is the first entry VM."""
        return self.lookup(service)["entries"][0]["key_prefix"] + suffix

    def send(self, service, path, method="GET", body=None, headers=None, url=None, timeout=20):
        """Send one request and return its outcome."""
        url = url or self.lookup(service)["entries"][0]["url"]
        started = time.monotonic()
        try:
            answer = self.pool.request(
                method,
                f"{url}/v1/call/{service}{path}",
                body=body,
                headers=headers or {},
                timeout=timeout,
            )
        except urllib3.exceptions.HTTPError as exc:
            elapsed_s = time.monotonic() - started
            return Reply(0, "", "", {}, b"", elapsed_s, url, f"{type(exc).__name__}: {exc}")
        found = {name.lower(): value for name, value in answer.headers.items()}
        return Reply(
            answer.status,
            found.get("gypsumwind-verdict", ""),
            found.get("gypsumwind-code", ""),
            found,
            answer.data,
            time.monotonic() - started,
            url,
        )

    def send_with_failover(self, service, path, tries=3, **kwargs):
        """Send; on NOT_RUN or a refused connection, fail over to the next entry VM."""
        reply = None
        entries = self.lookup(service)["entries"]
        for entry in (entries * tries)[:tries]:
            reply = self.send(service, path, url=entry["url"], **kwargs)
            connection_refused = "NewConnectionError" in reply.error
            if not connection_refused and reply.verdict != "not-run":
                break
        return reply
