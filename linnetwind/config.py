"""The deployment as operators describe it: a base and an overlay per site.

These are data types only; `config_loader` reads and checks them,
`config_merge` applies an overlay.
"""

import enum
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

_MOST = 1_000_000_000
_SHORTEST_SECONDS = 0.001
_DAY_SECONDS = 86_400
_MOST_LAYERS = 256
_MOST_SLOTS = 64
_MOST_SAMPLED = 64
_LONGEST_HOP_MS = 10_000

Name = Annotated[str, Meta(pattern='^[a-z][a-z0-9-]{0,62}$')]
Digest = Annotated[str, Meta(pattern='^[0-9a-f]{64}$')]
PositiveInt = Annotated[int, Meta(ge=1, le=_MOST)]
Seconds = Annotated[float, Meta(ge=_SHORTEST_SECONDS, le=_DAY_SECONDS)]
Ratio = Annotated[float, Meta(ge=0, le=1)]
Weight = Annotated[float, Meta(ge=0, le=1000)]


class ServiceKind(enum.StrEnum):
    """How callers reach a service."""

    MODEL = 'model'
    PLAIN = 'plain'


@dataclass(frozen=True)
class Site:
    """A data centre and the region that it lies in."""

    name: Name
    region: Name


@dataclass(frozen=True)
class Upstream:
    """One worker or plain server, and the host that it runs on.

    `concurrency` is the number of requests that it serves at once.
    """

    name: Name
    host: Name
    site: Name
    concurrency: PositiveInt = 8


@dataclass(frozen=True)
class CallPattern:
    """Calls by HTTP method and path prefix."""

    method: Annotated[str, Meta(pattern='^[A-Z]+$')]
    path_prefix: Annotated[str, Meta(pattern='^/')]


@dataclass(frozen=True)
class Service:
    """A set of interchangeable upstreams under one name.

    `unrepeatable` lists the calls that may run at most once. Calls of a
    model service may always be repeated until their first token went out.
    """

    name: Name
    kind: ServiceKind
    upstreams: tuple[Upstream, ...]
    timeout_seconds: Seconds = 30.0
    max_body_bytes: PositiveInt = 1_048_576
    unrepeatable: tuple[CallPattern, ...] = ()


@dataclass(frozen=True)
class Customer:
    """Somebody whose requests are limited as one.

    `key_sha256` is the digest of the customer's key; the key itself never
    enters the configuration. `priority` 0 is served first.
    """

    name: Name
    key_sha256: Digest
    requests_per_minute: PositiveInt = 600
    tokens_per_minute: PositiveInt = 600_000
    priority: Annotated[int, Meta(ge=0, le=9)] = 5


@dataclass(frozen=True)
class Placement:
    """How experts are placed in a group.

    `skew_weight` and `cost_weight` price a second of straggling against a
    second of moving weights. `max_moves` bounds the experts moved at once.
    """

    interval_seconds: Seconds = 10.0
    horizon_seconds: Seconds = 120.0
    skew_weight: Weight = 1.0
    cost_weight: Weight = 1.0
    max_moves: PositiveInt = 128


@dataclass(frozen=True)
class Group:
    """Upstreams whose ranks advance in lock-step on one expert map."""

    name: Name
    service: Name
    ranks: tuple[Name, ...]
    layers: Annotated[int, Meta(ge=1, le=_MOST_LAYERS)]
    experts: Annotated[int, Meta(ge=1, le=1024)]
    slots_per_rank: Annotated[int, Meta(ge=1, le=_MOST_SLOTS)]
    expert_bytes: PositiveInt
    placement: Placement = field(default_factory=Placement)


@dataclass(frozen=True)
class Routing:
    """Weights of the routing decision, all in expected milliseconds."""

    sample_size: Annotated[int, Meta(ge=1, le=_MOST_SAMPLED)] = 2
    cache_weight: Weight = 1.0
    remote_site_ms: Annotated[float, Meta(ge=0, le=1000)] = 2.0
    remote_region_ms: Annotated[float, Meta(ge=0, le=_LONGEST_HOP_MS)] = 60.0
    retry_budget: Ratio = 0.1
    max_attempts: Annotated[int, Meta(ge=1, le=10)] = 3


@dataclass(frozen=True)
class Base:
    """The base file: everything that the sites have in common."""

    deployment: Name
    sites: tuple[Site, ...]
    services: tuple[Service, ...]
    customers: tuple[Customer, ...]
    groups: tuple[Group, ...] = ()
    routing: Routing = field(default_factory=Routing)
    drained: tuple[Name, ...] = ()


@dataclass(frozen=True)
class CustomerOverride:
    """A customer's limits at one site; what is absent keeps the base's."""

    name: Name
    requests_per_minute: PositiveInt | None = None
    tokens_per_minute: PositiveInt | None = None
    priority: Annotated[int, Meta(ge=0, le=9)] | None = None


@dataclass(frozen=True)
class PlacementOverride:
    """A group's placement settings at the site that holds the group."""

    group: Name
    placement: Placement


@dataclass(frozen=True)
class Overlay:
    """The overlay of one site: what differs there from the base."""

    site: Name
    routing: Routing | None = None
    customers: tuple[CustomerOverride, ...] = ()
    placements: tuple[PlacementOverride, ...] = ()
    drained: tuple[Name, ...] = ()


@dataclass(frozen=True)
class Deployment:
    """A base with the overlays of all its sites, as one revision."""

    base: Base
    overlays: tuple[Overlay, ...] = ()
