"""Decodes the platform's configurations into route tables."""

from datetime import timedelta
from types import MappingProxyType
from typing import Annotated, Literal

from msgspec import UNSET, Meta, Struct, UnsetType
from msgspec.json import Decoder

from linnetwind.bad_format import BadFormat
from linnetwind.platform.decoding import (
    DurationMs,
    NonEmptyText,
    NonNegativeFloat,
    NonNegativeInteger,
    PositiveFloat,
    PositiveInteger,
    TimeoutMs,
    decode_json,
)
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

# The key of the configuration in the operator's topic.
CONFIGURATION_KEY = 'config'
# The key of an evacuation is this prefix and the name of the data centre.
EVACUATION_PREFIX = 'evacuate/'

_KINDS = MappingProxyType(
    {
        'idempotent': RouteKind.IDEMPOTENT,
        'non_idempotent': RouteKind.RUN_ONCE,
        'streaming': RouteKind.STREAM,
    }
)
_BITS_PER_MEGABYTE = 8_000_000
_BITS_PER_MEGABIT_MS = 1_000
_THOUSAND = 1_000
_DEFAULT_TARGET_GAP_MS = 1_000
# One day. A service that needs longer to warm up has other problems, and
# larger numbers overflow `timedelta`.
_MAX_COLD_S = 86_400
_ColdSeconds = Annotated[float, Meta(ge=0, le=_MAX_COLD_S)]


class _WeightedShare(Struct):
    service: NonEmptyText
    weight: NonNegativeFloat


class _Route(Struct, rename='camel'):
    name: NonEmptyText
    host: NonEmptyText
    path_prefix: Annotated[str, Meta(pattern='^/')]
    kind: Literal['idempotent', 'non_idempotent', 'streaming']
    timeout_ms: TimeoutMs
    target_latency_ms: DurationMs
    target_gap_ms: DurationMs | None = None
    priority: NonNegativeInteger | None = None
    service: NonEmptyText | None = None
    traffic_split: tuple[_WeightedShare, ...] | None = None
    max_attempts: NonNegativeInteger | None = None
    anonymous: bool | None = None
    stream_resume: bool | None = None


class _Limits(Struct, rename='camel'):
    header_bytes: PositiveInteger
    max_body_bytes: NonNegativeInteger
    header_timeout_ms: TimeoutMs
    idle_timeout_ms: TimeoutMs


class _Tenant(Struct, rename='camel'):
    name: NonEmptyText
    api_keys: tuple[str, ...]
    priority: NonNegativeInteger | None = None


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
    slots: PositiveInteger
    memory_tokens: PositiveInteger
    step_ms: NonNegativeFloat
    sequence_ms: NonNegativeFloat
    read_per_s: PositiveFloat
    steps_per_pass: NonNegativeInteger | None = None
    context_ms: NonNegativeFloat | None = None
    chunk: NonNegativeInteger | None = None
    expert_share: NonNegativeFloat | None = None
    layers: NonNegativeInteger | None = None
    experts: NonNegativeInteger | None = None
    slots_per_rank: NonNegativeInteger | None = None
    new_experts: NonNegativeInteger | None = None
    expert_mb: NonNegativeFloat | None = None
    link_mbps: NonNegativeFloat | None = None
    form_ms: NonNegativeFloat | None = None


class _Service(Struct, rename='camel'):
    name: NonEmptyText
    health_check: str | None = None
    max_connections: NonNegativeInteger | None = None
    engine: _Engine | None = None
    cold_s: _ColdSeconds | None = None
    cold_per_s: NonNegativeFloat | None = None


class _Table(Struct):
    version: NonNegativeInteger
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits
    tenants: tuple[_Tenant, ...] | None | UnsetType = UNSET


_DECODER = Decoder(_Table)


