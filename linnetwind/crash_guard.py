"""Detects crashes of upstreams and refuses the requests that cause them."""

from datetime import timedelta

from linnetwind.gateway_events import UpstreamCrashed
from linnetwind.rank_crashes import record_rank_crash
from linnetwind.request_context import (
    GatewayContext,
    RequestContext,
    RequestResult,
)
from linnetwind.upstream_call import CONNECT_TIMEOUT, BrokenCall, ConnectFailed
from linnetwind.upstream_incarnation import tag_incarnation
from linnetwind.upstreams.upstream_list import Upstream

QUARANTINED = 'upstreams crashed under it'
_FIRST_SUCCESS = 200
_FIRST_REDIRECT = 300
# A stream with so many events has been running for several passes of its engine
# and would have crashed it.
_MIN_EVENTS_OF_ANSWER = 4


def remaining_quarantine(
    tools: GatewayContext, context: RequestContext
) -> timedelta | None:
    """Return how long a request must not be sent to any upstream.

    Args:
      tools: What every request needs.
      context: The request.

    Returns:
      The remaining time, None if it may be sent.
    """
    history = tools.state.request_history
    by_prompt = history.prompts.quarantine(context.prompt_parts)
    if by_prompt is not None or not history.crashes.has_crashes:
        return by_prompt
    return history.crashes.quarantine(context.fingerprint)


def record_if_crashed(
    tools: GatewayContext,
    context: RequestContext,
    upstream: Upstream,
    broken: BrokenCall,
    began: timedelta,
) -> bool:
    """Check whether an upstream crashed under a request and record the crash.

    A broken connection alone is no evidence of a crash: upstreams also send
    invalid responses, and when a rank crashes all ranks of its group cut their
    streams. If every broken connection counted, two crashes of ranks would
    quarantine all streams of a group. An upstream that has crashed no longer
    listens, so a new connection to it tells the difference.

    Args:
      tools: What every request needs.
      context: The request.
      upstream: The upstream that was running it.
      broken: How the call failed.
      began: The monotonic time at which the request was sent there.

    Returns:
      Whether the upstream has crashed.
    """
    # The probe has its own timeout. With the remaining time of the caller,
    # which may be a millisecond, every upstream would seem to have crashed.
    probe = tools.open_call(
        upstream.address, None, tools.clock, CONNECT_TIMEOUT
    )
    if not isinstance(probe, ConnectFailed):
        probe.close()
        return False
    request = context.fingerprint
    crashes = tools.state.request_history.crashes
    of_group = record_rank_crash(tools.state, upstream, tools.clock.elapsed())
    _record_prompt_crash(tools, context, upstream, began)
    remaining = crashes.record_crash(
        request, upstream.life, began, of_group=of_group
    )
    tools.advertise_to_peers()
    if crashes.is_proven(request):
        tools.persist_quarantine(request)
    tools.state.upstream_records.record_connect_failure(upstream)
    tools.log.event(
        UpstreamCrashed(
            context.facts.call_id,
            request,
            upstream.life,
            broken.problem,
            tools.clock.elapsed() - began,
            remaining,
            context.facts.prompt_parts,
        )
    )
    return True


def record_interrupted_stream(
    tools: GatewayContext, context: RequestContext, events: int
) -> None:
    """Record a stream that was cut although its upstream did not crash.

    When a rank crashes, the streams on the other ranks of its group are cut.
    While crashes follow on each other quickly, hardly any stream is answered
    completely.

    Args:
      tools: What every request needs.
      context: The request.
      events: The number of events that the upstream sent.
    """
    if events >= _MIN_EVENTS_OF_ANSWER:
        prompts = tools.state.request_history.prompts
        prompts.record_answer(context.service.name, context.prompt_parts)


def record_complete_answer(
    tools: GatewayContext, context: RequestContext, done: RequestResult
) -> None:
    """Record that an upstream has answered a request completely.

    Args:
      tools: What every request needs.
      context: The request.
      done: How it ended; only a successful status is recorded.
    """
    success = _FIRST_SUCCESS <= done.status < _FIRST_REDIRECT
    if success:
        history = tools.state.request_history
        history.crashes.record_answer(context.fingerprint)
        history.prompts.record_answer(
            context.service.name, context.prompt_parts
        )


def _record_prompt_crash(
    tools: GatewayContext,
    context: RequestContext,
    upstream: Upstream,
    began: timedelta,
) -> None:
    """Record a crash under the parts of a prompt, unless the upstream leaves.

    An upstream that leaves stops by itself, whatever it runs.
    """
    state = tools.state
    prompts = state.request_history.prompts
    staying = state.upstreams.active(upstream.service, tools.clock.elapsed())
    if all(other.life != upstream.life for other in staying):
        return
    prompts.record_crash(
        context.fingerprint,
        context.prompt_parts,
        tag_incarnation(upstream.life),
        began,
    )
    for key in prompts.in_force_for(context.prompt_parts):
        tools.persist_quarantine(key)
