"""Closed-loop load on a fleet from callers in threads."""

import threading
from collections import Counter


class Load:
    """Callers in each zone that send requests one after the other until the context exits."""

    def __init__(self, fleet, service, path, callers=4, zones=None, pause_s=0.0, **kwargs):
        self.replies = []
        self.ended = threading.Event()
        self._pause_s = pause_s
        self._send = (service, path, kwargs)
        zones = zones or [z for z in fleet.zones if fleet.in_zone(z)]
        self._threads = [
            threading.Thread(target=self._run, args=(fleet.caller(zone),))
            for zone in zones
            for _ in range(callers)
        ]

    def _run(self, caller):
        service, path, kwargs = self._send
        while not self.ended.is_set():
            try:
                self.replies.append(caller.send_with_failover(service, path, **kwargs))
            except LookupError:
                self.ended.wait(0.1)
            self.ended.wait(self._pause_s)

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        for thread in self._threads:
            thread.join(30)

    def verdicts(self):
        """Return the number of replies by verdict, or by error where there was no response."""
        return Counter(r.verdict or r.error.split(":")[0] for r in self.replies)