def decode_table(content: bytes) -> RouteTable | BadFormat:
    """Decode a configuration.

    Args:
      content: The JSON value of the operator's record.

    Returns:
      The configuration, or a description of the first error.
    """
    table = decode_json(content, _DECODER)
    if isinstance(table, BadFormat):
        return table
    return _find_route_without_service(table) or _to_table(table)


def _find_route_without_service(table: _Table) -> BadFormat | None:
    """Return an error for the first route that names no usable service."""
    for index, route in enumerate(table.routes):
        if route.traffic_split:
            if not sum(share.weight for share in route.traffic_split):
                where = f'routes[{index}].trafficSplit'
                return BadFormat(where, 'has no weight above 0')
        elif route.service is None:
            return BadFormat(f'routes[{index}].service', 'is missing')
    return None


def _to_table(table: _Table) -> RouteTable:
    services = [_to_service(each) for each in table.services]
    # Callers need no key only if the field is absent. With an empty list or
    # null no key is valid, since the last customer has been removed.
    has_customers = table.tenants is not UNSET
    customers = (table.tenants or ()) if has_customers else ()
    return RouteTable(
        version=table.version,
        routes_by_host=order_routes([_to_route(each) for each in table.routes]),
        services={each.name: each for each in services},
        limits=CallerLimits(
            head_bytes=table.limits.header_bytes,
            body_bytes=table.limits.max_body_bytes,
            head_timeout=_to_timedelta(table.limits.header_timeout_ms),
            idle_timeout=_to_timedelta(table.limits.idle_timeout_ms),
        ),
        requires_key=has_customers,
        customers_by_key={
            key: each.name for each in customers for key in each.api_keys
        },
        priorities={
            each.name: each.priority
            for each in customers
            if each.priority is not None
        },
    )


def _to_route(route: _Route) -> Route:
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_KINDS[route.kind],
        timeout=_to_timedelta(route.timeout_ms),
        target=_to_timedelta(route.target_latency_ms),
        gap=_to_timedelta(route.target_gap_ms or _DEFAULT_TARGET_GAP_MS),
        priority=route.priority or 0,
        services=_to_weighted_services(route),
        max_attempts=route.max_attempts or 1,
        anonymous=bool(route.anonymous),
        resumable=bool(route.stream_resume),
    )


def _to_weighted_services(route: _Route) -> tuple[WeightedService, ...]:
    if route.traffic_split:
        return tuple(
            WeightedService(each.service, each.weight)
            for each in route.traffic_split
        )
    return (WeightedService(route.service, 1),)


def _to_service(service: _Service) -> RoutedService:
    engine = service.engine
    return RoutedService(
        name=service.name,
        health_path=service.health_check or '',
        max_connections=service.max_connections or 0,
        engine=None if engine is None else _to_engine(engine),
        cold_time=timedelta(seconds=service.cold_s or 0),
        cold_per_s=service.cold_per_s or 0,
    )


def _to_engine(engine: _Engine) -> EngineProfile:
    megabytes = engine.expert_mb or 0
    expert_bits = megabytes * _BITS_PER_MEGABYTE
    bits_per_ms = (engine.link_mbps or 1) * _BITS_PER_MEGABIT_MS
    return EngineProfile(
        slots=engine.slots,
        memory_tokens=engine.memory_tokens,
        steps_per_pass=engine.steps_per_pass or 1,
        step_ms=engine.step_ms,
        sequence_ms=engine.sequence_ms,
        context_ms=engine.context_ms or 0,
        tokens_per_ms=engine.read_per_s / _THOUSAND,
        chunk=engine.chunk or 1,
        expert_share=engine.expert_share or 0,
        layers=engine.layers or 0,
        experts=engine.experts or 0,
        slots_per_rank=engine.slots_per_rank or 0,
        new_experts=engine.new_experts or 0,
        expert_gb=megabytes / _THOUSAND,
        copy_ms=expert_bits / bits_per_ms,
        form_ms=engine.form_ms or 0,
    )


def _to_timedelta(duration_ms: float) -> timedelta:
    return timedelta(milliseconds=duration_ms)
