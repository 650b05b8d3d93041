"""Command line of the daemon: settings from flags and variables, validated before start."""

import os
import sys

import click

from gypsumwind import __version__
from gypsumwind.daemon import Daemon
from gypsumwind.errors import SettingsError
from gypsumwind.log import flush_logging, start_logging
from gypsumwind.settings import SETTINGS, Settings, read_settings

EXIT_SETTINGS = 2


def _with_flags(command: click.Command) -> click.Command:
    for setting in SETTINGS:
        default = "required" if setting.default is None else f"default: {setting.default or '-'}"
        text = f"{setting.help} ({setting.unit}; {default}; {setting.variable})"
        command.params.append(click.Option([setting.flag, setting.name], help=text))
    return command


@click.command("gypsumwindd", context_settings={"max_content_width": 100})
@click.version_option(__version__)
@click.option("--check", is_flag=True, help="check the settings and exit")
def daemon(check: bool, **flags: str | None) -> None:
    """Run the daemon of one entry VM until SIGTERM."""
    cfg = _settings(flags)
    if check:
        click.echo("settings are valid")
        return
    start_logging(cfg.log_level)
    with Daemon(cfg) as running:
        running.run()
    flush_logging()


def _settings(flags: dict[str, str | None]) -> Settings:
    try:
        return read_settings(flags, os.environ)
    except SettingsError as exc:
        for line in exc.message.splitlines():
            click.echo(f"{exc.code.value} {line}", err=True)
        sys.exit(EXIT_SETTINGS)


def main() -> None:
    """Run the daemon's command line."""
    _with_flags(daemon)()


if __name__ == "__main__":
    main()
