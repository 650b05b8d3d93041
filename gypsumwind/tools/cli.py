"""Command-line tool of operators: edit the table, and show what is in force."""

import functools
import getpass
import json
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, NoReturn

import click

from gypsumwind import __version__
from gypsumwind.clients import EntryClient
from gypsumwind.core.edits import CellEdit, InstanceEdit, cell_value, parse_cell
from gypsumwind.core.table import COLUMNS, Places, ServiceTable
from gypsumwind.editors import Editor, EditOutcome, EditResult, plan_edits
from gypsumwind.errors import Code, GypsumwindError, SettingsError
from gypsumwind.readers import Declaration, read_declaration
from gypsumwind.settings import read_settings
from gypsumwind.stores import HttpStore
from gypsumwind.tools.reports import in_force, print_rows, print_status
from gypsumwind.utils import new_id, split_url
from gypsumwind.writers import InstancesWriter, LinksWriter, TableWriter, ZonesWriter

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
EXIT_UNAVAILABLE = 4
EXIT_DIFFERS = 5
EXIT_NOT_IN_FORCE = 6

STORE_TIMEOUT_S = 5.0
POLL_S = 0.2
UNAVAILABLE = (Code.STORE_UNAVAILABLE, Code.PEER_UNREACHABLE)


@dataclass(slots=True, frozen=True)
class Context:
    """The options that all commands share."""

    store_url: str
    entry_url: str
    as_json: bool

    def editor(self) -> Editor:
        """Return an editor of the table in the store."""
        if not self.store_url:
            _fail(EXIT_USAGE, "missing store URL: give --store-url or GYPSUMWIND_STORE_URL")
        store = HttpStore(self.store_url, STORE_TIMEOUT_S)
        return Editor(store, getpass.getuser(), random.Random())

    def entry(self) -> EntryClient:
        """Return a client of the entry VM."""
        if not self.entry_url:
            _fail(
                EXIT_USAGE,
                "missing URL of an entry VM: give --entry or GYPSUMWIND_ENTRY",
            )
        return EntryClient(self.entry_url)

    def show(self, doc: Any, text: Callable[[], None]) -> None:
        """Print a document as JSON, or as text."""
        if self.as_json:
            click.echo(json.dumps(doc, indent=2))
        else:
            text()


def _fail(status: int, text: str) -> NoReturn:
    click.echo(text, err=True)
    sys.exit(status)


def _url(ctx: click.Context, param: click.Parameter, value: str) -> str:
    if not value:
        return ""
    try:
        split_url(value)
    except ValueError as exc:
        raise click.BadParameter(str(exc)) from exc
    return value.rstrip("/")


def _report_errors(command: Callable) -> Callable:
    """Decorate a command to print errors of the package and exit with a status."""

    @functools.wraps(command)
    def wrapped(*args: Any, **kwargs: Any) -> Any:
        try:
            return command(*args, **kwargs)
        except GypsumwindError as exc:
            status = EXIT_UNAVAILABLE if exc.code in UNAVAILABLE else EXIT_REFUSED
            for line in exc.message.splitlines():
                click.echo(f"{exc.code.value} {line}", err=True)
            sys.exit(status)

    return wrapped


@click.group("gypsumwind", context_settings={"max_content_width": 100})
@click.version_option(__version__)
@click.option("--store-url", envvar="GYPSUMWIND_STORE_URL", default="", callback=_url)
@click.option("--entry", envvar="GYPSUMWIND_ENTRY", default="", callback=_url)
@click.option("--json", "as_json", is_flag=True, help="print JSON")
@click.pass_context
def cli(ctx: click.Context, store_url: str, entry: str, as_json: bool) -> None:
    """Steer traffic by editing the table. Exit codes are in docs/errors.md."""
    ctx.obj = Context(store_url, entry, as_json)


TABLE_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
wait_option = click.option(
    "--wait", "wait_s", default=15.0, show_default=True, help="seconds to wait until in force"
)


