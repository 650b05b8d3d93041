"""The status page: zones, VMs, tables in force, and headroom, with the age of each."""

from collections.abc import Mapping
from typing import Any

from gypsumwind.core.admission import Headroom
from gypsumwind.gossip import common_tables_hash, live_loads, sum_headroom
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.utils import wall


def status_page(cfg: Settings, snapshots: Snapshots) -> dict[str, Any]:
    """Return the state of the fleet as known to this VM.

    A zone is up to date if all its VMs have the same tables in force as this VM.
    """
    zones = {zone: _zone(cfg, snapshots, zone) for zone in sorted(snapshots.places.zones)}
    zones.setdefault(cfg.zone, _own_zone(cfg, snapshots))
    return {
        "vm": cfg.vm,
        "zone": cfg.zone,
        "leaving": snapshots.leaving,
        "tables": {name: route.generation for name, route in sorted(snapshots.routes.items())},
        "places": snapshots.places.generation,
        "zones": zones,
        "vms": [_vm(member) for member in _members(snapshots)],
        "holds": dict(sorted(snapshots.holds.held.items())),
        "weights": _weights(snapshots),
    }


def _members(snapshots: Snapshots) -> list[Any]:
    members = [snapshots.members.local, *snapshots.members.members.values()]
    return sorted(members, key=lambda m: (m.zone, m.vm))


def _vm(member: Any) -> dict[str, Any]:
    return {
        "vm": member.vm,
        "zone": member.zone,
        "ip": member.endpoint.ip,
        "state": member.state.name.lower(),
        "incarnation": member.incarnation,
    }


def _zone(cfg: Settings, snapshots: Snapshots, zone: str) -> dict[str, Any]:
    if zone == cfg.zone:
        return _own_zone(cfg, snapshots)
    load = snapshots.zones.get(zone)
    if load is None:
        return {"vms": 0, "age_s": None, "up_to_date": False, "headroom": {}}
    return {
        "vms": load.vms,
        "age_s": round(max(0.0, wall() - load.at), 3),
        "up_to_date": load.tables_hash == snapshots.tables_hash,
        "headroom": _headroom(load.headroom),
    }


def _own_zone(cfg: Settings, snapshots: Snapshots) -> dict[str, Any]:
    loads = live_loads(snapshots, cfg.zone)
    return {
        "vms": len(loads),
        "age_s": 0.0,
        "up_to_date": common_tables_hash(loads) == snapshots.tables_hash,
        "headroom": _headroom(sum_headroom(loads)),
    }


def _headroom(headroom: Mapping[str, Headroom]) -> dict[str, Any]:
    names = Headroom.__slots__
    return {
        service: {name: getattr(room, name) for name in names}
        for service, room in sorted(headroom.items())
    }


def _weights(snapshots: Snapshots) -> dict[str, dict[str, float]]:
    now = wall()
    return {
        name: {region: round(row.weight.weight_at(now), 3) for region, row in route.rows.items()}
        for name, route in sorted(snapshots.routes.items())
    }
