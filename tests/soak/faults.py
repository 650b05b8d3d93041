"""Faults of a soak: each begins, lasts for a while and ends; several may overlap."""

import signal
import time

from tests.standins import platform
from tests.standins.fleet import until

TIMEOUT_S = 20
"""Time-out of every rule, in seconds: longer than a planned stop takes."""


class Faults:
    """Begins random faults on a site and ends them; notes when VMs were killed or frozen."""

    def __init__(self, site, rng):
        self.site, self._rng = site, rng
        self._ends = []
        self._down = set()
        self.interruptions = []
        self.version = 12
        self.service = "lookup"
        self.log = []
        self._kinds = [
            self._instance_fails,
            self._instance_is_slow,
            self._instance_leaves,
            self._link_fails,
            self._connections_reset,
            self._store_fails,
            self._history_is_forgotten,
            self._store_is_restored,
            self._vm_stops,
            self._vm_is_killed,
            self._vm_freezes,
            self._settings_are_read_again,
            self._configuration_changes,
            self._zone_is_emptied,
        ]
        self._configuration_changes()

    def begin_one(self):
        """Begin a fault; what it leaves is ended by end_due()."""
        kind = self._rng.choice(self._kinds)
        until_s = time.monotonic() + self._rng.uniform(0.3, 3.0)
        what, end = kind()
        self.log.append(f"{kind.__name__.lstrip('_')} {what}")
        if end is not None:
            self._ends.append((until_s, end))

    def end_due(self, everything=False):
        """End the faults whose time has come."""
        now = time.monotonic()
        due = [end for at, end in self._ends if everything or at <= now]
        self._ends = [(at, end) for at, end in self._ends if not everything and at > now]
        for end in due:
            end()

    def interrupted(self, vm, began, ended):
        """Tell whether a VM was killed or frozen in a time, or just before it."""
        return any(v == vm and began - 1 <= at <= ended + 1 for v, at in self.interruptions)

    def _running_vm(self):
        """Return a VM that no fault has stopped, None if the one drawn is."""
        vm = self._vm()
        return None if vm.name in self._down else vm

    def _vm(self):
        return self._rng.choice(list(self.site.vms.values()))

    def _instance(self):
        return self._rng.choice(list(self.site.instances.values()))

    def _instance_fails(self):
        up = self._instance()
        up.mode = self._rng.choice(["cut", "short", "unsigned", "fail", "shed", "extra"])
        return f"{up.name} {up.mode}", lambda: setattr(up, "mode", "ok")

    def _instance_is_slow(self):
        up = self._instance()
        up.work_s = self._rng.uniform(0.5, 9.0)
        return f"{up.name} {up.work_s:.1f} s", lambda: setattr(up, "work_s", 0.0)

    def _instance_leaves(self):
        up = self._instance()
        self.site.register(up.name, state="draining")
        return up.name, lambda: self.site.register(up.name, anew=True)

    def _link_fails(self):
        pair = (self._vm().ip, self._rng.choice([self._instance().ip, self.site.store_ip]))
        fault = self._rng.choice([{"cut": True}, {"delay_s": 0.2}, {"lose_answers": True}])
        self.site.proxy.set_fault(*pair, **fault)
        return f"{pair} {fault}", lambda: self.site.proxy.set_fault(*pair)

    def _connections_reset(self):
        vm, up = self._vm(), self._instance()
        self.site.proxy.drop_connections(vm.ip, up.ip)
        return f"{vm.name} {up.name}", None

    def _store_fails(self):
        mode = self._rng.choice(["busy", "throttled", "silent", "reset"])
        self.site.store.set_mode(mode)
        return mode, lambda: self.site.store.set_mode("ok")

    def _history_is_forgotten(self):
        self.site.store.forget_history()
        return "", None

    def _store_is_restored(self):
        store = self.site.store
        copy = store.copy()

        def restore():
            before = store.copy()
            store.restore(copy, away_s=self._rng.uniform(0.0, 1.0))
            store.write_again(before)

        return f"from revision {copy[1]}", restore

    def _vm_stops(self):
        vm = self._running_vm()
        if vm is None:
            return "none", None
        self._down.add(vm.name)
        slow = self._instance() if self._rng.random() < 0.5 else None
        if slow is not None:
            slow.work_s = self._rng.uniform(6.0, 9.0)
            time.sleep(self._rng.uniform(0.2, 1.0))
            slow.work_s = 0.0
        vm.process.send_signal(signal.SIGTERM)
        return f"{vm.name} {slow and slow.name}", lambda: self._start(vm)

    def _vm_is_killed(self):
        vm = self._running_vm()
        if vm is None:
            return "none", None
        self._down.add(vm.name)
        self._note(vm)
        vm.process.kill()
        return vm.name, lambda: self._start(vm)

    def _vm_freezes(self):
        vm = self._running_vm()
        if vm is None:
            return "none", None
        self._down.add(vm.name)
        self._note(vm)
        vm.process.send_signal(signal.SIGSTOP)
        return vm.name, lambda: self._wake(vm)

    def _settings_are_read_again(self):
        vm = self._running_vm()
        if vm is None or not vm.ready():
            return "none", None
        vm.process.send_signal(signal.SIGHUP)
        return vm.name, None

    def _configuration_changes(self):
        self.version += 1
        self.service = self._rng.choice(["lookup", "files"])
        config = platform.config(self.version, TIMEOUT_S)
        config["listeners"][0]["routingRules"][0]["action"]["service"] = self.service
        self.site.store.put("config", "main", config)
        return f"{self.version} {self.service}", None

    def _zone_is_emptied(self):
        zone = self._rng.choice(list(platform.ZONES))
        if ("evacuations", zone) in self.site.store.objects:
            return f"{zone} is empty already", None
        self.site.store.put("evacuations", zone, {})
        return zone, lambda: self.site.store.remove("evacuations", zone)

    def _note(self, vm):
        self.interruptions.append((vm.name, time.monotonic()))

    def _wake(self, vm):
        self._note(vm)
        vm.process.send_signal(signal.SIGCONT)
        self._down.discard(vm.name)

    def _start(self, vm):
        """Start a VM again once its process has ended; one that does not end is a finding."""
        until(lambda: vm.process.poll() is not None, 12, text=f"{vm.name} has ended")
        vm.start()
        self._down.discard(vm.name)
