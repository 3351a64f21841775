"""The side daemon, the only process that sends calls to its upstreams."""

import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from pathlib import Path

from loguru import logger
from prometheus_client import CollectorRegistry, Gauge, start_http_server

from linnetwind.background import guarded, in_background
from linnetwind.call_admission import CallAdmission
from linnetwind.clock import SystemClock
from linnetwind.config import Base, ServiceKind, Upstream
from linnetwind.config_fold import ConfigState
from linnetwind.config_merge import effective_base
from linnetwind.engine_feed import EngineFeed, EngineUpdates
from linnetwind.hosts_http import host_list_interval
from linnetwind.hosts_port import HostState
from linnetwind.keyed_calls import KeyedCalls
from linnetwind.messages import Leaving, LoadReport
from linnetwind.peer_connection import Identity
from linnetwind.platform_clients import (
    make_claim_log,
    make_follower,
    make_hosts,
    make_platform_log,
)
from linnetwind.settings import SideSettings
from linnetwind.shares import ShareAllocator
from linnetwind.side_calls import UpstreamCalls
from linnetwind.side_groups import SideGroups
from linnetwind.side_server import SideHandlers, SideServer

_CALL_THREADS = 256
_INITIAL_CONCURRENCY = 8
_TICK_SECONDS = 0.05
_MIN_REPORT_SECONDS = 0.5
_REPORT_SECONDS_PER_HOST = 0.015
_MS = timedelta(milliseconds=1)
_NO_UPDATES = EngineUpdates()


