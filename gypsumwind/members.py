"""Membership actor: runs the membership protocol and sends its datagrams."""

import socket
from typing import Any

from gypsumwind import messages as msg
from gypsumwind.actors import Actor
from gypsumwind.control_traffic import control_bytes
from gypsumwind.core.membership import Envelope, Membership
from gypsumwind.log import Log
from gypsumwind.snapshots import MembersView, Snapshots
from gypsumwind.utils import monotonic
from gypsumwind.wire import datagram_to_bytes

log = Log("members")


class MembersActor(Actor):
    """Runs the membership protocol and publishes a view of the members after each change."""

    def __init__(self, membership: Membership, sock: socket.socket, snapshots: Snapshots) -> None:
        super().__init__()
        self._membership = membership
        self._sock = sock
        self._snapshots = snapshots
        self._published_version = -1

    def handle(self, message: Any) -> None:
        """Handle `Tick`, `MembershipMessage`, `Leave`, `AddSeeds` and `Resume`."""
        now = monotonic()
        match message:
            case msg.Tick():
                self._send(self._membership.tick(now))
            case msg.MembershipMessage():
                self._send(self._membership.receive(message.message, now))
            case msg.Leave():
                self._send(self._membership.leave(message.state))
            case msg.AddSeeds():
                self._membership.add_seeds(message.seeds)
            case msg.Resume():
                self._membership.cancel_leave()
        self._publish()

    def _send(self, envelopes: list[Envelope]) -> None:
        for envelope in envelopes:
            data = datagram_to_bytes(envelope.message)
            control_bytes.add(len(data))
            try:
                self._sock.sendto(data, (envelope.ip, envelope.port))
            except OSError as exc:
                log.warning("datagram-not-sent", to=envelope.ip, error=str(exc))

    def _publish(self) -> None:
        membership = self._membership
        if membership.version == self._published_version:
            return
        self._log_changes()
        self._published_version = membership.version
        self._snapshots.members = MembersView(
            membership.local, dict(membership.members), dict(membership.changed_at)
        )

    def _log_changes(self) -> None:
        old = self._snapshots.members.members
        for vm, member in self._membership.members.items():
            before = old.get(vm)
            if before is None or before.state is not member.state:
                was = before.state.name if before else "unknown"
                log.info("member-state", vm=vm, was=was, now=member.state.name)
