"""The part of a service's table that a VM needs for routing."""

from collections.abc import Mapping
from dataclasses import dataclass
from sys import intern

from gypsumwind.core.table import Instance, Places, Row, ServiceTable, region_instances

_DEFAULT = ServiceTable("").row("")


@dataclass(slots=True, frozen=True)
class ServiceRoute:
    """A service's rows, the slots of each zone, and the instances of the VM's own region."""

    service: str
    generation: int
    rows: Mapping[str, Row]
    default: Row
    zone_slots: Mapping[str, int]
    instances: tuple[Instance, ...]

    def row(self, region: str) -> Row:
        """Return the row of a region, the default row if the table has none."""
        return self.rows.get(region, self.default)


def build_route(table: ServiceTable, places: Places, region: str) -> ServiceRoute:
    """Build the route of a service for the VMs of `region`."""
    zone_slots: dict[str, int] = {}
    for inst in table.instances.values():
        zone = intern(inst.zone)
        zone_slots[zone] = zone_slots.get(zone, 0) + inst.slots
    return ServiceRoute(
        service=intern(table.service),
        generation=table.generation,
        rows={intern(name): table.row(intern(name)) for name in table.cells},
        default=_DEFAULT,
        zone_slots=zone_slots,
        instances=tuple(region_instances(table, places, region)),
    )
