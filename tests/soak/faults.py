"""Random faults of a soak; each ends after a while, and several may overlap."""

import signal
import time

from tests.standins import platform
from tests.standins.fleet import wait_until

TIMEOUT_S = 20
"""Timeout of the first listener's rules in seconds: longer than a graceful shutdown takes."""


class Faults:
    """Starts and ends random faults on a fleet; records when VMs were killed, paused or resumed."""

    def __init__(self, fleet, rng):
        self.fleet, self._rng = fleet, rng
        self._active = []
        self._down = set()
        self.interruptions = []
        self.version = 12
        self.service = "lookup"
        self.log = []
        self._faults = [
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

    def start_random(self):
        """Start a random fault; end_expired() ends it unless it is momentary."""
        fault = self._rng.choice(self._faults)
        end_at = time.monotonic() + self._rng.uniform(0.3, 3.0)
        what, end = fault()
        self.log.append(f"{fault.__name__.lstrip('_')} {what}")
        if end is not None:
            self._active.append((end_at, end))

    def end_expired(self, everything=False):
        """End the faults whose duration has passed, or all of them."""
        now = time.monotonic()
        due = [end for at, end in self._active if everything or at <= now]
        self._active = [(at, end) for at, end in self._active if not everything and at > now]
        for end in due:
            end()

    def interrupted(self, vm, began, ended):
        """Report whether a VM was killed, paused or resumed in an interval or within 1 s of it."""
        return any(v == vm and began - 1 <= at <= ended + 1 for v, at in self.interruptions)

    def _running_vm(self):
        """Return a random VM, None if a fault has stopped or paused it."""
        vm = self._vm()
        return None if vm.name in self._down else vm

    def _vm(self):
        return self._rng.choice(list(self.fleet.vms.values()))

    def _instance(self):
        return self._rng.choice(list(self.fleet.instances.values()))

    def _instance_fails(self):
        up = self._instance()
        up.mode = self._rng.choice(["cut", "short", "unsigned", "fail", "shed", "extra"])
        return f"{up.name} {up.mode}", lambda: setattr(up, "mode", "ok")

    def _instance_is_slow(self):
        up = self._instance()
        up.service_time_s = self._rng.uniform(0.5, 9.0)
        return f"{up.name} {up.service_time_s:.1f} s", lambda: setattr(up, "service_time_s", 0.0)

    def _instance_leaves(self):
        up = self._instance()
        self.fleet.register(up.name, state="draining")
        return up.name, lambda: self.fleet.register(up.name, restarted=True)

    def _link_fails(self):
        pair = (self._vm().ip, self._rng.choice([self._instance().ip, self.fleet.store_ip]))
        fault = self._rng.choice([{"cut": True}, {"delay_s": 0.2}, {"lose_answers": True}])
        self.fleet.proxy.set_fault(*pair, **fault)
        return f"{pair} {fault}", lambda: self.fleet.proxy.set_fault(*pair)

    def _connections_reset(self):
        vm, up = self._vm(), self._instance()
        self.fleet.proxy.drop_connections(vm.ip, up.ip)
        return f"{vm.name} {up.name}", None

    def _store_fails(self):
        mode = self._rng.choice(["busy", "throttled", "silent", "reset"])
        self.fleet.store.set_mode(mode)
        return mode, lambda: self.fleet.store.set_mode("ok")

    def _history_is_forgotten(self):
        self.fleet.store.compact_history()
        return "", None

    def _store_is_restored(self):
        store = self.fleet.store
        backup = store.take_backup()

        def restore():
            before = store.take_backup()
            store.restore(backup, outage_s=self._rng.uniform(0.0, 1.0))
            store.replay_writes(before)

        return f"from revision {backup[1]}", restore

    def _vm_stops(self):
        vm = self._running_vm()
        if vm is None:
            return "none", None
        self._down.add(vm.name)
        slow = self._instance() if self._rng.random() < 0.5 else None
        if slow is not None:
            slow.service_time_s = self._rng.uniform(6.0, 9.0)
            time.sleep(self._rng.uniform(0.2, 1.0))
            slow.service_time_s = 0.0
        vm.process.send_signal(signal.SIGTERM)
        return f"{vm.name} {slow and slow.name}", lambda: self._restart(vm)

    def _vm_is_killed(self):
        vm = self._running_vm()
        if vm is None:
            return "none", None
        self._down.add(vm.name)
        self._record_interruption(vm)
        vm.process.kill()
        return vm.name, lambda: self._restart(vm)

    def _vm_freezes(self):
        vm = self._running_vm()
        if vm is None:
            return "none", None
        self._down.add(vm.name)
        self._record_interruption(vm)
        vm.process.send_signal(signal.SIGSTOP)
        return vm.name, lambda: self._resume(vm)

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
        self.fleet.store.put("config", "main", config)
        return f"{self.version} {self.service}", None

    def _zone_is_emptied(self):
        zone = self._rng.choice(list(platform.ZONES))
        if ("evacuations", zone) in self.fleet.store.objects:
            return f"{zone} is already evacuated", None
        self.fleet.store.put("evacuations", zone, {})
        return zone, lambda: self.fleet.store.remove("evacuations", zone)

    def _record_interruption(self, vm):
        self.interruptions.append((vm.name, time.monotonic()))

    def _resume(self, vm):
        self._record_interruption(vm)
        vm.process.send_signal(signal.SIGCONT)
        self._down.discard(vm.name)

    def _restart(self, vm):
        """Start a VM again once its process has exited; AssertionError if it does not exit."""
        wait_until(lambda: vm.process.poll() is not None, 12, text=f"{vm.name} has exited")
        vm.start()
        self._down.discard(vm.name)
