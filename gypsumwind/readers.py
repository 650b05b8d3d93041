"""Readers of the CSV files that operators keep in version control; each collects all errors."""

import csv
from dataclasses import dataclass
from pathlib import Path

from gypsumwind.core.table import COLUMN_BY_NAME, COLUMNS, CellValue, Instance
from gypsumwind.errors import TableError
from gypsumwind.utils import split_address

FIRST_ROW_LINE = 2


@dataclass(slots=True, frozen=True)
class Line:
    """A row of a file: its line number and its cells by column name."""

    number: int
    cells: dict[str, str]


class CsvReader:
    """Reads a CSV file with a header line; subclasses define its columns."""

    required: tuple[str, ...] = ()
    optional: tuple[str, ...] = ()

    def __init__(self, path: Path) -> None:
        self._path = path
        self.errors: list[str] = []

    def add_error(self, line: int, column: str, text: str) -> None:
        """Record an error at a line and column."""
        where = f" column {column}" if column else ""
        self.errors.append(f"{self._path.name}:{line}:{where} {text}")

    def lines(self) -> list[Line]:
        """Return the rows; TableError if the file cannot be read at all."""
        try:
            with self._path.open(newline="", encoding="utf-8") as file:
                rows = list(csv.reader(file, strict=True))
        except (OSError, UnicodeDecodeError, csv.Error) as exc:
            raise TableError(f"{self._path}: {exc}") from exc
        if not rows:
            raise TableError(f"{self._path}: empty file; the first line must name the columns")
        names = [name.strip() for name in rows[0]]
        self._check_header(names)
        found = []
        for number, row in enumerate(rows[1:], FIRST_ROW_LINE):
            if not any(cell.strip() for cell in row) or row[0].startswith("#"):
                continue
            if len(row) != len(names):
                self.add_error(number, "", f"{len(row)} cells, the header has {len(names)}")
                continue
            cells = dict(zip(names, (cell.strip() for cell in row), strict=True))
            found.append(Line(number, cells))
        return found

    def _check_header(self, names: list[str]) -> None:
        known = self.required + self.optional
        for name in names:
            if name not in known:
                self.add_error(1, name, f"no such column; the columns are {', '.join(known)}")
            elif names.count(name) > 1:
                self.add_error(1, name, "named twice")
        for name in self.required:
            if name not in names:
                self.add_error(1, name, "missing")

    def text(self, line: Line, column: str) -> str:
        """Return a cell that must not be empty."""
        value = line.cells.get(column, "")
        if not value:
            self.add_error(line.number, column, "must not be empty")
        return value

    def raise_errors(self) -> None:
        """Raise TableError with all errors found, if any."""
        if self.errors:
            raise TableError("\n".join(self.errors))


Rows = dict[str, dict[str, dict[str, CellValue]]]


class TableReader(CsvReader):
    """Reads table.csv: a row per service and region."""

    required = ("service", "region", "weight", "limit")
    optional = tuple(c.name for c in COLUMNS if c.name not in ("weight", "limit"))

    def read(self) -> Rows:
        """Return cells by service, region and column."""
        rows: Rows = {}
        for line in self.lines():
            service, region = self.text(line, "service"), self.text(line, "region")
            regions = rows.setdefault(service, {})
            if region in regions:
                self.add_error(line.number, "region", f"{service}/{region} has a row already")
            regions[region] = self._cells(line)
        self.raise_errors()
        return rows

    def _cells(self, line: Line) -> dict[str, CellValue]:
        cells: dict[str, CellValue] = {}
        for name, column in COLUMN_BY_NAME.items():
            if name not in line.cells:
                continue
            text = line.cells[name]
            try:
                cells[name] = column.parse(text) if text else column.default
            except ValueError as exc:
                self.add_error(line.number, name, str(exc))
        return cells


