"""The process of a gateway: its listeners, signals, and shutdown."""

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
    ConnectionEnded,
)
from linnetwind.caller_service import read_probe, serve_caller
from linnetwind.clock import Clock
from linnetwind.daemon_events import Started, Stopped, Stopping
from linnetwind.daemon_threads import DaemonThreads
from linnetwind.drain_order import FleetDaemon
from linnetwind.event_log import EventLog
from linnetwind.experts.map_planner import MapPlanner
from linnetwind.gateway_events import SettingsReloaded
from linnetwind.gateway_feeds import GatewayFeeds
from linnetwind.gateway_metrics import GatewayMetrics
from linnetwind.gateway_setup import (
    GatewayPorts,
    GatewaySetup,
    make_bytes_in_hand,
    make_idle_connections,
)
from linnetwind.gateway_state import GatewayState
from linnetwind.gateway_stop import make_stop
from linnetwind.group_limit_log import GroupLimitLog
from linnetwind.peer_mesh import MeshSettings, PeerMesh
from linnetwind.quarantine_store import Quarantines, QuarantineStore
from linnetwind.rank_link import RankLink
from linnetwind.request_context import GatewayContext
from linnetwind.routes import CallerLimits
from linnetwind.stop_signals import StopSignals
from linnetwind.upstream_call import open_call
from linnetwind.upstream_log import UpstreamLog
from linnetwind.upstreams.upstream_list import Upstream

# The caller connections that are served at once, with a thread for each.
_MAX_CONNECTIONS = 900
_MAX_PROBES = 4
_STACK_BYTES = 262_144
_BACKLOG = 512
# The interpreter's thread switch interval. A stream's thread waits for the
# interpreter lock after each read and write. With the default of 5 ms, streams
# paused for all of the 0.1 s that another thread computed.
_SWITCH_INTERVAL_S = 0.0005
_SHUTDOWN_POLL_S = 0.05
# How long callers wait in the port's queue for the first configuration and
# upstreams: some callers give up if their request is not read within a second.
_FIRST_STATE_TIMEOUT_MS = 600
_FIRST_STATE_TIMEOUT = timedelta(milliseconds=_FIRST_STATE_TIMEOUT_MS)
_FIRST_STATE_POLL_S = 0.005
# How often the settings file is read.
_SETTINGS_POLL_INTERVAL = timedelta(seconds=2)
# How long the process waits at most for its last log lines to be written: the
# shorter of this time and this fraction of the time until it is killed.
_LOG_FLUSH_TIMEOUT = timedelta(seconds=1)
_LOG_FLUSH_FRACTION = 0.7
_METRICS_TYPE = b'text/plain; version=0.0.4; charset=utf-8'

