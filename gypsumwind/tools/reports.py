"""Text reports of the command line."""

from collections.abc import Mapping, Sequence
from typing import Any

import click


def in_force(status: Mapping[str, Any], wanted: Mapping[str, int]) -> dict[str, dict[str, Any]]:
    """Return for each zone whether the wanted generations are in force at all its VMs.

    That is so when the entry VM has them and the zone has the same tables as the entry VM. A
    zone without VMs has nothing in force and is waited for by no one, so it is left out.
    """
    here = all(status["tables"].get(s, 0) >= generation for s, generation in wanted.items())
    zones = {}
    for name, zone in status["zones"].items():
        if not zone["vms"]:
            continue
        zones[name] = {"in_force": here and zone["up_to_date"], "age_s": zone["age_s"]}
    return zones


def print_rows(rows: Sequence[Mapping[str, Any]]) -> None:
    """Print rows as a table with a header."""
    if not rows:
        click.echo("(none)")
        return
    names = list(rows[0])
    texts = [[_text(row.get(name)) for name in names] for row in rows]
    widths = [max(len(n), *(len(t[i]) for t in texts)) for i, n in enumerate(names)]
    for line in [names, *texts]:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo("  ".join(cells).rstrip())


def _text(value: Any) -> str:
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