@cli.command()
@click.argument("table", type=TABLE_FILE)
@click.option("--edit-id", help="retry an edit whose outcome is unknown, under its id")
@wait_option
@click.pass_obj
@_report_errors
def apply(obj: Context, table: Path, edit_id: str | None, wait_s: float) -> None:
    """Change the table to what a CSV file and the files beside it declare."""
    declared = read_declaration(table)
    editor = obj.editor()
    edit_id = edit_id or new_id()
    results = [editor.edit_places(lambda places: _declared_places(places, declared))]
    tables = {t.service: t for t in editor.tables()}
    plans = plan_edits(declared, tables)
    with _ProgressBar("applying", len(plans)) as step:
        for service, edits in plans.items():
            results.append(editor.edit(service, edits, edit_id))
            step()
    _finish(obj, results, wait_s, f"apply {table} --edit-id {edit_id}")


def _declared_places(places: Places, declared: Declaration) -> Places:
    return replace(places, zones=declared.zones, links=declared.links)


class _ProgressBar:
    """A progress bar, hidden unless standard error is a terminal."""

    def __init__(self, label: str, length: int) -> None:
        hidden = not sys.stderr.isatty()
        self._bar = click.progressbar(length=length, label=label, file=sys.stderr, hidden=hidden)

    def __enter__(self) -> Callable[[], None]:
        self._bar.__enter__()
        return lambda: self._bar.update(1)

    def __exit__(self, *exc: Any) -> None:
        self._bar.__exit__(*exc)


def _finish(obj: Context, results: list[EditResult], wait_s: float, retry: str) -> None:
    """Print the outcome of each edit and where it is in force; exit by the worst outcome."""
    outcomes = {result.outcome for result in results}
    zones: dict[str, Any] = {}
    if obj.entry_url and outcomes <= {EditOutcome.STORED, EditOutcome.UNCHANGED}:
        zones = _wait_until_in_force(obj, results, wait_s)
    doc = {
        "results": [
            {"name": r.name, "outcome": r.outcome.value, "generation": r.generation, "text": r.text}
            for r in results
        ],
        "zones": zones,
    }
    obj.show(doc, lambda: _print_results(results, zones))
    if EditOutcome.UNKNOWN in outcomes:
        _fail(EXIT_UNKNOWN, f"outcome unknown; settle it with: gypsumwind {retry}")
    if EditOutcome.REFUSED in outcomes:
        sys.exit(EXIT_REFUSED)
    if any(not state["in_force"] for state in zones.values()):
        sys.exit(EXIT_NOT_IN_FORCE)


def _wait_until_in_force(obj: Context, results: list[EditResult], wait_s: float) -> dict[str, Any]:
    generations = {r.name: r.generation for r in results if r.name != "places"}
    deadline = time.monotonic() + wait_s
    while True:
        zones = in_force(obj.entry().status(), generations)
        done = all(state["in_force"] for state in zones.values())
        if done or time.monotonic() >= deadline:
            return zones
        time.sleep(POLL_S)


def _print_results(results: list[EditResult], zones: dict[str, Any]) -> None:
    for r in results:
        detail = f": {r.text}" if r.text else f" at generation {r.generation}"
        click.echo(f"{r.name}: {r.outcome.value}{detail}")
    for zone, state in zones.items():
        age = state["age_s"]
        seen = "never seen" if age is None else f"last seen {age:.1f} s ago"
        click.echo(f"  {zone}: {'in force' if state['in_force'] else f'not yet ({seen})'}")


@cli.command()
@click.argument("table", type=TABLE_FILE)
@click.pass_obj
@_report_errors
def diff(obj: Context, table: Path) -> None:
    """Show what apply would change; exit code 5 if anything."""
    declared = read_declaration(table)
    tables = {t.service: t for t in obj.editor().tables()}
    lines = [
        _diff_line(service, edit)
        for service, edits in plan_edits(declared, tables).items()
        for edit in edits
    ]
    obj.show({"changes": lines}, lambda: click.echo("\n".join(lines) or "no difference"))
    sys.exit(EXIT_DIFFERS if lines else 0)


