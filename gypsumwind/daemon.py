"""The daemon: wires up actors, tasks and servers, and performs the graceful shutdown."""

import random
import socket
import threading
import time
from contextlib import ExitStack

import pykka

from gypsumwind import messages as msg
from gypsumwind.actors import TickTask
from gypsumwind.claims import KeyClaims
from gypsumwind.core.membership import Endpoint, Member, Membership, State, Timing
from gypsumwind.core.rules import CallerLimits
from gypsumwind.gateways import ZoneGateway
from gypsumwind.gossip import GossipTask, PushTask
from gypsumwind.handoffs import Handoffs
from gypsumwind.hangups import HangupTask
from gypsumwind.holds import HoldsTask
from gypsumwind.homes import Home, HomeDependencies
from gypsumwind.joins import JoinTask
from gypsumwind.key_transfers import KeyTransfer
from gypsumwind.keys import HomeActor
from gypsumwind.log import Log
from gypsumwind.members import MembersActor
from gypsumwind.memory import MemoryBudget
from gypsumwind.metrics import Metrics
from gypsumwind.pages import CallerHandler, HandlerDependencies, HandoffHandler
from gypsumwind.peers import PeerClient, PeerError, PeerServer, PeerService, ProbeListener
from gypsumwind.permits import GateActor
from gypsumwind.probes import HealthTask
from gypsumwind.records import RecordsActor
from gypsumwind.response_syntax import MAX_BODY_BYTES
from gypsumwind.routers import ZoneRouter
from gypsumwind.servers import Server
from gypsumwind.settings import Settings
from gypsumwind.signals import StopSignals
from gypsumwind.snapshots import Snapshots
from gypsumwind.stores import HttpStore
from gypsumwind.tasks import Task
from gypsumwind.utils import monotonic, wall
from gypsumwind.watchers import TableWatch, VmListWatch

log = Log("daemon")

POLL_S = 0.1

LIMITS = CallerLimits(body_bytes=MAX_BODY_BYTES)
"""Bodies are streamed whatever their length."""


class DrainTask(Task):
    """Applies the draining VMs of the places document: this VM leaves, or resumes."""

    def __init__(self, daemon: "Daemon") -> None:
        super().__init__("drain", POLL_S)
        self._daemon = daemon

    def step(self) -> None:
        """Leave or resume as the places document specifies."""
        self._daemon.sync_drain_state()


