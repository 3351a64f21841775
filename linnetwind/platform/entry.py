"""Wires the gateway to the platform."""

from linnetwind.clock import SystemClock
from linnetwind.gateway_daemon import GatewayDaemon, GatewayPorts, GatewaySetup
from linnetwind.gateway_feeds import FeedPorts
from linnetwind.platform.formats import (
    CONFIGURATION_KEY,
    decode_table,
    decode_upstream,
)
from linnetwind.platform.headers import PlatformDialect
from linnetwind.platform.rank_client import RankClient
from linnetwind.platform.settings import HostSettings, read_settings
from linnetwind.platform.store_client import StoreClient
from linnetwind.step_log import stdout_log
from linnetwind.upstream_list import Address


def run_entry() -> None:
    """Run the gateway until it is told to stop."""
    settings = read_settings()
    clock = SystemClock()
    ports = GatewayPorts(
        dialect=PlatformDialect(),
        feeds=FeedPorts(
            open_store=lambda: StoreClient(settings.store),
            configuration_key=CONFIGURATION_KEY,
            decode_table=decode_table,
            decode_upstream=decode_upstream,
        ),
        open_rank=lambda upstream: RankClient(upstream.address),
        reload=lambda: _setup(read_settings()),
    )
    log = stdout_log(settings.name, clock)
    GatewayDaemon(_setup(settings), ports, clock, log).run()


def _setup(settings: HostSettings) -> GatewaySetup:
    return GatewaySetup(
        name=settings.name,
        site=settings.site,
        front=settings.front,
        readiness=settings.readiness,
        mesh=Address(settings.ip, settings.first_port),
        seeds=settings.seeds,
        stop_within=settings.stop_within,
        repeats=settings.repeats,
    )
