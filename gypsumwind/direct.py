"""The direct-mode daemon: follows the platform's feeds and sends straight to any instance."""

import random
import socket
import threading
import time
from collections.abc import Mapping
from contextlib import ExitStack
from dataclasses import asdict
from typing import Any

import pykka

from gypsumwind import messages as msg
from gypsumwind.actors import TickTask
from gypsumwind.board import Board
from gypsumwind.connections import Connections
from gypsumwind.core.departures import Departure
from gypsumwind.core.lookup import Entry, entries_for
from gypsumwind.core.membership import Endpoint, Member, Membership, State, Timing
from gypsumwind.core.records import CONFIG_SCOPE, Record
from gypsumwind.core.restores import Closures, closures_to_json
from gypsumwind.core.rules import Ruleset, ruleset_from_json, ruleset_to_json
from gypsumwind.core.stops import Phase, Stop
from gypsumwind.core.upstreams import UpstreamList, upstream_from_json, upstreams_to_json
from gypsumwind.core.versions import Version
from gypsumwind.dispatchers import DispatchActor
from gypsumwind.eras import Eras
from gypsumwind.exchanges import Exchanger
from gypsumwind.feeds import Feed, FeedTask, PublishSnapshot
from gypsumwind.followers import RelayedFeed, ZoneView
from gypsumwind.forwarders import Forwarder
from gypsumwind.fronts import FrontPages
from gypsumwind.gossip import GossipPolicy, GossipTask, SpreadTask
from gypsumwind.hangups import HangupTask
from gypsumwind.heads import HeadReads
from gypsumwind.joins import AnnounceTask, JoinTask, Registry
from gypsumwind.log import Log
from gypsumwind.members import MembersActor
from gypsumwind.metrics import Metrics
from gypsumwind.payloads import CLOSED_ZONES_KEY, RULES_KEY, UPSTREAMS_KEY, departure_record
from gypsumwind.peers import Peers, PeerServer, PeerService, ProbeListener
from gypsumwind.pipelines import connection_class
from gypsumwind.records import RecordsActor
from gypsumwind.relays import FOLLOW_LONG_POLL_S, Codec, RelayHub
from gypsumwind.servers import EXPIRE_S, Server
from gypsumwind.settings import Settings
from gypsumwind.spares import SpareTask
from gypsumwind.steering import HeaderNames, SteeringSettings
from gypsumwind.tasks import Task
from gypsumwind.utils import monotonic, pack_json, wall

log = Log("direct")

UPSTREAMS_MIN_INTERVAL_S = 0.5
"""Minimum interval between calls for upstream changes, which occur many times a second."""

DEFAULT_MIN_INTERVAL_S = 0.05
"""Minimum interval between calls for feeds that change rarely."""

FOLLOW_TIMEOUT_S = FOLLOW_LONG_POLL_S + 0.5
"""Timeout of a follow call: its long poll plus half a second for the network within a zone."""

CODECS = {
    "rules": Codec(ruleset_to_json, ruleset_from_json),
    "upstreams": Codec(asdict, upstream_from_json),
    "closed-zones": Codec(int, int),
}
"""Codecs for the values of each feed that relays pass on."""

HIGH_RATE_FEEDS = frozenset({"upstreams"})
"""Feeds that change many times a second; their calls show whether the store is reachable."""

STORE_OWNED_KEYS = (UPSTREAMS_KEY, CLOSED_ZONES_KEY)
"""Records for which a fresh feed is at least as recent as any peer. The rules are not among them: a
restored store may have lost a configuration that peers still have."""

SWEEP_INTERVAL_S = 1.0
"""Interval between sweeps for connections that have been idle or slow for too long."""

STOP_POLL_INTERVAL_S = 0.05
"""Interval at which a graceful shutdown checks the requests in flight."""

PHASE_EVENTS = {
    Phase.LEAVING: "leaving",
    Phase.CLOSED: "listener-closed",
    Phase.REFUSING: "refusing",
    Phase.GIVING_UP: "giving-up",
    Phase.ENDED: "stopped",
}
"""Log event at the start of each shutdown phase."""


