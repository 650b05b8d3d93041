"""Conditional edits of cells: each names the value it replaces, which prevents lost updates."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from gypsumwind.core.shifts import Shift, constant_shift, plan_shift
from gypsumwind.core.table import (
    COLUMN_BY_NAME,
    Cell,
    CellValue,
    EditRecord,
    Instance,
    ServiceTable,
    with_history,
)
from gypsumwind.errors import EditConflictError

ABSENT = "(absent)"


@dataclass(slots=True, frozen=True)
class CellEdit:
    """Set one cell to a new value, provided it still has the value `seen`."""

    region: str
    column: str
    seen: CellValue | None
    value: CellValue


@dataclass(slots=True, frozen=True)
class InstanceEdit:
    """Add, change or (with `after` None) remove one instance."""

    name: str
    seen: Instance | None
    after: Instance | None


@dataclass(slots=True, frozen=True)
class EditBatch:
    """Edits of one service that are applied atomically under one edit id."""

    edit_id: str
    author: str
    at: float
    edits: tuple[CellEdit | InstanceEdit, ...]


def cell_value(table: ServiceTable, region: str, column: str) -> CellValue | None:
    """Return the stored value of a cell, None if the row lacks it."""
    cell = table.cells.get(region, {}).get(column)
    return None if cell is None else cell.value


def apply_batch(table: ServiceTable, batch: EditBatch) -> ServiceTable:
    """Return the next generation of the table; EditConflictError names every conflict."""
    conflicts = [text for edit in batch.edits if (text := _conflict(table, edit))]
    if conflicts:
        raise EditConflictError("; ".join(conflicts))
    generation = table.generation + 1
    records = [_record(table, edit, batch, generation) for edit in batch.edits]
    for edit in batch.edits:
        if isinstance(edit, CellEdit):
            table = _set_cell(table, edit, batch, generation)
        else:
            table = _set_instance(table, edit, generation)
    return with_history(replace(table, generation=generation), records)


def _conflict(table: ServiceTable, edit: CellEdit | InstanceEdit) -> str:
    if isinstance(edit, CellEdit):
        current = cell_value(table, edit.region, edit.column)
        default = COLUMN_BY_NAME[edit.column].default
        if _or_default(current, default) in (_or_default(edit.seen, default), edit.value):
            return ""
        place = f"{table.service}/{edit.region} column {edit.column}"
        return f"{place}: is now {current}, was seen as {edit.seen}, edit says {edit.value}"
    found = table.instances.get(edit.name)
    if _describe(found) in (_describe(edit.seen), _describe(edit.after)):
        return ""
    return f"{table.service} instance {edit.name}: is now {_describe(found)}"


def _or_default(value: CellValue | None, default: CellValue) -> CellValue:
    """Return a cell's value, or its column's default if the cell is absent."""
    return default if value is None else value


def _describe(inst: Instance | None) -> str:
    if inst is None:
        return ABSENT
    drain = " draining" if inst.draining else ""
    return f"{inst.zone} {inst.address} {inst.slots} slots{drain}"


def _record(
    table: ServiceTable, edit: CellEdit | InstanceEdit, batch: EditBatch, generation: int
) -> EditRecord:
    if isinstance(edit, CellEdit):
        current = cell_value(table, edit.region, edit.column)
        place = f"{edit.region}/{edit.column}"
        before = ABSENT if current is None else str(current)
        after = str(edit.value)
    else:
        place = f"instance/{edit.name}"
        before = _describe(table.instances.get(edit.name))
        after = _describe(edit.after)
    return EditRecord(batch.edit_id, batch.author, batch.at, generation, place, before, after)


def _set_cell(
    table: ServiceTable, edit: CellEdit, batch: EditBatch, generation: int
) -> ServiceTable:
    cell = Cell(edit.value, generation, batch.edit_id)
    if edit.column == "weight":
        shift = _shift(table, edit, batch.at)
        cell = replace(cell, shift=shift)
    row = {**table.cells.get(edit.region, {}), edit.column: cell}
    return replace(table, cells={**table.cells, edit.region: row})


def _shift(table: ServiceTable, edit: CellEdit, now: float) -> Shift:
    old = table.cells.get(edit.region, {}).get("weight")
    target = float(edit.value)
    if old is None:
        return constant_shift(target)
    cap = float(table.cell(edit.region, "shift_cap").value)
    return plan_shift(old.shift or constant_shift(float(old.value)), target, cap, now)


def _set_instance(table: ServiceTable, edit: InstanceEdit, generation: int) -> ServiceTable:
    instances = {n: i for n, i in table.instances.items() if n != edit.name}
    if edit.after is not None:
        instances[edit.name] = replace(edit.after, stamp=generation)
    return replace(table, instances=instances)


def diff_cells(table: ServiceTable, wanted: dict[str, dict[str, CellValue]]) -> list[CellEdit]:
    """Return the edits that set the cells of the given rows to the wanted values.

    A cell that a row lacks has its column's default; a new row gets all its cells.
    """
    edits = []
    for region, row in wanted.items():
        for column, value in row.items():
            seen = cell_value(table, region, column)
            default = COLUMN_BY_NAME[column].default
            if region not in table.cells or _or_default(seen, default) != value:
                edits.append(CellEdit(region, column, seen, value))
    return sorted(edits, key=lambda e: (e.column != "shift_cap", e.region, e.column))


def diff_instances(table: ServiceTable, wanted: Sequence[Instance]) -> list[InstanceEdit]:
    """Return the edits from the current to the wanted instances; draining flags are kept."""
    edits = []
    names = {inst.name for inst in wanted}
    for inst in wanted:
        seen = table.instances.get(inst.name)
        after = replace(inst, draining=seen.draining if seen else inst.draining)
        if _describe(seen) != _describe(after):
            edits.append(InstanceEdit(inst.name, seen, after))
    gone = [i for n, i in sorted(table.instances.items()) if n not in names]
    edits.extend(InstanceEdit(inst.name, inst, None) for inst in gone)
    return edits


def merge_tables(fleet_table: ServiceTable, found: ServiceTable) -> ServiceTable:
    """Merge the fleet's document with a diverged one (`found`) in the store.

    The cell or instance with the higher stamp wins; on equal stamps the fleet's, which was in
    force first. Used after the store was restored from older data and accepted edits on it.
    """
    cells: dict[str, dict[str, Cell]] = {r: dict(row) for r, row in fleet_table.cells.items()}
    for region, row in found.cells.items():
        mine = cells.setdefault(region, {})
        for name, cell in row.items():
            if name not in mine or cell.stamp > mine[name].stamp:
                mine[name] = cell
    instances = dict(fleet_table.instances)
    for name, inst in found.instances.items():
        known = instances.get(name)
        newest = fleet_table.generation if known is None else known.stamp
        if inst.stamp > newest:
            instances[name] = inst
    known_ids = {r.edit_id for r in fleet_table.history}
    extra = [r for r in found.history if r.edit_id not in known_ids]
    generation = max(fleet_table.generation, found.generation) + 1
    joined = replace(fleet_table, generation=generation, cells=cells, instances=instances)
    return with_history(joined, extra)


def parse_cell(column: str, text: str) -> CellValue:
    """Parse the text of a cell; raise ValueError with the reason if it is invalid."""
    found = COLUMN_BY_NAME.get(column)
    if found is None:
        raise ValueError(f"no such column; the columns are {', '.join(COLUMN_BY_NAME)}")
    return found.parse(text)
