"""A stand-in for the platform's object API, with faults that a test switches on."""

import argparse
import json
import threading
import time
from contextlib import suppress
from urllib.parse import parse_qs, unquote, urlsplit

from tests.standins.http import QuietHandler, StandIn

OBJECTS = "/v1/objects"


class Store(StandIn):
    """Objects with versions, conditional update, list and watch; and the list of VMs."""

    def __init__(self, ip, port):
        super().__init__(ip, port, _Handler)
        self.changed = threading.Condition()
        self.objects = {}
        self.revision = 0
        self.vm_list = []
        self.mode = "ok"
        self.reads = 0
        self.writes = 0
        self.watching = 0

    def set_mode(self, mode):
        """Set ok, down (503), hang, lose or lose-all.

        With lose, writes take effect and their answers are cut; with lose-all the store is
        down after that.
        """
        with self.changed:
            self.mode = mode
            self.changed.notify_all()

    def snapshot(self):
        """Return the data, to be restored later as an old backup."""
        with self.changed:
            return dict(self.objects), self.revision

    def restore(self, snapshot):
        """Come back with older data."""
        with self.changed:
            self.objects, self.revision = dict(snapshot[0]), snapshot[1]
            self.changed.notify_all()

    def value(self, key):
        """Return an object's value, None if there is none."""
        found = self.objects.get(key)
        return found["value"] if found else None

    def put(self, key, value, expected):
        """Write if the version is as expected; return the object or None."""
        with self.changed:
            found = self.objects.get(key)
            if (found["version"] if found else None) != expected:
                return None
            self.revision += 1
            obj = {"key": key, "version": self.revision, "value": value}
            self.objects[key] = obj
            self.changed.notify_all()
            return obj

    def under(self, prefix, after=-1):
        """Return the objects under a prefix that changed after a revision."""
        items = self.objects.values()
        return [o for o in items if o["key"].startswith(prefix) and o["version"] > after]

    def page(self, prefix, start, limit):
        """Return a page of objects in the order of their keys."""
        with self.changed:
            found = sorted(self.under(prefix), key=lambda o: o["key"])
            found = [o for o in found if o["key"] >= start]
            more = found[limit]["key"] if len(found) > limit else ""
            return {"objects": found[:limit], "revision": self.revision, "next": more}

    def watch(self, prefix, after, wait_s):
        """Wait for a change under a prefix."""
        until = time.monotonic() + wait_s
        with self.changed:
            self.watching += 1
            while self.mode == "ok" and self.revision >= after:
                if self.under(prefix, after) or time.monotonic() >= until:
                    break
                self.changed.wait(max(0.0, until - time.monotonic()))
            self.watching -= 1
            return {"objects": self.under(prefix, after), "revision": self.revision}


class _Handler(QuietHandler):
    def do_GET(self):
        store = self.server.standin
        store.reads += 1
        if not self._available():
            return
        url = urlsplit(self.path)
        query = {k: v[-1] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/v1/vms":
            self._json(200, {"vms": store.vm_list})
        elif url.path == "/v1/watch":
            found = store.watch(query["prefix"], int(query["after"]), float(query["wait"]))
            if self._available():
                self._json(200, found)
        elif url.path == OBJECTS:
            self._json(200, store.page(query["prefix"], query["start"], int(query["limit"])))
        else:
            obj = store.objects.get(unquote(url.path[len(OBJECTS) + 1 :]))
            self._json(200 if obj else 404, obj or {"error": "not found"})

    def do_PUT(self):
        store = self.server.standin
        store.writes += 1
        value = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        if not store.mode.startswith("lose") and not self._available():
            return
        key = unquote(self.path[len(OBJECTS) + 1 :])
        match = self.headers.get("If-Match")
        obj = store.put(key, value, int(match.strip('"')) if match else None)
        if store.mode.startswith("lose"):
            if store.mode == "lose-all":
                store.set_mode("down")
            self.close_connection = True
            return
        self._json(200 if obj else 412, obj or {"error": "version differs"})

    def _available(self):
        store = self.server.standin
        if store.mode == "hang":
            with store.changed:
                store.changed.wait_for(lambda: store.mode != "hang", timeout=30)
            self.close_connection = True
            return False
        if store.mode == "down":
            self._json(503, {"error": "down"})
            return False
        return True

    def _json(self, status, doc):
        with suppress(OSError):
            self.reply(status, json.dumps(doc).encode(), [("Content-Type", "application/json")])


def main():
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=9000)
    args = parser.parse_args()
    with Store(args.ip, args.port) as store, suppress(KeyboardInterrupt):
        print(store.url, flush=True)
        threading.Event().wait()


if __name__ == "__main__":
    main()
