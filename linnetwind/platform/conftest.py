"""Provides tests with a gateway that uses the platform's dialect."""

from datetime import timedelta

import pytest

from linnetwind.platform.headers import PlatformDialect
from linnetwind.routes import RouteKind, WeightedService
from standins.gateway_fixtures import make_route, make_table
from standins.gateway_harness import GatewayHarness

MODEL = (WeightedService('model', 1),)
# The timeout of the route whose upstream responds too late in tests.
_SHORT_S = 0.2


@pytest.fixture(name='gateway')
def _gateway():
    """Run a gateway that has one route of each kind."""
    table = make_table(
        make_route('idempotent'),
        make_route('once', RouteKind.RUN_ONCE, path_prefix='/once/'),
        make_route(
            'stream',
            RouteKind.STREAM,
            path_prefix='/stream/',
            services=MODEL,
            resumable=True,
        ),
        make_route(
            'fragile',
            RouteKind.STREAM,
            path_prefix='/fragile/',
            services=MODEL,
        ),
        make_route(
            'short', path_prefix='/short/', timeout=timedelta(seconds=_SHORT_S)
        ),
        make_route('open', path_prefix='/open/', anonymous=True),
        keys={'good': 'customer'},
    )
    harness = GatewayHarness(PlatformDialect(), table)
    yield harness
    harness.close()