class SweepTask(Task):
    """Closes idle connections to instances and connections of callers that send too slowly.

    Changed caller limits in the configuration take effect within `SWEEP_INTERVAL_S`.
    """

    def __init__(
        self, connections: Connections, heads: HeadReads, server: Server, board: Board
    ) -> None:
        super().__init__("sweep", SWEEP_INTERVAL_S)
        self._connections = connections
        self._heads = heads
        self._server = server
        self._board = board

    def step(self) -> None:
        """Apply the current limits and close the connections that exceed them."""
        rules = self._board.rules
        if rules is not None:
            self._heads.limit_s = rules.limits.header_s
            self._server.set_limits(rules.limits)
        self._connections.sweep()
        self._heads.sweep()


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
        eras: Eras,
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
        self.board = Board(self._local_member)
        self._joined = threading.Event()
        self._hangups = hangups
        self._connections = Connections(cfg.ip)
        self._exchanger = Exchanger(self._connections, names, read_load, self._hangups)
        self._names = names
        self._hub = RelayHub(self._initial_incarnation, CODECS, HIGH_RATE_FEEDS, eras)

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
        cfg, board, rng = self._cfg, self.board, self._rng
        metrics = Metrics(cfg.tenants, lambda: self._eras.current)
        enter = self._stack.enter_context
        self._dispatch = DispatchActor.start(
            cfg, self._steering, board, rng, self._publish_departure
        )
        spread = SpreadTask(cfg, board, rng)
        self._records = RecordsActor.start(board, cfg.zone, cfg.region, self._dispatch, spread.put)
        self._start_members(enter)
        feed_tasks = self._feed_tasks()
        policy = GossipPolicy(
            loads=False,
            gives=False,
            fresh=lambda: {key for key in STORE_OWNED_KEYS if feed_tasks[key].fresh},
        )
        gossip = GossipTask(cfg, self._initial_incarnation, board, self._records, rng, policy)
        service = PeerService(
            cfg,
            board,
            self._initial_incarnation,
            self._records,
            self._dispatch,
            self._dispatch,
            self._hub,
        )
        enter(PeerServer(cfg.ip, cfg.peer_port, service))
        forwarder = Forwarder(board, self._dispatch, self._exchanger, self._names, metrics)
        self._front = FrontPages(cfg, board, forwarder, self._hangups, metrics, self._names)
        heads = HeadReads()
        connections = connection_class(self._front.begin, lambda: not board.leaving, heads)
        self._server = Server(
            "caller", cfg.ip, cfg.caller_port, cfg.threads, self._front.handle, connections
        )
        enter(self._server)
        self._announce = AnnounceTask(
            cfg,
            self._registry,
            self._local_member.endpoint,
            self._members,
            lambda: not board.members.live(),
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
            SweepTask(self._connections, heads, self._server, board),
            JoinTask(cfg, gossip, lambda: board.rules is not None, self._joined),
            *feed_tasks.values(),
        ]
        for task in tasks:
            enter(task)
        log.info(
            "started", vm=cfg.vm, zone=cfg.zone, ip=cfg.ip, incarnation=self._initial_incarnation
        )

    def _start_members(self, enter: Any) -> None:
        cfg = self._cfg
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((cfg.ip, cfg.peer_port))
        seeds = [Endpoint(s.ip, 0, 0, s.peer_port) for s in cfg.seeds]
        timing = Timing(cfg.probe_s, cfg.probe_ack_s, cfg.suspect_s)
        membership = Membership(self._local_member, seeds, timing, self._rng, monotonic())
        self._members = MembersActor.start(membership, sock, self.board)
        enter(ProbeListener(sock, self._members))

    def _feed_tasks(self) -> dict[str, FeedTask]:
        """Return the feed tasks by the key of the record that each updates."""
        feeds = self._feeds
        return {
            RULES_KEY: self._feed_task(
                "rules", feeds.rules, DEFAULT_MIN_INTERVAL_S, self._put_rules
            ),
            UPSTREAMS_KEY: self._feed_task(
                "upstreams", feeds.upstreams, UPSTREAMS_MIN_INTERVAL_S, self._put_upstreams
            ),
            CLOSED_ZONES_KEY: self._feed_task(
                "closed-zones", feeds.closed_zones, DEFAULT_MIN_INTERVAL_S, self._put_closed_zones
            ),
        }

    def _feed_task(
        self, name: str, store_feed: Feed, min_interval_s: float, put: PublishSnapshot
    ) -> FeedTask:
        """Return the task of a feed, which follows another VM of the zone or the store."""
        cfg = self._cfg
        zone = ZoneView(cfg.vm, cfg.zone, self.board)
        follow = Peers(cfg.ip, FOLLOW_TIMEOUT_S).follow
        feed = RelayedFeed(name, store_feed, zone, self._hub, follow)
        return FeedTask(name, feed, min_interval_s, put, self._rng)

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
        self._put(CLOSED_ZONES_KEY, version, closures_to_json(Closures(version, values)))

    def _publish_departure(self, departure: Departure) -> None:
        """Publish to the VMs of the zone that an instance is leaving."""
        self._records.tell(msg.PutRecords((departure_record(departure, self._cfg.zone),)))

    def _put(self, key: str, version: Version, doc: Any) -> None:
        record = Record(key, version.revision, CONFIG_SCOPE, pack_json(doc), version.era)
        self._records.tell(msg.PutRecords((record,)))

    def apply_steering(self, steering: SteeringSettings) -> None:
        """Apply changed steering settings; running requests are not affected."""
        self._steering = steering
        self._dispatch.tell(msg.SetSteering(steering))

    def ready(self) -> bool:
        """Return whether this VM accepts callers: it has rules and upstreams and is not leaving."""
        board = self.board
        upstream_list = board.upstreams
        has_upstreams = bool(upstream_list.by_id) or (
            board.steerable.is_set() and upstream_list.grace_s(wall()) > 0
        )
        return board.rules is not None and has_upstreams and not board.leaving

    def look_up(self, host: str, region: str, zone: str) -> list[Entry]:
        """Return the entry VMs for callers of a host in a zone."""
        board = self.board
        members = board.members.live() + ([] if board.leaving else [board.members.me])
        entries = [
            Entry(m.vm, m.zone, m.endpoint.ip, m.endpoint.caller_port)
            for m in members
            if m.state is State.ALIVE
        ]
        homes = board.rules.regions_of(host) if board.rules else frozenset()
        return entries_for(entries, self._steering.regions, region, zone, homes)

    def stop(self) -> None:
        """Shut down gracefully: drain requests in flight; return once the process may exit."""
        stop = Stop(monotonic(), self._steering.grace_s, 2 * EXPIRE_S)
        phase = stop.phase
        while phase is not Phase.ENDED:
            before, phase = phase, stop.step(monotonic(), self._front.in_flight.count)
            if phase is before:
                time.sleep(STOP_POLL_INTERVAL_S)
            else:
                self._enter_phase(phase)

    def _enter_phase(self, phase: Phase) -> None:
        """Run the actions at the start of a shutdown phase (see core/stops.py)."""
        if phase is Phase.LEAVING:
            self.board.leaving = True
            self._members.tell(msg.Leave(State.LEAVING))
            threading.Thread(target=self._announce.withdraw, name="withdraw", daemon=True).start()
        elif phase is Phase.CLOSED:
            self._server.close_listener()
        elif phase is Phase.REFUSING:
            self._front.ending = True
            self._members.tell(msg.Leave(State.LEFT))
            self._announce.end()
        elif phase is Phase.GIVING_UP:
            self._front.give_up()
        log.info(PHASE_EVENTS[phase], in_flight=self._front.in_flight.count)
