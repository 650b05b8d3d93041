"""Records actor: stores the versioned records and publishes their decoded values."""

from collections.abc import Callable
from typing import Any

import pykka

from gypsumwind import messages as msg
from gypsumwind.actors import Actor
from gypsumwind.board import Board
from gypsumwind.core.records import CONFIG_SCOPE, Record, Records
from gypsumwind.core.routes import route_of
from gypsumwind.core.table import ServiceTable
from gypsumwind.errors import TableError
from gypsumwind.log import Log
from gypsumwind.payloads import (
    CLOSED_ZONES_KEY,
    DEPARTURE_PREFIX,
    EXPIRING,
    HEIR_PREFIX,
    PLACES_KEY,
    RULES_KEY,
    TABLE_PREFIX,
    UPSTREAMS_KEY,
    VM_PREFIX,
    VMLIST_KEY,
    ZONE_PREFIX,
    decode,
    heir_key,
    is_config,
    table_of,
)
from gypsumwind.utils import wall

log = Log("records")


class RecordsActor(Actor):
    """Stores the versioned records, publishes snapshots of them and pushes new configuration."""

    def __init__(
        self,
        board: Board,
        zone: str,
        region: str,
        gate: pykka.ActorRef,
        push_records: Callable[[list[Record]], None],
    ) -> None:
        super().__init__()
        self._records = Records(zone)
        self._region = region
        self._board = board
        self._gate = gate
        self._push_records = push_records

    def handle(self, message: Any) -> Any:
        """Handle `PutRecords`, `PublishRecord` and the queries for records."""
        match message:
            case msg.PutRecords():
                return self._put(message.records)
            case msg.PublishRecord():
                self._prune_heirs()
                return self._put((self._next_version(message),))
            case msg.GetDigests():
                self._prune_departures()
                return {scope: self._records.digest(scope) for scope in self._records.scopes()}
            case msg.GetVersions():
                return self._records.versions(message.scope)
            case msg.GetNewer():
                return self._records.newer_than(message.scope, message.versions)
            case msg.GetWanted():
                return self._records.wanted(message.scope, message.versions)
            case msg.GetRecords():
                found = (self._records.get(key) for key in message.keys)
                return [record for record in found if record is not None]
        return None

    def _put(self, records: tuple[Record, ...]) -> list[Record]:
        stored = []
        tables: list[ServiceTable] = []
        for record in records:
            value = self._decode(record)
            if value is None or not self._records.put(record):
                continue
            stored.append(record)
            self._publish(record, value)
            if isinstance(value, ServiceTable):
                tables.append(value)
        config = [record for record in stored if is_config(record.key)]
        if config:
            self._publish_routes(config, tables)
            self._board.tables_hash = self._records.digest(CONFIG_SCOPE, is_config)
            self._push_records(config)
        return stored

    def _publish_routes(self, changed: list[Record], tables: list[ServiceTable]) -> None:
        """Rebuild the routes of the changed tables, or of all after a change of the places."""
        if any(record.key == PLACES_KEY for record in changed):
            tables = [table_of(record) for record in self._records.with_prefix(TABLE_PREFIX)]
        routes = {
            table.service: route_of(table, self._board.places, self._region) for table in tables
        }
        self._board.routes = {**self._board.routes, **routes}
        self._gate.tell(msg.SyncRoutes(tuple(routes.values())))

    def _prune_heirs(self) -> None:
        """Remove the heirs whose keys have expired."""
        for heir in list(self._board.heirs.values()):
            if heir.expires <= wall():
                self._records.drop(heir_key(heir.home))
                heirs = self._board.heirs
                self._board.heirs = {h: v for h, v in heirs.items() if h != heir.home}

    def _prune_departures(self) -> None:
        """Remove the departures that VMs have gossiped for long enough."""
        board = self._board
        expired = [d.id for d in board.departures.values() if d.expires <= wall()]
        for name in expired:
            self._records.drop(DEPARTURE_PREFIX + name)
        if expired:
            kept = {name: d for name, d in board.departures.items() if name not in expired}
            board.departures = kept

    def _next_version(self, message: msg.PublishRecord) -> Record:
        known = self._records.get(message.key)
        version = max(int(wall() * 1000), known.version + 1 if known else 0)
        return Record(message.key, version, message.scope, message.payload)

    def _decode(self, record: Record) -> Any:
        """Return the decoded value of a record, None if it is malformed."""
        try:
            return decode(record)
        except (ValueError, TableError) as exc:
            if not record.key.startswith(EXPIRING):
                log.error("record-unreadable", key=record.key, error=str(exc))
            return None

    def _publish(self, record: Record, value: Any) -> None:
        board = self._board
        if record.key == PLACES_KEY:
            board.places = value
            log.info("places-in-force", generation=value.generation)
        elif record.key.startswith(TABLE_PREFIX):
            log.info("table-in-force", service=value.service, generation=value.generation)
        elif record.key.startswith(VM_PREFIX):
            board.vms = {**board.vms, value.vm: value}
            self._gate.tell(msg.LearnHolds(value.vm, value.holds))
        elif record.key.startswith(HEIR_PREFIX):
            board.heirs = {**board.heirs, value.home: value}
        elif record.key.startswith(ZONE_PREFIX):
            board.zones = {**board.zones, value.zone: value}
        elif record.key == VMLIST_KEY:
            self._gate.tell(msg.SyncLeaving(frozenset(value)))
        else:
            self._publish_steering(record, value)

    def _publish_steering(self, record: Record, value: Any) -> None:
        """Publish a record that direct steering uses, and notify the actor that steers."""
        board = self._board
        if record.key == RULES_KEY:
            board.rules = value
            log.info("rules-in-force", version=value.version)
        elif record.key == UPSTREAMS_KEY:
            board.upstreams = value
            log.info("upstreams-in-force", version=str(value.version), count=len(value.by_id or {}))
        elif record.key == CLOSED_ZONES_KEY:
            board.closed_zones = value
            log.info(
                "closed-zones-in-force", version=str(value.version), zones=sorted(value.revisions)
            )
        elif record.key.startswith(DEPARTURE_PREFIX):
            board.departures = {**board.departures, value.id: value}
        self._gate.tell(msg.SyncSteering())
        if board.rules is not None and board.upstreams.by_id:
            board.steerable.set()
