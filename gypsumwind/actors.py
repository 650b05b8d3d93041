"""What all actors have in common: a message that fails ends the message and not the actor."""

from typing import Any

import pykka

from gypsumwind.log import Log

log = Log("actors")


class Actor(pykka.ThreadingActor):
    """An actor that outlives its errors: all of the process waits for it.

    Subclasses handle messages in `handle`. Whoever asks gets None for a message that failed.
    """

    def on_receive(self, message: Any) -> Any:
        """Handle a message; an error is logged."""
        try:
            return self.handle(message)
        except Exception as exc:
            name, kind = type(self).__name__, type(message).__name__
            log.error("actor-failed", actor=name, message=kind, error=repr(exc))
            return None

    def handle(self, message: Any) -> Any:
        """Handle a message and return what its sender may have asked for."""
        raise NotImplementedError
