"""The platform's records of configuration and upstreams, as our types."""

import json
from dataclasses import dataclass
from datetime import timedelta
from types import MappingProxyType
from typing import Any

from linnetwind.address import parse_address
from linnetwind.record_store import KeyedRecord
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
from linnetwind.upstream_list import Registered, Upstream

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
# What reading a record of another shape raises.
_BAD_FORMAT = (ValueError, KeyError, TypeError, AttributeError)
_USUAL_GAP = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class FormatError:
    """A record that is not in the platform's format."""

    key: str
    problem: str


def decode_table(content: bytes) -> RouteTable | FormatError:
    """Decode a configuration.

    Args:
      content: The value of the operator's record, JSON.

    Returns:
      The configuration, or what is wrong with it.
    """
    try:
        return _table(json.loads(content))
    except _BAD_FORMAT as error:
        return FormatError(CONFIGURATION_KEY, repr(error))


def decode_upstream(record: KeyedRecord) -> Registered | FormatError:
    """Decode an upstream's entry.

    Args:
      record: A record of the upstreams' topic.

    Returns:
      The entry, or what is wrong with it.
    """
    if not record.content:
        return Registered(record.key, record.offset, None)
    try:
        upstream = _upstream(record.key, json.loads(record.content))
    except _BAD_FORMAT as error:
        return FormatError(record.key, repr(error))
    return Registered(record.key, record.offset, upstream)


def _upstream(instance: str, fields: dict[str, Any]) -> Upstream:
    return Upstream(
        instance=instance,
        service=fields['service'],
        address=parse_address(fields['address']),
        site=fields.get('zone', ''),
        slots=int(fields.get('slots', 1)),
        draining=fields.get('state') == 'draining',
        cold=timedelta(milliseconds=fields.get('coldRemainingMs') or 0),
        born_ms=fields.get('born'),
    )


def _table(fields: dict[str, Any]) -> RouteTable:
    services = [_service(each) for each in fields['services']]
    customers = fields.get('tenants') or []
    return RouteTable(
        version=int(fields['version']),
        routes_by_host=order_routes(
            [_route(each) for each in fields['routes']]
        ),
        services={each.name: each for each in services},
        limits=_limits(fields['limits']),
        customers_by_key={
            key: each['name'] for each in customers for key in each['apiKeys']
        },
        priorities={
            each['name']: int(each['priority'])
            for each in customers
            if each.get('priority') is not None
        },
    )


def _route(fields: dict[str, Any]) -> Route:
    return Route(
        name=fields['name'],
        host=fields['host'],
        path_prefix=fields['pathPrefix'],
        kind=_KINDS.get(fields['kind'], RouteKind.RUN_ONCE),
        timeout=timedelta(milliseconds=fields['timeoutMs']),
        target=timedelta(milliseconds=fields['targetLatencyMs']),
        gap=_milliseconds(fields.get('targetGapMs')) or _USUAL_GAP,
        priority=int(fields.get('priority') or 0),
        services=_split(fields),
        max_attempts=int(fields.get('maxAttempts') or 1),
        anonymous=bool(fields.get('anonymous')),
        resumable=bool(fields.get('streamResume')),
    )


def _split(fields: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = fields.get('trafficSplit')
    if split:
        return tuple(
            WeightedService(each['service'], float(each['weight']))
            for each in split
        )
    return (WeightedService(fields['service'], 1),)


def _limits(fields: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        head_bytes=int(fields['headerBytes']),
        body_bytes=int(fields['maxBodyBytes']),
        head_timeout=timedelta(milliseconds=fields['headerTimeoutMs']),
        idle_timeout=timedelta(milliseconds=fields['idleTimeoutMs']),
    )


def _service(fields: dict[str, Any]) -> RoutedService:
    engine = fields.get('engine')
    return RoutedService(
        name=fields['name'],
        health_path=fields.get('healthCheck', ''),
        max_connections=int(fields.get('maxConnections') or 0),
        engine=_engine(engine) if engine else None,
    )


def _engine(fields: dict[str, Any]) -> EngineFigures:
    megabytes = float(fields.get('expertMb') or 0)
    copied_bits = megabytes * _BITS_PER_MEGABYTE
    link = float(fields.get('linkMbps') or 1) * _BITS_PER_MEGABIT_MS
    return EngineFigures(
        slots=int(fields['slots']),
        memory_tokens=int(fields['kvTokenCapacity']),
        steps_per_pass=int(fields.get('stride') or 1),
        step_ms=float(fields['step_ms']),
        sequence_ms=float(fields['per_seq_ms']),
        context_ms=float(fields.get('context_per_k') or 0),
        tokens_per_ms=float(fields['read_per_s']) / _PER_THOUSAND,
        chunk=int(fields.get('chunk') or 1),
        expert_share=float(fields.get('expertShare') or 0),
        layers=int(fields.get('sets') or 0),
        experts=int(fields.get('experts') or 0),
        slots_per_rank=int(fields.get('placements') or 0),
        new_experts=int(fields.get('spare') or 0),
        expert_gb=megabytes / _PER_THOUSAND,
        copy_ms=copied_bits / link,
        form_ms=float(fields.get('form_ms') or 0),
    )


def _milliseconds(found: float | None) -> timedelta | None:
    return None if found is None else timedelta(milliseconds=found)