def _diff_line(service: str, edit: CellEdit | InstanceEdit) -> str:
    if isinstance(edit, CellEdit):
        seen = "(absent)" if edit.seen is None else edit.seen
        return f"{service}/{edit.region} {edit.column}: {seen} -> {edit.value}"
    if edit.after is None:
        return f"{service} instance {edit.name}: removed"
    verb = "added" if edit.seen is None else "changed"
    after = edit.after
    return f"{service} instance {edit.name}: {verb} {after.zone} {after.address} {after.slots}"


@cli.command()
@click.argument("folder", type=click.Path(file_okay=False, path_type=Path))
@click.pass_obj
@_report_errors
def export(obj: Context, folder: Path) -> None:
    """Write the stored table to a folder of CSV files."""
    editor = obj.editor()
    tables, places = editor.tables(), editor.places()
    folder.mkdir(parents=True, exist_ok=True)
    TableWriter(folder / "table.csv").write(tables)
    InstancesWriter(folder / "instances.csv").write(tables)
    ZonesWriter(folder / "zones.csv").write(places)
    LinksWriter(folder / "links.csv").write(places)
    click.echo(f"{folder}: {len(tables)} services, {len(places.zones)} zones", err=True)


@cli.command()
@click.argument("service", required=False)
@click.argument("region", required=False)
@click.pass_obj
@_report_errors
def get(obj: Context, service: str | None, region: str | None) -> None:
    """Show the rows of the stored table."""
    tables = [t for t in obj.editor().tables() if service in (None, t.service)]
    rows = [
        {"service": t.service, "region": r, **{c.name: t.cell(r, c.name).value for c in COLUMNS}}
        for t in tables
        for r in sorted(t.cells)
        if region in (None, r)
    ]
    if not rows:
        _fail(EXIT_REFUSED, f"{Code.NOT_FOUND.value} no row {service} {region or ''}")
    obj.show(rows, lambda: print_rows(rows))


@cli.command("set")
@click.argument("service")
@click.argument("region")
@click.argument("column")
@click.argument("value")
@click.option("--seen", help="refuse unless the cell has this value (default: its current one)")
@click.option("--edit-id", help="retry an edit whose outcome is unknown, under its id")
@wait_option
@click.pass_obj
@_report_errors
def set_cell(
    obj: Context,
    service: str,
    region: str,
    column: str,
    value: str,
    seen: str | None,
    edit_id: str | None,
    wait_s: float,
) -> None:
    """Set one cell; a weight changes no faster than the row's shift_cap."""
    editor = obj.editor()
    table = _require_row(editor.table(service), region)
    try:
        wanted = parse_cell(column, value)
        before = cell_value(table, region, column) if seen is None else parse_cell(column, seen)
    except ValueError as exc:
        _fail(EXIT_USAGE, f"{service}/{region} column {column}: {exc}")
    edit_id = edit_id or new_id()
    result = editor.edit(service, [CellEdit(region, column, before, wanted)], edit_id)
    retry = f"set {service} {region} {column} {value} --seen {before} --edit-id {edit_id}"
    _finish(obj, [result], wait_s, retry)


def _require_row(table: ServiceTable, region: str) -> ServiceTable:
    if region not in table.cells:
        _fail(EXIT_REFUSED, f"{Code.NOT_FOUND.value} no row {table.service}/{region}")
    return table


@cli.command()
@click.argument("service")
@click.pass_obj
@_report_errors
def history(obj: Context, service: str) -> None:
    """Show who changed which cell of a service, and when."""
    rows = [
        {
            "time": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(r.at)),
            "generation": r.generation,
            "author": r.author,
            "cell": r.place,
            "before": r.before,
            "after": r.after,
            "edit_id": r.edit_id,
        }
        for r in obj.editor().table(service).history
    ]
    obj.show(rows, lambda: print_rows(rows))


