"""What a request is allowed, and what follows a failed attempt.

Pure decisions: whether a configuration lets a request through, and whether
an attempt that failed is followed by another or by a final answer. A final
answer says "not run" only if no attempt can have run.
"""

from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

from linnetwind.call_types import CallFacts
from linnetwind.routes import Route, RouteTable, find_route

# Less time than this is not enough for another attempt.
_LEAST_TIME_MS = 30
LEAST_TIME = timedelta(milliseconds=_LEAST_TIME_MS)


@dataclass(frozen=True, slots=True)
class Allowed:
    """The request may run for this customer (None on anonymous routes)."""

    route: Route
    customer: str | None


@dataclass(frozen=True, slots=True)
class Denied:
    """The configuration does not allow the request."""

    status: int
    reason: str


def allow(table: RouteTable, facts: CallFacts) -> Allowed | Denied:
    """Decide whether the configuration allows a request.

    Args:
      table: The configuration in force.
      facts: What the request says of itself.

    Returns:
      The decision.
    """
    route = find_route(table, facts.host, facts.path)
    if route is None:
        return Denied(HTTPStatus.NOT_FOUND, 'no route')
    customer = table.customers_by_key.get(facts.api_key or '')
    if customer is None and table.customers_by_key and not route.anonymous:
        return Denied(HTTPStatus.UNAUTHORIZED, 'unknown key')
    return Allowed(route, customer)


@dataclass(frozen=True, slots=True)
class AttemptLost:
    """An attempt without an answer.

    `may_have_run` is False only if nothing was sent or the upstream said
    that it did not run the request; `reached` is False if nothing was sent.
    """

    reason: str
    may_have_run: bool
    reached: bool
    out_of_time: bool = False


@dataclass(frozen=True, slots=True)
class Progressed:
    """How far a request is: the upstreams that it was sent to, and more."""

    sent_to: int
    any_may_have_run: bool
    time_left: timedelta


@dataclass(frozen=True, slots=True)
class TryAnother:
    """Send the request to another upstream.

    `counts` says that this draws on the shared budget of repeats; without
    room there, `instead` is the final answer.
    """

    counts: bool
    instead: 'GiveUp'


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Give the caller this final answer; `not_run` makes it a refusal."""

    status: int
    not_run: bool
    reason: str


def after_loss(
    route: Route, lost: AttemptLost, progressed: Progressed
) -> TryAnother | GiveUp:
    """Decide what follows an attempt without an answer.

    Args:
      route: The request's route.
      lost: How the attempt ended.
      progressed: How far the request is, with this attempt.

    Returns:
      The decision.
    """
    may_have_run = progressed.any_may_have_run or lost.may_have_run
    final = _final(lost, may_have_run=may_have_run)
    if lost.out_of_time or progressed.time_left < LEAST_TIME:
        return final
    if may_have_run and not route.repeatable:
        # A second run could do the work twice.
        return final
    if not lost.reached:
        return TryAnother(counts=False, instead=final)
    if progressed.sent_to >= route.max_attempts:
        return final
    return TryAnother(counts=True, instead=final)


def _final(lost: AttemptLost, *, may_have_run: bool) -> GiveUp:
    if not may_have_run:
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return GiveUp(status, not_run=True, reason=lost.reason)
    if lost.out_of_time:
        status = HTTPStatus.GATEWAY_TIMEOUT
    else:
        status = HTTPStatus.BAD_GATEWAY
    return GiveUp(status, not_run=False, reason=lost.reason)
