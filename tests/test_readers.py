import shutil
from pathlib import Path

import pytest

from gypsumwind.errors import TableError
from gypsumwind.readers import read_declaration
from gypsumwind.settings import read_settings
from gypsumwind.tools.cli import _read_env

SAMPLES = Path(__file__).resolve().parents[1] / "samples"


@pytest.fixture
def folder(tmp_path):
    shutil.copytree(SAMPLES / "demo", tmp_path / "demo")
    return tmp_path / "demo"


def change(path, old, new):
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))


@pytest.mark.parametrize("name", ["adjei", "cofre", "demo"])
def test_samples_are_valid(name):
    declared = read_declaration(SAMPLES / name / "table.csv")
    assert declared.rows and declared.instances and declared.zones and declared.links


@pytest.mark.parametrize("name", ["adjei", "cofre"])
def test_sample_settings_are_valid(name):
    assert read_settings({}, _read_env(SAMPLES / name / "settings.env")).zone


@pytest.mark.parametrize(
    ("file", "old", "new", "error"),
    [
        ("table.csv", "100,8,2", "100,-3,2", "table.csv:2: column limit -3 is not a whole number"),
        ("table.csv", "weight", "wieght", "table.csv:1: column wieght no such column"),
        ("table.csv", "lookup,kumasi", "lookup,accra", "table.csv:3: column region"),
        ("table.csv", "lookup,kumasi", "lookup,lagos", "zones.csv has no such region"),
        ("table.csv", "signoff,accra,", "signoff,accra,,", "table.csv:4: 10 cells"),
        ("instances.csv", "127.0.3.1:18084", "lookup:80", "instances.csv:2: column address"),
        ("instances.csv", "lookup-accra-a-2,", "lookup-accra-a-1,", "is on line 2 already"),
        ("instances.csv", "accra-b,127", "accra-z,127", "zones.csv has no zone accra-z"),
        ("links.csv", "500000000", "fast", "links.csv:2: column bytes_per_s fast"),
    ],
)
def test_error_names_file_line_and_column(folder, file, old, new, error):
    change(folder / file, old, new)
    with pytest.raises(TableError) as caught:
        read_declaration(folder / "table.csv")
    assert error in caught.value.message


def test_errors_of_all_files_are_reported_together(folder):
    change(folder / "table.csv", "100,8,2", "nan,8,2")
    change(folder / "instances.csv", ",4\n", ",0\n")
    with pytest.raises(TableError) as caught:
        read_declaration(folder / "table.csv")
    assert "table.csv:2: column weight" in caught.value.message
    assert "instances.csv:2: column slots" in caught.value.message
