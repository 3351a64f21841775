"""The gateway's process: listeners, followers, signals, and stopping."""

import signal
import socket
import threading
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from linnetwind.background import guarded, in_background
from linnetwind.call_types import Dialect
from linnetwind.caller_connection import (
    BadRequest,
    CallerConnection,
    CallerGone,
)
from linnetwind.clock import Clock
from linnetwind.gateway_events import (
    ConfigurationApplied,
    SettingsReloaded,
    Started,
    Stopped,
    Stopping,
    UpstreamsChanged,
)
from linnetwind.gateway_state import GatewayState
from linnetwind.map_planner import MapPlanner
from linnetwind.peer_mesh import MeshSettings, PeerMesh
from linnetwind.rank_link import RankLink
from linnetwind.rank_types import RankPort
from linnetwind.record_follower import News, RecordFollower
from linnetwind.record_store import (
    KeyedRecord,
    Records,
    RecordStore,
    Topic,
)
from linnetwind.relay import GatewayTools, Relay
from linnetwind.repeat_budget import BudgetTerms
from linnetwind.routes import CallerLimits, RouteTable
from linnetwind.step_log import StepLog
from linnetwind.upstream_call import open_call
from linnetwind.upstream_list import Address, Registered, Upstream

# Connections that are served at once; each has a thread.
_MOST_CONNECTIONS = 900
_STACK_BYTES = 262_144
_BACKLOG = 512
# The platform takes a daemon out after two questions, one a second, that
# were not answered with 200; until then it still sends connections.
NOTICE = timedelta(milliseconds=2_600)
# The part of the time for stopping after which requests are cut: the rest is
# for the process to end before it is killed.
_USE_OF_STOP = 0.8
_STOP_LOOK_S = 0.05
# Pauses after each reading of the store, which bound the calls to it. Both
# topics have to be known within two seconds of a change.
_CONFIGURATION_REST = timedelta(milliseconds=50)
_UPSTREAMS_REST = timedelta(milliseconds=400)

# Limits before the first configuration.
_FIRST_LIMITS = CallerLimits(
    head_bytes=16_384,
    body_bytes=4_194_304,
    head_timeout=timedelta(seconds=3),
    idle_timeout=timedelta(seconds=15),
)


@dataclass(frozen=True, slots=True)
class GatewaySetup:
    """The settings of a gateway daemon.

    `mesh` is where peers reach it, `seeds` are peers to begin with.
    """

    name: str
    site: str
    front: Address
    readiness: Address
    mesh: Address
    seeds: tuple[Address, ...]
    stop_within: timedelta
    repeats: BudgetTerms


@dataclass(frozen=True, slots=True)
class GatewayPorts:
    """What the gateway needs from the platform it runs on.

    The decoders return the project's types, or an error type with a
    `problem` that is logged.
    """

    dialect: Dialect
    open_store: Callable[[], RecordStore]
    configuration_key: str
    decode_table: Callable[[bytes], Any]
    decode_upstream: Callable[[KeyedRecord], Any]
    open_rank: Callable[[Upstream], RankPort]
    reload: Callable[[], GatewaySetup]


@dataclass(frozen=True, slots=True)
class BadRecord:
    """A record of the store that cannot be used; the last good one stays."""

    key: str
    offset: int
    problem: str


