"""The three ways a request can end, each with a type of its own.

A caller may repeat a request safely only after `NotRun`. The distinction is
kept by type from the side daemon to the HTTP answer, so that no code path
can turn a request whose fate is unknown into one that was refused.
"""

import enum
from dataclasses import dataclass
from datetime import timedelta


class Reason(enum.StrEnum):
    """Why a request was refused or its fate is unknown."""

    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'too_large'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_CUSTOMER = 'unknown_customer'
    CUSTOMER_LIMIT = 'customer_limit'
    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline'
    NO_UPSTREAM = 'no_upstream'
    LEAVING = 'leaving'
    SHUTTING_DOWN = 'shutting_down'
    UNREACHABLE = 'unreachable'
    UPSTREAM_REFUSED = 'upstream_refused'
    UPSTREAM_CRASHED = 'upstream_crashed'
    QUARANTINED = 'quarantined'
    LOG_UNAVAILABLE = 'log_unavailable'
    IN_PROGRESS = 'in_progress'
    KEY_REUSED = 'key_reused'
    RAN_BEFORE = 'ran_before'
    BARRED = 'barred'
    STALE_OWNER = 'stale_owner'
    CONNECTION_LOST = 'connection_lost'
    INCOMPLETE_ANSWER = 'incomplete_answer'
    NO_CONFIGURATION = 'no_configuration'
    INTERNAL = 'internal'


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream's whole answer was received."""

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not start at any upstream, and never will."""

    reason: Reason
    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; nobody can say whether it did."""

    reason: Reason


Outcome = Answered | NotRun | Unknown