class SideDaemon:
    """Builds and connects the components of a side daemon."""

    def __init__(self, settings: SideSettings) -> None:
        """Build the components without starting them.

        Args:
          settings: The settings of the daemon.
        """
        self._settings = settings
        self._clock = SystemClock()
        incarnation = uuid.uuid4().hex
        platform = settings.platform
        key = Path(platform.fleet_key_file).read_bytes()
        self._executor = ThreadPoolExecutor(_CALL_THREADS, 'call')
        self._calls = {
            served.name: UpstreamCalls(
                served.address,
                CallAdmission(_INITIAL_CONCURRENCY, self._clock),
                self._executor,
                self._clock,
            )
            for served in settings.upstreams
        }
        self._feeds = {
            served.name: EngineFeed(served.address)
            for served in settings.upstreams
        }
        self._models: frozenset[str] = frozenset()
        self._hosts = make_hosts(platform)
        self._follower = make_follower(platform, self._clock, incarnation)
        self._keyed = KeyedCalls(
            make_claim_log(platform),
            incarnation,
            self._executor,
            self._clock,
        )
        self._groups = SideGroups(
            Identity('peer', settings.name, incarnation),
            key,
            settings.upstreams,
            self._executor,
            self._clock,
            make_platform_log(platform),
        )
        self._registry = CollectorRegistry()
        self._running = Gauge(
            'linnetwind_running',
            'Calls running at an upstream.',
            ['upstream'],
            registry=self._registry,
        )
        self._server = SideServer(
            Identity('side', settings.name, incarnation),
            key,
            self._calls,
            self._follower,
            SideHandlers(
                ShareAllocator(self._clock).apply_demand,
                self._groups.deliver_note,
                self._keyed.handle,
            ),
        )
        self._revision = Gauge(
            'linnetwind_config_revision',
            'The configuration revision in force.',
            registry=self._registry,
        )
        self._draining = False
        self._host_leaving = False
        self._fleet_size = 0
        self._drained: frozenset[str] = frozenset()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start following the configuration and serving entry daemons."""
        settings = self._settings
        poll = timedelta(seconds=settings.platform.poll_seconds)
        self._follower.listen(self._apply_state)
        start_http_server(
            settings.metrics.port, settings.metrics.ip, registry=self._registry
        )
        in_background(lambda: self._follower.run(poll), 'follower')
        in_background(lambda: self._watch_hosts(poll), 'hosts')
        in_background(self._expire_calls, 'deadlines')
        in_background(self._send_reports, 'reports')
        self._server.start(settings.listen)
        logger.info('side serves on {}', settings.listen)

    def shut_down(self) -> None:
        """Refuse new calls, finish the running ones, then stop."""
        self._draining = True
        self._apply_leaving()
        logger.info('draining')
        while any(calls.busy for calls in self._calls.values()):
            time.sleep(_TICK_SECONDS)
        # Entry daemons that send a call at this moment get a refusal, rather
        # than a closed connection, after which they would not know whether
        # the call ran.
        time.sleep(self._settings.drain_notice_seconds)
        while any(calls.busy for calls in self._calls.values()):
            time.sleep(_TICK_SECONDS)
        self._keyed.flush()
        self._stopping.set()
        self._follower.stop()
        self._groups.stop()
        self._server.stop()
        logger.info('drained')

    def _expire_calls(self) -> None:
        while not self._stopping.wait(_TICK_SECONDS):
            for calls in self._calls.values():
                if calls.admission.waiting:
                    guarded(calls.expire)

    def _apply_state(self, state: ConfigState) -> None:
        if state.deployment is None:
            return
        base = effective_base(state.deployment, self._settings.site)
        for upstream in _all_upstreams(base):
            calls = self._calls.get(upstream.name)
            if calls is not None:
                calls.admission.concurrency = upstream.concurrency
        self._models = _model_upstreams(base)
        self._drained = frozenset(base.drained)
        self._apply_leaving()
        self._groups.update_base(base)
        self._revision.set(state.revision)
        logger.info('configuration revision {} in force', state.revision)

    def _watch_hosts(self, poll: timedelta) -> None:
        wait = poll
        while not self._stopping.wait(wait.total_seconds()):
            guarded(self._read_hosts)
            wait = host_list_interval(poll, self._fleet_size)

    def _read_hosts(self) -> None:
        hosts = self._hosts.read().unwrap_or(())
        self._groups.update_hosts(hosts)
        self._fleet_size = max(len(hosts), self._fleet_size)
        for host in hosts:
            if host.name == self._settings.host:
                self._host_leaving = host.state is HostState.LEAVING
                self._apply_leaving()

    def _apply_leaving(self) -> None:
        changed = False
        for name, calls in self._calls.items():
            leaving = (
                self._draining or self._host_leaving or name in self._drained
            )
            if leaving != calls.admission.leaving:
                changed = True
                if leaving:
                    calls.stop_accepting()
                else:
                    calls.resume_accepting()
        if changed:
            self._server.broadcast(Leaving(self._leaving_names()))

    def _leaving_names(self) -> tuple[str, ...]:
        return tuple(
            name
            for name, calls in self._calls.items()
            if calls.admission.leaving
        )

    def _send_reports(self) -> None:
        # Each report costs every entry daemon more than half a millisecond
        # (docs/CAPACITY.md). Hence the interval grows with the fleet, and
        # entry daemons then rely more on their own counts of calls than on
        # reports.
        while not self._stopping.wait(self._report_seconds):
            guarded(self._send_report)

    @property
    def _report_seconds(self) -> float:
        return max(
            _MIN_REPORT_SECONDS, self._fleet_size * _REPORT_SECONDS_PER_HOST
        )

    def _send_report(self) -> None:
        self._keyed.flush()
        for name, calls in self._calls.items():
            admission = calls.admission
            updates = (
                self._feeds[name].updates()
                if name in self._models
                else _NO_UPDATES
            )
            self._running.labels(name).set(admission.running)
            self._server.report(
                LoadReport(
                    name,
                    admission.running,
                    admission.waiting,
                    updates.step_ms,
                    admission.service_time / _MS,
                    0,
                    0,
                    updates.cached,
                    updates.uncached,
                )
            )


def _all_upstreams(base: Base) -> list[Upstream]:
    return [
        upstream for service in base.services for upstream in service.upstreams
    ]


def _model_upstreams(base: Base) -> frozenset[str]:
    return frozenset(
        upstream.name
        for service in base.services
        if service.kind is ServiceKind.MODEL
        for upstream in service.upstreams
    )
