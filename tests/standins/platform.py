"""A stand-in for the users' platform: its store of objects by kind, and settings files.

It implements only the documented part of the platform's API. Tests inject faults with set_mode().
"""

import copy
import json
import threading
import time
from collections import Counter
from contextlib import suppress
from urllib.parse import parse_qs, unquote, urlsplit

from tests.standins.http import QuietHandler, StandIn, dump_json

PAGE_SIZE = 3
"""Objects per page of a list; small, so that every test reads several pages."""

REPLAYED_KINDS = ("config", "servers", "evacuations")
"""Kinds whose objects are written by operators and instances, not by gypsumwind itself."""

FRONT_PORT, CONTROL_PORT, DIRECTORY_PORT, READINESS_PORT, INTERNAL_PORT = (
    18381,
    18382,
    18383,
    18388,
    17200,
)
ZONES = {"a1": "a", "b1": "b"}


def rule(name, kind, prefix, action, **values):
    return {
        "name": name,
        "type": kind,
        "targetLatencyS": 0.5,
        "priority": 1,
        "sticky": True,
        "match": {"pathPrefix": prefix},
        "action": {"timeoutS": 5, "attempts": 2, "allowedRegions": [], **action},
        **values,
    }


def cluster(name):
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 390,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 3.0,
        "coldPerS": 5.2,
    }


CONFIG = {
    "version": "0000000c",
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    },
    "listeners": [
        {
            "host": "api.example",
            "routingRules": [
                rule("read", "safe", "/read/", {"service": "lookup", "allowedRegions": ["a"]}),
                rule("book", "non_idempotent", "/book/", {"service": "lookup"}),
                rule(
                    "split",
                    "safe",
                    "/split/",
                    {
                        "trafficSplit": [
                            {"service": "lookup", "weight": 9},
                            {"service": "files", "weight": 1},
                        ]
                    },
                ),
            ],
        },
        {
            "host": "files.example",
            "routingRules": [rule("put", "upload", "/put/", {"service": "files"})],
        },
    ],
    "clusters": [cluster("lookup"), cluster("files")],
}


def config(version, timeout_s=None):
    """Return CONFIG with another version, and with one timeout for the first listener's rules."""
    doc = copy.deepcopy(CONFIG)
    doc["version"] = f"{version:08x}"
    if timeout_s is not None:
        for each in doc["listeners"][0]["routingRules"]:
            each["action"]["timeoutS"] = timeout_s
    return doc


def server_entry(address, service="lookup", zone="a1", state="ready", cold_s=0, born=1, slots=4):
    return {
        "spec": {
            "address": address,
            "born": born,
            "info": {"service": service, "version": "v1", "zone": zone, "capacity": slots},
        },
        "status": {"state": state, "sequence": 1, "coldRemainingS": cold_s},
    }


def settings_lines(vm, ip, zone="a1", store="127.0.0.1:9999", seeds=(), first_start=True):
    return [
        f"nodeName={vm}",
        f"ip={ip}",
        f"zone={zone}",
        f"region={ZONES[zone]}",
        *(f"zones.{name}={region}" for name, region in ZONES.items()),
        f"listen.front={ip}:{FRONT_PORT}",
        f"listen.readiness={ip}:{READINESS_PORT}",
        f"listen.control={ip}:{CONTROL_PORT}",
        f"listen.directory={ip}:{DIRECTORY_PORT}",
        f"internalPorts={INTERNAL_PORT},{INTERNAL_PORT + 15}",
        "seeds=" + ",".join(f"{seed}:{CONTROL_PORT}" for seed in (seeds or (ip,))),
        f"firstStart={str(first_start).lower()}",
        "bounds.retryBudgetRatio=0.2",
        "bounds.retryHeadroom=64",
        "bounds.budgetWindowS=10",
        "bounds.coldOvershoot=1.5",
        "bounds.coldSlack=5",
        "bounds.graceS=6",
        "heartbeatS=1.5",
        f"platform.address={store}",
        "platform.ttlMinS=1",
    ]


