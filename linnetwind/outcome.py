"""The three possible outcomes of a request, each with its own type.

A caller can safely retry a request only after `NotRun`. Separate types keep
the distinction from the side daemon to the HTTP response, so that no code path
can report a request as refused although its outcome is unknown.
"""

import enum
from dataclasses import dataclass
from datetime import timedelta


class Reason(enum.StrEnum):
    """Why a request was refused, or why its outcome is unknown."""

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
    """The complete response of the upstream was received."""

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not start at any upstream and will not start later."""

    reason: Reason
    retry_after: timedelta


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; whether it did cannot be determined."""

    reason: Reason


Outcome = Answered | NotRun | Unknown
