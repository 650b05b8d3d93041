"""Transfers that wait for callers: bodies that are read, responses that are written.

A thread serves a caller at the caller's pace. When threads, places in flight or memory are short,
the transfers that have stalled longest are ended.
"""

import socket
import threading
from types import TracebackType

from gypsumwind.log import Log
from gypsumwind.utils import monotonic

log = Log("transfers")

STALL_S = 1.0
"""Wait for a caller after which a transfer counts as stalled, in seconds."""

MIN_BYTES_PER_S = 8192
"""Rate below which a transfer counts as stalled, too, however often it progresses."""


class Transfer:
    """A transfer on a caller's socket; waits that last beyond `stalls_at` make it a stalled one.

    `how`: the direction in which its socket is shut down to end it. `holds_slot`: an instance waits
    for it. `ended`: it was ended.
    """

    __slots__ = ("sock", "how", "holds_slot", "stalls_at", "paused_at", "ended")

    def __init__(self, sock: socket.socket, how: int, stall_s: float = STALL_S) -> None:
        self.sock = sock
        self.how = how
        self.holds_slot = False
        self.paused_at = monotonic()
        self.stalls_at = self.paused_at + stall_s
        self.ended = False

    def progress(self, size: int) -> None:
        """Count bytes that arrived: each puts the stall off, but not beyond `STALL_S` from now."""
        self.stalls_at = min(self.stalls_at + size / MIN_BYTES_PER_S, monotonic() + STALL_S)

    def expect(self, size: int) -> None:
        """Allow the time that bytes take at the lowest rate."""
        self.stalls_at = monotonic() + STALL_S + size / MIN_BYTES_PER_S


class _Wait:
    """The context manager of a wait for a caller."""

    __slots__ = ("_transfers", "_transfer")

    def __init__(self, transfers: "Transfers", transfer: Transfer) -> None:
        self._transfers = transfers
        self._transfer = transfer

    def __enter__(self) -> Transfer:
        self._transfer.stalls_at += monotonic() - self._transfer.paused_at
        self._transfers.add(self._transfer)
        return self._transfer

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._transfers.discard(self._transfer)
        self._transfer.paused_at = monotonic()


class Transfers:
    """The transfers of a server that wait for their callers now."""

    def __init__(self) -> None:
        self._waiting: set[Transfer] = set()
        self._lock = threading.Lock()

    def waiting(self, transfer: Transfer) -> _Wait:
        """Return the context manager of a wait of a transfer; only waits count towards a stall."""
        return _Wait(self, transfer)

    def add(self, transfer: Transfer) -> None:
        """Add a transfer that begins to wait."""
        with self._lock:
            self._waiting.add(transfer)

    def discard(self, transfer: Transfer) -> None:
        """Remove a transfer that waits no more."""
        with self._lock:
            self._waiting.discard(transfer)

    def end_stalled(self, count: int, why: str, holding_slots: bool = False) -> int:
        """End up to `count` stalled transfers, the longest stalled first; return their number.

        With `holding_slots`, only those for which instances wait.
        """
        if not self._waiting or count <= 0:
            return 0
        now = monotonic()
        with self._lock:
            stalled = sorted(
                (t for t in self._waiting if now >= t.stalls_at and t.holds_slot >= holding_slots),
                key=lambda t: t.stalls_at,
            )[:count]
            for transfer in stalled:
                transfer.ended = True
                self._waiting.discard(transfer)
                _shut_down(transfer)
        for transfer in stalled:
            log.info("transfer-ended", why=why, stalled_s=round(now - transfer.stalls_at, 3))
        return len(stalled)


def _shut_down(transfer: Transfer) -> None:
    try:
        transfer.sock.shutdown(transfer.how)
    except OSError as exc:
        log.info("transfer-was-over", error=str(exc))
