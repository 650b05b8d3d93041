"""A daemon of the direct way: it follows feeds of the platform and sends to any instance."""

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
from gypsumwind.feeds import Feed, FeedTask, Publish
from gypsumwind.followers import RelayedFeed, Zone
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
from gypsumwind.relays import RELAY_WAIT_S, Codec, RelayHub
from gypsumwind.servers import EXPIRE_S, Server
from gypsumwind.settings import Settings
from gypsumwind.spares import SpareTask
from gypsumwind.steering import HeaderNames, SteeringSettings
from gypsumwind.tasks import Task
from gypsumwind.utils import monotonic, pack_json, wall

log = Log("direct")

UPSTREAMS_PACE_S = 0.5
"""Least time between two calls for changes of instances, of which there are many a second."""

QUIET_PACE_S = 0.05
"""The same for what changes rarely."""

FOLLOW_TIMEOUT_S = RELAY_WAIT_S + 0.5
"""Time limit of a call to a relay: its wait, and half a second for the way within a zone."""

CODECS = {
    "rules": Codec(ruleset_to_json, ruleset_from_json),
    "upstreams": Codec(asdict, upstream_from_json),
    "closed-zones": Codec(int, int),
}
"""How relays hand on the values of each feed."""

OFTEN = frozenset({"upstreams"})
"""Feeds that change many times a second, so that their calls tell a VM's way to the store."""

LISTS = (UPSTREAMS_KEY, CLOSED_ZONES_KEY)
"""Records that no peer has later than a fresh feed; a restored store may have lost a configuration
that peers still have."""

SWEEP_S = 1.0
"""Period in which connections that are idle or slow for too long are ended."""

POLL_S = 0.05
"""Period in which a stop looks at what is still in flight."""

PHASE_EVENTS = {
    Phase.LEAVING: "leaving",
    Phase.CLOSED: "listener-closed",
    Phase.REFUSING: "refusing",
    Phase.GIVING_UP: "giving-up",
    Phase.ENDED: "stopped",
}
"""The log's event at the begin of each phase of a stop."""


class SweepTask(Task):
    """Ends what is too old: idle connections to instances, callers that send too slowly.

    The limits of the configuration for callers take effect within a period.
    """

    def __init__(
        self, connections: Connections, heads: HeadReads, server: Server, board: Board
    ) -> None:
        super().__init__("sweep", SWEEP_S)
        self._connections = connections
        self._heads = heads
        self._server = server
        self._board = board

    def step(self) -> None:
        """Apply the limits, and end what is beyond them."""
        rules = self._board.rules
        if rules is not None:
            self._heads.limit_s = rules.limits.header_s
            self._server.set_limits(rules.limits)
        self._connections.sweep()
        self._heads.sweep()


class Feeds:
    """What the platform lists, each as a feed of the project's own types."""

    __slots__ = ("rules", "upstreams", "closed_zones")

    def __init__(self, rules: Feed, upstreams: Feed, closed_zones: Feed) -> None:
        self.rules = rules
        self.upstreams = upstreams
        self.closed_zones = closed_zones