class Daemon:
    """One entry VM's process; a context manager that serves requests until its exit."""

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._initial_incarnation = int(wall() * 1000)
        self._rng = random.Random()
        self._stack = ExitStack()
        self._metrics = Metrics(cfg.tenants)
        self._local_member = Member(
            cfg.vm, cfg.zone, self._endpoint(), self._initial_incarnation, State.ALIVE
        )
        self._snapshots = Snapshots(self._local_member)
        self._memory = MemoryBudget(cfg.memory_mb)
        self._joined = threading.Event()
        self._stopping = False

    def _endpoint(self) -> Endpoint:
        cfg = self._cfg
        return Endpoint(cfg.advertise_ip, cfg.caller_port, cfg.handoff_port, cfg.peer_port)

    def __enter__(self) -> "Daemon":
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
        pykka.ActorRegistry.stop_all(timeout=2)

    def _start(self) -> None:
        cfg, snapshots = self._cfg, self._snapshots
        self._hangups = HangupTask()
        self._store = HttpStore(cfg.store_url, cfg.store_timeout_s, cfg.ip, self._hangups)
        self._spread = PushTask(cfg, snapshots, self._rng)
        self._start_actors()
        self._gossip = GossipTask(
            cfg, self._initial_incarnation, snapshots, self._records, self._rng
        )
        self._watch = TableWatch(cfg, snapshots, self._store, self._records, self._rng)
        self._start_servers()
        self._start_tasks()
        log.info(
            "started", vm=cfg.vm, zone=cfg.zone, ip=cfg.ip, incarnation=self._initial_incarnation
        )

    def _start_actors(self) -> None:
        cfg, snapshots = self._cfg, self._snapshots
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((cfg.ip, cfg.peer_port))
        self._gate = GateActor.start(cfg, snapshots, self._metrics, self._discharge, self._rng)
        self._records = RecordsActor.start(
            snapshots, cfg.zone, cfg.region, self._gate, self._spread.put
        )
        self._home = HomeActor.start(
            (cfg.vm, self._initial_incarnation), cfg.key_capacity, cfg.key_bytes
        )
        seeds = [Endpoint(s.ip, 0, 0, s.peer_port) for s in cfg.seeds]
        timing = Timing(cfg.probe_s, cfg.probe_ack_s, cfg.suspect_s)
        membership = Membership(self._local_member, seeds, timing, self._rng, monotonic())
        self._members = MembersActor.start(membership, sock, snapshots)
        self._stack.enter_context(ProbeListener(sock, self._members))

    def _discharge(self, instance: str, foreign: bool) -> None:
        """Report to an instance's new owner that a request of this VM on it has finished."""
        hold = self._snapshots.holds.known.get(instance)
        member = self._snapshots.members.members.get(hold.holder) if hold else None
        if member is None:
            return
        threading.Thread(
            target=self._send_discharge, args=(member.endpoint, instance, foreign), daemon=True
        ).start()

    def _send_discharge(self, to: Endpoint, instance: str, foreign: bool) -> None:
        try:
            PeerClient(self._cfg.ip, self._cfg.peer_timeout_s).discharge(to, instance, foreign)
        except PeerError:
            return

    def _start_servers(self) -> None:
        cfg, snapshots, rng = self._cfg, self._snapshots, self._rng
        handoffs = Handoffs(cfg, snapshots, self._metrics, self._hangups)
        gateway = ZoneGateway(
            cfg, snapshots, self._gate, handoffs, self._metrics, rng, self._hangups
        )
        router = ZoneRouter(cfg, snapshots, gateway, handoffs, self._metrics, rng)
        claims = KeyClaims(cfg, self._initial_incarnation, self._store, rng)
        home_parts = HomeDependencies(
            snapshots, self._home, router, handoffs, claims, self._metrics
        )
        home = Home(cfg, self._initial_incarnation, home_parts, rng)
        parts = HandlerDependencies(
            snapshots,
            self._gate,
            self._records,
            gateway,
            router,
            home,
            self._metrics,
            self._hangups,
            handoffs.links,
            self._ready,
        )
        self._callers = CallerHandler(cfg, parts, rng)
        self._handoffs = HandoffHandler(cfg, parts, rng)
        service = PeerService(
            cfg, snapshots, self._initial_incarnation, self._records, self._gate, self._home
        )
        enter = self._stack.enter_context
        shares = cfg.connection_shares()
        enter(PeerServer(cfg.ip, cfg.peer_port, service, self._memory, shares.peers))
        for name, port, handler, most in (
            ("handoff", cfg.handoff_port, self._handoffs, shares.handoffs),
            ("caller", cfg.caller_port, self._callers, shares.callers),
        ):
            server = Server(
                name,
                cfg.ip,
                port,
                cfg.threads,
                handler.handle,
                limits=lambda: LIMITS,
                memory=self._memory,
                max_connections=most,
            )
            handler.in_flight.transfers = server.transfers
            enter(server)

    def _ready(self) -> bool:
        return self._joined.is_set() and bool(self._snapshots.places.zones)

    def _start_tasks(self) -> None:
        cfg, snapshots = self._cfg, self._snapshots
        actors: list[pykka.ActorRef] = [self._members, self._gate, self._home]
        tasks: list[Task] = [
            TickTask(actors),
            self._spread,
            self._hangups,
            self._gossip,
            self._watch,
            VmListWatch(cfg, snapshots, self._store, self._records),
            JoinTask(cfg, self._gossip, lambda: self._watch.loaded, self._joined),
            HoldsTask(cfg, snapshots, self._gate, self._metrics, self._joined, self._rng),
            HealthTask(cfg, snapshots, self._gate, self._hangups),
            DrainTask(self),
        ]
        for task in tasks:
            self._stack.enter_context(task)

    def sync_drain_state(self) -> None:
        """Leave while the places document lists this VM or the process is stopping; else resume."""
        wanted = self._stopping or self._cfg.vm in self._snapshots.places.draining_vms
        if wanted == self._snapshots.leaving:
            return
        self._snapshots.leaving = wanted
        self._members.tell(msg.Leave(State.LEAVING) if wanted else msg.Resume())
        log.info("leaving" if wanted else "back")

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        with StopSignals() as signals:
            signals.wait()
            self.stop()

    def stop(self) -> None:
        """Leave the look-ups, wait until cached answers expire, hand over, and finish requests."""
        cfg = self._cfg
        self._stopping = True
        self.sync_drain_state()
        deadline = monotonic() + cfg.stop_s
        look_ups_expire = monotonic() + 2 * cfg.entry_ttl_s
        while monotonic() < deadline:
            if monotonic() >= look_ups_expire and self._drained():
                break
            time.sleep(POLL_S)
        KeyTransfer(cfg, self._snapshots, self._home, self._records, self._gossip).hand_on()
        self._await_in_flight(deadline)
        self._members.ask(msg.Leave(State.LEFT), timeout=msg.ASK_TIMEOUT_S)
        log.info("stopped", in_flight=self._in_flight())

    def _await_in_flight(self, deadline: float) -> None:
        """Wait for requests that arrived during the hand-over, such as retries of keyed calls."""
        while self._in_flight() and monotonic() < deadline:
            time.sleep(POLL_S)

    def _drained(self) -> bool:
        zones = {self._cfg.zone, *self._snapshots.places.zones_of(self._cfg.region)}
        successors = [m for m in self._snapshots.members.live() if m.zone in zones]
        return self._in_flight() == 0 and not (self._snapshots.holds.held and successors)

    def _in_flight(self) -> int:
        return self._callers.in_flight.count + self._handoffs.in_flight.count
