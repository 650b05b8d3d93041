"""Reloads the settings file when it changes, with or without a signal."""

from collections.abc import Callable

from gypsumwind.errors import SettingsError
from gypsumwind.log import Log
from gypsumwind.platform.settings import PlatformSettings, read_platform_settings
from gypsumwind.steering import SteeringSettings
from gypsumwind.tasks import Task

log = Log("reload")

CHECK_INTERVAL_S = 1.0
"""Interval between checks of the file: a change without a signal takes effect within this time."""


class ReloadTask(Task):
    """Applies changed steering settings; an invalid file leaves the old ones in force."""

    def __init__(
        self, path: str, settings: PlatformSettings, apply: Callable[[SteeringSettings], None]
    ) -> None:
        super().__init__("reload", CHECK_INTERVAL_S)
        self._path = path
        self._settings = settings
        self._apply = apply
        self._requested = False
        self._last_error = ""

    def request_reload(self) -> None:
        """Request a reload, whose result is logged even if nothing has changed."""
        self._requested = True

    def step(self) -> None:
        """Read the file and apply what differs from the settings in force."""
        requested, self._requested = self._requested, False
        try:
            found = read_platform_settings(self._path)
        except SettingsError as exc:
            if requested or exc.message != self._last_error:
                log.error("settings-rejected", error=exc.message)
            self._last_error = exc.message
            return
        self._last_error = ""
        changed = found.steering != self._settings.steering
        if changed:
            self._apply(found.steering)
        if changed or requested:
            log.info("settings-read", changed=changed)
        if found.restart_only() != self._settings.restart_only():
            log.warning("settings-need-restart", keys=found.changed_restart_only(self._settings))
        self._settings = found
