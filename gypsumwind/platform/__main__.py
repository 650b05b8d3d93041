"""Runs the daemon of one entry VM on the platform."""

import os
import signal
import sys
from contextlib import ExitStack

import click

from gypsumwind.direct import DirectDaemon, Feeds
from gypsumwind.eras import EraTracker
from gypsumwind.errors import SettingsError
from gypsumwind.hangups import HangupTask
from gypsumwind.log import flush_logging, start_logging
from gypsumwind.metrics import prometheus_text
from gypsumwind.platform.decoding import decode_ruleset, decode_upstream
from gypsumwind.platform.headers import HEADERS, read_load
from gypsumwind.platform.pages import PlatformPages
from gypsumwind.platform.reload import ReloadTask
from gypsumwind.platform.settings import PlatformSettings, read_platform_settings
from gypsumwind.platform.store import KindFeed, PlatformStore, VmRegistry
from gypsumwind.signals import StopSignals

SETTINGS_VARIABLE = "GYPSUMWIND_SETTINGS"
DEFAULT_SETTINGS = "/etc/gypsumwind/settings.conf"
EXIT_SETTINGS = 2


@click.command("gypsumwind.platform")
@click.option("--check", is_flag=True, help="check the settings file and exit")
def main(check: bool) -> None:
    """Run until SIGTERM."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)
    try:
        settings = read_platform_settings(path)
    except SettingsError as exc:
        for line in exc.message.splitlines():
            click.echo(f"{exc.code.value} {line}", err=True)
        sys.exit(EXIT_SETTINGS)
    if check:
        click.echo("settings are valid")
        return
    start_logging(settings.cfg.log_level)
    _run(path, settings)


def _run(path: str, settings: PlatformSettings) -> None:
    stop_signals = StopSignals()
    cfg = settings.cfg
    hangups = HangupTask()
    eras = EraTracker()
    store = PlatformStore(cfg.store_url, cfg.store_timeout_s, cfg.ip, hangups, eras)
    daemon = DirectDaemon(
        cfg, settings.steering, HEADERS, read_load, _feeds(store), VmRegistry(store), hangups, eras
    )
    reload = ReloadTask(path, settings, daemon.apply_steering)
    signal.signal(signal.SIGHUP, lambda *_: reload.request_reload())
    pages = PlatformPages(
        daemon.ready, daemon.look_up, settings.steering.lookup_ttl_s, prometheus_text
    )
    with ExitStack() as stack:
        stack.enter_context(daemon)
        for name in ("readiness", "directory", "control"):
            ip, port = getattr(settings, name)
            stack.enter_context(daemon.page_server(name, ip, port, pages.handle))
        stack.enter_context(reload)
        stop_signals.wait()
        daemon.stop()
        flush_logging()
        os._exit(0)


def _feeds(store: PlatformStore) -> Feeds:
    return Feeds(
        rules=KindFeed(store, "config", lambda obj, _: decode_ruleset(obj.name, obj.spec)),
        upstreams=KindFeed(
            store,
            "servers",
            lambda obj, wall_now: decode_upstream(
                obj.name, {"spec": obj.spec, "status": obj.status}, wall_now
            ),
        ),
        closed_zones=KindFeed(store, "evacuations", lambda obj, _: obj.revision),
    )


if __name__ == "__main__":
    main()
