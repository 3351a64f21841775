"""Taking an upstream for a request, at once or when one has a turn for it."""

import threading
from datetime import timedelta

from linnetwind.journey import GatewayTools, Journey
from linnetwind.upstream_list import Upstream

# When a caller may come back whose request no upstream could take.
_RETRY_SOON_MS = 400
RETRY_SOON = timedelta(milliseconds=_RETRY_SOON_MS)


def claim_upstream(tools: GatewayTools, journey: Journey) -> Upstream | None:
    """Return an upstream at which the request is counted.

    Args:
      tools: What every request needs.
      journey: The request; it may wait while its answer can be in time.

    Returns:
      The upstream, None if none takes the request in time.
    """
    upstream = journey.claimed or _take(tools, journey)
    journey.claimed = None
    while upstream is not None and not _takes_requests(tools, upstream):
        # It began to drain or to refuse while the request waited.
        tools.state.give_back(upstream)
        upstream = _take(tools, journey)
    return upstream


def next_turn(tools: GatewayTools, journey: Journey) -> timedelta:
    """Return when a request may come back for which nobody has room.

    Args:
      tools: What every request needs.
      journey: The request.

    Returns:
      The time until an upstream should take it.
    """
    limits = tools.state.books.limits
    wait = _backoff(tools, journey)
    if not wait and limits.any_known:
        tried = frozenset(journey.tried)
        usable = tools.state.candidates(journey.service, tried)
        wait = limits.next_turn(usable)
    return max(RETRY_SOON, wait or RETRY_SOON)


def _takes_requests(tools: GatewayTools, upstream: Upstream) -> bool:
    now = tools.clock.elapsed()
    is_usable = tools.state.upstreams.is_usable(upstream, now)
    return is_usable and not tools.state.books.backoffs.left(upstream.life)


def _take(tools: GatewayTools, journey: Journey) -> Upstream | None:
    tried = frozenset(journey.tried)
    taken = tools.state.take_upstream(journey.service, tried)
    if taken is not None:
        return taken
    left = journey.request.received + journey.route.target
    left -= tools.clock.elapsed()
    backoff = _backoff(tools, journey)
    if backoff:
        return _wait_for_end(tools, journey, backoff, left)
    if tools.state.books.limits.any_known:
        return _wait_for_turn(tools, journey, left)
    return None


def _wait_for_end(
    tools: GatewayTools, journey: Journey, backoff: timedelta, left: timedelta
) -> Upstream | None:
    """Wait for the end of a backoff, if the answer can be in time."""
    if backoff > left:
        return None
    threading.Event().wait(backoff.total_seconds())
    tried = frozenset(journey.tried)
    return tools.state.take_upstream(journey.service, tried)


def _wait_for_turn(
    tools: GatewayTools, journey: Journey, left: timedelta
) -> Upstream | None:
    """Wait for an upstream with a limit, if the answer can be in time."""
    tried = frozenset(journey.tried)
    turn = tools.state.take_turn(journey.service, tried, left)
    if turn is None:
        return None
    threading.Event().wait(turn.wait.total_seconds())
    return turn.upstream


def _backoff(tools: GatewayTools, journey: Journey) -> timedelta:
    """Return how long all upstreams want no requests, or zero."""
    now = tools.clock.elapsed()
    usable = tools.state.upstreams.usable(journey.service.name, now)
    untried = [each for each in usable if each.instance not in journey.tried]
    return tools.state.books.backoffs.left_for_all(untried)
