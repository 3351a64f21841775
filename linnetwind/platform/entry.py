"""Builds the gateway daemon with the platform's adapters."""

import socket

from linnetwind.address import Address
from linnetwind.clock import SystemClock
from linnetwind.event_log import stdout_log
from linnetwind.gateway_daemon import GatewayDaemon
from linnetwind.gateway_feeds import FeedPorts
from linnetwind.gateway_setup import GatewayPorts, GatewaySetup
from linnetwind.platform.headers import PlatformDialect
from linnetwind.platform.rank_client import REMOTE_TIMEOUT, RankClient
from linnetwind.platform.settings import HostSettings, read_settings
from linnetwind.platform.store_client import StoreClient
from linnetwind.platform.table_format import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    decode_table,
)
from linnetwind.platform.upstream_format import decode_upstream


def run_entry(metrics_port: int, front: socket.socket) -> None:
    """Run the gateway until it is stopped.

    Args:
      metrics_port: The port on which metrics are served, as in the deploy file.
      front: The listening socket for callers' connections.
    """
    settings = read_settings()
    clock = SystemClock()
    log = stdout_log(settings.name, clock)
    ports = GatewayPorts(
        dialect=PlatformDialect(),
        feeds=FeedPorts(
            open_store=lambda: StoreClient(settings.store),
            configuration_key=CONFIGURATION_KEY,
            decode_table=decode_table,
            decode_upstream=decode_upstream,
            evacuation_prefix=EVACUATION_PREFIX,
            site=settings.site,
        ),
        open_rank=lambda upstream: RankClient(
            upstream.address, REMOTE_TIMEOUT, log
        ),
        reload=lambda: _make_setup(read_settings(), metrics_port),
        front=front,
    )
    GatewayDaemon(_make_setup(settings, metrics_port), ports, clock, log).run()


def _make_setup(settings: HostSettings, metrics_port: int) -> GatewaySetup:
    return GatewaySetup(
        name=settings.name,
        site=settings.site,
        front=settings.front,
        readiness=settings.readiness,
        metrics=Address(settings.ip, metrics_port),
        mesh=Address(settings.ip, settings.first_port),
        seeds=settings.seeds,
        stop_within=settings.stop_within,
        retry_terms=settings.retry_terms,
        power=settings.power,
        cold_tolerance=settings.cold_tolerance,
        memory_bytes=settings.memory_bytes,
    )
