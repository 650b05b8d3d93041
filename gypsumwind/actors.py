"""What all actors have in common: a message that fails ends the message and not the actor."""

from typing import Any

import pykka

from gypsumwind import messages as msg
from gypsumwind.log import Log
from gypsumwind.tasks import Task

log = Log("actors")

TICK_S = 0.1
"""Period in which actors look at their timers, in seconds."""


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


class TickTask(Task):
    """Sends Tick to the actors."""

    def __init__(self, actors: list[pykka.ActorRef]) -> None:
        super().__init__("tick", TICK_S)
        self._actors = actors

    def step(self) -> None:
        """Tell every actor that time has passed."""
        for actor in self._actors:
            actor.tell(msg.Tick())
