"""The events that gateways and rank agents log, with their fields."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """The settings were read again after SIGHUP, or they have changed."""

    changed: bool


@dataclass(frozen=True, slots=True)
class DependencyLost:
    """A dependency of the daemon has stopped responding."""

    dependency: str
    problem: str


@dataclass(frozen=True, slots=True)
class DependencyBack:
    """A dependency of the daemon responds again.

    `away` is how long it did not.
    """

    dependency: str
    away: timedelta


@dataclass(frozen=True, slots=True)
class StoreCameBackOlder:
    """The store was restored from an older copy and lost later records.

    `era` counts such restorations; `offset` is the new end of the records.
    """

    dependency: str
    era: int
    offset: int


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """A newer configuration is in force on this daemon.

    `before` is the version that it replaced, or 0. `customers` counts the API
    keys. Without any, `requires_key` says whether callers are denied on all
    routes that are not anonymous, or need no key at all.
    """

    version: int
    before: int
    source: str
    routes: int
    customers: int
    requires_key: bool


@dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """The list of upstreams that accept requests has changed."""

    source: str
    offset: int
    added: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EvacuationChanged:
    """A data centre is evacuated, or its evacuation was cancelled.

    `source` is the store or the peer that told of it, `offset` that of the
    deciding record. `upstreams` is the number of upstreams registered there.
    """

    site: str
    evacuated: bool
    source: str
    offset: int
    upstreams: int


@dataclass(frozen=True, slots=True)
class EvacuationUnknown:
    """No upstream and no daemon of a data centre of this name is known.

    Until there is one, the evacuation has no effect.
    """

    site: str
    offset: int


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A caller's request has ended; `reason` says why with this outcome.

    All retries of a request share its `fingerprint`. `retry_after` is the retry
    delay in the response, or None if there was none. `priority` is that of a
    stream, None for other requests.
    """

    request: str
    fingerprint: str
    route: str
    outcome: str
    status: int
    reason: str
    config_version: int
    upstreams: tuple[str, ...]
    queued: timedelta
    first_byte: timedelta | None
    took: timedelta
    time_limit: timedelta
    longest_pause: timedelta
    running: int
    retry_after: timedelta | None = None
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class StreamRejected:
    """A stream got no permit, and its caller may retry later.

    `room` is the number of permits that streams of its priority could use when
    it was rejected, `returning` whether it was the retry of a rejected caller.
    """

    request: str
    service: str
    priority: int
    customer: str
    room: int
    reason: str
    retry_after: timedelta
    returning: bool


@dataclass(frozen=True, slots=True)
class BodyRefused:
    """A large request was refused before its body was read.

    `in_hand` is the memory in bytes that other bodies use.
    """

    in_hand: int
    reason: str
    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An upstream did not send a complete response.

    `next_step` is what the daemon does with the request.
    """

    request: str
    upstream: str
    failure: str
    problem: str
    events_passed_on: int
    next_step: str


@dataclass(frozen=True, slots=True)
class UpstreamCrashed:
    """An upstream interrupted a request and does not listen any more.

    `ran` is how long the upstream had the request, `quarantine` how long the
    request is not forwarded, or None if it may be. `prompt_parts` are the parts
    of its prompt that other requests may share.
    """

    request: str
    fingerprint: str
    upstream: str
    problem: str
    ran: timedelta
    quarantine: timedelta | None
    prompt_parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class QuarantineRestored:
    """A request was in quarantine before this daemon started, and still is."""

    fingerprint: str
    crashes: int


@dataclass(frozen=True, slots=True)
class ConnectionsShed:
    """Callers open more connections than this daemon serves at once.

    Logged once a second at most: `closed_idle` connections were closed while
    they waited for a request, `closed_unread` new ones as soon as they came.
    """

    closed_idle: int
    closed_unread: int


@dataclass(frozen=True, slots=True)
class LimitNamed:
    """An upstream named a new rate limit, or removed its limit.

    `per_s` is the number of requests per second that it accepts from all
    daemons together, or None without a limit.
    """

    request: str
    upstream: str
    per_s: float | None


@dataclass(frozen=True, slots=True)
class BackoffAsked:
    """An upstream refused a request and asked this daemon to back off.

    `backoff` is for how long, `in_hand` how long this daemon had the request.
    If an earlier backoff was still in force, `asked_before` is how long ago it
    was asked for and `left_before` the remaining time of it.
    """

    request: str
    upstream: str
    backoff: timedelta
    in_hand: timedelta
    asked_before: timedelta | None
    left_before: timedelta | None


@dataclass(frozen=True, slots=True)
class UpstreamCold:
    """An upstream has become cold, and is sent few requests for a time.

    `per_s` is the number of requests a second that it handles while cold,
    `left` the remaining cold time, and `source` how this daemon learned of it.
    """

    upstream: str
    per_s: float
    left: timedelta
    source: str


@dataclass(frozen=True, slots=True)
class UpstreamEjected:
    """An upstream gets no requests, except probes, while others are sound.

    `share` is the share of its refusals and failures, 0 if it asked a peer to
    back off. The next probe is sent `until` from now on, and `source` is `own`
    or the peer whose hint it was. A hint ends then unless it is renewed.
    """

    upstream: str
    share: float
    until: timedelta
    source: str


@dataclass(frozen=True, slots=True)
class UpstreamReturned:
    """An upstream that was ejected gets requests again."""

    upstream: str


@dataclass(frozen=True, slots=True)
class UpstreamLeaves:
    """An upstream has announced in a response that it is leaving."""

    request: str
    upstream: str


@dataclass(frozen=True, slots=True)
class PeerSeen:
    """A state of another gateway daemon was received for the first time."""

    peer: str
    address: str


@dataclass(frozen=True, slots=True)
class PeerLost:
    """Another gateway daemon has timed out.

    `silent` is the time since its last state.
    """

    peer: str
    silent: timedelta


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """This daemon has started or stopped planning the expert maps."""

    leads: bool


@dataclass(frozen=True, slots=True)
class MapPlanned:
    """A new expert map was planned, or none for the given reason.

    The plan copies `copies_gb` gigabytes, and its gain is expected to last for
    `life` after the switch.
    """

    group: str
    version: int
    moves: int
    skew_before: float
    skew_after: float
    tokens: float
    reason: str
    copies_gb: float
    life: timedelta


@dataclass(frozen=True, slots=True)
class GroupLimitChanged:
    """The number of streams that may run in a rank group has changed.

    `forecast_ms` is the forecast of a pass with that many streams, and
    `observed_ms` a long pause of the last seconds.
    """

    group: str
    limit: int
    forecast_ms: float
    observed_ms: float
    reason: str


@dataclass(frozen=True, slots=True)
class MapStep:
    """The rollout of an expert map has entered a new stage."""

    group: str
    version: int
    before: str
    stage: str
    step: int
    took: timedelta


@dataclass(frozen=True, slots=True)
class OrderFailed:
    """An engine refused an order or did not respond to it."""

    rank: int
    order: str
    problem: str


@dataclass(frozen=True, slots=True)
class GroupChanged:
    """A rank group has opened, broken, or formed anew."""

    group: str
    epoch: int
    is_open: bool
    ranks: int


@dataclass(frozen=True, slots=True)
class BadRecord:
    """A record of the store is malformed.

    A malformed configuration leaves the previous one in force. A malformed
    upstream record removes the upstream of its key until a valid record
    follows.
    """

    topic: str
    key: str
    offset: int
    field: str
    reason: str
