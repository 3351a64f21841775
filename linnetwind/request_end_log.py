"""Logs the end of each request."""

from linnetwind.gateway_events import RequestEnded
from linnetwind.request_context import (
    GatewayContext,
    RequestContext,
    RequestResult,
)
from linnetwind.routes import request_priority


def log_request_end(
    tools: GatewayContext, context: RequestContext, done: RequestResult
) -> None:
    """Log how a request ended, and for what reason.

    Args:
      tools: The shared services.
      context: The request's state.
      done: How it ended.
    """
    now = tools.clock.elapsed()
    received = context.request.received
    first = context.first_byte
    service = context.service.name if context.service else ''
    tools.log.event(
        RequestEnded(
            context.facts.call_id,
            context.fingerprint,
            context.route.name if context.route else '',
            done.outcome,
            done.status,
            done.reason,
            context.table.version,
            tuple(context.sent_to),
            context.queued,
            None if first is None else first - received,
            now - received,
            context.until - received,
            context.longest_pause,
            tools.state.requests_in_flight(service),
            done.retry_after,
            _stream_priority(context),
        )
    )


def _stream_priority(context: RequestContext) -> int | None:
    if context.service is None or context.service.engine is None:
        return None
    return request_priority(context.table, context.route, context.customer)