# The limits of callers before the first configuration.
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
        log: EventLog,
    ) -> None:
        """Open the sockets.

        Args:
          setup: The settings.
          ports: The interfaces to the platform.
          clock: The clock.
          log: The log.
        """
        threading.stack_size(_STACK_BYTES)
        sys.setswitchinterval(_SWITCH_INTERVAL_S)
        self._setup = setup
        self._newest_setup = setup
        self._settings_lock = threading.Lock()
        self._ports = ports
        self._clock = clock
        self._log = log
        self._start_id = uuid.uuid4().hex[:8]
        self._metrics = GatewayMetrics()
        log.observe_with(self._metrics.observe)
        self._threads = DaemonThreads(log)
        self._state = GatewayState(
            clock,
            setup.mesh,
            setup.retry_terms,
            setup.cold_bound,
            seeds=setup.seeds,
        )
        history = self._state.request_history
        UpstreamLog(log).follow(history)
        self._metrics.watch_cold(lambda: history.cold.count)
        self._metrics.watch_ejected(lambda: history.ejections.count)
        self._metrics.watch_prompts(lambda: history.prompts.count)
        self._metrics.watch_streams(self._state.stream_admission.class_states)
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
            FleetDaemon(setup.name, setup.site, stop_time=None),
            lambda: self._state.peer_table,
        )
        self._quarantines = QuarantineStore(
            ports.feeds.open_store(),
            Quarantines(history.crashes, history.prompts),
            self._mesh.leads,
            lambda: self._state.upstreams.era,
            clock,
            log,
        )
        self._idle = make_idle_connections(clock, log)
        self._tools = GatewayContext(
            self._state,
            ports.dialect,
            clock,
            log,
            open_call,
            self._stop,
            advertise_to_peers=self._mesh.advertise_now,
            persist_quarantine=self._quarantines.persist,
            bytes_in_hand=make_bytes_in_hand(setup),
            idle=self._idle,
        )
        self._metrics.watch_connections(
            lambda: self._tools.open_work.connections,
            lambda: self._idle.count,
        )
        self._metrics.watch_bytes(lambda: self._tools.bytes_in_hand.total)

    def run(self) -> None:
        """Serve until SIGTERM, then shut down gracefully."""
        signals = StopSignals()
        setup = self._setup
        self._log.event(
            Started('gateway', str(setup.front), setup.site, self._start_id)
        )
        self._feeds.start(self._threads)
        self._mesh.start(
            self._threads, self._feeds.copy, self._feeds.apply_advertised
        )
        self._threads.repeat_forever(self._poll_settings, 'settings')
        self._threads.repeat_forever(self._quarantines.run_round, 'quarantines')
        self._threads.repeat_forever(self._planner.run_once, 'planner')
        self._threads.repeat_forever(
            GroupLimitLog(self._state.stream_admission, self._log).run_once,
            'group limits',
        )
        self._threads.accept(
            _listen(setup.readiness),
            self._serve_readiness,
            'ready',
            _MAX_PROBES,
        )
        self._threads.accept(
            _listen(setup.metrics),
            self._serve_metrics,
            'metrics',
            _MAX_PROBES,
        )
        self._threads.run_in_thread(self._accept_callers, 'front')
        signals.wait(self._on_reload)
        self._stop.begin()
        self._drain()

    def _link(self, upstream: Upstream) -> RankLink:
        # The rank agent runs on the upstream's host. All rank agents and
        # gateways use the same port.
        agent = Address(upstream.address.ip, self._setup.mesh.port)
        return RankLink(agent, self._ports.open_rank(upstream), self._clock)

    def _limits(self) -> CallerLimits:
        table = self._state.table
        return table.limits if table else _FIRST_LIMITS

    def _accept_callers(self) -> None:
        """Accept callers once the configuration and the upstreams are known.

        Both arrive within 0.02 s of the start unless the store is unavailable.
        Callers in the port's queue that were accepted earlier were rejected,
        and had used up their last retry. The quarantined requests have to be
        read as well, since the first caller may send one of them. If all this
        takes too long, callers are accepted anyway.
        """
        pause = threading.Event()
        until = self._clock.elapsed() + _FIRST_STATE_TIMEOUT
        while not self._has_first_state() and self._clock.elapsed() < until:
            pause.wait(_FIRST_STATE_POLL_S)
        self._threads.accept(
            self._ports.front,
            self._serve_caller,
            'caller',
            _MAX_CONNECTIONS,
            self._idle.make_room,
        )

    def _has_first_state(self) -> bool:
        return self._has_routing_state() and self._quarantines.has_restored

    def _has_routing_state(self) -> bool:
        return self._state.table is not None and self._state.upstreams.end > 0

    def _is_ready(self) -> bool:
        return self._has_routing_state() and self._stop.reports_ready()

    def _serve_readiness(self, sock: socket.socket) -> None:
        connection = self._connection(sock)
        while not isinstance(
            read_probe(connection), BadRequest | ConnectionEnded
        ):
            if self._is_ready():
                status = HTTPStatus.OK
            else:
                status = HTTPStatus.SERVICE_UNAVAILABLE
            connection.answer(status, (), b'')
            if not connection.reusable:
                return

    def _serve_metrics(self, sock: socket.socket) -> None:
        connection = self._connection(sock)
        if isinstance(read_probe(connection), CallerRequest):
            kind = ((b'Content-Type', _METRICS_TYPE),)
            connection.answer(HTTPStatus.OK, kind, self._metrics.render())

    def _serve_caller(self, sock: socket.socket) -> None:
        serve_caller(sock, self._tools, self._limits)

    def _connection(self, sock: socket.socket) -> CallerConnection:
        return CallerConnection(
            sock, self._limits, self._stop.is_draining, self._clock
        )

    def _drain(self) -> None:
        """Shut down in an order that loses no request.

        First the readiness probe fails, while callers are still routed here and
        served. Then new requests are rejected, idle connections are closed, and
        the requests in flight finish. A process that ended as soon as no
        connection was open accepted calls in its last milliseconds, and cut
        them after they had reached their upstream. Therefore it accepts no
        request from the moment at which no connection is open, and ends if none
        is open after that either: a request that was accepted before that
        moment is on a connection that is counted.
        """
        self._log.event(Stopping(self._tools.open_work.requests))
        self._mesh.leave()
        since = self._clock.elapsed()
        pause = threading.Event()
        while not self._stop.is_over():
            pause.wait(_SHUTDOWN_POLL_S)
            if self._stop.may_end() and not self._tools.open_work.connections:
                self._stop.end()
                if not self._tools.open_work.connections:
                    break
        self._stop.end()
        waited = self._clock.elapsed() - since
        self._log.event(Stopped(self._tools.open_work.requests, waited))
        self._log.wait_until_written(
            min(
                _LOG_FLUSH_TIMEOUT, self._stop.time_left() * _LOG_FLUSH_FRACTION
            )
        )

    def _on_reload(self) -> None:
        self._threads.run_in_thread(self._reload, 'reload')

    def _reload(self) -> None:
        changed = self._apply_settings()
        self._log.event(SettingsReloaded(changed))

    def _poll_settings(self) -> timedelta:
        # The settings may change without a signal. If the file cannot be read,
        # that is logged once for each poll.
        self._threads.guarded(self._apply_if_changed, 'settings')
        return _SETTINGS_POLL_INTERVAL

    def _apply_if_changed(self) -> None:
        if self._apply_settings():
            self._log.event(SettingsReloaded(changed=True))

    def _apply_settings(self) -> bool:
        """Read the settings file again; return whether it has changed.

        Only the seeds are applied. A daemon that started with outdated seeds
        would never meet its peers. Its own addresses do not change while the
        process runs.
        """
        with self._settings_lock:
            setup = self._ports.reload()
            before = self._newest_setup
            self._newest_setup = setup
            if setup.seeds != before.seeds:
                self._mesh.replace_seeds(setup.seeds)
        return setup != before


def _listen(address: Address) -> socket.socket:
    return socket.create_server(
        (address.ip, address.port), backlog=_BACKLOG, reuse_port=False
    )
