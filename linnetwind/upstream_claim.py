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
    wait = _backoff_of_all(tools, journey)
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
    """Take an upstream now, or one for which the request waits in time."""
    taken = _take_now(tools, journey)
    if taken is not None:
        return taken
    in_time = journey.request.received + journey.route.target
    longest = in_time - tools.clock.elapsed()
    backoff = _backoff_of_all(tools, journey)
    if timedelta() < backoff <= longest:
        _sleep(backoff)
        return _take_now(tools, journey)
    if not backoff and tools.state.books.limits.any_known:
        return _wait_for_turn(tools, journey, longest)
    return None


def _take_now(tools: GatewayTools, journey: Journey) -> Upstream | None:
    tried = frozenset(journey.tried)
    return tools.state.take_upstream(journey.service, tried)


def _wait_for_turn(
    tools: GatewayTools, journey: Journey, longest: timedelta
) -> Upstream | None:
    """Wait for the next turn at an upstream with a limit."""
    tried = frozenset(journey.tried)
    turn = tools.state.take_turn(journey.service, tried, longest)
    if turn is None:
        return None
    _sleep(turn.wait)
    return turn.upstream


def _backoff_of_all(tools: GatewayTools, journey: Journey) -> timedelta:
    """Return how long no upstream that is left wants the request, or zero."""
    now = tools.clock.elapsed()
    usable = tools.state.upstreams.usable(journey.service.name, now)
    untried = [each for each in usable if each.instance not in journey.tried]
    return tools.state.books.backoffs.left_for_all(untried)


def _sleep(length: timedelta) -> None:
    threading.Event().wait(length.total_seconds())
