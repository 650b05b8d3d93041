"""The direct-mode daemon: follows the platform's feeds and sends straight to any instance."""

import random
import socket
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from contextlib import ExitStack
from dataclasses import asdict
from typing import Any

import pykka

from gypsumwind import messages as msg
from gypsumwind.actors import TickTask
from gypsumwind.connections import ConnectionPool
from gypsumwind.core.crashes import Finding
from gypsumwind.core.departures import Departure
from gypsumwind.core.isolation import IsolationNotice
from gypsumwind.core.lookup import Entry, entries_for
from gypsumwind.core.membership import Endpoint, Member, Membership, State, Timing
from gypsumwind.core.propagation import HIGH_RATE_INTERVAL_S, LOW_RATE_INTERVAL_S
from gypsumwind.core.rate_limits import RateLimit
from gypsumwind.core.records import CONFIG_SCOPE, Record
from gypsumwind.core.restores import ZoneClosures, zone_closures_to_json
from gypsumwind.core.rules import (
    DEFAULT_LIMITS,
    CallerLimits,
    Ruleset,
    ruleset_from_json,
    ruleset_to_json,
)
from gypsumwind.core.stops import GracefulShutdown, ShutdownPhase
from gypsumwind.core.upstreams import UpstreamList, upstream_from_json, upstreams_to_json
from gypsumwind.core.versions import Version
from gypsumwind.dispatchers import DispatchActor
from gypsumwind.eras import EraTracker
from gypsumwind.exchanges import UpstreamClient
from gypsumwind.feeds import Feed, FeedTask, PublishSnapshot
from gypsumwind.followers import RelayedFeed, ZoneView
from gypsumwind.forwarders import Forwarder
from gypsumwind.fronts import ForwardingHandler
from gypsumwind.gossip import GossipPolicy, GossipTask, PushTask
from gypsumwind.hangups import HangupTask
from gypsumwind.isolations import IsolationTask
from gypsumwind.joins import AnnounceTask, JoinTask, Registry
from gypsumwind.log import Log
from gypsumwind.members import MembersActor
from gypsumwind.memory import MemoryBudget
from gypsumwind.metrics import Metrics
from gypsumwind.outages import OutageHistory
from gypsumwind.payloads import (
    CLOSED_ZONES_KEY,
    RATE_LIMIT_PREFIX,
    RULES_KEY,
    UPSTREAMS_KEY,
    departure_record,
    health_record,
    rate_limit_to_bytes,
)
from gypsumwind.peers import PeerClient, PeerServer, PeerService, ProbeListener
from gypsumwind.pipelines import connection_class
from gypsumwind.records import RecordsActor
from gypsumwind.relays import Codec, RelayHub
from gypsumwind.servers import IDLE_CHECK_S, Handler, Server
from gypsumwind.settings import Settings
from gypsumwind.snapshots import Snapshots
from gypsumwind.spares import SpareTask
from gypsumwind.steering import HeaderNames, SteeringSettings
from gypsumwind.tasks import Task
from gypsumwind.utils import monotonic, pack_json, wall

log = Log("direct")

CODECS = {
    "rules": Codec(ruleset_to_json, ruleset_from_json),
    "upstreams": Codec(asdict, upstream_from_json),
    "closed-zones": Codec(int, int),
}
"""Codecs for the values of each feed that relays pass on."""

HIGH_RATE_FEEDS = frozenset({"upstreams"})
"""Feeds that change many times a second."""

STORE_OWNED_KEYS = (UPSTREAMS_KEY, CLOSED_ZONES_KEY)
"""Records for which a fresh feed is at least as recent as any peer. The rules are not among them: a
restored store may have lost a configuration that peers still have."""

PAGE_THREADS = 4
"""Threads of a server of pages."""

SWEEP_INTERVAL_S = 1.0
"""Interval between sweeps for connections that have been idle for too long."""

STOP_POLL_INTERVAL_S = 0.05
"""Interval at which a graceful shutdown checks the requests in flight."""

PHASE_EVENTS = {
    ShutdownPhase.LEAVING: "leaving",
    ShutdownPhase.CLOSED: "listener-closed",
    ShutdownPhase.REFUSING: "refusing",
    ShutdownPhase.ABORTING: "giving-up",
    ShutdownPhase.ENDED: "stopped",
}
"""Log event at the start of each shutdown phase."""