class DirectDaemon:
    """One entry VM's process on the direct way; a context manager that serves while open."""

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
        self._boot = int(wall() * 1000)
        self._rng = random.Random()
        self._stack = ExitStack()
        endpoint = Endpoint(cfg.advertise_ip, cfg.caller_port, cfg.handoff_port, cfg.peer_port)
        self._me = Member(cfg.vm, cfg.zone, endpoint, self._boot, State.ALIVE)
        self.board = Board(self._me)
        self._joined = threading.Event()
        self._hangups = hangups
        self._connections = Connections(cfg.ip)
        self._exchanger = Exchanger(self._connections, names, read_load, self._hangups)
        self._names = names
        self._hub = RelayHub(self._boot, CODECS, OFTEN, eras)

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
        self._dispatch = DispatchActor.start(cfg, self._steering, board, rng, self._spread)
        spread = SpreadTask(cfg, board, rng)
        self._records = RecordsActor.start(board, cfg.zone, cfg.region, self._dispatch, spread.put)
        self._start_members(enter)
        feed_tasks = self._feed_tasks()
        policy = GossipPolicy(
            loads=False,
            gives=False,
            fresh=lambda: {key for key in LISTS if feed_tasks[key].fresh},
        )
        gossip = GossipTask(cfg, self._boot, board, self._records, rng, policy)
        service = PeerService(
            cfg, board, self._boot, self._records, self._dispatch, self._dispatch, self._hub
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
            self._me.endpoint,
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
        log.info("started", vm=cfg.vm, zone=cfg.zone, ip=cfg.ip, incarnation=self._boot)

    def _start_members(self, enter: Any) -> None:
        cfg = self._cfg
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((cfg.ip, cfg.peer_port))
        seeds = [Endpoint(s.ip, 0, 0, s.peer_port) for s in cfg.seeds]
        timing = Timing(cfg.probe_s, cfg.probe_ack_s, cfg.suspect_s)
        membership = Membership(self._me, seeds, timing, self._rng, monotonic())
        self._members = MembersActor.start(membership, sock, self.board)
        enter(ProbeListener(sock, self._members))

    def _feed_tasks(self) -> dict[str, FeedTask]:
        """Return the tasks that follow the feeds, by the record that each keeps up to date."""
        feeds = self._feeds
        return {
            RULES_KEY: self._feed_task("rules", feeds.rules, QUIET_PACE_S, self._put_rules),
            UPSTREAMS_KEY: self._feed_task(
                "upstreams", feeds.upstreams, UPSTREAMS_PACE_S, self._put_upstreams
            ),
            CLOSED_ZONES_KEY: self._feed_task(
                "closed-zones", feeds.closed_zones, QUIET_PACE_S, self._put_closed
            ),
        }

    def _feed_task(self, name: str, own: Feed, pace_s: float, put: Publish) -> FeedTask:
        """Return the task of a feed that is followed at a delegate, or by one at the store."""
        cfg = self._cfg
        zone = Zone(cfg.vm, cfg.zone, self.board)
        follow = Peers(cfg.ip, FOLLOW_TIMEOUT_S).follow
        feed = RelayedFeed(name, own, zone, self._hub, follow)
        return FeedTask(name, feed, pace_s, put, self._rng)

    def _put_rules(self, values: Mapping[str, Ruleset], version: Version, grace_s: float) -> None:
        """Keep a configuration by its own version, which no restore of the store takes back."""
        for rules in values.values():
            self._put(RULES_KEY, Version(0, rules.version), ruleset_to_json(rules))

    def _put_upstreams(self, values: Mapping[str, Any], version: Version, grace_s: float) -> None:
        found = UpstreamList(version, values, wall() + grace_s if grace_s > 0 else 0.0)
        self._put(UPSTREAMS_KEY, version, upstreams_to_json(found))

    def _put_closed(self, values: Mapping[str, Any], version: Version, grace_s: float) -> None:
        self._put(CLOSED_ZONES_KEY, version, closures_to_json(Closures(version, values)))

    def _spread(self, departure: Departure) -> None:
        """Tell the VMs of the zone of an instance that leaves."""
        self._records.tell(msg.PutRecords((departure_record(departure, self._cfg.zone),)))

    def _put(self, key: str, version: Version, doc: Any) -> None:
        record = Record(key, version.revision, CONFIG_SCOPE, pack_json(doc), version.era)
        self._records.tell(msg.PutRecords((record,)))

    def apply(self, steering: SteeringSettings) -> None:
        """Put changed bounds in force; what runs goes on."""
        self._steering = steering
        self._dispatch.tell(msg.SetSteering(steering))

    def ready(self) -> bool:
        """Tell whether this VM takes callers: it knows where to send, and does not leave."""
        board = self.board
        ups = board.upstreams
        known = bool(ups.by_id) or (board.steerable.is_set() and ups.grace_s(wall()) > 0)
        return board.rules is not None and known and not board.leaving

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
        """Leave, finish what is in flight, and return when the process may end (core/stops.py)."""
        stop = Stop(monotonic(), self._steering.grace_s, 2 * EXPIRE_S)
        phase = stop.phase
        while phase is not Phase.ENDED:
            before, phase = phase, stop.step(monotonic(), self._front.in_flight.count)
            if phase is before:
                time.sleep(POLL_S)
            else:
                self._enter_phase(phase)

    def _enter_phase(self, phase: Phase) -> None:
        """Do what a phase of the stop begins with."""
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
