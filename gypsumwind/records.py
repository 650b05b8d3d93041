"""Records actor: stores the versioned records and publishes their decoded values."""

from collections.abc import Callable, Mapping
from typing import Any

import pykka

from gypsumwind import messages as msg
from gypsumwind.actors import Actor
from gypsumwind.core.crashes import Finding
from gypsumwind.core.isolation import IsolationNotice
from gypsumwind.core.records import CONFIG_SCOPE, HEALTH_SCOPE, Record, Records
from gypsumwind.core.routes import build_route
from gypsumwind.core.table import ServiceTable
from gypsumwind.errors import TableError
from gypsumwind.log import Log
from gypsumwind.payloads import (
    CLOSED_ZONES_KEY,
    DEPARTURE_PREFIX,
    EXPIRING_PREFIXES,
    HEIR_PREFIX,
    ISOLATION_PREFIX,
    PLACES_KEY,
    RATE_LIMIT_PREFIX,
    RULES_KEY,
    TABLE_PREFIX,
    UPSTREAMS_KEY,
    VM_PREFIX,
    VMLIST_KEY,
    ZONE_PREFIX,
    Expiring,
    decode,
    decode_table,
    heir_key,
    is_config,
)
from gypsumwind.snapshots import Snapshots
from gypsumwind.utils import wall

log = Log("records")


class RecordsActor(Actor):
    """Stores the versioned records, publishes snapshots of them and pushes new configuration."""

    def __init__(
        self,
        snapshots: Snapshots,
        zone: str,
        region: str,
        gate: pykka.ActorRef,
        push_records: Callable[[list[Record]], None],
    ) -> None:
        super().__init__()
        self._records = Records(zone)
        self._region = region
        self._snapshots = snapshots
        self._gate = gate
        self._push_records = push_records
        self._findings: dict[str, Finding] = {}

    def handle(self, message: Any) -> Any:
        """Handle `PutRecords`, `PublishRecord` and the queries for records."""
        match message:
            case msg.PutRecords():
                return self._put(message.records)
            case msg.PublishRecord():
                self._prune_heirs()
                return self._put((self._next_version(message),))
            case msg.GetDigests():
                self._prune_expired()
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
        findings: list[Finding] = []
        tables: list[ServiceTable] = []
        for record in records:
            value = self._decode(record)
            if value is None or not self._records.put(record):
                continue
            stored.append(record)
            self._publish(record, value)
            if isinstance(value, ServiceTable):
                tables.append(value)
            elif isinstance(value, Finding):
                self._findings[record.key] = value
                findings.append(value)
        config = [record for record in stored if is_config(record.key)]
        if config:
            self._publish_routes(config, tables)
            self._snapshots.tables_hash = self._records.digest(CONFIG_SCOPE, is_config)
        if findings:
            self._gate.tell(msg.ApplyFindings(tuple(findings)))
        pushed = config + [record for record in stored if record.scope == HEALTH_SCOPE]
        if pushed:
            self._push_records(pushed)
        return stored

    def _publish_routes(self, changed: list[Record], tables: list[ServiceTable]) -> None:
        """Rebuild the routes of the changed tables, or of all after a change of the places."""
        if any(record.key == PLACES_KEY for record in changed):
            tables = [decode_table(record) for record in self._records.with_prefix(TABLE_PREFIX)]
        routes = {
            table.service: build_route(table, self._snapshots.places, self._region)
            for table in tables
        }
        self._snapshots.routes = {**self._snapshots.routes, **routes}
        self._gate.tell(msg.SyncRoutes(tuple(routes.values())))

    def _prune_heirs(self) -> None:
        """Remove the heirs whose keys have expired."""
        for heir in list(self._snapshots.heirs.values()):
            if heir.expires <= wall():
                self._records.drop(heir_key(heir.home))
                heirs = self._snapshots.heirs
                self._snapshots.heirs = {h: v for h, v in heirs.items() if h != heir.home}

    def _prune_expired(self) -> None:
        """Remove the departures, limits and findings that VMs have gossiped for long enough."""
        snapshots = self._snapshots
        snapshots.isolations = self._unexpired(ISOLATION_PREFIX, snapshots.isolations)
        self._findings = dict(self._unexpired("", self._findings))
        snapshots.departures = self._unexpired(DEPARTURE_PREFIX, snapshots.departures)
        snapshots.rate_limits = self._unexpired(RATE_LIMIT_PREFIX, snapshots.rate_limits)

    def _unexpired(self, prefix: str, values: Mapping[str, Expiring]) -> Mapping[str, Expiring]:
        """Drop the records of expired values and return the others."""
        now = wall()
        kept = {name: value for name, value in values.items() if value.expires > now}
        for name in values.keys() - kept.keys():
            self._records.drop(prefix + name)
        return kept

    def _next_version(self, message: msg.PublishRecord) -> Record:
        known = self._records.get(message.key)
        version = max(int(wall() * 1000), known.version + 1 if known else 0)
        return Record(message.key, version, message.scope, message.payload)

    def _decode(self, record: Record) -> Any:
        """Return the decoded value of a record, None if it is malformed."""
        try:
            return decode(record)
        except (ValueError, TableError) as exc:
            if not record.key.startswith(EXPIRING_PREFIXES):
                log.error("record-unreadable", key=record.key, error=str(exc))
            return None

    def _publish(self, record: Record, value: Any) -> None:
        snapshots = self._snapshots
        if record.key == PLACES_KEY:
            snapshots.places = value
            log.info("places-in-force", generation=value.generation)
        elif record.key.startswith(TABLE_PREFIX):
            log.info("table-in-force", service=value.service, generation=value.generation)
        elif record.key.startswith(VM_PREFIX):
            snapshots.vms = {**snapshots.vms, value.vm: value}
            self._gate.tell(msg.UpdatePeerHolds(value.vm, value.holds))
        elif record.key.startswith(HEIR_PREFIX):
            snapshots.heirs = {**snapshots.heirs, value.home: value}
        elif record.key.startswith(ZONE_PREFIX):
            snapshots.zones = {**snapshots.zones, value.zone: value}
        elif record.key == VMLIST_KEY:
            self._gate.tell(msg.SyncLeaving(frozenset(value)))
        elif isinstance(value, IsolationNotice):
            snapshots.isolations = {**snapshots.isolations, value.vm: value}
        elif not isinstance(value, Finding):
            self._publish_steering(record, value)

    def _publish_steering(self, record: Record, value: Any) -> None:
        """Publish a record that direct mode uses, and notify the dispatch actor."""
        snapshots = self._snapshots
        if record.key == RULES_KEY:
            snapshots.rules = value
            log.info("rules-in-force", version=value.version)
        elif record.key == UPSTREAMS_KEY:
            snapshots.upstreams = value
            log.info("upstreams-in-force", version=str(value.version), count=len(value.by_id or {}))
        elif record.key == CLOSED_ZONES_KEY:
            snapshots.closed_zones = value
            log.info(
                "closed-zones-in-force", version=str(value.version), zones=sorted(value.revisions)
            )
        elif record.key.startswith(DEPARTURE_PREFIX):
            snapshots.departures = {**snapshots.departures, value.id: value}
        elif record.key.startswith(RATE_LIMIT_PREFIX):
            snapshots.rate_limits = {**snapshots.rate_limits, value.id: value}
        self._gate.tell(msg.SyncSteering())
        if snapshots.rules is not None and snapshots.upstreams.by_id:
            snapshots.steering_ready.set()