@cli.command()
@click.pass_obj
@_report_errors
def status(obj: Context) -> None:
    """Show zones, VMs, the table in force in each zone, and headroom."""
    page = obj.entry().status()
    obj.show(page, lambda: print_status(page))


@cli.command()
@click.argument("service")
@click.pass_obj
@_report_errors
def lookup(obj: Context, service: str) -> None:
    """Show the entry VMs that a lookup returns to a caller."""
    page = obj.entry().lookup(service)
    obj.show(page, lambda: print_rows(page["entries"]))


@cli.command()
@click.pass_obj
@_report_errors
def histograms(obj: Context) -> None:
    """Show request latency per service, tenant and class at one entry VM."""
    rows = obj.entry().histograms()
    obj.show(rows, lambda: print_rows(rows))


KIND = click.Choice(["instance", "vm"])


@cli.command()
@click.argument("kind", type=KIND)
@click.argument("name")
@wait_option
@click.pass_obj
@_report_errors
def drain(obj: Context, kind: str, name: str, wait_s: float) -> None:
    """Drain an upstream instance or an entry VM, so that it gets no new work."""
    _set_draining(obj, kind, name, True, wait_s)


@cli.command()
@click.argument("kind", type=KIND)
@click.argument("name")
@wait_option
@click.pass_obj
@_report_errors
def undrain(obj: Context, kind: str, name: str, wait_s: float) -> None:
    """Undo a drain."""
    _set_draining(obj, kind, name, False, wait_s)


def _set_draining(obj: Context, kind: str, name: str, wanted: bool, wait_s: float) -> None:
    editor = obj.editor()
    retry = f"{'drain' if wanted else 'undrain'} {kind} {name}"
    if kind == "vm":
        result = editor.edit_places(lambda places: _with_vm_draining(places, name, wanted))
        _finish(obj, [result], wait_s, retry)
        return
    table = next((t for t in editor.tables() if name in t.instances), None)
    if table is None:
        _fail(EXIT_REFUSED, f"{Code.NOT_FOUND.value} no instance {name} in the table")
    seen = table.instances[name]
    edits = [] if seen.draining == wanted else [_drain_edit(seen, wanted)]
    _finish(obj, [editor.edit(table.service, edits, new_id())], wait_s, retry)


def _drain_edit(seen: Any, wanted: bool) -> CellEdit | InstanceEdit:
    return InstanceEdit(seen.name, seen, replace(seen, draining=wanted))


def _with_vm_draining(places: Places, name: str, wanted: bool) -> Places:
    others = places.draining_vms - {name}
    return replace(places, draining_vms=others | {name} if wanted else others)


@cli.command()
@click.argument("tables", nargs=-1, type=TABLE_FILE)
@click.option("--settings", "env_files", multiple=True, type=TABLE_FILE, help="NAME=VALUE lines")
@click.pass_obj
@_report_errors
def check(obj: Context, tables: tuple[Path, ...], env_files: tuple[Path, ...]) -> None:
    """Check table files and settings files without a store or a daemon."""
    for table in tables:
        declared = read_declaration(table)
        rows = sum(len(regions) for regions in declared.rows.values())
        click.echo(f"{table}: {rows} rows are valid")
    for path in env_files:
        try:
            read_settings({}, _read_env(path))
        except SettingsError as exc:
            raise SettingsError(f"{path}:\n{exc.message}") from exc
        click.echo(f"{path}: settings are valid")


def _read_env(path: Path) -> dict[str, str]:
    pairs: dict[str, str] = {}
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        text = line.strip()
        if not text or text.startswith("#"):
            continue
        name, separator, value = text.partition("=")
        if not separator:
            raise SettingsError(f"{path}:{number}: {text!r} is not NAME=VALUE")
        pairs[name.strip()] = value.strip().strip('"')
    return pairs


def main() -> None:
    """Run the command-line tool."""
    cli()


if __name__ == "__main__":
    main()
