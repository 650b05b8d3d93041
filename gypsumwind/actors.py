"""Base class of actors: an error in the handling of a message does not stop the actor."""

from typing import Any

import pykka

from gypsumwind import messages as msg
from gypsumwind.log import Log
from gypsumwind.tasks import Task

log = Log("actors")

TICK_S = 0.1
"""Period in seconds at which actors check their timers."""


class Actor(pykka.ThreadingActor):
    """An actor that survives errors, because the whole process depends on it.

    Subclasses handle messages in `handle`. A message that fails gets None as its reply.
    """

    def on_receive(self, message: Any) -> Any:
        """Handle a message; log an error and return None."""
        try:
            return self.handle(message)
        except Exception as exc:
            name, kind = type(self).__name__, type(message).__name__
            log.error("actor-failed", actor=name, message=kind, error=repr(exc))
            return None

    def handle(self, message: Any) -> Any:
        """Handle a message and return the reply, if any."""
        raise NotImplementedError


class TickTask(Task):
    """Sends `Tick` to the actors periodically."""

    def __init__(self, actors: list[pykka.ActorRef]) -> None:
        super().__init__("tick", TICK_S)
        self._actors = actors

    def step(self) -> None:
        """Send `Tick` to every actor, which makes it check its timers."""
        for actor in self._actors:
            actor.tell(msg.Tick())
