"""The platform's configurations, as our types."""

from datetime import timedelta
from types import MappingProxyType
from typing import Annotated, Literal

from msgspec import Meta, Struct
from msgspec.json import Decoder

from linnetwind.bad_format import BadFormat
from linnetwind.platform.decoding import (
    Count,
    Figure,
    Milliseconds,
    PositiveFigure,
    Text,
    Timeout,
    Whole,
    decode_json,
)
from linnetwind.routes import (
    CallerLimits,
    EngineFigures,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    WeightedService,
    order_routes,
)

# The key of the newest configuration in the operator's topic.
CONFIGURATION_KEY = 'config'

_KINDS = MappingProxyType(
    {
        'idempotent': RouteKind.IDEMPOTENT,
        'non_idempotent': RouteKind.RUN_ONCE,
        'streaming': RouteKind.STREAM,
    }
)
_BITS_PER_MEGABYTE = 8_000_000
_BITS_PER_MEGABIT_MS = 1_000
_PER_THOUSAND = 1_000
_USUAL_GAP_MS = 1_000


class _Share(Struct):
    service: Text
    weight: Figure


class _Route(Struct, rename='camel'):
    name: Text
    host: Text
    path_prefix: Annotated[str, Meta(pattern='^/')]
    kind: Literal['idempotent', 'non_idempotent', 'streaming']
    timeout_ms: Timeout
    target_latency_ms: Milliseconds
    target_gap_ms: Milliseconds | None = None
    priority: Whole | None = None
    service: Text | None = None
    traffic_split: tuple[_Share, ...] | None = None
    max_attempts: Whole | None = None
    anonymous: bool | None = None
    stream_resume: bool | None = None


class _Limits(Struct, rename='camel'):
    header_bytes: Count
    max_body_bytes: Whole
    header_timeout_ms: Timeout
    idle_timeout_ms: Timeout


class _Tenant(Struct, rename='camel'):
    name: Text
    api_keys: tuple[str, ...]
    priority: Whole | None = None


class _Engine(
    Struct,
    rename={
        'memory_tokens': 'kvTokenCapacity',
        'steps_per_pass': 'stride',
        'sequence_ms': 'per_seq_ms',
        'context_ms': 'context_per_k',
        'layers': 'sets',
        'slots_per_rank': 'placements',
        'new_experts': 'spare',
        'expert_mb': 'expertMb',
        'expert_share': 'expertShare',
        'link_mbps': 'linkMbps',
    },
):
    slots: Count
    memory_tokens: Count
    step_ms: Figure
    sequence_ms: Figure
    read_per_s: PositiveFigure
    steps_per_pass: Whole | None = None
    context_ms: Figure | None = None
    chunk: Whole | None = None
    expert_share: Figure | None = None
    layers: Whole | None = None
    experts: Whole | None = None
    slots_per_rank: Whole | None = None
    new_experts: Whole | None = None
    expert_mb: Figure | None = None
    link_mbps: Figure | None = None
    form_ms: Figure | None = None


class _Service(Struct, rename='camel'):
    name: Text
    health_check: str | None = None
    max_connections: Whole | None = None
    engine: _Engine | None = None


class _Table(Struct):
    version: Whole
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits
    tenants: tuple[_Tenant, ...] | None = None


_DECODER = Decoder(_Table)


def decode_table(content: bytes) -> RouteTable | BadFormat:
    """Decode a configuration.

    Args:
      content: The value of the operator's record, JSON.

    Returns:
      The configuration, or what is wrong with it.
    """
    table = decode_json(content, _DECODER)
    if isinstance(table, BadFormat):
        return table
    return _find_unserved(table) or _table(table)


def _find_unserved(table: _Table) -> BadFormat | None:
    """Return the first route that leads to no service."""
    for index, route in enumerate(table.routes):
        if route.traffic_split:
            if not sum(share.weight for share in route.traffic_split):
                where = f'routes[{index}].trafficSplit'
                return BadFormat(where, 'has no weight above 0')
        elif route.service is None:
            return BadFormat(f'routes[{index}].service', 'is missing')
    return None


def _table(table: _Table) -> RouteTable:
    services = [_service(each) for each in table.services]
    customers = table.tenants or ()
    return RouteTable(
        version=table.version,
        routes_by_host=order_routes([_route(each) for each in table.routes]),
        services={each.name: each for each in services},
        limits=CallerLimits(
            head_bytes=table.limits.header_bytes,
            body_bytes=table.limits.max_body_bytes,
            head_timeout=_milliseconds(table.limits.header_timeout_ms),
            idle_timeout=_milliseconds(table.limits.idle_timeout_ms),
        ),
        customers_by_key={
            key: each.name for each in customers for key in each.api_keys
        },
        priorities={
            each.name: each.priority
            for each in customers
            if each.priority is not None
        },
    )


def _route(route: _Route) -> Route:
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_KINDS[route.kind],
        timeout=_milliseconds(route.timeout_ms),
        target=_milliseconds(route.target_latency_ms),
        gap=_milliseconds(route.target_gap_ms or _USUAL_GAP_MS),
        priority=route.priority or 0,
        services=_split(route),
        max_attempts=route.max_attempts or 1,
        anonymous=bool(route.anonymous),
        resumable=bool(route.stream_resume),
    )


def _split(route: _Route) -> tuple[WeightedService, ...]:
    if route.traffic_split:
        return tuple(
            WeightedService(each.service, each.weight)
            for each in route.traffic_split
        )
    return (WeightedService(route.service, 1),)


def _service(service: _Service) -> RoutedService:
    engine = service.engine
    return RoutedService(
        name=service.name,
        health_path=service.health_check or '',
        max_connections=service.max_connections or 0,
        engine=None if engine is None else _engine(engine),
    )


def _engine(engine: _Engine) -> EngineFigures:
    megabytes = engine.expert_mb or 0
    copied_bits = megabytes * _BITS_PER_MEGABYTE
    link = (engine.link_mbps or 1) * _BITS_PER_MEGABIT_MS
    return EngineFigures(
        slots=engine.slots,
        memory_tokens=engine.memory_tokens,
        steps_per_pass=engine.steps_per_pass or 1,
        step_ms=engine.step_ms,
        sequence_ms=engine.sequence_ms,
        context_ms=engine.context_ms or 0,
        tokens_per_ms=engine.read_per_s / _PER_THOUSAND,
        chunk=engine.chunk or 1,
        expert_share=engine.expert_share or 0,
        layers=engine.layers or 0,
        experts=engine.experts or 0,
        slots_per_rank=engine.slots_per_rank or 0,
        new_experts=engine.new_experts or 0,
        expert_gb=megabytes / _PER_THOUSAND,
        copy_ms=copied_bits / link,
        form_ms=engine.form_ms or 0,
    )


def _milliseconds(found: float) -> timedelta:
    return timedelta(milliseconds=found)
