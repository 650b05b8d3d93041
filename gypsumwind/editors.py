"""Edits of the table in the store: conditional updates with an explicit outcome."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from gypsumwind.core.edits import (
    CellEdit,
    EditBatch,
    InstanceEdit,
    apply_batch,
    diff_cells,
    diff_instances,
)
from gypsumwind.core.table import (
    Places,
    ServiceTable,
    places_from_json,
    places_to_json,
    table_from_json,
    table_to_json,
)
from gypsumwind.errors import Code, EditConflictError, StoreError
from gypsumwind.readers import Declaration
from gypsumwind.stores import Store, StoredObject
from gypsumwind.utils import jittered, wall

TABLE_KEY_PREFIX = "config/table/"
PLACES_KEY = "config/places"
MAX_TRIES = 8
RETRY_S = 0.2


class EditOutcome(Enum):
    """The outcome of an edit."""

    STORED = "stored"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    UNCHANGED = "unchanged"


@dataclass(slots=True, frozen=True)
class EditResult:
    """The outcome of an edit of one document, the generation that has it, and the reason."""

    name: str
    outcome: EditOutcome
    generation: int = 0
    edit_id: str = ""
    text: str = ""


class Editor:
    """Writes edits under an id each; after a lost answer, reads back whether it was stored."""

    def __init__(self, store: Store, author: str, rng: random.Random) -> None:
        self._store = store
        self._author = author
        self._rng = rng

    def table(self, service: str) -> ServiceTable:
        """Return a service's table as stored, an empty one if there is none."""
        found = self._store.get(TABLE_KEY_PREFIX + service)
        return ServiceTable(service) if found is None else table_from_json(found.value)

    def tables(self) -> list[ServiceTable]:
        """Return all tables as stored."""
        pages = self._store.list_objects(TABLE_KEY_PREFIX)
        tables = [table_from_json(obj.value) for page in pages for obj in page.objects]
        return sorted(tables, key=lambda table: table.service)

    def places(self) -> Places:
        """Return the places as stored."""
        found = self._store.get(PLACES_KEY)
        return Places() if found is None else places_from_json(found.value)

    def edit(self, service: str, edits: list[CellEdit | InstanceEdit], edit_id: str) -> EditResult:
        """Write edits of one service in one update."""
        if not edits:
            return EditResult(service, EditOutcome.UNCHANGED, self.table(service).generation)
        batch = EditBatch(edit_id, self._author, wall(), tuple(edits))

        def change(found: StoredObject | None) -> tuple[Any, int] | None:
            table = table_from_json(found.value) if found else ServiceTable(service)
            if table.has_edit(edit_id):
                return None
            after = apply_batch(table, batch)
            return table_to_json(after), after.generation

        return self._update(service, TABLE_KEY_PREFIX + service, edit_id, change)

    def edit_places(self, change: Callable[[Places], Places]) -> EditResult:
        """Write a change of the places, recomputed on each try."""

        def changed(found: StoredObject | None) -> tuple[Any, int] | None:
            places = places_from_json(found.value) if found else Places()
            after = change(places)
            if after == places:
                return None
            after = replace(after, generation=places.generation + 1)
            return places_to_json(after), after.generation

        return self._update("places", PLACES_KEY, "", changed)

    def _update(
        self,
        name: str,
        key: str,
        edit_id: str,
        change: Callable[[StoredObject | None], tuple[Any, int] | None],
    ) -> EditResult:
        uncertain = False
        text = ""
        for _ in range(MAX_TRIES):
            try:
                found = self._store.get(key)
                changed = change(found)
                if changed is None:
                    return self._already_applied(name, edit_id, found)
                value, generation = changed
                self._store.put(key, value, found.version if found else None)
                return EditResult(name, EditOutcome.STORED, generation, edit_id)
            except EditConflictError as exc:
                return EditResult(name, EditOutcome.REFUSED, 0, edit_id, exc.message)
            except StoreError as exc:
                text = exc.message
                uncertain = uncertain or exc.code is Code.STORE_OUTCOME_UNKNOWN
                time.sleep(jittered(RETRY_S, self._rng))
        outcome = EditOutcome.UNKNOWN if uncertain else EditOutcome.REFUSED
        return EditResult(name, outcome, 0, edit_id, text)

    def _already_applied(self, name: str, edit_id: str, found: StoredObject | None) -> EditResult:
        generation = int(found.value["generation"]) if found else 0
        outcome = EditOutcome.STORED if edit_id else EditOutcome.UNCHANGED
        return EditResult(name, outcome, generation, edit_id)


def plan_edits(
    declared: Declaration, tables: dict[str, ServiceTable]
) -> dict[str, list[CellEdit | InstanceEdit]]:
    """Return, for each declared service, the edits that make the table match the declaration."""
    plans: dict[str, list[CellEdit | InstanceEdit]] = {}
    for service, rows in declared.rows.items():
        table = tables.get(service, ServiceTable(service))
        edits: list[CellEdit | InstanceEdit] = []
        edits.extend(diff_cells(table, rows))
        edits.extend(diff_instances(table, declared.instances[service]))
        plans[service] = edits
    return plans
