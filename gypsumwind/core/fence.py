"""Fencing: a VM admits requests only before a deadline that its own process keeps renewing."""


class Fence:
    """A self-granted lease that expires while the process is paused."""

    __slots__ = ("_lease_s", "_deadline")

    def __init__(self, lease_s: float, now: float) -> None:
        self._lease_s = lease_s
        self._deadline = now + lease_s

    def valid(self, now: float) -> bool:
        """Return whether permits may be issued at `now`."""
        return now < self._deadline

    def renew(self, now: float) -> bool:
        """Extend the lease; return False if it had expired, so that the VM must rejoin."""
        was_valid = self.valid(now)
        self._deadline = now + self._lease_s
        return was_valid
