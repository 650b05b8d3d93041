"""The settings of the daemon: default, unit, flag and environment variable of each."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from gypsumwind.core.choice import CHOICES
from gypsumwind.errors import SettingsError
from gypsumwind.memory import MEGABYTE, RECEIVE_BUFFER_BYTES
from gypsumwind.utils import split_address, split_url

ENV_PREFIX = "GYPSUMWIND_"
TOOL_VARIABLES = ("GYPSUMWIND_ENTRY",)
MAX_PEERS = 256
"""Most calls of other VMs at once: three long polls of each follower, and gossip."""

FILE_DESCRIPTORS = 200
"""Descriptors of a process that are not for connections."""

LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR")


def _text(value: str) -> str:
    if not value.strip():
        raise ValueError("must not be empty")
    return value.strip()


def _name(value: str) -> str:
    text = _text(value)
    if not text.replace("-", "").replace("_", "").isalnum():
        raise ValueError(f"{value!r} may hold letters, digits, '-' and '_' only")
    return text


def _ip(value: str) -> str:
    return split_address(f"{value}:1")[0]


def _optional_ip(value: str) -> str:
    return _ip(value) if value else ""


def _port(value: str) -> int:
    if not value.isdecimal() or not 0 < int(value) < 65536:
        raise ValueError(f"{value!r} is not a port from 1 to 65535")
    return int(value)


def _count(value: str) -> int:
    if not value.isdecimal() or int(value) < 1:
        raise ValueError(f"{value!r} is not a whole number from 1")
    return int(value)


def _amount(value: str) -> int:
    """Return the whole part of an amount; platforms state some with a fraction."""
    try:
        amount = int(float(value))
    except (ValueError, OverflowError):
        raise ValueError(f"{value!r} is not a number") from None
    if amount < 1:
        raise ValueError(f"{value!r} is below 1")
    return amount


def _descriptors(value: str) -> int:
    count = _amount(value)
    if count < 2 * FILE_DESCRIPTORS:
        raise ValueError(f"{value!r} is below {2 * FILE_DESCRIPTORS}")
    return count


def _seconds(value: str) -> float:
    try:
        seconds = float(value)
    except ValueError:
        raise ValueError(f"{value!r} is not a number of seconds") from None
    if not 0 < seconds < 1e7:
        raise ValueError(f"{value!r} is not a number of seconds above 0")
    return seconds


def _url(value: str) -> str:
    split_url(value)
    return value.rstrip("/")


def _path(value: str) -> str:
    if value and not value.startswith("/"):
        raise ValueError(f"{value!r} does not start with '/'")
    return value


def _choice(value: str) -> str:
    if value not in CHOICES:
        raise ValueError(f"{value!r} is not one of {', '.join(CHOICES)}")
    return value


def _level(value: str) -> str:
    if value.upper() not in LOG_LEVELS:
        raise ValueError(f"{value!r} is not one of {', '.join(LOG_LEVELS)}")
    return value.upper()


@dataclass(slots=True, frozen=True)
class Seed:
    """A VM to contact at start: its availability zone and its peer address."""

    zone: str
    ip: str
    peer_port: int


def _seeds(value: str) -> tuple[Seed, ...]:
    seeds = []
    for part in value.replace(",", " ").split():
        zone, separator, address = part.partition("=")
        if not separator:
            raise ValueError(f"{part!r} is not of the form ZONE=IP:PORT")
        ip, port = split_address(address)
        seeds.append(Seed(_name(zone), ip, port))
    return tuple(seeds)


@dataclass(slots=True, frozen=True)
class ConnectionShares:
    """The most open connections of callers, of other VMs (hand-offs, calls), and of a page's port.

    What they leave of the descriptors is for connections that the process itself opens.
    """

    callers: int
    handoffs: int
    peers: int
    pages: int


def connection_shares(sockets: int, memory_mb: int) -> ConnectionShares:
    """Divide descriptors for sockets; what may wait unread on callers' takes a quarter of memory.

    A peer's connection takes a thread.
    """
    unread = memory_mb * MEGABYTE // 4 // RECEIVE_BUFFER_BYTES
    sixteenth = sockets // 16
    return ConnectionShares(
        min(6 * sixteenth, unread), 2 * sixteenth, min(sixteenth, MAX_PEERS), sixteenth
    )


@dataclass(slots=True, frozen=True)
class Setting:
    """A setting; `parse` raises ValueError, and a default of None makes it mandatory."""

    name: str
    parse: Callable[[str], Any]
    default: str | None
    unit: str
    help: str

    @property
    def flag(self) -> str:
        """Return the command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the environment variable."""
        return ENV_PREFIX + self.name.upper()


SETTINGS: tuple[Setting, ...] = (
    Setting("vm", _name, None, "name", "name of this VM, unique in the fleet"),
    Setting("zone", _name, None, "name", "availability zone of this VM"),
    Setting("region", _name, None, "name", "region of the availability zone"),
    Setting("ip", _ip, None, "IP number", "address to listen on and to connect from"),
    Setting(
        "advertise_ip", _optional_ip, "", "IP number", "address other VMs connect to; default: ip"
    ),
    Setting("caller_port", _port, "8080", "port", "HTTP for callers and operators"),
    Setting("handoff_port", _port, "8081", "port", "HTTP for requests forwarded by other VMs"),
    Setting("peer_port", _port, "8082", "port", "Thrift over TCP and UDP for other VMs"),
    Setting("store_url", _url, None, "URL", "the platform's object API"),
    Setting("seeds", _seeds, "", "ZONE=IP:PORT ...", "peer addresses of VMs to contact at start"),
    Setting("store_timeout_s", _seconds, "2", "s", "timeout of a call to the store"),
    Setting("fence_s", _seconds, "2", "s", "pause after which a VM is fenced and rejoins"),
    Setting("takeover_margin_s", _seconds, "1", "s", "time beyond fence_s until a takeover"),
    Setting("settle_s", _seconds, "2", "s", "delay before a raised limit applies"),
    Setting("gossip_s", _seconds, "0.5", "s", "gossip period"),
    Setting("zone_digest_s", _seconds, "0.5", "s", "period in which a zone publishes its headroom"),
    Setting("probe_s", _seconds, "0.5", "s", "period of membership probes"),
    Setting("probe_ack_s", _seconds, "0.4", "s", "timeout of an acknowledgement"),
    Setting("suspect_s", _seconds, "1.5", "s", "time a suspect has to refute the suspicion"),
    Setting("peer_timeout_s", _seconds, "1", "s", "timeout of a call to a peer"),
    Setting("connect_timeout_s", _seconds, "1", "s", "timeout of a connect"),
    Setting("queue_wait_s", _seconds, "1", "s", "longest wait in the queue for a slot"),
    Setting("default_deadline_s", _seconds, "10", "s", "deadline of requests that set none"),
    Setting("max_deadline_s", _seconds, "120", "s", "upper limit of deadlines"),
    Setting("threads", _count, "64", "threads", "concurrent requests per port"),
    Setting("memory_mb", _amount, "300", "MB", "memory of this VM; a sixth of it is for requests"),
    Setting("max_fds", _descriptors, "4100", "descriptors", "open descriptors of this process"),
    Setting("entry_ttl_s", _seconds, "2", "s", "time callers may cache a lookup"),
    Setting("key_ttl_s", _seconds, "3600", "s", "time an idempotency key is stored"),
    Setting("key_capacity", _count, "100000", "keys", "maximum number of stored idempotency keys"),
    Setting(
        "key_bytes", _count, "16000000", "bytes", "maximum size of responses stored for replay"
    ),
    Setting("stop_s", _seconds, "60", "s", "grace period of a graceful shutdown"),
    Setting("health_s", _seconds, "1", "s", "period of health and load probes"),
    Setting("health_path", _path, "/health", "path", "health endpoint of upstreams, or empty"),
    Setting("load_path", _path, "/load", "path", "load endpoint of upstreams, or empty"),
    Setting(
        "choice", _choice, "least-expected-latency", "name", "load balancing policy among instances"
    ),
    Setting("tenants", _count, "200", "labels", "maximum number of tenants in metrics"),
    Setting("log_level", _level, "INFO", "level", "lowest level that is logged"),
)
SETTING_BY_NAME = {setting.name: setting for setting in SETTINGS}


class Settings:
    """The validated values of all settings, as attributes by name."""

    __slots__ = tuple(SETTING_BY_NAME)

    vm: str
    zone: str
    region: str
    ip: str
    advertise_ip: str
    caller_port: int
    handoff_port: int
    peer_port: int
    store_url: str
    seeds: tuple[Seed, ...]
    store_timeout_s: float
    fence_s: float
    takeover_margin_s: float
    settle_s: float
    gossip_s: float
    zone_digest_s: float
    probe_s: float
    probe_ack_s: float
    suspect_s: float
    peer_timeout_s: float
    connect_timeout_s: float
    queue_wait_s: float
    default_deadline_s: float
    max_deadline_s: float
    threads: int
    memory_mb: int
    max_fds: int
    entry_ttl_s: float
    key_ttl_s: float
    key_capacity: int
    key_bytes: int
    stop_s: float
    health_s: float
    health_path: str
    load_path: str
    choice: str
    tenants: int
    log_level: str

    def __init__(self, values: Mapping[str, Any]) -> None:
        for name in SETTING_BY_NAME:
            setattr(self, name, values[name])

    def connection_shares(self) -> ConnectionShares:
        """Return the limits of open connections by port."""
        return connection_shares(self.max_fds - FILE_DESCRIPTORS, self.memory_mb)


def read_settings(flags: Mapping[str, str | None], env: Mapping[str, str]) -> Settings:
    """Read all settings, flags before variables; SettingsError lists all errors at once."""
    errors = [_unknown_error(name) for name in sorted(env) if _is_unknown(name)]
    values: dict[str, Any] = {}
    for setting in SETTINGS:
        given = flags.get(setting.name)
        source = setting.flag
        if given is None and setting.variable in env:
            given, source = env[setting.variable], setting.variable
        if given is None:
            given, source = setting.default, "default"
        if given is None:
            errors.append(f"{setting.flag} or {setting.variable}: missing; give {setting.help}")
            continue
        try:
            values[setting.name] = setting.parse(given)
        except ValueError as exc:
            errors.append(f"{source}: {exc}; give {setting.help} ({setting.unit})")
    if not errors:
        errors = _cross_setting_errors(values)
    if errors:
        raise SettingsError("\n".join(errors))
    values["advertise_ip"] = values["advertise_ip"] or values["ip"]
    return Settings(values)


def _is_unknown(name: str) -> bool:
    known = {setting.variable for setting in SETTINGS} | set(TOOL_VARIABLES)
    return name.startswith(ENV_PREFIX) and name not in known


def _unknown_error(name: str) -> str:
    return f"{name}: unknown setting; see docs/settings.md, or unset it"


def _cross_setting_errors(values: Mapping[str, Any]) -> list[str]:
    errors = []
    ports = [values["caller_port"], values["handoff_port"], values["peer_port"]]
    if len(set(ports)) < len(ports):
        errors.append("--caller-port, --handoff-port, --peer-port: must differ from each other")
    if values["default_deadline_s"] > values["max_deadline_s"]:
        errors.append("--default-deadline-s: must not be above --max-deadline-s")
    if values["threads"] < 16:
        errors.append("--threads: must be at least 16, some are reserved for control requests")
    return errors
