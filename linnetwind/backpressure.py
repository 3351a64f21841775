"""Records the backpressure that an upstream states in its responses.

A limit, a backoff or an announced leave holds for all later requests, so it is
recorded in the gateway's state and not with the request that got the response.
"""

from linnetwind.call_types import ResponseFacts
from linnetwind.gateway_events import BackoffAsked, LimitNamed, UpstreamLeaves
from linnetwind.request_context import GatewayContext, RequestContext
from linnetwind.upstreams.upstream_list import Upstream


def record_backpressure(
    tools: GatewayContext,
    journey: RequestContext,
    upstream: Upstream,
    answer: ResponseFacts,
) -> None:
    """Record the limit, backoff and announced leave of an upstream.

    Args:
      tools: What every request needs.
      journey: The request that got the response.
      upstream: The upstream that was called. A response of another instance
        says nothing about it and is ignored.
      answer: The facts in the head of the response.
    """
    if answer.misdirected:
        return
    _record_limit(tools, journey, upstream, answer.max_per_s)
    if answer.backoff is not None:
        _record_backoff(tools, journey, upstream, answer)
    if answer.leaving:
        _record_leaving(tools, journey, upstream)


def _record_limit(
    tools: GatewayContext,
    journey: RequestContext,
    upstream: Upstream,
    most_per_s: float | None,
) -> None:
    if not tools.state.request_history.limits.record_limit(
        upstream, most_per_s
    ):
        return
    tools.advertise_to_peers()
    tools.log.event(
        LimitNamed(journey.facts.call_id, upstream.life, most_per_s)
    )


def _record_backoff(
    tools: GatewayContext,
    journey: RequestContext,
    upstream: Upstream,
    answer: ResponseFacts,
) -> None:
    before = tools.state.request_history.backoffs.record_backoff(
        upstream.life, answer.backoff
    )
    now = tools.clock.elapsed()
    tools.log.event(
        BackoffAsked(
            journey.facts.call_id,
            upstream.life,
            answer.backoff,
            now - journey.request.received,
            None if before is None else now - before.requested_at,
            None if before is None else before.until - now,
        )
    )


def _record_leaving(
    tools: GatewayContext, journey: RequestContext, upstream: Upstream
) -> None:
    if upstream.life in tools.state.upstreams.leaving:
        return
    tools.state.change_upstreams(lambda known: known.record_leaving(upstream))
    tools.log.event(UpstreamLeaves(journey.facts.call_id, upstream.life))
