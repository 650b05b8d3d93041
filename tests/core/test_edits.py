import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gypsumwind.core.edits import (
    CellEdit,
    EditBatch,
    InstanceEdit,
    apply_batch,
    cell_value,
    merge_tables,
    parse_cell,
)
from gypsumwind.core.table import Instance, ServiceTable, table_from_json, table_to_json
from gypsumwind.errors import EditConflictError


def batch(edit_id, *edits, at=0.0):
    return EditBatch(edit_id, "ama", at, tuple(edits))


def test_edit_of_a_changed_cell_is_refused_and_shows_both_values():
    table = apply_batch(ServiceTable("s"), batch("1", CellEdit("accra", "limit", None, 4)))
    with pytest.raises(EditConflictError) as caught:
        apply_batch(table, batch("2", CellEdit("accra", "limit", 3, 5)))
    assert "is now 4, was seen as 3, edit says 5" in caught.value.message
    assert "s/accra column limit" in caught.value.message


def test_edits_of_different_cells_in_a_row_are_both_kept():
    table = apply_batch(ServiceTable("s"), batch("1", CellEdit("accra", "limit", None, 4)))
    table = apply_batch(table, batch("2", CellEdit("accra", "reserve", None, 1)))
    assert (cell_value(table, "accra", "limit"), cell_value(table, "accra", "reserve")) == (4, 1)


def test_removal_of_an_instance_is_recorded_in_the_history():
    inst = Instance("i", "z", "127.0.0.1:1", 2)
    table = apply_batch(ServiceTable("s"), batch("1", InstanceEdit("i", None, inst)))
    table = apply_batch(table, batch("2", InstanceEdit("i", table.instances["i"], None)))
    assert not table.instances
    assert table.history[-1].after == "(absent)"


def test_document_round_trips_through_json():
    edits = (CellEdit("accra", "weight", None, 4.0), CellEdit("accra", "weight", None, 4.0))
    table = apply_batch(ServiceTable("s"), batch("1", *edits))
    table = apply_batch(table, batch("2", CellEdit("accra", "weight", 4.0, 9.0), at=50.0))
    assert table_from_json(table_to_json(table)) == table


@pytest.mark.parametrize(
    ("column", "text"),
    [("limit", "-3"), ("weight", "nan"), ("shift_cap", "0"), ("not_run_statuses", "200")],
)
def test_invalid_cell_text_is_named_in_the_error(column, text):
    with pytest.raises(ValueError, match=text):
        parse_cell(column, text)


def test_merge_keeps_edits_of_both_sides():
    base = apply_batch(ServiceTable("s"), batch("1", CellEdit("accra", "limit", None, 1)))
    fleet = apply_batch(base, batch("2", CellEdit("accra", "limit", 1, 2)))
    store = apply_batch(base, batch("3", CellEdit("accra", "reserve", None, 7)))
    joined = merge_tables(fleet, store)
    assert cell_value(joined, "accra", "limit") == 2
    assert cell_value(joined, "accra", "reserve") == 7
    assert joined.generation > max(fleet.generation, store.generation)
    assert joined.has_edit("2") and joined.has_edit("3")


class TableMachine(RuleBasedStateMachine):
    """Two operators edit the same cells by conditional updates, whose replies may be lost."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.rng = random.Random(seed)
        self.table = ServiceTable("s")
        self.accepted = {}
        self.seen = [{}, {}]
        self.count = 0

    @rule(who=st.sampled_from([0, 1]))
    def look(self, who):
        self.seen[who] = {
            (r, c): cell_value(self.table, r, c)
            for r in ("accra", "kumasi")
            for c in ("limit", "reserve")
        }

    @rule(
        who=st.sampled_from([0, 1]),
        region=st.sampled_from(["accra", "kumasi"]),
        column=st.sampled_from(["limit", "reserve"]),
        value=st.integers(0, 3),
        repeated=st.booleans(),
    )
    def edit(self, who, region, column, value, repeated):
        self.count += 1
        seen = self.seen[who].get((region, column))
        edit = batch(str(self.count), CellEdit(region, column, seen, value))
        before = cell_value(self.table, region, column)
        try:
            after = apply_batch(self.table, edit)
        except EditConflictError:
            assert (before or 0) not in (seen or 0, value)
            return
        assert (before or 0) in (seen or 0, value)
        assert after.generation == self.table.generation + 1
        self.table = after
        self.accepted[(region, column)] = value
        if repeated:
            assert self.table.has_edit(edit.edit_id)

    @invariant()
    def accepted_values_stand(self):
        for (region, column), value in getattr(self, "accepted", {}).items():
            assert cell_value(self.table, region, column) == value


TestTableMachine = TableMachine.TestCase
