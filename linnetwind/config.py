"""Data types of the configuration: a base and one overlay per site.

Operators write both as YAML files. `config_loader` reads and validates them,
`config_merge` applies the overlays.
"""

import enum
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

_MAX_INT = 1_000_000_000
_MIN_SECONDS = 0.001
_DAY_SECONDS = 86_400
_MAX_LAYERS = 256
_MAX_SLOTS = 64
_MAX_SAMPLE_SIZE = 64
_MAX_REGION_MS = 10_000

Name = Annotated[str, Meta(pattern='^[a-z][a-z0-9-]{0,62}$')]
Digest = Annotated[str, Meta(pattern='^[0-9a-f]{64}$')]
PositiveInt = Annotated[int, Meta(ge=1, le=_MAX_INT)]
Seconds = Annotated[float, Meta(ge=_MIN_SECONDS, le=_DAY_SECONDS)]
Ratio = Annotated[float, Meta(ge=0, le=1)]
Weight = Annotated[float, Meta(ge=0, le=1000)]


class ServiceKind(enum.StrEnum):
    """The protocol between callers and a service."""

    MODEL = 'model'
    PLAIN = 'plain'


@dataclass(frozen=True)
class Site:
    """A data centre and its region."""

    name: Name
    region: Name


@dataclass(frozen=True)
class Upstream:
    """One worker or plain server, and the host that it runs on.

    `concurrency` is the number of requests that it serves concurrently.
    """

    name: Name
    host: Name
    site: Name
    concurrency: PositiveInt = 8


@dataclass(frozen=True)
class CallPattern:
    """Matches requests by HTTP method and path prefix."""

    method: Annotated[str, Meta(pattern='^[A-Z]+$')]
    path_prefix: Annotated[str, Meta(pattern='^/')]


@dataclass(frozen=True)
class Service:
    """A set of interchangeable upstreams under one name.

    `unrepeatable` lists the requests that may run at most once. Requests to a
    model service may always be retried until the caller has received the first
    token.
    """

    name: Name
    kind: ServiceKind
    upstreams: tuple[Upstream, ...]
    timeout_seconds: Seconds = 30.0
    max_body_bytes: PositiveInt = 1_048_576
    unrepeatable: tuple[CallPattern, ...] = ()


@dataclass(frozen=True)
class Customer:
    """A customer, whose requests share one set of limits.

    `key_sha256` is the digest of the customer's API key; the key itself is
    never part of the configuration. Requests of `priority` 0 are served first.
    """

    name: Name
    key_sha256: Digest
    requests_per_minute: PositiveInt = 600
    tokens_per_minute: PositiveInt = 600_000
    priority: Annotated[int, Meta(ge=0, le=9)] = 5


@dataclass(frozen=True)
class Placement:
    """Settings of the expert placement in a group.

    `skew_weight` and `cost_weight` weigh a second lost to the slowest rank
    against a second spent on copying weights. `max_moves` limits how many
    experts are moved at once.
    """

    interval_seconds: Seconds = 10.0
    horizon_seconds: Seconds = 120.0
    skew_weight: Weight = 1.0
    cost_weight: Weight = 1.0
    max_moves: PositiveInt = 128


@dataclass(frozen=True)
class Group:
    """Upstreams that run as the ranks of one expert map, in lock-step."""

    name: Name
    service: Name
    ranks: tuple[Name, ...]
    layers: Annotated[int, Meta(ge=1, le=_MAX_LAYERS)]
    experts: Annotated[int, Meta(ge=1, le=1024)]
    slots_per_rank: Annotated[int, Meta(ge=1, le=_MAX_SLOTS)]
    expert_bytes: PositiveInt
    placement: Placement = field(default_factory=Placement)


@dataclass(frozen=True)
class Routing:
    """Settings of routing and retries; costs are expected milliseconds."""

    sample_size: Annotated[int, Meta(ge=1, le=_MAX_SAMPLE_SIZE)] = 2
    cache_weight: Weight = 1.0
    remote_site_ms: Annotated[float, Meta(ge=0, le=1000)] = 2.0
    remote_region_ms: Annotated[float, Meta(ge=0, le=_MAX_REGION_MS)] = 60.0
    retry_budget: Ratio = 0.1
    max_attempts: Annotated[int, Meta(ge=1, le=10)] = 3


@dataclass(frozen=True)
class Base:
    """The base file: the configuration that all sites share."""

    deployment: Name
    sites: tuple[Site, ...]
    services: tuple[Service, ...]
    customers: tuple[Customer, ...]
    groups: tuple[Group, ...] = ()
    routing: Routing = field(default_factory=Routing)
    drained: tuple[Name, ...] = ()


@dataclass(frozen=True)
class CustomerOverride:
    """A customer's limits at one site; None keeps the value of the base."""

    name: Name
    requests_per_minute: PositiveInt | None = None
    tokens_per_minute: PositiveInt | None = None
    priority: Annotated[int, Meta(ge=0, le=9)] | None = None


@dataclass(frozen=True)
class PlacementOverride:
    """Placement settings of a group, set by the site that hosts the group."""

    group: Name
    placement: Placement


@dataclass(frozen=True)
class Overlay:
    """The overlay of one site: its differences from the base."""

    site: Name
    routing: Routing | None = None
    customers: tuple[CustomerOverride, ...] = ()
    placements: tuple[PlacementOverride, ...] = ()
    drained: tuple[Name, ...] = ()


@dataclass(frozen=True)
class EvacuatedSite:
    """A site that is sent no requests, and who requested that when.

    `requested_at` is a time in ISO format by the clock of the operator's host.
    """

    site: Name
    operator: str
    requested_at: str


@dataclass(frozen=True)
class Deployment:
    """A base with the overlays of all sites, as one revision.

    `evacuated` is published apart from the operators' files.
    """

    base: Base
    overlays: tuple[Overlay, ...] = ()
    evacuated: tuple[EvacuatedSite, ...] = ()
