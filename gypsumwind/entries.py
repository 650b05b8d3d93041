"""The look-up: which entry VMs a caller may use for a service, and until when."""

import random

from gypsumwind.core.idempotency import KeyPrefix
from gypsumwind.core.membership import Member
from gypsumwind.homes import Home
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.utils import wall


def entries_page(
    cfg: Settings, snapshots: Snapshots, home: Home, service: str, rng: random.Random
) -> dict | None:
    """Return the look-up answer, None for a service that is not in the table.

    VMs of this zone that own instances of the service come first, then others of this zone, of
    the region, and of other regions. Each entry of this zone has a prefix for idempotency keys
    whose home it is.
    """
    if service not in snapshots.routes:
        return None
    local = snapshots.members.local
    members = snapshots.members.live() + ([] if snapshots.leaving else [local])
    rng.shuffle(members)
    members.sort(key=lambda m: _distance(cfg, snapshots, service, m))
    entries = [_entry(cfg, snapshots, home, member) for member in members]
    prefixes = [e["key_prefix"] for e in entries if e["key_prefix"]]
    return {
        "service": service,
        "entries": entries,
        "expires": wall() + cfg.entry_ttl_s,
        "ttl_s": cfg.entry_ttl_s,
        "key_prefix": prefixes[0] if prefixes else home.prefix(),
    }


def _distance(cfg: Settings, snapshots: Snapshots, service: str, member: Member) -> int:
    if member.zone == cfg.zone:
        return 0 if _owns(cfg, snapshots, service, member.vm) else 1
    return 2 if snapshots.places.region_of(member.zone) == cfg.region else 3


def _owns(cfg: Settings, snapshots: Snapshots, service: str, vm: str) -> bool:
    load = snapshots.vms.get(vm)
    headrooms = snapshots.holds.headroom if vm == cfg.vm else (load.headroom if load else {})
    headroom = headrooms.get(service)
    return headroom is not None and headroom.slots > 0


def _entry(cfg: Settings, snapshots: Snapshots, home: Home, member: Member) -> dict:
    return {
        "vm": member.vm,
        "zone": member.zone,
        "url": f"http://{member.endpoint.ip}:{member.endpoint.caller_port}",
        "key_prefix": _key_prefix(cfg, snapshots, home, member),
    }


def _key_prefix(cfg: Settings, snapshots: Snapshots, home: Home, member: Member) -> str:
    if member.vm == cfg.vm:
        return home.prefix()
    load = snapshots.vms.get(member.vm)
    if load is None:
        return ""
    return KeyPrefix(member.vm, load.incarnation, int(wall() + cfg.key_ttl_s)).text()