class PlatformStore(StandIn):
    """Objects by kind and name under one revision counter, with paging, watches and faults."""

    def __init__(self, ip="127.0.0.1", port=0):
        super().__init__(ip, port, _Handler)
        self.changed = threading.Condition()
        self.objects = {}
        self.revision = 1
        self.oldest_revision = 0
        self.history = []
        self.mode = "ok"
        self.calls = 0
        self.calls_by_ip = Counter()
        self.delay_s = 0.0
        self.cuts = 0
        self.loses = lambda ip, kind: False
        """Whether calls of a VM for a kind get no answer while their connections stay open."""
        self.era = 1
        """Value of the header Store-Era in all responses, raised by restore(); None omits it."""

    def put(self, kind, name, spec, status=None):
        """Write an object, as an operator or an instance does."""
        with self.changed:
            self.revision += 1
            meta = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False}
            obj = {"metadata": meta, "spec": spec, "status": status}
            self.objects[(kind, name)] = obj
            self.history.append((self.revision, kind, obj, False))
            self.changed.notify_all()

    def register(self, name, *args, **values):
        """Write the entry of an instance; arguments as for server_entry()."""
        entry = server_entry(*args, **values)
        self.put("servers", name, entry["spec"], entry["status"])

    def remove(self, kind, name):
        """Remove an object; its watchers receive the removal."""
        with self.changed:
            self.revision += 1
            obj = self.objects.pop((kind, name))
            self.history.append((self.revision, kind, obj, True))
            self.changed.notify_all()

    def cut_watches(self):
        """Cut off the waiting watches by closing their connections."""
        with self.changed:
            self.cuts += 1
            self.changed.notify_all()

    def compact_history(self):
        """Answer 410 to watches that start before the current revision."""
        with self.changed:
            self.oldest_revision = self.revision
            self.changed.notify_all()

    def take_backup(self):
        """Return a backup for restore()."""
        with self.changed:
            return dict(self.objects), self.revision, list(self.history)

    def restore(self, backup, outage_s=0.0):
        """Restore a backup after an outage of `outage_s`; later revisions are assigned again."""
        self.set_mode("reset")
        time.sleep(outage_s)
        with self.changed:
            self.objects, self.revision, self.history = dict(backup[0]), backup[1], list(backup[2])
            self.oldest_revision = min(self.oldest_revision, self.revision)
            self.era += 1
        self.set_mode("ok")

    def replay_writes(self, before):
        """Replay writes of operators and instances: bring their kinds to the state in `before`."""
        for (kind, name), obj in before[0].items():
            if kind in REPLAYED_KINDS and self.objects.get((kind, name)) is not obj:
                self.put(kind, name, obj["spec"], obj["status"])
        for kind, name in set(self.objects) - set(before[0]):
            if kind in REPLAYED_KINDS:
                self.remove(kind, name)

    def set_mode(self, mode):
        """Set the mode: ok, busy (503), throttled (429), silent (no response) or reset.

        Silent calls end when the mode changes. Those of mode `lost` never get an answer, nor do the
        watches that wait when it begins, while their connections stay open.
        """
        with self.changed:
            self.mode = mode
            self.changed.notify_all()

    def page(self, kind, after):
        """Return the page of a kind's objects whose names follow `after`."""
        with self.changed:
            names = sorted(n for k, n in self.objects if k == kind and n > after)
            items = [self.objects[(kind, name)] for name in names[:PAGE_SIZE]]
            return {"items": items, "hasMore": len(names) > PAGE_SIZE, "at": self.revision}

    def watch(self, kind, after, wait_s):
        """Wait for events of a kind; None if the history after that revision is not available.

        Raise ConnectionAbortedError if the watch is cut off.
        """
        deadline = time.monotonic() + wait_s
        with self.changed:
            cuts = self.cuts
            while True:
                if cuts != self.cuts:
                    raise ConnectionAbortedError
                if after < self.oldest_revision or after > self.revision:
                    return None
                found = [e for e in self.history if e[0] > after and e[1] == kind]
                left = deadline - time.monotonic()
                if found or left <= 0 or self.mode != "ok":
                    events = [{"object": obj, "removed": removed} for _, _, obj, removed in found]
                    return {"events": events, "at": self.revision}
                self.changed.wait(left)


class _Handler(QuietHandler):
    def do_GET(self):
        store = self.server.standin
        store.calls += 1
        store.calls_by_ip[self.client_address[0]] += 1
        url = urlsplit(self.path)
        query = {k: v[-1] for k, v in parse_qs(url.query).items()}
        kind = unquote(url.path.removeprefix("/objects/"))
        if not self._available(store, kind):
            return
        if "watch" in query:
            try:
                doc = store.watch(kind, int(query["watch"]), int(query["waitMs"]) / 1000)
            except ConnectionAbortedError:
                self.close_connection = True
                return
            if self._available(store, kind):
                self._json(410 if doc is None else 200, doc or {})
            return
        self._json(200, store.page(kind, query.get("after", "")))

    def do_POST(self):
        store = self.server.standin
        doc = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        if self._available(store):
            kind = unquote(self.path.removeprefix("/objects/"))
            name = doc["metadata"]["name"]
            if (kind, name) in store.objects:
                self._json(409, store.objects[(kind, name)])
                return
            store.put(kind, name, doc["spec"])
            self._json(201, store.objects[(kind, name)])

    def do_PUT(self):
        store = self.server.standin
        doc = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        if self._available(store):
            kind, _, name = unquote(self.path.removeprefix("/objects/")).partition("/")
            store.put(kind, name, doc["spec"])
            self._json(200, store.objects[(kind, name)])

    def do_DELETE(self):
        store = self.server.standin
        if self._available(store):
            kind, _, name = unquote(self.path.removeprefix("/objects/")).partition("/")
            found = (kind, name) in store.objects
            if found:
                store.remove(kind, name)
            self._json(200 if found else 404, {})

    def _available(self, store, kind=""):
        time.sleep(store.delay_s)
        if store.mode == "lost" or store.loses(self.client_address[0], kind):
            self.lose_answer()
            return False
        if store.mode == "silent":
            with store.changed:
                store.changed.wait_for(lambda: store.mode != "silent", timeout=30)
        if store.mode in ("silent", "reset"):
            self.close_connection = True
            return False
        if store.mode in ("busy", "throttled"):
            self._json(503 if store.mode == "busy" else 429, {})
            return False
        return True

    def _json(self, status, doc):
        with suppress(OSError):
            era = self.server.standin.era
            era_header = [] if era is None else [("Store-Era", str(era))]
            kind = ("Content-Type", "application/json")
            self.reply(status, dump_json(doc), [kind, *era_header])
