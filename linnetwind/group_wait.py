"""Waiting for a broken group with a stream that was cut there."""

import threading
from datetime import timedelta

from linnetwind.caller_connection import CallerConnection
from linnetwind.journey import GatewayTools, Journey

_LOOK_MS = 25
_LOOK = timedelta(milliseconds=_LOOK_MS)
# Callers give up a stream that shows nothing for two seconds; the rest is for
# the way and the resumed stream's first event.
_PATIENCE_MS = 1_700
_PATIENCE = timedelta(milliseconds=_PATIENCE_MS)


def await_open_group(
    tools: GatewayTools, connection: CallerConnection, journey: Journey
) -> timedelta | None:
    """Wait until a stream's service has an open group, if that is soon enough.

    Sent on at once, a stream that was cut as its group broke is refused by
    the next rank of that group, and its caller has used up a try.

    Args:
      tools: What every request needs.
      connection: The caller's connection.
      journey: The request.

    Returns:
      The time until a group should open, None if one is open; of a plain
      service always None.
    """
    opens_in = group_opens_in(tools, journey)
    latest = _latest(journey)
    while opens_in is not None:
        now = tools.clock.elapsed()
        if now + opens_in > latest or connection.left():
            return opens_in
        threading.Event().wait(_LOOK.total_seconds())
        opens_in = group_opens_in(tools, journey)
    return None


def group_opens_in(tools: GatewayTools, journey: Journey) -> timedelta | None:
    """Return when a request's service should have an open group again.

    Args:
      tools: What every request needs.
      journey: The request.

    Returns:
      The time until then, None if one is open; of a plain service always None.
    """
    if journey.service.engine is None:
        return None
    return tools.state.room.opens_in(journey.service.name)


def _latest(journey: Journey) -> timedelta:
    """Return until when the caller may be left without an event."""
    shown_at = journey.last_event_at or journey.request.received
    return min(shown_at + _PATIENCE, journey.until)
