"""The steering table: one document per service with a row per region and its instances."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from functools import cache
from typing import Any

from gypsumwind.core.documents import from_fields
from gypsumwind.core.shifts import Shift, constant_shift
from gypsumwind.errors import TableError

MAX_WEIGHT = 1_000_000.0
MAX_SLOTS = 1_000_000
HISTORY_LENGTH = 64

CellValue = float | int | str


def _parse_weight(text: str) -> float:
    value = _parse_number(text)
    if not 0 <= value <= MAX_WEIGHT:
        raise ValueError(f"{text} is not a weight from 0 to {MAX_WEIGHT:g}")
    return value


def _parse_number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a number") from None
    if value != value:
        raise ValueError(f"{text!r} is not a number")
    return value


def _parse_slots(text: str) -> int:
    if not str(text).strip().isdecimal() or int(text) > MAX_SLOTS:
        raise ValueError(f"{text} is not a whole number of slots from 0")
    return int(text)


def _parse_shift_cap(text: str) -> float:
    value = _parse_number(text)
    if not 0 < value <= MAX_WEIGHT:
        raise ValueError(f"{text} is not a change of weight a minute above 0")
    return value


def _parse_local_bias(text: str) -> float:
    value = _parse_number(text)
    if not 0 < value <= 1000:
        raise ValueError(f"{text} is not a factor above 0 and up to 1000")
    return value


def _parse_statuses(text: str) -> str:
    parts = str(text).split()
    for part in parts:
        if not (part.isdecimal() and 400 <= int(part) <= 599):
            raise ValueError(f"{part} is not an HTTP status from 400 to 599")
    return " ".join(parts)


def _parse_methods(text: str) -> str:
    parts = str(text).upper().split()
    for part in parts:
        if not part.isalpha():
            raise ValueError(f"{part} is not an HTTP method")
    return " ".join(parts)


@dataclass(slots=True, frozen=True)
class Column:
    """A column of the table; `parse` raises ValueError for invalid text."""

    name: str
    parse: Callable[[str], CellValue]
    default: CellValue
    help: str


COLUMNS: tuple[Column, ...] = (
    Column("weight", _parse_weight, 0.0, "relative share of the service's traffic for the region"),
    Column("limit", _parse_slots, 0, "maximum slots for callers of other regions"),
    Column("reserve", _parse_slots, 0, "slots reserved for class high"),
    Column("shift_cap", _parse_shift_cap, 60.0, "maximum change of the weight per minute"),
    Column(
        "local_bias",
        _parse_local_bias,
        1.0,
        "weight factor for callers of the same region",
    ),
    Column("repeatable", _parse_methods, "GET HEAD OPTIONS", "methods that are safe to retry"),
    Column(
        "not_run_statuses",
        _parse_statuses,
        "",
        "statuses with which an upstream reports that it did not run the request",
    ),
)
COLUMN_BY_NAME = {column.name: column for column in COLUMNS}


@dataclass(slots=True, frozen=True)
class Cell:
    """A value, the generation that set it (`stamp`) and, for weights, the ramp to it."""

    value: CellValue
    stamp: int = 0
    edit_id: str = ""
    shift: Shift | None = None


@dataclass(slots=True, frozen=True)
class Instance:
    """An upstream instance: its availability zone, `ip:port` address and slots."""

    name: str
    zone: str
    address: str
    slots: int
    draining: bool = False
    stamp: int = 0


@dataclass(slots=True, frozen=True)
class EditRecord:
    """A history entry: author, time, cell, and the values before and after."""

    edit_id: str
    author: str
    at: float
    generation: int
    place: str
    before: str
    after: str


@dataclass(slots=True, frozen=True)
class Row:
    """The typed values of one row, as used by routing decisions."""

    region: str
    weight: Shift
    limit: int
    reserve: int
    shift_cap: float
    local_bias: float
    repeatable: frozenset[str]
    not_run_statuses: frozenset[int]


@cache
def _word_set(text: str) -> frozenset[str]:
    """Return the words of a cell; cached, so that rows with the same text share one set."""
    return frozenset(text.split())


@cache
def _status_set(text: str) -> frozenset[int]:
    return frozenset(int(part) for part in text.split())


@dataclass(slots=True, frozen=True)
class ServiceTable:
    """One service's part of the table at one generation; generations only increase."""

    service: str
    generation: int = 0
    cells: Mapping[str, Mapping[str, Cell]] = field(default_factory=dict)
    instances: Mapping[str, Instance] = field(default_factory=dict)
    history: tuple[EditRecord, ...] = ()

    def cell(self, region: str, column: str) -> Cell:
        """Return a cell, or the column's default if the row lacks it."""
        found = self.cells.get(region, {}).get(column)
        return found if found is not None else Cell(COLUMN_BY_NAME[column].default)

    def row(self, region: str) -> Row:
        """Return the typed row of a region, with defaults for missing cells."""
        weight = self.cell(region, "weight")
        return Row(
            region=region,
            weight=weight.shift or constant_shift(float(weight.value)),
            limit=int(self.cell(region, "limit").value),
            reserve=int(self.cell(region, "reserve").value),
            shift_cap=float(self.cell(region, "shift_cap").value),
            local_bias=float(self.cell(region, "local_bias").value),
            repeatable=_word_set(str(self.cell(region, "repeatable").value)),
            not_run_statuses=_status_set(str(self.cell(region, "not_run_statuses").value)),
        )

    def has_edit(self, edit_id: str) -> bool:
        """Return whether the document's history contains an edit."""
        return any(record.edit_id == edit_id for record in self.history)


