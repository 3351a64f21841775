"""Routes, tables and upstreams for tests of the gateway."""

from collections.abc import Mapping
from dataclasses import replace
from datetime import timedelta

from linnetwind.address import Address
from linnetwind.peers.peer_table import PeerState
from linnetwind.rank_types import RankReport
from linnetwind.routes import (
    CallerLimits,
    EngineProfile,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    WeightedService,
    order_routes,
)
from linnetwind.upstreams.evacuation import Evacuation
from linnetwind.upstreams.upstream_list import Upstream

SECOND = timedelta(seconds=1)
MS = timedelta(milliseconds=1)


def make_engine(**changes):
    """Return figures of an engine with 16 ranks' usual costs."""
    figures = {
        'slots': 6,
        'memory_tokens': 140_000,
        'steps_per_pass': 4,
        'step_ms': 4.55,
        'sequence_ms': 1.81,
        'context_ms': 0.0366,
        'tokens_per_ms': 61.4,
        'chunk': 512,
        'expert_share': 0.85,
        'layers': 4,
        'experts': 64,
        'slots_per_rank': 5,
        'new_experts': 2,
        'expert_gb': 2.5,
        'copy_ms': 111.0,
        'form_ms': 600.0,
    }
    return EngineProfile(**{**figures, **changes})


def make_route(name, kind=RouteKind.IDEMPOTENT, **changes):
    """Return a route of host a.example to service `plain`."""
    fields = {
        'host': 'a.example',
        'path_prefix': '/x/',
        'timeout': 8 * SECOND,
        'target': SECOND / 2,
        'gap': 120 * MS,
        'priority': 1,
        'services': (WeightedService('plain', 1),),
        'max_attempts': 2,
        'anonymous': False,
        'resumable': False,
    }
    return Route(name=name, kind=kind, **{**fields, **changes})


def make_table(
    *routes: Route, keys: Mapping[str, str] | None = None, version: int = 1
) -> RouteTable:
    """Return a configuration with a plain and a model service.

    Requests need a key if `keys` is given, even if it is empty.
    """
    services = (
        RoutedService('plain', '/health', 96, None),
        RoutedService('model', '/health', 248, make_engine()),
    )
    return RouteTable(
        version=version,
        routes_by_host=order_routes(list(routes)),
        services={each.name: each for each in services},
        limits=CallerLimits(16_384, 65_536, SECOND, 2 * SECOND),
        requires_key=keys is not None,
        customers_by_key=keys or {},
        priorities={},
    )


def make_report(**changes):
    """Return the report of rank 0 of an idle group of two."""
    report = RankReport(
        group='g',
        rank=0,
        size=2,
        epoch=1,
        is_open=True,
        step=5,
        sequence=1,
        is_copying=False,
        map_version=0,
        prepared=None,
        armed=None,
        armed_step=None,
        held=None,
        pace=1.0,
        running=0,
        waiting=0,
    )
    return replace(report, **changes)


def make_upstream(instance, port=80, service='plain', **changes):
    """Return an upstream on the loopback interface."""
    fields = {
        'address': Address('127.0.0.1', port),
        'site': 'site',
        'slots': 6,
        'draining': False,
        'cold': timedelta(),
    }
    return Upstream(instance, service, **{**fields, **changes})


def make_peer(name, **changes):
    """Return the state of a peer that serves nothing yet."""
    fields = {
        'start_id': 'one',
        'counter': 1,
        'address': Address('10.0.0.2', 7),
        'config_version': 1,
        'leaving': False,
        'can_plan': True,
        'running': {},
        'members': (),
        'groups': (),
    }
    return PeerState(name=name, **{**fields, **changes})


def evacuate(state, site, *, offset=0, active=True):
    """Apply an evacuation, or its cancellation, to the state of a gateway."""
    decision = Evacuation(site, active, offset)
    state.change_upstreams(
        lambda known: known.replace_evacuations(
            known.evacuations.fold_records([decision])
        )
    )
