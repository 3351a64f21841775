"""Looks whether an upstream that broke a call off has crashed."""

from datetime import timedelta

from linnetwind.gateway_events import UpstreamCrashed
from linnetwind.journey import GatewayTools, Journey
from linnetwind.upstream_call import Broken, NotReached
from linnetwind.upstream_list import Upstream


def look_after_break(
    tools: GatewayTools,
    journey: Journey,
    upstream: Upstream,
    broken: Broken,
    began: timedelta,
) -> None:
    """Find out whether an upstream crashed under a request.

    A connection that breaks says little: upstreams spoil answers, and when a
    rank dies, all ranks of its group cut their streams. One that has crashed
    does not listen.

    Args:
      tools: What every request needs.
      journey: The request.
      upstream: The upstream that had it.
      broken: How the call ended.
      began: The monotonic time at which the request was sent there.
    """
    until = journey.until - tools.clock.elapsed()
    probe = tools.open_call(upstream.address, None, tools.clock, until)
    if not isinstance(probe, NotReached):
        probe.close()
        return
    tools.log.event(
        UpstreamCrashed(
            journey.facts.call_id,
            journey.fingerprint,
            upstream.life,
            broken.problem,
            tools.clock.elapsed() - began,
        )
    )