@dataclass(slots=True, frozen=True)
class Places:
    """Regions of zones, link budgets between regions in bytes a second, and draining VMs."""

    generation: int = 0
    zones: Mapping[str, str] = field(default_factory=dict)
    links: Mapping[tuple[str, str], float] = field(default_factory=dict)
    draining_vms: frozenset[str] = frozenset()

    def region_of(self, zone: str) -> str:
        """Return the region of a zone, or an empty string for an unknown zone."""
        return self.zones.get(zone, "")

    def zones_of(self, region: str) -> list[str]:
        """Return the zones of a region."""
        return sorted(zone for zone, of in self.zones.items() if of == region)

    def link_budget(self, one: str, other: str) -> float | None:
        """Return the bytes a second between two regions each way, or None if unlimited."""
        return self.links.get((min(one, other), max(one, other)))


def region_instances(table: ServiceTable, places: Places, region: str) -> list[Instance]:
    """Return the instances of a service in one region."""
    return [i for i in table.instances.values() if places.region_of(i.zone) == region]


def table_to_json(table: ServiceTable) -> dict[str, Any]:
    """Return the JSON document of a service, as stored in the platform's store."""
    return {
        "service": table.service,
        "generation": table.generation,
        "rows": {
            region: {name: _cell_to_json(cell) for name, cell in cells.items()}
            for region, cells in table.cells.items()
        },
        "instances": [
            {
                "name": i.name,
                "zone": i.zone,
                "address": i.address,
                "slots": i.slots,
                "draining": i.draining,
                "stamp": i.stamp,
            }
            for i in table.instances.values()
        ],
        "history": [
            {name: getattr(record, name) for name in EditRecord.__slots__}
            for record in table.history
        ],
    }


def _cell_to_json(cell: Cell) -> dict[str, Any]:
    doc: dict[str, Any] = {"value": cell.value, "stamp": cell.stamp, "edit": cell.edit_id}
    if cell.shift is not None:
        shift = cell.shift
        doc["shift"] = [shift.from_weight, shift.to_weight, shift.start, shift.end]
    return doc


def table_from_json(doc: Mapping[str, Any]) -> ServiceTable:
    """Parse a service's document; raise TableError with the reason if it is invalid."""
    try:
        return ServiceTable(
            service=str(doc["service"]),
            generation=int(doc["generation"]),
            cells={
                region: {name: _cell_from_json(name, cell) for name, cell in cells.items()}
                for region, cells in doc["rows"].items()
            },
            instances={i["name"]: _instance_from_json(i) for i in doc["instances"]},
            history=tuple(from_fields(EditRecord, record) for record in doc.get("history", ())),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as exc:
        raise TableError(f"table document: {type(exc).__name__}: {exc}") from exc


def _cell_from_json(name: str, doc: Mapping[str, Any]) -> Cell:
    column = COLUMN_BY_NAME.get(name)
    value = column.parse(str(doc["value"])) if column else doc["value"]
    shift = Shift(*map(float, doc["shift"])) if "shift" in doc else None
    return Cell(value, int(doc.get("stamp", 0)), str(doc.get("edit", "")), shift)


def _instance_from_json(doc: Mapping[str, Any]) -> Instance:
    return Instance(
        name=str(doc["name"]),
        zone=str(doc["zone"]),
        address=str(doc["address"]),
        slots=_parse_slots(str(doc["slots"])),
        draining=bool(doc.get("draining", False)),
        stamp=int(doc.get("stamp", 0)),
    )


def places_to_json(places: Places) -> dict[str, Any]:
    """Return the JSON document of the places, as stored in the platform's store."""
    return {
        "generation": places.generation,
        "zones": dict(places.zones),
        "links": [[one, other, rate] for (one, other), rate in places.links.items()],
        "draining_vms": sorted(places.draining_vms),
    }


def places_from_json(doc: Mapping[str, Any]) -> Places:
    """Parse the places document; raise TableError with the reason if it is invalid."""
    try:
        links = {
            (min(one, other), max(one, other)): float(rate) for one, other, rate in doc["links"]
        }
        draining = frozenset(map(str, doc.get("draining_vms", ())))
        return Places(int(doc["generation"]), dict(doc["zones"]), links, draining)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as exc:
        raise TableError(f"places document: {type(exc).__name__}: {exc}") from exc


def with_history(table: ServiceTable, records: list[EditRecord]) -> ServiceTable:
    """Return the table with history entries added, limited to the last HISTORY_LENGTH."""
    history = (*table.history, *records)
    return replace(table, history=history[-HISTORY_LENGTH:])
