"""The gateway's process: listeners, signals, and stopping."""

import socket
import sys
import threading
import uuid
from datetime import timedelta
from http import HTTPStatus

from linnetwind.address import Address
from linnetwind.call_types import CallerRequest
from linnetwind.caller_connection import (
    BadRequest,
    CallerConnection,
    CallerGone,
)
from linnetwind.caller_service import serve_caller
from linnetwind.clock import Clock
from linnetwind.daemon_events import Started, Stopped, Stopping
from linnetwind.daemon_threads import DaemonThreads
from linnetwind.gateway_events import SettingsReloaded
from linnetwind.gateway_feeds import GatewayFeeds
from linnetwind.gateway_metrics import GatewayMetrics
from linnetwind.gateway_setup import GatewayPorts, GatewaySetup
from linnetwind.gateway_state import GatewayState
from linnetwind.gateway_stop import make_stop
from linnetwind.journey import GatewayTools
from linnetwind.map_planner import MapPlanner
from linnetwind.peer_mesh import MeshSettings, PeerMesh
from linnetwind.quarantine_keeper import QuarantineKeeper
from linnetwind.rank_link import RankLink
from linnetwind.routes import CallerLimits
from linnetwind.step_log import StepLog
from linnetwind.stop_signals import StopSignals
from linnetwind.stop_turns import Host
from linnetwind.upstream_call import open_call
from linnetwind.upstream_list import Upstream

# Connections that are served at once; each has a thread.
_MOST_CONNECTIONS = 900
_MOST_QUESTIONS = 4
_STACK_BYTES = 262_144
_BACKLOG = 512
# How long a thread computes before others get their turn. A stream's thread
# waits for its turn after each read and write; at the interpreter's usual
# 5 ms, streams passed on beside a thread that computes for 0.1 s paused for
# all of it.
_TURN_S = 0.0005
_STOP_LOOK_S = 0.05
# How long callers wait for the first configuration: some give up a request
# that is not read within a second.
_FIRST_NEWS_MS = 600
_FIRST_NEWS = timedelta(milliseconds=_FIRST_NEWS_MS)
_FIRST_LOOK_S = 0.005
# How long the last lines of the log may take, and the part for them of the
# time until the process is killed.
_LAST_LINES = timedelta(seconds=1)
_USE_OF_TIME_LEFT = 0.7
_METRICS_TYPE = b'text/plain; version=0.0.4; charset=utf-8'

