"""Writers of the CSV files that operators keep in version control."""

import csv
from collections.abc import Iterable, Sequence
from pathlib import Path

from gypsumwind.core.table import COLUMNS, Places, ServiceTable


class Writer:
    """Writes a CSV file with a header line; subclasses define the header and rows."""

    header: tuple[str, ...] = ()

    def __init__(self, path: Path) -> None:
        self._path = path

    def write_rows(self, rows: Iterable[Sequence[object]]) -> None:
        """Write the header and the rows."""
        with self._path.open("w", newline="", encoding="utf-8") as file:
            out = csv.writer(file, lineterminator="\n")
            out.writerow(self.header)
            out.writerows(rows)


class TableWriter(Writer):
    """Writes table.csv."""

    header = ("service", "region", *(column.name for column in COLUMNS))

    def write(self, tables: Sequence[ServiceTable]) -> None:
        """Write a row per service and region."""
        self.write_rows(
            [table.service, region, *(_text(table, region, c.name) for c in COLUMNS)]
            for table in tables
            for region in sorted(table.cells)
        )


class InstancesWriter(Writer):
    """Writes instances.csv."""

    header = ("service", "instance", "zone", "address", "slots")

    def write(self, tables: Sequence[ServiceTable]) -> None:
        """Write a row per instance."""
        self.write_rows(
            [table.service, inst.name, inst.zone, inst.address, inst.slots]
            for table in tables
            for inst in table.instances.values()
        )


class ZonesWriter(Writer):
    """Writes zones.csv."""

    header = ("zone", "region")

    def write(self, places: Places) -> None:
        """Write a row per availability zone."""
        self.write_rows(sorted(places.zones.items()))


class LinksWriter(Writer):
    """Writes links.csv."""

    header = ("region", "other_region", "bytes_per_s")

    def write(self, places: Places) -> None:
        """Write a row per pair of regions."""
        self.write_rows(
            [one, other, int(rate)] for (one, other), rate in sorted(places.links.items())
        )


def _text(table: ServiceTable, region: str, column: str) -> str:
    value = table.cell(region, column).value
    return f"{value:g}" if isinstance(value, float) else str(value)
