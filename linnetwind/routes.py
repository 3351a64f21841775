"""The routing table of a gateway: routes, services and customers."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

# Routes of this priority and all less urgent ones count as one.
_ROUTE_PRIORITIES = 10


class RouteKind(enum.Enum):
    """How requests of a route may be retried."""

    IDEMPOTENT = 'idempotent'
    RUN_ONCE = 'run once'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests to one host below one path prefix.

    `timeout` is the longest time that a caller waits, `target` the latency
    within which a response counts as on time, `gap` the longest pause between
    two events of a stream that still counts as on time. `max_attempts` is the
    number of upstreams to which one request may be sent. `priority` is 0 for
    the most urgent requests.
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
    def is_retryable(self) -> bool:
        """Return whether a request may be run by more than one upstream."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """The configured capacity and costs of a service's engines.

    A pass consists of `steps_per_pass` token steps. A step takes `step_ms`
    and, for each request that is generating tokens, `sequence_ms` plus
    `context_ms` per 1,000 tokens of its context. Prompts are processed at
    `tokens_per_ms`, at most `chunk` tokens per step. `expert_share` is the
    fraction of the work per token that experts do. There are `layers` sets of
    `experts` experts, and a rank holds `slots_per_rank` of each set. One order
    to prepare a map may load at most `new_experts` new experts per set onto a
    rank; copying one expert of `expert_gb` gigabytes takes `copy_ms`. A group
    opens `form_ms` after its last rank has returned.
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
    """A service that routes refer to; `engine` is None for a plain service.

    An upstream is cold for `cold_time` after its start. While it is cold, it
    handles `cold_per_s` requests a second. Zero means no such limit.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None
    cold_time: timedelta = timedelta()
    cold_per_s: float = 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of a caller's requests."""

    head_bytes: int
    body_bytes: int
    head_timeout: timedelta
    idle_timeout: timedelta


@dataclass(frozen=True)
class RouteTable:
    """One version of the published configuration.

    `routes_by_host` holds each host's routes, the longest prefix first.
    `requires_key` says whether requests need an API key, except on anonymous
    routes; it may be true while no key is valid. `customers_by_key` maps an API
    key to its customer's name. `priorities` maps customers that have a priority
    of their own to it.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, RoutedService]
    limits: CallerLimits
    requires_key: bool
    customers_by_key: Mapping[str, str]
    priorities: Mapping[str, int]


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that matches the path.

    Args:
      table: The configuration.
      host: The value of the Host header, with or without a port.
      path: The request's path, without its query.

    Returns:
      The route, or None if no route matches.
    """
    name = host.partition(':')[0].lower()
    for route in table.routes_by_host.get(name, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def request_priority(
    table: RouteTable, route: Route, customer: str | None
) -> int:
    """Return the priority of a request.

    A customer's priority takes precedence over the route's, which decides among
    the requests of customers of the same priority. If it were left out, batch
    and urgent requests of such customers would be served alike.

    Args:
      table: The configuration.
      route: The request's route.
      customer: The name of its customer, None for an anonymous caller.

    Returns:
      A number that sorts by the customer's priority, or the route's for a
      customer without one, and then by the route's.
    """
    first = table.priorities.get(customer or '', route.priority)
    return first * _ROUTE_PRIORITIES + min(
        route.priority, _ROUTE_PRIORITIES - 1
    )


def choose_service(route: Route, point: float) -> str:
    """Choose the service for a request by the weights of the route.

    Args:
      route: The route.
      point: A number from the uniform distribution over [0, 1).

    Returns:
      The service's name.
    """
    total = sum(weighted.weight for weighted in route.services)
    remaining = point * total
    for weighted in route.services:
        remaining -= weighted.weight
        if remaining < 0:
            return weighted.service
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
        host: tuple(sorted(host_routes, key=_prefix_length, reverse=True))
        for host, host_routes in by_host.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
