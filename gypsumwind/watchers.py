"""Reads of the platform's store by delegates: a watch on the table, and the list of VMs."""

import random

import pykka

from gypsumwind import messages as msg
from gypsumwind.core.edits import merge_tables
from gypsumwind.core.records import CONFIG_SCOPE, Record
from gypsumwind.core.table import (
    ServiceTable,
    places_from_json,
    places_to_json,
    table_from_json,
    table_to_json,
)
from gypsumwind.errors import Code, StoreError, TableError
from gypsumwind.feeds import MAX_LONG_POLL_S
from gypsumwind.gossip import is_delegate
from gypsumwind.log import Log
from gypsumwind.payloads import PLACES_KEY, TABLE_PREFIX, VMLIST_KEY, decode_table
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.stores import Listing, Store, StoredObject
from gypsumwind.tasks import Task
from gypsumwind.utils import jittered, pack_json

log = Log("watchers")

CONFIG_PREFIX = "config/"
RETRY_S = 0.5
MAX_RETRY_S = 5.0
IDLE_S = 0.5
VM_LIST_S = 1.0


def record_of(found: StoredObject) -> Record | None:
    """Return the record of a stored table or places document, None for any other object."""
    key = found.key.removeprefix(CONFIG_PREFIX)
    if key != PLACES_KEY and not key.startswith(TABLE_PREFIX):
        return None
    try:
        generation = int(found.value["generation"])
    except (KeyError, TypeError, ValueError, OverflowError):
        log.error("object-unreadable", key=found.key)
        return None
    payload = pack_json(found.value)
    return Record(key, generation, CONFIG_SCOPE, payload)


class TableWatch(Task):
    """Watches the table while this VM is a delegate, and writes back edits that the store lost."""

    def __init__(
        self,
        cfg: Settings,
        snapshots: Snapshots,
        store: Store,
        records: pykka.ActorRef,
        rng: random.Random,
    ) -> None:
        super().__init__("table-watch", 0.0)
        self._cfg = cfg
        self._snapshots = snapshots
        self._store = store
        self._records = records
        self._rng = rng
        self._revision: int | None = None
        self._retry_s = 0.0
        self.loaded = False

    def pause_s(self) -> float:
        """Return the seconds until the next request to the store, jittered backoff on errors."""
        if self._retry_s:
            return jittered(self._retry_s, self._rng)
        return IDLE_S if self._idle() else 0.0

    def _idle(self) -> bool:
        return self.loaded and not is_delegate(self._snapshots, self._cfg.zone)

    def step(self) -> None:
        """List the objects once, then watch them while this VM is a delegate."""
        if self._idle():
            self._revision = None
            return
        try:
            self._load_or_watch()
            if self._retry_s:
                log.info("store-answers-again")
            self._retry_s = 0.0
        except StoreError as exc:
            if exc.code is Code.STORE_HISTORY_GONE:
                log.info("history-gone", feed=self.name, error=exc.message)
                self._revision = None
                return
            if not self._retry_s:
                log.warning("store-fails", error=exc.message)
            self._retry_s = min(MAX_RETRY_S, self._retry_s * 2 or RETRY_S)
            self._revision = None

    def _load_or_watch(self) -> None:
        if self._revision is None:
            self._load()
            return
        listing = self._store.watch(CONFIG_PREFIX, self._revision, MAX_LONG_POLL_S)
        if listing.revision < self._revision:
            log.warning("store-went-back", was=self._revision, now=listing.revision)
            self._revision = None
            return
        self._apply(listing)

    def _load(self) -> None:
        """Read all pages; the watch starts at the first page's revision, to miss no change."""
        revision: int | None = None
        for page in self._store.list_objects(CONFIG_PREFIX):
            revision = page.revision if revision is None else revision
            self._apply(page)
        self._revision = revision
        self.loaded = True

    def _apply(self, listing: Listing) -> None:
        found = [r for o in listing.objects if (r := record_of(o)) is not None]
        msg.ask(self._records, msg.PutRecords(tuple(found)))
        self._revision = listing.revision
        for obj in listing.objects:
            self._repair(obj)

    def _repair(self, obj: StoredObject) -> None:
        """Write the fleet's version back if the store's is older or has diverged."""
        key = obj.key.removeprefix(CONFIG_PREFIX)
        try:
            value = self._repaired_value(key, obj)
        except TableError as exc:
            log.error("object-unreadable", key=obj.key, error=exc.message)
            return
        if value is None:
            return
        self._store.put(obj.key, value, obj.version)
        log.warning("store-mended", key=obj.key, generation=value["generation"])

    def _repaired_value(self, key: str, obj: StoredObject) -> dict | None:
        if key == PLACES_KEY:
            held = self._snapshots.places
            stale = places_from_json(obj.value).generation < held.generation
            return places_to_json(held) if stale else None
        if not key.startswith(TABLE_PREFIX):
            return None
        records = msg.ask(self._records, msg.GetRecords((key,)))
        return (
            repair_table(decode_table(records[0]), table_from_json(obj.value)) if records else None
        )


def repair_table(held: ServiceTable, found: ServiceTable) -> dict | None:
    """Return the document to write back, None if the store's is as new as the fleet's."""
    if found.generation > held.generation:
        return None
    held_ids = {record.edit_id for record in held.history}
    unseen = [r for r in found.history if r.edit_id not in held_ids]
    oldest = held.history[0].generation if held.history else 0
    if any(record.generation >= oldest for record in unseen):
        return table_to_json(merge_tables(held, found))
    return table_to_json(held) if found.generation < held.generation else None


class VmListWatch(Task):
    """Publishes the leaving VMs of the platform's list while this VM is a delegate."""

    def __init__(
        self, cfg: Settings, snapshots: Snapshots, store: Store, records: pykka.ActorRef
    ) -> None:
        super().__init__("vm-list", VM_LIST_S)
        self._cfg = cfg
        self._snapshots = snapshots
        self._store = store
        self._records = records
        self._last: list[str] | None = None

    def step(self) -> None:
        """Publish the IP addresses of this zone's leaving VMs when they change."""
        if not is_delegate(self._snapshots, self._cfg.zone):
            self._last = None
            return
        try:
            listed = self._store.vms()
        except StoreError:
            return
        leaving = sorted(v.ip for v in listed if v.leaving and v.zone == self._cfg.zone)
        if leaving != self._last:
            self._last = leaving
            payload = pack_json(leaving)
            record = msg.PublishRecord(VMLIST_KEY, self._cfg.zone, payload)
            msg.ask(self._records, record)
