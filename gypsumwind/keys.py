"""The actor that owns the table of idempotency keys."""

from dataclasses import replace
from typing import Any

from gypsumwind import messages as msg
from gypsumwind.actors import Actor
from gypsumwind.core.idempotency import KeyTable
from gypsumwind.utils import wall


class HomeActor(Actor):
    """Owns the table of the idempotency keys whose home is this VM, or whose heir it is."""

    def __init__(self, home: msg.HomeId, capacity: int, max_bytes: int) -> None:
        super().__init__()
        self._keys: KeyTable[msg.StoredOutcome] = KeyTable(capacity)
        self._homes: set[msg.HomeId] = {home}
        self._max_bytes = max_bytes
        self._bytes = 0

    def handle(self, message: Any) -> Any:
        """Handle the messages to the home actor, and Tick."""
        match message:
            case msg.BeginKey():
                return self._keys.begin(message.key, message.fingerprint, message.expires, wall())
            case msg.HasKey():
                return message.key in self._keys
            case msg.FinishKey():
                self._keys.finish(message.key, self._within_memory_limit(message.outcome))
            case msg.ForgetKey():
                self._keys.forget(message.key)
            case msg.IsHomeOf():
                return message.home in self._homes
            case msg.CloseHome():
                return msg.HomeState(tuple(self._homes), tuple(self._keys.close()))
            case msg.InheritKeys():
                self._keys.inherit(message.home_state.entries)
                self._homes.update(message.home_state.homes)
            case msg.Tick():
                self._expire()
        return None

    def _within_memory_limit(self, outcome: msg.StoredOutcome) -> msg.StoredOutcome:
        """Return the outcome, without its body if the bodies would exceed their memory limit."""
        size = len(outcome.body or b"")
        if self._bytes + size > self._max_bytes:
            return replace(outcome, body=None)
        self._bytes += size
        return outcome

    def _expire(self) -> None:
        self._keys.expire(wall())
        outcomes = (entry.outcome for entry in self._keys.entries())
        self._bytes = sum(len(o.body or b"") for o in outcomes if o is not None)
