"""Holds a stream that a broken group interrupted until a group is open."""

import threading
from datetime import timedelta

from linnetwind.caller_connection import CallerConnection
from linnetwind.request_context import GatewayContext, RequestContext

_POLL_INTERVAL_MS = 25
_POLL_INTERVAL = timedelta(milliseconds=_POLL_INTERVAL_MS)
# Callers give up a stream that is silent for two seconds. The rest of that time
# is left for the network and the first event of the resumed stream.
_MAX_WAIT_MS = 1_700
_MAX_WAIT = timedelta(milliseconds=_MAX_WAIT_MS)


def await_open_group(
    tools: GatewayContext, connection: CallerConnection, context: RequestContext
) -> timedelta | None:
    """Wait until a stream's service has an open group, if that is soon enough.

    A stream that was interrupted when its group broke would be refused by the
    next rank of that group if it were retried at once. That would waste one
    attempt of its caller.

    Args:
      tools: What every request needs.
      connection: The caller's connection.
      context: The request.

    Returns:
      None if a group is open, and always for a plain service. Otherwise the
      time until one should open, if that is too late or the caller has left.
    """
    opens_in = group_opens_in(tools, context)
    deadline = _wait_deadline(context)
    while opens_in is not None:
        now = tools.clock.elapsed()
        if now + opens_in > deadline or connection.has_disconnected():
            return opens_in
        threading.Event().wait(_POLL_INTERVAL.total_seconds())
        opens_in = group_opens_in(tools, context)
    return None


def group_opens_in(
    tools: GatewayContext, context: RequestContext
) -> timedelta | None:
    """Return how long it should take until a service has an open group.

    Args:
      tools: What every request needs.
      context: The request.

    Returns:
      The expected time; None if a group is open, or if all data centres of the
      service are evacuated, and always for a plain service.
    """
    if context.service.engine is None:
        return None
    now = tools.clock.elapsed()
    if tools.state.upstreams.is_evacuated(context.service.name, now):
        # No group that opens would be sent streams: the request is refused.
        return None
    return tools.state.stream_admission.opens_in(context.service.name)


def _wait_deadline(context: RequestContext) -> timedelta:
    """Return the monotonic time until which the caller may get no event."""
    last_sent_at = context.last_event_at or context.request.received
    return min(last_sent_at + _MAX_WAIT, context.until)