# Limits before the first configuration.
_FIRST_HEAD_BYTES = 16_384
_FIRST_BODY_BYTES = 4_194_304
_FIRST_IDLE_S = 15
_FIRST_LIMITS = CallerLimits(
    head_bytes=_FIRST_HEAD_BYTES,
    body_bytes=_FIRST_BODY_BYTES,
    head_timeout=timedelta(seconds=3),
    idle_timeout=timedelta(seconds=_FIRST_IDLE_S),
)


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
        sys.setswitchinterval(_TURN_S)
        self._setup = setup
        self._ports = ports
        self._clock = clock
        self._log = log
        self._start_id = uuid.uuid4().hex[:8]
        self._metrics = GatewayMetrics()
        log.observe_by(self._metrics.observe)
        self._threads = DaemonThreads(log)
        self._state = GatewayState(clock, setup.mesh, setup.repeats)
        mesh = MeshSettings(
            setup.name,
            setup.site,
            self._start_id,
            setup.mesh,
            setup.seeds,
            setup.power,
        )
        self._mesh = PeerMesh(mesh, self._state, clock)
        self._feeds = GatewayFeeds(
            ports.feeds, self._state, self._mesh, clock, log
        )
        self._planner = MapPlanner(
            self._state, self._mesh, self._link, clock, log
        )
        self._stop = make_stop(
            clock,
            setup.stop_within,
            Host(setup.name, setup.site, stop_time=None),
            lambda: self._state.peer_table,
        )
        self._quarantines = QuarantineKeeper(
            ports.feeds.open_store(),
            self._state.books.crashes,
            self._mesh.leads,
            lambda: self._state.upstreams.era,
            clock,
            log,
        )
        self._tools = GatewayTools(
            self._state,
            ports.dialect,
            clock,
            log,
            open_call,
            self._stop,
            tell_peers=self._mesh.advertise_now,
            keep_quarantine=self._quarantines.keep,
        )

    def run(self) -> None:
        """Serve until SIGTERM, then stop without cutting a request."""
        signals = StopSignals()
        setup = self._setup
        self._log.event(
            Started('gateway', str(setup.front), setup.site, self._start_id)
        )
        self._feeds.start(self._threads)
        self._mesh.start(self._threads, self._feeds.copy)
        self._threads.for_ever(self._quarantines.keep_once, 'quarantines')
        self._threads.for_ever(self._planner.run_once, 'planner')
        self._threads.accept(
            _listen(setup.readiness), self._say_ready, 'ready', _MOST_QUESTIONS
        )
        self._threads.accept(
            _listen(setup.metrics),
            self._say_metrics,
            'metrics',
            _MOST_QUESTIONS,
        )
        self._threads.once(self._take_callers, 'front')
        signals.wait(self._on_reload)
        self._stop.begin()
        self._drain()

    def _link(self, upstream: Upstream) -> RankLink:
        # The agent runs on the upstream's own host, at a port that is the
        # same everywhere.
        agent = Address(upstream.address.ip, self._setup.mesh.port)
        return RankLink(agent, self._ports.open_rank(upstream), self._clock)

    def _limits(self) -> CallerLimits:
        table = self._state.table
        return table.limits if table else _FIRST_LIMITS

    def _take_callers(self) -> None:
        """Serve callers as soon as configuration and upstreams are known.

        Both come within 0.02 s of the start, or not soon because the store is
        away. Callers that wait in the port's queue were refused without them,
        and had used their last try. The requests in quarantine are read
        meanwhile: a first caller may send one of them.
        """
        pause = threading.Event()
        until = self._clock.elapsed() + _FIRST_NEWS
        while not self._knows_first() and self._clock.elapsed() < until:
            pause.wait(_FIRST_LOOK_S)
        self._threads.accept(
            self._ports.front, self._serve, 'caller', _MOST_CONNECTIONS
        )

    def _knows_first(self) -> bool:
        return self._knows_all() and self._quarantines.has_read

    def _knows_all(self) -> bool:
        return self._state.table is not None and self._state.upstreams.end > 0

    def _is_ready(self) -> bool:
        return self._knows_all() and self._stop.reports_ready()

    def _say_ready(self, sock: socket.socket) -> None:
        connection = self._connection(sock)
        while not isinstance(
            connection.read_request(), BadRequest | CallerGone
        ):
            if self._is_ready():
                status = HTTPStatus.OK
            else:
                status = HTTPStatus.SERVICE_UNAVAILABLE
            connection.answer(status, (), b'')
            if not connection.reusable:
                return

    def _say_metrics(self, sock: socket.socket) -> None:
        connection = self._connection(sock)
        if isinstance(connection.read_request(), CallerRequest):
            kind = ((b'Content-Type', _METRICS_TYPE),)
            connection.answer(HTTPStatus.OK, kind, self._metrics.render())

    def _serve(self, sock: socket.socket) -> None:
        serve_caller(sock, self._tools, self._limits)

    def _connection(self, sock: socket.socket) -> CallerConnection:
        return CallerConnection(
            sock, self._limits, self._stop.is_draining, self._clock
        )

    def _drain(self) -> None:
        """Stop in an order that loses no request.

        First the platform is told, while callers that do not know yet are
        still served. Then newcomers are refused, idle connections are closed,
        and the rest finishes. A process that ended as soon as nothing was
        open took calls in its last milliseconds and cut them after they had
        reached their upstream. It therefore begins nothing from the moment
        at which no connection is open, and ends if then, still, none is: what
        was begun before that moment is on a connection that is counted.
        """
        self._log.event(Stopping(self._tools.open_work.requests))
        self._mesh.leave()
        since = self._clock.elapsed()
        pause = threading.Event()
        while not self._stop.is_over():
            pause.wait(_STOP_LOOK_S)
            if self._stop.may_end() and not self._tools.open_work.connections:
                self._stop.end()
                if not self._tools.open_work.connections:
                    break
        self._stop.end()
        waited = self._clock.elapsed() - since
        self._log.event(Stopped(self._tools.open_work.requests, waited))
        self._log.finish(
            min(_LAST_LINES, self._stop.time_left() * _USE_OF_TIME_LEFT)
        )

    def _on_reload(self) -> None:
        self._threads.once(self._reload, 'reload')

    def _reload(self) -> None:
        # Addresses stay as they are while the process runs, so there is
        # nothing to take over; that the file was read is logged.
        changed = self._ports.reload() != self._setup
        self._log.event(SettingsReloaded(changed))


def _listen(address: Address) -> socket.socket:
    return socket.create_server(
        (address.ip, address.port), backlog=_BACKLOG, reuse_port=False
    )