class SweepTask(Task):
    """Closes connections to instances that have been idle for too long."""

    def __init__(self, connections: ConnectionPool) -> None:
        super().__init__("sweep", SWEEP_INTERVAL_S)
        self._connections = connections

    def step(self) -> None:
        """Close the connections that exceed the limit."""
        self._connections.sweep()


class Feeds:
    """The platform's lists, each as a feed of the project's own types."""

    __slots__ = ("rules", "upstreams", "closed_zones")

    def __init__(self, rules: Feed, upstreams: Feed, closed_zones: Feed) -> None:
        self.rules = rules
        self.upstreams = upstreams
        self.closed_zones = closed_zones


class DirectDaemon:
    """The direct-mode process of one entry VM; a context manager that serves while open."""

    def __init__(
        self,
        cfg: Settings,
        steering: SteeringSettings,
        names: HeaderNames,
        read_load: Any,
        feeds: Feeds,
        registry: Registry,
        hangups: HangupTask,
        eras: EraTracker,
    ) -> None:
        self._cfg = cfg
        self._eras = eras
        self._steering = steering
        self._feeds = feeds
        self._registry = registry
        self._initial_incarnation = int(wall() * 1000)
        self._rng = random.Random()
        self._stack = ExitStack()
        endpoint = Endpoint(cfg.advertise_ip, cfg.caller_port, cfg.handoff_port, cfg.peer_port)
        self._local_member = Member(
            cfg.vm, cfg.zone, endpoint, self._initial_incarnation, State.ALIVE
        )
        self.snapshots = Snapshots(self._local_member)
        self._memory = MemoryBudget(cfg.memory_mb)
        self._joined = threading.Event()
        self._hangups = hangups
        self._connections = ConnectionPool(cfg.ip)
        self._client = UpstreamClient(self._connections, names, read_load, self._hangups)
        self._names = names
        self._hub = RelayHub(self._initial_incarnation, CODECS, HIGH_RATE_FEEDS, eras)
        self._outages = OutageHistory(steering.lease)
        self._feed_tasks: dict[str, FeedTask] = {}

    def __enter__(self) -> "DirectDaemon":
        try:
            self._start()
        except BaseException:
            self._close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self._close()

    def _close(self) -> None:
        self._stack.close()
        pykka.ActorRegistry.stop_all(timeout=1)

    def _start(self) -> None:
        cfg, snapshots, rng = self._cfg, self.snapshots, self._rng
        metrics = Metrics(cfg.tenants, lambda: self._eras.current, self._feed_ages)
        enter = self._stack.enter_context
        self._dispatch = DispatchActor.start(
            cfg,
            self._steering,
            snapshots,
            rng,
            self._publish_departure,
            self._publish_rate_limit,
            self._publish_health,
            self._connections.has_idle,
        )
        spread = PushTask(cfg, snapshots, rng)
        self._records = RecordsActor.start(
            snapshots, cfg.zone, cfg.region, self._dispatch, spread.put
        )
        self._start_members(enter)
        feed_tasks = self._feed_tasks = self._make_feed_tasks()
        policy = GossipPolicy(
            publishes_loads=False,
            pushes_records=False,
            self_updated=lambda: {key for key in STORE_OWNED_KEYS if feed_tasks[key].fresh},
        )
        gossip = GossipTask(cfg, self._initial_incarnation, snapshots, self._records, rng, policy)
        service = PeerService(
            cfg,
            snapshots,
            self._initial_incarnation,
            self._records,
            self._dispatch,
            self._dispatch,
            self._hub,
        )
        shares = cfg.connection_shares()
        enter(PeerServer(cfg.ip, cfg.peer_port, service, self._memory, shares.peers))
        forwarder = Forwarder(
            snapshots,
            self._dispatch,
            self._client,
            self._names,
            metrics,
            lambda: feed_tasks[UPSTREAMS_KEY].age_s,
            lambda: feed_tasks[RULES_KEY].age_s,
        )
        self._front = ForwardingHandler(
            cfg, snapshots, forwarder, self._hangups, metrics, self._names
        )
        connections = connection_class(self._front.start_pipelined, lambda: not snapshots.leaving)
        self._server = Server(
            "caller",
            cfg.ip,
            cfg.caller_port,
            cfg.threads,
            self._front.handle,
            connections,
            self._caller_limits,
            self._memory,
            shares.callers,
        )
        self._front.in_flight.transfers = forwarder.transfers = self._server.transfers
        enter(self._server)
        self._announce = AnnounceTask(
            cfg,
            self._registry,
            self._local_member.endpoint,
            self._members,
            lambda: not snapshots.members.live(),
            self._eras,
            rng,
        )
        tasks: list[Task] = [
            self._announce,
            TickTask([self._members, self._dispatch]),
            self._hangups,
            spread,
            gossip,
            SpareTask(self._connections, cfg.ip),
            IsolationTask(cfg, snapshots, self._dispatch, rng, self._hangups),
            SweepTask(self._connections),
            JoinTask(cfg, gossip, lambda: snapshots.rules is not None, self._joined),
            *feed_tasks.values(),
        ]
        for task in tasks:
            enter(task)
        log.info(
            "started",
            vm=cfg.vm,
            zone=cfg.zone,
            ip=cfg.ip,
            incarnation=self._initial_incarnation,
            first_start=self._steering.first_start,
        )

    def page_server(self, name: str, ip: str, port: int, handler: Handler) -> Server:
        """Return a server of pages, which shares the memory for requests."""
        most = self._cfg.connection_shares().pages
        memory = self._memory
        return Server(name, ip, port, PAGE_THREADS, handler, memory=memory, max_connections=most)

    def _caller_limits(self) -> CallerLimits:
        """Return the limits of callers in force: the defaults until the configuration is known."""
        rules = self.snapshots.rules
        return DEFAULT_LIMITS if rules is None else rules.limits

    def _start_members(self, enter: Any) -> None:
        cfg = self._cfg
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((cfg.ip, cfg.peer_port))
        seeds = [Endpoint(s.ip, 0, 0, s.peer_port) for s in cfg.seeds]
        timing = Timing(cfg.probe_s, cfg.probe_ack_s, cfg.suspect_s)
        membership = Membership(self._local_member, seeds, timing, self._rng, monotonic())
        self._members = MembersActor.start(membership, sock, self.snapshots)
        enter(ProbeListener(sock, self._members))

    def _make_feed_tasks(self) -> dict[str, FeedTask]:
        """Return the feed tasks by the key of the record that each updates."""
        feeds = self._feeds
        return {
            RULES_KEY: self._feed_task("rules", feeds.rules, LOW_RATE_INTERVAL_S, self._put_rules),
            UPSTREAMS_KEY: self._feed_task(
                "upstreams",
                feeds.upstreams,
                HIGH_RATE_INTERVAL_S,
                self._put_upstreams,
                lambda: self.snapshots.upstreams.version,
            ),
            CLOSED_ZONES_KEY: self._feed_task(
                "closed-zones",
                feeds.closed_zones,
                LOW_RATE_INTERVAL_S,
                self._put_closed_zones,
                lambda: self.snapshots.closed_zones.version,
            ),
        }

    def _feed_ages(self) -> dict[str, float]:
        """Return the time since the last answer to each feed, in seconds, by its name."""
        return {task.name: task.age_s for task in self._feed_tasks.values()}

    def _feed_task(
        self,
        name: str,
        store_feed: Feed,
        min_interval_s: float,
        put: PublishSnapshot,
        in_force: Callable[[], Version] | None = None,
    ) -> FeedTask:
        """Return the task of a feed, which follows another VM of the zone or the store."""
        cfg = self._cfg
        zone = ZoneView(cfg.vm, cfg.zone, self.snapshots)
        follow = PeerClient(cfg.ip, cfg.peer_timeout_s).follow
        feed = RelayedFeed(name, store_feed, zone, self._hub, follow, self._outages)
        return FeedTask(
            name,
            feed,
            min_interval_s,
            put,
            self._rng,
            in_force,
            self._outages,
            feed.max_interval_s,
        )

    def _put_rules(self, values: Mapping[str, Ruleset], version: Version, grace_s: float) -> None:
        """Publish rules under their own version, which a restore of the store does not lower."""
        for rules in values.values():
            self._put(RULES_KEY, Version(0, rules.version), ruleset_to_json(rules))

    def _put_upstreams(self, values: Mapping[str, Any], version: Version, grace_s: float) -> None:
        found = UpstreamList(version, values, wall() + grace_s if grace_s > 0 else 0.0)
        self._put(UPSTREAMS_KEY, version, upstreams_to_json(found))

    def _put_closed_zones(
        self, values: Mapping[str, Any], version: Version, grace_s: float
    ) -> None:
        self._put(CLOSED_ZONES_KEY, version, zone_closures_to_json(ZoneClosures(version, values)))

    def _publish_departure(self, departure: Departure) -> None:
        """Publish to the VMs of the zone that an instance is shutting down."""
        self._records.tell(msg.PutRecords((departure_record(departure, self._cfg.zone),)))

    def _publish_rate_limit(self, limit: RateLimit) -> None:
        """Publish the rate limit of an instance to the VMs of all zones."""
        key = RATE_LIMIT_PREFIX + limit.id
        self._records.tell(msg.PublishRecord(key, CONFIG_SCOPE, rate_limit_to_bytes(limit)))

    def _publish_health(self, found: Sequence[Finding | IsolationNotice]) -> None:
        """Publish findings on requests that crash instances, or a notice, to all zones."""
        self._records.tell(msg.PutRecords(tuple(map(health_record, found))))

    def _put(self, key: str, version: Version, doc: Any) -> None:
        record = Record(key, version.revision, CONFIG_SCOPE, pack_json(doc), version.era)
        self._records.tell(msg.PutRecords((record,)))

    def apply_steering(self, steering: SteeringSettings) -> None:
        """Apply changed steering settings; running requests are not affected."""
        self._steering = steering
        self._outages.lease = steering.lease
        self._dispatch.tell(msg.SetSteering(steering))

    def ready(self) -> bool:
        """Return whether this VM accepts callers: it has rules and upstreams and is not leaving."""
        snapshots = self.snapshots
        upstream_list = snapshots.upstreams
        has_upstreams = bool(upstream_list.by_id) or (
            snapshots.steering_ready.is_set() and upstream_list.grace_s(wall()) > 0
        )
        return snapshots.rules is not None and has_upstreams and not snapshots.leaving

    def look_up(self, host: str, region: str, zone: str) -> list[Entry]:
        """Return the entry VMs for callers of a host in a zone."""
        snapshots = self.snapshots
        members = snapshots.members.live() + (
            [] if snapshots.leaving else [snapshots.members.local]
        )
        alive = [m for m in members if m.state is State.ALIVE]
        epoch = wall()
        serving = [m for m in alive if not snapshots.isolated(m.vm, epoch)]
        entries = [
            Entry(m.vm, m.zone, m.endpoint.ip, m.endpoint.caller_port) for m in serving or alive
        ]
        homes = snapshots.rules.regions_of(host) if snapshots.rules else frozenset()
        return entries_for(entries, self._steering.regions, region, zone, homes)

    def stop(self) -> None:
        """Shut down gracefully: drain requests in flight; return once the process may exit."""
        stop = GracefulShutdown(monotonic(), self._steering.grace_s, 2 * IDLE_CHECK_S)
        self._front.shutdown = stop
        phase = stop.phase
        while phase is not ShutdownPhase.ENDED:
            before, phase = phase, stop.step(monotonic(), self._front.in_flight.count)
            if phase is before:
                time.sleep(STOP_POLL_INTERVAL_S)
            else:
                self._enter_phase(phase)

    def _enter_phase(self, phase: ShutdownPhase) -> None:
        """Run the actions at the start of a shutdown phase (see core/stops.py)."""
        if phase is ShutdownPhase.LEAVING:
            self.snapshots.leaving = True
            self._members.tell(msg.Leave(State.LEAVING))
            threading.Thread(target=self._announce.withdraw, name="withdraw", daemon=True).start()
        elif phase is ShutdownPhase.CLOSED:
            self._server.close_listener()
        elif phase is ShutdownPhase.REFUSING:
            self._members.tell(msg.Leave(State.LEFT))
            self._announce.stop()
        elif phase is ShutdownPhase.ABORTING:
            self._front.cancel_all()
        log.info(PHASE_EVENTS[phase], in_flight=self._front.in_flight.count)
