"""Parses the platform's settings file into the project's settings."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gypsumwind.core.lapses import Lease
from gypsumwind.errors import SettingsError
from gypsumwind.settings import SETTING_BY_NAME, Settings, read_settings
from gypsumwind.steering import SteeringSettings
from gypsumwind.utils import parse_bool, split_address

GOSSIP_S = "1"
"""Gossip interval, in seconds: in direct mode records carry the configuration, not loads."""

THREADS = "160"
"""Concurrent requests: three seconds of the peak load planned for one VM."""


MISSED_HEARTBEATS = 3
"""Heartbeats that an instance has missed when the platform removes its entry."""


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """The settings of a process: the project's own ones, and the addresses that it serves."""

    cfg: Settings
    steering: SteeringSettings
    readiness: tuple[str, int]
    directory: tuple[str, int]
    control: tuple[str, int]

    def restart_only(self) -> dict[str, object]:
        """Return the settings that only a restart changes, by the project's own names."""
        pages = {"readiness": self.readiness, "directory": self.directory, "control": self.control}
        return {**{name: getattr(self.cfg, name) for name in SETTING_BY_NAME}, **pages}

    def changed_restart_only(self, other: "PlatformSettings") -> list[str]:
        """Return the names of restart-only settings that differ."""
        other_values = other.restart_only()
        return [name for name, value in self.restart_only().items() if value != other_values[name]]


def read_platform_settings(path: str) -> PlatformSettings:
    """Read and validate the file; SettingsError names every invalid key."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: cannot be read: {exc}") from exc
    values = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not line.lstrip().startswith("#"):
            values[name.strip()] = value.strip()
    return _SettingsParser(path, values).read()


class _SettingsParser:
    """Parses keys and collects all errors, so that they are reported at once."""

    def __init__(self, path: str, values: Mapping[str, str]) -> None:
        self._path = path
        self._values = values
        self._errors: list[str] = []

    def read(self) -> PlatformSettings:
        front = self._get("listen.front", split_address)
        readiness = self._get("listen.readiness", split_address)
        directory = self._get("listen.directory", split_address)
        control = self._get("listen.control", split_address)
        ports = self._get("internalPorts", _ports)
        store = self._get("platform.address", split_address)
        steering = self._steering()
        flags = {
            "vm": self._get("nodeName", str),
            "zone": self._get("zone", str),
            "region": self._get("region", str),
            "ip": self._get("ip", str),
        }
        seeds = self._get("seeds", _seeds, "")
        self._raise_errors()
        flags |= {
            "caller_port": str(front[1]),
            "peer_port": str(ports[0]),
            "handoff_port": str(ports[0] + 1),
            "store_url": f"http://{store[0]}:{store[1]}",
            "seeds": " ".join(f"seed={ip}:{ports[0]}" for ip, _ in seeds),
            "gossip_s": GOSSIP_S,
            "threads": THREADS,
            "memory_mb": self._values.get("limits.memoryMb") or None,
            "max_fds": self._values.get("limits.maxFds") or None,
        }
        try:
            cfg = read_settings(flags, {})
        except SettingsError as exc:
            raise SettingsError(f"{self._path}: {exc.message}") from exc
        return PlatformSettings(cfg, steering, readiness, directory, control)

    def _steering(self) -> SteeringSettings:
        return SteeringSettings(
            regions=self._zones(),
            retry_ratio=self._get("bounds.retryBudgetRatio", float),
            retry_headroom=self._get("bounds.retryHeadroom", float),
            retry_window_s=self._get("bounds.budgetWindowS", float),
            cold_overshoot=self._get("bounds.coldOvershoot", float),
            cold_slack_per_s=self._get("bounds.coldSlack", float),
            grace_s=self._get("bounds.graceS", float),
            lookup_ttl_s=self._get("platform.ttlMinS", float, "1"),
            first_start=self._get("firstStart", parse_bool, "false"),
            lease=self._get("heartbeatS", lambda s: Lease(float(s), MISSED_HEARTBEATS), "0"),
        )

    def _zones(self) -> dict[str, str]:
        zones = {
            name.removeprefix("zones."): region
            for name, region in self._values.items()
            if name.startswith("zones.")
        }
        if not zones:
            self._errors.append("zones.*: missing; give the region of each zone")
        return zones

    def _get(self, name: str, parse: Callable[[str], Any], default: str | None = None) -> Any:
        text = self._values.get(name, default)
        if text is None or (text == "" and default is None):
            self._errors.append(f"{name}: missing")
            return None
        try:
            return parse(text)
        except ValueError as exc:
            self._errors.append(f"{name}: {exc}")
            return None

    def _raise_errors(self) -> None:
        if self._errors:
            raise SettingsError("\n".join(f"{self._path}: {error}" for error in self._errors))


def _ports(text: str) -> tuple[int, int]:
    first, _, last = text.partition(",")
    if not first.isdecimal() or not last.isdecimal() or int(last) - int(first) < 1:
        raise ValueError(f"{text!r} is not a range first,last of at least two ports")
    return int(first), int(last)


def _seeds(text: str) -> list[tuple[str, int]]:
    return [split_address(part.strip()) for part in text.split(",") if part.strip()]
