"""The entry daemon, which relays HTTP requests of callers to side daemons."""

import random
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from pathlib import Path
from typing import Any

from loguru import logger
from prometheus_client import start_http_server
from result import Err, Ok

from linnetwind.background import guarded, in_background
from linnetwind.clock import SystemClock
from linnetwind.config_fold import ConfigState
from linnetwind.config_merge import effective_base
from linnetwind.dispatch import make_dispatcher
from linnetwind.entry_app import EntryApp
from linnetwind.entry_http import EntryServer
from linnetwind.entry_limits import EntryLimits
from linnetwind.entry_metrics import EntryMetrics
from linnetwind.fleet import Fleet
from linnetwind.hosts_http import host_list_interval
from linnetwind.link import Link
from linnetwind.link_pool import LinkPool
from linnetwind.messages import (
    Challenge,
    ConfigCopy,
    ConfigQuery,
    Leaving,
    LoadReport,
    Shares,
)
from linnetwind.peer_connection import Identity
from linnetwind.platform_clients import make_follower, make_hosts
from linnetwind.settings import EntrySettings

_CONNECT_THREADS = 8
_TICK_SECONDS = 0.05


class EntryDaemon:
    """Builds and connects the components of an entry daemon."""

    def __init__(self, settings: EntrySettings) -> None:
        """Build the components without starting them.

        Args:
          settings: The settings of the daemon.
        """
        self._settings = settings
        self._clock = SystemClock()
        incarnation = uuid.uuid4().hex
        platform = settings.platform
        self._identity = Identity('entry', settings.name, incarnation)
        self._executor = ThreadPoolExecutor(_CONNECT_THREADS, 'connect')
        self._fleet = Fleet(self._clock)
        self._links = LinkPool(
            self._identity,
            settings.site,
            Path(platform.fleet_key_file).read_bytes(),
            self._fleet,
            self._executor,
            self._clock,
            self._handle_message,
        )
        self._hosts = make_hosts(platform)
        self._follower = make_follower(platform, self._clock, incarnation)
        self._metrics = EntryMetrics()
        self._limits = EntryLimits(settings.name, self._links, self._clock)
        self._app = EntryApp(
            self._fleet,
            make_dispatcher(
                settings.site,
                incarnation,
                self._fleet,
                self._links,
                self._clock,
            ),
            self._metrics,
            self._limits.admit,
            self._limits.settle,
        )
        self._stopping = threading.Event()
        self._server = EntryServer(self._app, settings, self._clock)

    def start(self) -> None:
        """Start following the configuration and serving callers."""
        settings = self._settings
        poll = timedelta(seconds=settings.platform.poll_seconds)
        self._follower.listen(self._apply_state)
        start_http_server(
            settings.metrics.port,
            settings.metrics.ip,
            registry=self._metrics.registry,
        )
        in_background(lambda: self._follower.run(poll), 'follower')
        in_background(lambda: self._run_periodic_tasks(poll), 'hosts')
        self._server.start()
        logger.info('entry serves on {}', settings.listen)

    def shut_down(self) -> None:
        """Shut down without aborting requests: see docs/OPERATIONS.md.

        First the readiness check fails, so that the balancer in front sends
        no new requests. Then new requests are refused, and the process ends
        when all responses have been written, or at the drain limit.
        """
        self._app.drain()
        logger.info('draining')
        time.sleep(self._settings.drain_notice_seconds)
        limit = timedelta(seconds=self._settings.drain_limit_seconds)
        self._server.finish(limit)
        self._stopping.set()
        self._follower.stop()
        self._links.close()
        logger.info('drained')

    def _apply_state(self, state: ConfigState) -> None:
        if state.deployment is None:
            return
        base = effective_base(state.deployment, self._settings.site)
        with self._links.lock:
            self._fleet.update_base(base)
        self._metrics.record_revision(state.revision)
        logger.info('configuration revision {} in force', state.revision)

    def _run_periodic_tasks(self, interval: timedelta) -> None:
        next_exchange_at = self._clock.elapsed()
        next_host_read_at = next_exchange_at
        while not self._stopping.is_set():
            now = self._clock.elapsed()
            if now >= next_host_read_at:
                guarded(self._read_hosts)
                next_host_read_at = now + host_list_interval(
                    interval, len(self._fleet.hosts)
                )
            if now >= next_exchange_at:
                guarded(self._limits.exchange)
                guarded(self._query_configuration)
                next_exchange_at = now + interval
            guarded(self._links.maintain)
            self._stopping.wait(_TICK_SECONDS * 2)

    def _read_hosts(self) -> None:
        match self._hosts.read():
            case Ok(hosts):
                with self._links.lock:
                    self._fleet.update_hosts(hosts)
            case Err(failed):
                logger.warning('{}', failed.describe())

    def _query_configuration(self) -> None:
        offset = self._follower.state.next_offset
        for link in self._sample_link():
            link.post(ConfigQuery(offset))

    def _sample_link(self) -> list[Link]:
        # One side daemon per round is enough: the query takes a few bytes,
        # and limits how long a daemon without access to the log keeps an old
        # configuration.
        links = list(self._links.links.values())
        return random.sample(links, min(1, len(links)))

    def _send_newer_configuration(self, link: Link, offset: int) -> None:
        # A side daemon that was started during a log outage has no
        # configuration and no other source for it.
        state = self._follower.state
        if state.revision > 0 and state.next_offset > offset:
            link.post(ConfigCopy(state.next_offset, self._follower.copy()))

    def _handle_message(self, host: str, link: Link, message: Any) -> None:
        match message:
            case LoadReport():
                with self._links.lock:
                    self._fleet.apply_load(message)
            case Leaving(upstreams):
                with self._links.lock:
                    self._fleet.apply_leaving(host, upstreams)
            case Shares():
                self._limits.apply_shares(message)
            case Challenge(config_offset=offset):
                self._send_newer_configuration(link, offset)
            case ConfigCopy(state=state):
                self._follower.adopt(state)
