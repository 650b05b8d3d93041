"""Reads the settings file again when it changes, with or without a signal."""

from collections.abc import Callable

from gypsumwind.errors import SettingsError
from gypsumwind.log import Log
from gypsumwind.platform.settings import PlatformSettings, read_platform_settings
from gypsumwind.steering import SteeringSettings
from gypsumwind.tasks import Task

log = Log("reload")

LOOK_S = 1.0
"""Period of the look at the file: a silent change takes effect within it."""


class ReloadTask(Task):
    """Puts changed bounds in force; a file with faults leaves the old ones."""

    def __init__(
        self, path: str, settings: PlatformSettings, apply: Callable[[SteeringSettings], None]
    ) -> None:
        super().__init__("reload", LOOK_S)
        self._path = path
        self._settings = settings
        self._apply = apply
        self._asked = False
        self._fault = ""

    def ask(self) -> None:
        """A signal asked for a look; the answer is logged even if nothing has changed."""
        self._asked = True

    def step(self) -> None:
        """Read the file and compare."""
        asked, self._asked = self._asked, False
        try:
            found = read_platform_settings(self._path)
        except SettingsError as exc:
            if asked or exc.message != self._fault:
                log.error("settings-rejected", error=exc.message)
            self._fault = exc.message
            return
        self._fault = ""
        changed = found.steering != self._settings.steering
        if changed:
            self._apply(found.steering)
        if changed or asked:
            log.info("settings-read", changed=changed)
        if found.fixed() != self._settings.fixed():
            log.warning("settings-need-restart", keys=found.differing(self._settings))
        self._settings = found
