"""Acquires an upstream for a request, at once or after a wait."""

import threading
from datetime import timedelta

from linnetwind.admission.admission_policy import EVACUATED
from linnetwind.request_context import GatewayContext, RequestContext
from linnetwind.upstreams.upstream_list import Upstream

# The shortest time after which a caller is told to retry a request that no
# upstream accepts.
_MIN_RETRY_DELAY_MS = 400
MIN_RETRY_DELAY = timedelta(milliseconds=_MIN_RETRY_DELAY_MS)


def acquire_or_wait(
    tools: GatewayContext, journey: RequestContext
) -> Upstream | None:
    """Acquire an upstream and count the request there.

    Args:
      tools: What every request needs.
      journey: The request. It waits for an upstream only as long as its
        response can still meet the target latency.

    Returns:
      The upstream, None if none accepts the request in time.
    """
    upstream = journey.acquired or _acquire(tools, journey)
    journey.acquired = None
    while upstream is not None and not _accepts_requests(tools, upstream):
        # It started to drain, requested a backoff, or was evacuated while the
        # request waited.
        tools.state.release_upstream(upstream)
        upstream = _acquire(tools, journey)
    return upstream


def time_until_accepted(
    tools: GatewayContext, journey: RequestContext
) -> timedelta:
    """Return when the caller should retry a request that no upstream accepts.

    Args:
      tools: What every request needs.
      journey: The request.

    Returns:
      The time until an upstream should accept it.
    """
    now = tools.clock.elapsed()
    if tools.state.upstreams.is_evacuated(journey.service.name, now):
        return EVACUATED.retry_after
    limits = tools.state.request_history.limits
    wait = _backoff_of_all(tools, journey)
    if not wait and limits.any_known:
        tried = frozenset(journey.tried)
        usable = tools.state.candidates(journey.service, tried)
        wait = limits.time_until_accepted(usable)
    return max(MIN_RETRY_DELAY, wait or MIN_RETRY_DELAY)


def _accepts_requests(tools: GatewayContext, upstream: Upstream) -> bool:
    now = tools.clock.elapsed()
    is_usable = tools.state.upstreams.is_usable(upstream, now)
    return is_usable and not tools.state.request_history.backoffs.remaining(
        upstream.life
    )


def _acquire(tools: GatewayContext, journey: RequestContext) -> Upstream | None:
    """Acquire an upstream now, or after a wait that the target allows."""
    upstream = _acquire_now(tools, journey)
    if upstream is not None:
        return upstream
    deadline = journey.request.received + journey.route.target
    longest = deadline - tools.clock.elapsed()
    backoff = _backoff_of_all(tools, journey)
    if timedelta() < backoff <= longest:
        _sleep(backoff)
        return _acquire_now(tools, journey)
    if not backoff and tools.state.request_history.limits.any_known:
        return _reserve(tools, journey, longest)
    return None


def _acquire_now(
    tools: GatewayContext, journey: RequestContext
) -> Upstream | None:
    tried = frozenset(journey.tried)
    return tools.state.acquire_upstream(journey.service, tried)


def _reserve(
    tools: GatewayContext, journey: RequestContext, longest: timedelta
) -> Upstream | None:
    """Reserve a request under an upstream's limit and wait until it is due."""
    tried = frozenset(journey.tried)
    reservation = tools.state.acquire_reservation(
        journey.service, tried, longest
    )
    if reservation is None:
        return None
    _sleep(reservation.wait)
    return reservation.upstream


def _backoff_of_all(
    tools: GatewayContext, journey: RequestContext
) -> timedelta:
    """Return how long all untried upstreams are in backoff, or zero."""
    now = tools.clock.elapsed()
    usable = tools.state.upstreams.usable(journey.service.name, now)
    untried = [each for each in usable if each.instance not in journey.tried]
    return tools.state.request_history.backoffs.remaining_for_all(untried)


def _sleep(length: timedelta) -> None:
    threading.Event().wait(length.total_seconds())
