"""Pytest plugin: lets tests pass over that KNOWN-RED.txt lists, and prints each of them."""

from pathlib import Path

import pytest

LIST = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"


def listed():
    """Return the test ids of the list: the first word of each line that is not a comment."""
    lines = LIST.read_text().splitlines() if LIST.exists() else []
    return {line.split()[0] for line in lines if line.strip() and not line.startswith("#")}


def pytest_collection_modifyitems(items):
    red = listed()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    for name in sorted(listed()):
        terminalreporter.write_line(f"KNOWN-RED: {name}")
