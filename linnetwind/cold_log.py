"""Logs upstreams that have become cold."""

from collections.abc import Callable
from datetime import timedelta

from linnetwind.event_log import EventLog
from linnetwind.gateway_events import UpstreamCold
from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.cold_allowance import ColdSource

ColdListener = Callable[
    [UpstreamIncarnation, float, timedelta, ColdSource], None
]


def make_cold_listener(log: EventLog) -> ColdListener:
    """Return a function that logs a cold upstream.

    Args:
      log: The log.

    Returns:
      The function. It takes the upstream, the requests a second that it
      handles, the time for which it stays cold, and how this is known.
    """

    def log_cold(  # noqa: WPS430
        upstream: UpstreamIncarnation,
        per_s: float,
        left: timedelta,
        source: ColdSource,
    ) -> None:
        log.event(UpstreamCold(upstream, per_s, left, source.value))

    return log_cold
