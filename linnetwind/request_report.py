"""The log line with which a request ends."""

from linnetwind.gateway_events import RequestEnded
from linnetwind.journey import Done, GatewayTools, Journey


def report_end(tools: GatewayTools, journey: Journey, done: Done) -> None:
    """Log how a request ended, and what decided it.

    Args:
      tools: What every request needs.
      journey: The request.
      done: How it ended.
    """
    now = tools.clock.elapsed()
    received = journey.request.received
    first = journey.first_byte
    service = journey.service.name if journey.service else ''
    tools.log.event(
        RequestEnded(
            journey.facts.call_id,
            journey.fingerprint,
            journey.route.name if journey.route else '',
            done.outcome,
            done.status,
            done.reason,
            journey.table.version,
            tuple(journey.sent_to),
            journey.queued,
            None if first is None else first - received,
            now - received,
            journey.until - received,
            journey.longest_pause,
            tools.state.group_running(service),
            done.retry_after,
        )
    )
