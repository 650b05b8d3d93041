"""Transfer of idempotency keys at a graceful shutdown, so that retries are still answered.

The heir of a key home is the VM that serves its keys after the home has stopped.
"""

from collections.abc import Iterator, Sequence

import pykka

from gypsumwind import messages as msg
from gypsumwind.core.idempotency import KeyEntry
from gypsumwind.core.membership import Member
from gypsumwind.core.records import CONFIG_SCOPE
from gypsumwind.core.rendezvous import top_ranked_vm
from gypsumwind.gossip import GossipTask
from gypsumwind.log import Log
from gypsumwind.payloads import heir_key
from gypsumwind.peers import PeerClient, PeerError
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.utils import wall
from gypsumwind.wire import pack, thrift

log = Log("legacies")

BATCH_BYTES = 1_000_000
ENTRY_OVERHEAD_BYTES = 500


class KeyTransfer:
    """Transfers the keys of a stopping home to an heir and publishes the heir to the fleet."""

    def __init__(
        self,
        cfg: Settings,
        snapshots: Snapshots,
        home: pykka.ActorRef,
        records: pykka.ActorRef,
        gossip: GossipTask,
    ) -> None:
        self._cfg = cfg
        self._snapshots = snapshots
        self._home = home
        self._records = records
        self._gossip = gossip
        self._peers = PeerClient(cfg.ip, cfg.peer_timeout_s)

    def hand_on(self) -> None:
        """Close the home, send its keys to an heir, and publish the heir.

        Without an heir the keys are lost.
        """
        home_state: msg.HomeState = msg.ask(self._home, msg.CloseHome())
        heir = self._choose_heir()
        if heir is None:
            log.warning(
                "keys-lost", keys=len(home_state.entries), why="no live VM to transfer the keys to"
            )
            return
        try:
            self._send_entries(heir, home_state)
        except PeerError as exc:
            log.warning("keys-lost", keys=len(home_state.entries), why=exc.message)
            return
        self._publish(heir, home_state.homes)
        log.info("keys-handed-on", keys=len(home_state.entries), to=heir.vm)

    def _choose_heir(self) -> Member | None:
        live = self._snapshots.members.live
        members = live(self._cfg.zone) or live()
        name = top_ranked_vm(self._cfg.vm, [member.vm for member in members])
        return next((m for m in members if m.vm == name), None)

    def _send_entries(self, heir: Member, home_state: msg.HomeState) -> None:
        """Send the entries in batches; the heir serves the homes only once it has all of them."""
        for batch in _batches(home_state.entries):
            self._peers.inherit(heir.endpoint, (), batch)
        self._peers.inherit(heir.endpoint, home_state.homes, ())

    def _publish(self, heir: Member, homes: Sequence[msg.HomeId]) -> None:
        expires = wall() + self._cfg.key_ttl_s
        for home in homes:
            payload = pack(thrift.Heir(home[0], home[1], heir.vm, expires))
            record = msg.PublishRecord(heir_key(home), CONFIG_SCOPE, payload)
            msg.ask(self._records, record)
        for member in self._snapshots.members.live():
            self._sync_with(member)

    def _sync_with(self, member: Member) -> None:
        try:
            self._gossip.sync(member.endpoint)
        except PeerError:
            return


def _batches(entries: Sequence[KeyEntry]) -> Iterator[list[KeyEntry]]:
    batch: list[KeyEntry] = []
    size = 0
    for entry in entries:
        body = entry.outcome.body if entry.outcome else None
        size += ENTRY_OVERHEAD_BYTES + len(body or b"")
        batch.append(entry)
        if size >= BATCH_BYTES:
            yield batch
            batch, size = [], 0
    if batch:
        yield batch