class GatewayDaemon:
    """One gateway process."""

    def __init__(
        self,
        setup: GatewaySetup,
        ports: GatewayPorts,
        clock: Clock,
        log: StepLog,
    ) -> None:
        """Open the sockets.

        Args:
          setup: The settings.
          ports: The platform.
          clock: The clock.
          log: The log.
        """
        threading.stack_size(_STACK_BYTES)
        self._setup = setup
        self._ports = ports
        self._clock = clock
        self._log = log
        self._start_id = uuid.uuid4().hex[:8]
        self._state = GatewayState(clock, setup.mesh, setup.repeats)
        self._mesh = PeerMesh(
            MeshSettings(setup.name, self._start_id, setup.mesh, setup.seeds),
            self._state,
            clock,
        )
        self._followers = self._make_followers()
        self._planner = MapPlanner(
            self._state, self._mesh, self._link, clock, log
        )
        self._stop = threading.Event()
        self._closing = threading.Event()
        self._open = 0
        self._open_lock = threading.Lock()
        self._tools = GatewayTools(
            self._state,
            ports.dialect,
            clock,
            log,
            open_call,
            self._stop.is_set,
        )

    def run(self) -> None:
        """Serve until SIGTERM, then stop without cutting a request."""
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        setup = self._setup
        self._log.event(
            Started('gateway', str(setup.front), setup.site, self._start_id)
        )
        for follower in self._followers.values():
            in_background(follower.run_for_ever, 'store')
        self._mesh.start(self._copy)
        self._planner.start()
        in_background(self._answer_readiness, 'readiness')
        in_background(self._accept_callers, 'front')
        while not self._stop.wait(1):
            continue
        self._drain()

    def _make_followers(self) -> dict[Topic, RecordFollower]:
        takes = {
            Topic.CONFIGURATION: (self._take_tables, _CONFIGURATION_REST),
            Topic.UPSTREAMS: (self._take_upstreams, _UPSTREAMS_REST),
        }
        return {
            topic: RecordFollower(
                topic,
                self._ports.open_store(),
                self._mesh,
                take,
                rest,
                self._clock,
                self._log,
            )
            for topic, (take, rest) in takes.items()
        }

    def _link(self, upstream: Upstream) -> RankLink:
        # The agent runs on the upstream's own host, at a port that is the
        # same everywhere.
        agent = Address(upstream.address.ip, self._setup.mesh.port)
        return RankLink(agent, self._ports.open_rank(upstream), self._clock)

    def _copy(self, topic: Topic) -> Records | None:
        return self._followers[topic].copy()

    def _take_tables(self, news: News) -> None:
        for record in news.records:
            if record.key != self._ports.configuration_key:
                continue
            if record.content is not None:
                self._take_table(record, news.source)

    def _take_table(self, record: KeyedRecord, source: str) -> None:
        table = self._ports.decode_table(record.content)
        if not isinstance(table, RouteTable):
            self._log.event(BadRecord(record.key, record.offset, table.problem))
            return
        before = self._state.table
        if self._state.apply_table(table):
            self._log.event(
                ConfigurationApplied(
                    table.version,
                    before.version if before else 0,
                    source,
                    sum(len(each) for each in table.routes_by_host.values()),
                    len(table.customers_by_key),
                )
            )

    def _take_upstreams(self, news: News) -> None:
        registered = []
        for record in news.records:
            decoded = self._ports.decode_upstream(record)
            if isinstance(decoded, Registered):
                registered.append(decoded)
            else:
                self._log.event(
                    BadRecord(record.key, record.offset, decoded.problem)
                )
        now = self._clock.elapsed()

        if news.whole:
            before = self._state.change_upstreams(
                lambda known: known.take_whole(
                    registered, news.end, outage=news.after_outage, now=now
                )
            )
        else:
            before = self._state.change_upstreams(
                lambda known: known.take(registered, news.end)
            )
        self._log_upstreams(before, news)

    def _log_upstreams(self, before: Any, news: News) -> None:
        old = _ready(before)
        new = _ready(self._state.upstreams)
        if old != new:
            self._log.event(
                UpstreamsChanged(
                    news.source,
                    news.end,
                    tuple(sorted(new - old)),
                    tuple(sorted(old - new)),
                )
            )

    def _limits(self) -> CallerLimits:
        table = self._state.table
        return table.limits if table else _FIRST_LIMITS

    def _is_ready(self) -> bool:
        known = self._state.table is not None and self._state.upstreams.end > 0
        return known and not self._stop.is_set()

    def _answer_readiness(self) -> None:
        pool = ThreadPoolExecutor(4, 'readiness')
        listener = _listen(self._setup.readiness)
        while True:
            sock, _peer = listener.accept()
            pool.submit(guarded, lambda sock=sock: self._say_ready(sock))

    def _say_ready(self, sock: socket.socket) -> None:
        connection = self._connection(sock)
        try:
            asked = connection.read_request()
            while not isinstance(asked, BadRequest | CallerGone):
                connection.answer(200 if self._is_ready() else 503, (), b'')
                if not connection.reusable:
                    return
                asked = connection.read_request()
        finally:
            connection.close()

    def _accept_callers(self) -> None:
        pool = ThreadPoolExecutor(_MOST_CONNECTIONS, 'caller')
        listener = _listen(self._setup.front)
        while True:
            sock, _peer = listener.accept()
            pool.submit(guarded, lambda sock=sock: self._serve(sock))

    def _serve(self, sock: socket.socket) -> None:
        connection = self._connection(sock)
        try:
            while self._serve_one(connection):
                continue
        finally:
            connection.close()

    def _serve_one(self, connection: CallerConnection) -> bool:
        asked = connection.read_request()
        match asked:
            case CallerGone():
                return False
            case BadRequest(status, _problem):
                close = ((b'Connection', b'close'),)
                connection.answer(status, close, b'')
                return False
        self._count(1)
        try:
            return Relay(self._tools, connection, asked).run()
        finally:
            self._count(-1)

    def _connection(self, sock: socket.socket) -> CallerConnection:
        return CallerConnection(
            sock, self._limits, self._closing.is_set, self._clock
        )

    def _count(self, change: int) -> None:
        with self._open_lock:
            self._open += change

    def _drain(self) -> None:
        """Stop in an order that loses no request.

        First the platform is told, while callers that do not know yet are
        still served; then idle connections are closed and the rest finishes.
        """
        self._log.event(Stopping(self._open))
        self._mesh.leave()
        since = self._clock.elapsed()
        most = self._setup.stop_within * _USE_OF_STOP
        pause = threading.Event()
        while self._clock.elapsed() - since < most:
            pause.wait(_STOP_LOOK_S)
            waited = self._clock.elapsed() - since
            if waited < NOTICE:
                continue
            if not self._closing.is_set():
                self._closing.set()
                pause.wait(_STOP_LOOK_S)
            elif not self._open:
                break
        waited = self._clock.elapsed() - since
        self._log.event(Stopped(self._open, waited))
        pause.wait(_STOP_LOOK_S)

    def _on_stop(self, _number: int, _frame: object) -> None:
        self._stop.set()

    def _on_reload(self, _number: int, _frame: object) -> None:
        in_background(lambda: guarded(self._reload), 'reload')

    def _reload(self) -> None:
        # Addresses stay as they are while the process runs; what may change
        # is whom to tell first.
        changed = self._ports.reload() != self._setup
        self._log.event(SettingsReloaded(changed))


def _listen(address: Address) -> socket.socket:
    return socket.create_server(
        (address.ip, address.port), backlog=_BACKLOG, reuse_port=False
    )


def _ready(upstreams: Any) -> set[str]:
    return {
        each.instance
        for each in upstreams.records.values()
        if each.upstream is not None and not each.upstream.draining
    }
