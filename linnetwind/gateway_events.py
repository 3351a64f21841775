"""All events that the gateway and the rank agents log, with their fields."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """SIGHUP was received and the settings were read anew."""

    changed: bool


@dataclass(frozen=True, slots=True)
class DependencyLost:
    """Something that the daemon needs has stopped answering."""

    dependency: str
    problem: str


@dataclass(frozen=True, slots=True)
class DependencyBack:
    """Something that the daemon needs answers again."""

    dependency: str
    away: timedelta


@dataclass(frozen=True, slots=True)
class StoreCameBackOlder:
    """The store came back from a copy and lost what was written since.

    `era` counts such returns; `offset` is where it ends now.
    """

    dependency: str
    era: int
    offset: int


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """A newer configuration is in force here."""

    version: int
    before: int
    source: str
    routes: int
    customers: int


@dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """The list of upstreams that may be given work has changed."""

    source: str
    offset: int
    added: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """How a caller's request ended, and what decided it.

    All tries of one request share its `fingerprint`. `retry_after` is when the
    caller was told to come back, None if it was not.
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


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An upstream did not give a whole answer, and what follows."""

    request: str
    upstream: str
    failure: str
    problem: str
    events_passed_on: int
    next_step: str


@dataclass(frozen=True, slots=True)
class UpstreamCrashed:
    """An upstream broke off a request and does not listen any more.

    `ran` is how long the request had been with it, `quarantine` how long it
    is not sent on, None if it may be.
    """

    request: str
    fingerprint: str
    upstream: str
    problem: str
    ran: timedelta
    quarantine: timedelta | None


@dataclass(frozen=True, slots=True)
class QuarantineRestored:
    """A request that was in quarantine before this daemon began still is."""

    fingerprint: str
    crashes: int


@dataclass(frozen=True, slots=True)
class LimitNamed:
    """An upstream named a new limit, or none any more.

    `per_s` is how many requests a second it takes from all daemons together.
    """

    request: str
    upstream: str
    per_s: float | None


@dataclass(frozen=True, slots=True)
class BackoffAsked:
    """An upstream refused a request and wants no more from here for a time.

    `backoff` is how long, `in_hand` how long this daemon had the request. If it
    had asked before and the time was not over, `asked_before` is how long ago
    that was and `left_before` what was left of the time.
    """

    request: str
    upstream: str
    backoff: timedelta
    in_hand: timedelta
    asked_before: timedelta | None
    left_before: timedelta | None


@dataclass(frozen=True, slots=True)
class UpstreamLeaves:
    """An upstream has said in an answer that it is leaving."""

    request: str
    upstream: str


@dataclass(frozen=True, slots=True)
class PeerSeen:
    """Another gateway daemon was heard of for the first time."""

    peer: str
    address: str


@dataclass(frozen=True, slots=True)
class PeerLost:
    """Another gateway daemon has been silent for too long."""

    peer: str
    silent: timedelta


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """This daemon begins or ends to plan the expert maps."""

    leads: bool


@dataclass(frozen=True, slots=True)
class MapPlanned:
    """A new expert map was planned, or why none was."""

    group: str
    version: int
    moves: int
    skew_before: float
    skew_after: float
    tokens: float
    reason: str


@dataclass(frozen=True, slots=True)
class MapStep:
    """The rollout of an expert map has moved on."""

    group: str
    version: int
    before: str
    stage: str
    step: int
    took: timedelta


@dataclass(frozen=True, slots=True)
class OrderFailed:
    """An engine refused an order or did not answer it."""

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
    """A record of the store is not in its format.

    A bad configuration leaves the one before in force. A bad entry names no
    upstream, and its key names none until a good one follows.
    """

    topic: str
    key: str
    offset: int
    field: str
    reason: str
