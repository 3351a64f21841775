"""Decides whether a request is allowed, and what follows a failed attempt.

Pure functions: one checks a request against the configuration, the other
decides whether a failed attempt is followed by a retry or by a final response
to the caller. A final response says "not run" only if no attempt can have run.
"""

from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

from linnetwind.call_types import RequestFacts
from linnetwind.routes import Route, RouteTable, find_route

# The least remaining time in which another attempt is worthwhile.
_MIN_ATTEMPT_TIME_MS = 30
MIN_ATTEMPT_TIME = timedelta(milliseconds=_MIN_ATTEMPT_TIME_MS)


@dataclass(frozen=True, slots=True)
class Allowed:
    """The request may run, for `customer` (None on anonymous routes)."""

    route: Route
    customer: str | None


@dataclass(frozen=True, slots=True)
class Denied:
    """The configuration does not allow the request."""

    status: int
    reason: str


def allow(table: RouteTable, facts: RequestFacts) -> Allowed | Denied:
    """Decide whether the configuration allows a request.

    Args:
      table: The configuration in force.
      facts: What the head of the request states.

    Returns:
      The decision.
    """
    route = find_route(table, facts.host, facts.path)
    if route is None:
        return Denied(HTTPStatus.NOT_FOUND, 'no route')
    customer = None
    # Without a key a caller is no customer, even if an empty key is configured.
    if facts.api_key:
        customer = table.customers_by_key.get(facts.api_key)
    if customer is None and table.requires_key and not route.anonymous:
        return Denied(HTTPStatus.UNAUTHORIZED, 'unknown key')
    return Allowed(route, customer)


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that got no usable response.

    `may_have_run` is False only if nothing was sent, or if the upstream stated
    that it did not run the request. `reached` is False if nothing was sent.
    `out_of_time` says that the attempt ended because of its timeout.
    """

    reason: str
    may_have_run: bool
    reached: bool
    out_of_time: bool = False


@dataclass(frozen=True, slots=True)
class RequestProgress:
    """The progress of a request over all its attempts.

    `sent_to` is the number of upstreams that the request was sent to,
    `any_may_have_run` whether any attempt may have run it.
    """

    sent_to: int
    any_may_have_run: bool
    time_left: timedelta


@dataclass(frozen=True, slots=True)
class RetryElsewhere:
    """Send the request to another upstream.

    `counts` says whether this spends a retry of the shared budget. If the
    budget is exhausted, `fallback` is the final response.
    """

    counts: bool
    fallback: 'GiveUp'


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Send this final response to the caller.

    `not_run` makes it a refusal: no attempt has run the request, so the caller
    may safely retry it.
    """

    status: int
    not_run: bool
    reason: str


def after_failed_attempt(
    route: Route, attempt: FailedAttempt, progress: RequestProgress
) -> RetryElsewhere | GiveUp:
    """Decide what follows a failed attempt.

    Args:
      route: The request's route.
      attempt: The failed attempt.
      progress: The progress of the request, this attempt included.

    Returns:
      The decision.
    """
    may_have_run = progress.any_may_have_run or attempt.may_have_run
    final = _final(attempt, may_have_run=may_have_run)
    if attempt.out_of_time or progress.time_left < MIN_ATTEMPT_TIME:
        return final
    if may_have_run and not route.is_retryable:
        # A retry could run the work twice.
        return final
    if not attempt.reached:
        return RetryElsewhere(counts=False, fallback=final)
    if progress.sent_to >= route.max_attempts:
        return final
    return RetryElsewhere(counts=True, fallback=final)


def _final(attempt: FailedAttempt, *, may_have_run: bool) -> GiveUp:
    if not may_have_run:
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return GiveUp(status, not_run=True, reason=attempt.reason)
    if attempt.out_of_time:
        status = HTTPStatus.GATEWAY_TIMEOUT
    else:
        status = HTTPStatus.BAD_GATEWAY
    return GiveUp(status, not_run=False, reason=attempt.reason)
