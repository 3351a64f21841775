"""The published configuration as the gateway uses it: routes and customers."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = 'idempotent'
    RUN_ONCE = 'run once'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its part of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path prefix, and how they are served.

    `timeout` is the longest time that a caller is kept waiting, `target` the
    latency within which an answer counts as on time, `gap` the longest pause
    between two events of a stream that is still on time. `max_attempts` is
    the number of upstreams that may be given one request. `priority` is 0 for
    the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: timedelta
    target: timedelta
    gap: timedelta
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    anonymous: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run at more than one upstream."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """What a service's engines are said to cost, in milliseconds.

    A pass takes `steps_per_pass` token steps. A step takes `step_ms`, and
    `sequence_ms` plus `context_ms` for each 1,000 tokens of context for each
    request that is writing. Prompts are read at `tokens_per_ms`, at most
    `chunk` tokens a step. `expert_share` is the part of the work for tokens
    that is done by experts; there are `layers` sets of `experts` experts, and
    a rank holds `slots_per_rank` of each set. One order to prepare a map may
    bring `new_experts` new experts a set to a rank; copying one, of
    `expert_gb` gigabytes, takes `copy_ms`. A group opens `form_ms` after its
    last rank is back.
    """

    slots: int
    memory_tokens: int
    steps_per_pass: int
    step_ms: float
    sequence_ms: float
    context_ms: float
    tokens_per_ms: float
    chunk: int
    expert_share: float
    layers: int
    experts: int
    slots_per_rank: int
    new_experts: int
    expert_gb: float
    copy_ms: float
    form_ms: float


@dataclass(frozen=True, slots=True)
class RoutedService:
    """A service that routes lead to; `engine` is None for a plain service."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineFigures | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take or stay idle."""

    head_bytes: int
    body_bytes: int
    head_timeout: timedelta
    idle_timeout: timedelta


@dataclass(frozen=True)
class RouteTable:
    """One version of the published configuration.

    `routes_by_host` holds each host's routes with the longest prefix first;
    `customers_by_key` the name of the customer that holds an API key;
    `priorities` the priority of a customer that has one of its own.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, RoutedService]
    limits: CallerLimits
    customers_by_key: Mapping[str, str]
    priorities: Mapping[str, int]


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that begins the path.

    Args:
      table: The configuration.
      host: The value of the Host header, with or without a port.
      path: The request's path, without its query.

    Returns:
      The route, or None.
    """
    name = host.partition(':')[0].lower()
    for route in table.routes_by_host.get(name, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def choose_service(route: Route, point: float) -> str:
    """Return the service for a request, by the weights of the route.

    Args:
      route: The route.
      point: A number from 0 (included) to 1 (excluded), even over requests.

    Returns:
      The service's name.
    """
    whole = sum(each.weight for each in route.services)
    left = point * whole
    for each in route.services:
        left -= each.weight
        if left < 0:
            return each.service
    return route.services[-1].service


def order_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, the longest prefix first.

    Args:
      routes: The routes of a configuration.

    Returns:
      The routes of each host.
    """
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(found, key=_prefix_length, reverse=True))
        for host, found in by_host.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
