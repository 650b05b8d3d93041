"""The docs name every setting, error code, column and event."""

import re
from pathlib import Path

import pytest

from gypsumwind.core.table import COLUMNS
from gypsumwind.errors import Code
from gypsumwind.settings import SETTINGS

ROOT = Path(__file__).resolve().parents[1]
DOCS = ROOT / "docs"


@pytest.mark.parametrize("setting", SETTINGS, ids=lambda s: s.name)
def test_setting_has_its_row(setting):
    text = (DOCS / "settings.md").read_text()
    assert f"| `{setting.flag}` | `{setting.variable}` | {setting.unit} |" in text


@pytest.mark.parametrize("code", list(Code), ids=lambda c: c.value)
def test_error_code_has_its_row(code):
    assert f"| {code.value} |" in (DOCS / "errors.md").read_text()


@pytest.mark.parametrize("column", COLUMNS, ids=lambda c: c.name)
def test_column_is_described(column):
    assert f"`{column.name}`" in (DOCS / "table.md").read_text()


def test_log_events_are_described():
    code = "".join(path.read_text() for path in (ROOT / "gypsumwind").rglob("*.py"))
    events = set(re.findall(r'log\.(?:info|warning|error)\(\s*"([a-z-]+)"', code))
    text = (DOCS / "operating.md").read_text()
    assert events and not [event for event in sorted(events) if f"`{event}`" not in text]


def test_links_between_pages_resolve():
    pages = [*DOCS.glob("*.md"), ROOT / "README.md"]
    links = [
        (page, link) for page in pages for link in re.findall(r"\]\(([^)#]+)\)", page.read_text())
    ]
    assert links and not [(p.name, to) for p, to in links if not (p.parent / to).exists()]
