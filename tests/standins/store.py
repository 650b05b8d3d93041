"""A stand-in for the platform's object API, with faults that tests inject."""

import argparse
import json
import threading
import time
from contextlib import suppress
from urllib.parse import parse_qs, unquote, urlsplit

from tests.standins.http import QuietHandler, StandIn, dump_json

OBJECTS = "/v1/objects"


class Store(StandIn):
    """Versioned objects with conditional updates, lists and watches, and the list of VMs."""

    def __init__(self, ip, port):
        super().__init__(ip, port, _Handler)
        self.changed = threading.Condition()
        self.objects = {}
        self.revision = 0
        self.vm_list = []
        self.mode = "ok"
        self.reads = 0
        self.writes = 0
        self.watching = self.watching_peak = 0
        self.loses_watches = False
        """Whether watches that begin or end get no answer while their connections stay open."""

    def set_mode(self, mode):
        """Set the mode: ok, down (503), hang (no response), lost, lose or lose-all.

        Calls that hang end when the mode changes. Those of mode `lost` never get an answer, nor do
        the watches that wait when it begins, while their connections stay open.
        With lose, writes take effect but their responses are lost; with lose-all, the first such
        write also sets the mode to down.
        """
        with self.changed:
            self.mode = mode
            self.changed.notify_all()

    def take_backup(self):
        """Return a backup for restore()."""
        with self.changed:
            return dict(self.objects), self.revision

    def restore(self, backup):
        """Restore a backup; later revisions are assigned again."""
        with self.changed:
            self.objects, self.revision = dict(backup[0]), backup[1]
            self.changed.notify_all()

    def value(self, key):
        """Return the value of an object, None if it does not exist."""
        found = self.objects.get(key)
        return found["value"] if found else None

    def put(self, key, value, expected):
        """Write an object if its version is `expected`; return it, None on a conflict."""
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
        """Return the objects under a key prefix that changed after a revision."""
        items = self.objects.values()
        return [o for o in items if o["key"].startswith(prefix) and o["version"] > after]

    def page(self, prefix, start, limit):
        """Return up to `limit` objects ordered by key, from the key `start` on."""
        with self.changed:
            found = sorted(self.under(prefix), key=lambda o: o["key"])
            found = [o for o in found if o["key"] >= start]
            more = found[limit]["key"] if len(found) > limit else ""
            return {"objects": found[:limit], "revision": self.revision, "next": more}

    def watch(self, prefix, after, wait_s):
        """Long poll: return the changes under a key prefix after a revision."""
        deadline = time.monotonic() + wait_s
        with self.changed:
            self.watching += 1
            self.watching_peak = max(self.watching_peak, self.watching)
            while self.mode == "ok" and self.revision >= after:
                if self.under(prefix, after) or time.monotonic() >= deadline:
                    break
                self.changed.wait(max(0.0, deadline - time.monotonic()))
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
            if store.loses_watches:
                self.lose_answer()
                return
            found = store.watch(query["prefix"], int(query["after"]), float(query["wait"]))
            if store.loses_watches:
                self.lose_answer()
            elif self._available():
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
        if store.mode == "lost":
            self.lose_answer()
            return False
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
            self.reply(status, dump_json(doc), [("Content-Type", "application/json")])


def main():
    """Serve a store until interrupted."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=9000)
    args = parser.parse_args()
    with Store(args.ip, args.port) as store, suppress(KeyboardInterrupt):
        print(store.url, flush=True)
        threading.Event().wait()


if __name__ == "__main__":
    main()
