"""Remembers what an upstream's answer says of the requests that it takes.

What an answer says of its upstream holds for all requests that come after it,
so that it must not end with the request that met it.
"""

from linnetwind.call_types import AnswerFacts
from linnetwind.gateway_events import BackoffAsked, LimitNamed, UpstreamLeaves
from linnetwind.journey import GatewayTools, Journey
from linnetwind.upstream_list import Upstream


def note_backpressure(
    tools: GatewayTools,
    journey: Journey,
    upstream: Upstream,
    answer: AnswerFacts,
) -> None:
    """Take note of an upstream's limit, of a backoff, and that it leaves.

    Args:
      tools: What every request needs.
      journey: The request that was answered.
      upstream: Who was asked. An answer of another one says nothing of it.
      answer: What the answer's head says.
    """
    if answer.misdirected:
        return
    _note_limit(tools, journey, upstream, answer.most_per_s)
    if answer.backoff is not None:
        _note_backoff(tools, journey, upstream, answer)
    if answer.leaving:
        _record_leaving(tools, journey, upstream)


def _note_limit(
    tools: GatewayTools,
    journey: Journey,
    upstream: Upstream,
    most_per_s: float | None,
) -> None:
    if not tools.state.books.limits.record_limit(upstream, most_per_s):
        return
    tools.tell_peers()
    tools.log.event(
        LimitNamed(journey.facts.call_id, upstream.life, most_per_s)
    )


def _note_backoff(
    tools: GatewayTools,
    journey: Journey,
    upstream: Upstream,
    answer: AnswerFacts,
) -> None:
    before = tools.state.books.backoffs.note(upstream.life, answer.backoff)
    now = tools.clock.elapsed()
    tools.log.event(
        BackoffAsked(
            journey.facts.call_id,
            upstream.life,
            answer.backoff,
            now - journey.request.received,
            None if before is None else now - before.asked_at,
            None if before is None else before.until - now,
        )
    )


def _record_leaving(
    tools: GatewayTools, journey: Journey, upstream: Upstream
) -> None:
    if upstream.life in tools.state.upstreams.leaving:
        return
    tools.state.change_upstreams(lambda known: known.record_leaving(upstream))
    tools.log.event(UpstreamLeaves(journey.facts.call_id, upstream.life))
