"""The fence: a VM admits only before a deadline that its own running process moves on."""


class Fence:
    """A lease that a process grants itself and that lapses while the process is paused."""

    __slots__ = ("_lease_s", "_deadline")

    def __init__(self, lease_s: float, now: float) -> None:
        self._lease_s = lease_s
        self._deadline = now + lease_s

    def valid(self, now: float) -> bool:
        """Tell whether permits may be issued at `now`."""
        return now < self._deadline

    def renew(self, now: float) -> bool:
        """Move the deadline on; False when it had lapsed and the VM has to rejoin."""
        was_valid = self.valid(now)
        self._deadline = now + self._lease_s
        return was_valid