class InstancesReader(CsvReader):
    """Reads instances.csv: the upstream instances of each service."""

    required = ("service", "instance", "zone", "address", "slots")

    def read(self) -> dict[str, list[Instance]]:
        """Return the instances by service."""
        found: dict[str, list[Instance]] = {}
        names: dict[str, int] = {}
        for line in self.lines():
            service, name = self.text(line, "service"), self.text(line, "instance")
            if name in names:
                self.add_error(line.number, "instance", f"{name} is on line {names[name]} already")
            names[name] = line.number
            inst = self._instance(line, name)
            if inst is not None:
                found.setdefault(service, []).append(inst)
        self.raise_errors()
        return found

    def _instance(self, line: Line, name: str) -> Instance | None:
        zone, slots = self.text(line, "zone"), line.cells.get("slots", "")
        address = line.cells.get("address", "")
        try:
            split_address(address)
        except ValueError as exc:
            self.add_error(line.number, "address", str(exc))
            return None
        if not slots.isdecimal() or int(slots) < 1:
            self.add_error(
                line.number, "slots", f"{slots} is not a whole number of slots, at least 1"
            )
            return None
        return Instance(name, zone, address, int(slots))


class ZonesReader(CsvReader):
    """Reads zones.csv: the region of each availability zone."""

    required = ("zone", "region")

    def read(self) -> dict[str, str]:
        """Return regions by zone."""
        zones: dict[str, str] = {}
        for line in self.lines():
            zone = self.text(line, "zone")
            if zone in zones:
                self.add_error(line.number, "zone", f"{zone} has a row already")
            zones[zone] = self.text(line, "region")
        self.raise_errors()
        return zones


class LinksReader(CsvReader):
    """Reads links.csv: the bandwidth between two regions, in bytes per second each way."""

    required = ("region", "other_region", "bytes_per_s")

    def read(self) -> dict[tuple[str, str], float]:
        """Return the bandwidth by pair of regions, the lesser name first."""
        links: dict[tuple[str, str], float] = {}
        for line in self.lines():
            one, other = self.text(line, "region"), self.text(line, "other_region")
            rate = line.cells.get("bytes_per_s", "")
            if not rate.isdecimal() or int(rate) < 1:
                self.add_error(
                    line.number, "bytes_per_s", f"{rate} is not a whole number, at least 1"
                )
                continue
            if one == other:
                self.add_error(
                    line.number, "other_region", f"{other} is the same region as in column region"
                )
            pair = (min(one, other), max(one, other))
            if pair in links:
                self.add_error(line.number, "other_region", f"{one} and {other} have a row already")
            links[pair] = float(rate)
        self.raise_errors()
        return links


@dataclass(slots=True, frozen=True)
class Declaration:
    """The tables, instances, zones and links that a folder of CSV files declares."""

    rows: Rows
    instances: dict[str, list[Instance]]
    zones: dict[str, str]
    links: dict[tuple[str, str], float]


def read_declaration(table: Path) -> Declaration:
    """Read table.csv and the other files beside it; TableError lists the errors of all files."""
    folder = table.parent
    errors: list[str] = []
    parts: list = []
    readers: tuple[tuple[type[CsvReader], Path], ...] = (
        (TableReader, table),
        (InstancesReader, folder / "instances.csv"),
        (ZonesReader, folder / "zones.csv"),
        (LinksReader, folder / "links.csv"),
    )
    for kind, path in readers:
        try:
            optional = kind is LinksReader and not path.exists()
            parts.append({} if optional else kind(path).read())  # type: ignore[attr-defined]
        except TableError as exc:
            errors.append(exc.message)
            parts.append({})
    declaration = Declaration(*parts)
    if not errors:
        errors = _cross_file_errors(declaration, table.name)
    if errors:
        raise TableError("\n".join(errors))
    return declaration


def _cross_file_errors(found: Declaration, name: str) -> list[str]:
    errors = []
    regions = set(found.zones.values())
    for service, rows in found.rows.items():
        for region in rows:
            if region not in regions:
                errors.append(f"{name}: {service}/{region}: zones.csv has no such region")
        if service not in found.instances:
            errors.append(f"{name}: {service}: instances.csv has no instance of this service")
    for service, instances in found.instances.items():
        if service not in found.rows:
            errors.append(f"instances.csv: {service}: {name} has no row for this service")
        for inst in instances:
            if inst.zone not in found.zones:
                errors.append(f"instances.csv: {inst.name}: zones.csv has no zone {inst.zone}")
    errors.extend(
        f"links.csv: {region}: zones.csv has no such region"
        for pair in found.links
        for region in pair
        if region not in regions
    )
    return errors
