"""Text output of the command-line tool."""

from collections.abc import Mapping, Sequence
from typing import Any

import click


def in_force(
    status: Mapping[str, Any], generations: Mapping[str, int]
) -> dict[str, dict[str, Any]]:
    """Return for each zone whether the given generations are in force at all its VMs.

    They are if the entry VM has them and the zone has the same tables as the entry VM. A zone
    without VMs is omitted: it has nothing in force and must not delay a wait.
    """
    in_force_here = all(
        status["tables"].get(s, 0) >= generation for s, generation in generations.items()
    )
    zones = {}
    for name, zone in status["zones"].items():
        if not zone["vms"]:
            continue
        zones[name] = {"in_force": in_force_here and zone["up_to_date"], "age_s": zone["age_s"]}
    return zones


def print_rows(rows: Sequence[Mapping[str, Any]]) -> None:
    """Print rows as a table with a header."""
    if not rows:
        click.echo("(none)")
        return
    names = list(rows[0])
    texts = [[_format_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(n), *(len(t[i]) for t in texts)) for i, n in enumerate(names)]
    for line in [names, *texts]:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo("  ".join(cells).rstrip())


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    return f"{value:g}" if isinstance(value, float) else str(value)


def print_status(page: Mapping[str, Any]) -> None:
    """Print the status page."""
    click.echo(f"as seen by {page['vm']} in {page['zone']}")
    print_rows(page["vms"])
    click.echo()
    rows = [
        {
            "zone": name,
            "vms": zone["vms"],
            "age_s": zone["age_s"],
            "service": service,
            "up_to_date": zone["up_to_date"],
            **room,
        }
        for name, zone in page["zones"].items()
        for service, room in (zone["headroom"] or {"-": {}}).items()
    ]
    names = ("zone", "vms", "age_s", "up_to_date", "service", "slots", "in_flight", "free")
    print_rows([{name: row.get(name) for name in names} for row in rows])
