"""Keeps requests that crash upstreams from being sent on."""

from datetime import timedelta

from linnetwind.gateway_events import UpstreamCrashed
from linnetwind.journey import Done, GatewayTools, Journey
from linnetwind.rank_crashes import note_rank_crash
from linnetwind.upstream_call import CONNECT_TIMEOUT, Broken, NotReached
from linnetwind.upstream_list import Upstream

QUARANTINED = 'upstreams crashed under it'
_FIRST_SUCCESS = 200
_FIRST_REDIRECT = 300


def quarantine_left(tools: GatewayTools, journey: Journey) -> timedelta | None:
    """Return how long a request must not be sent to any upstream.

    Args:
      tools: What every request needs.
      journey: The request.

    Returns:
      The time that is left, None if it may be sent.
    """
    crashes = tools.state.books.crashes
    if not crashes.any_known:
        return None
    return crashes.quarantine(journey.fingerprint)


def note_if_crashed(
    tools: GatewayTools,
    journey: Journey,
    upstream: Upstream,
    broken: Broken,
    began: timedelta,
) -> None:
    """Find out whether an upstream crashed under a request, and remember it.

    A connection that breaks says little: upstreams spoil answers, and when a
    rank dies, all ranks of its group cut their streams. If each break counted,
    two crashes of ranks would put all streams of a group in quarantine. One
    that has crashed does not listen.

    Args:
      tools: What every request needs.
      journey: The request.
      upstream: The upstream that had it.
      broken: How the call ended.
      began: The monotonic time at which the request was sent there.
    """
    # Not what is left of the caller's time: with a millisecond of it every
    # upstream seems to have crashed.
    probe = tools.open_call(
        upstream.address, None, tools.clock, CONNECT_TIMEOUT
    )
    if not isinstance(probe, NotReached):
        probe.close()
        return
    request = journey.fingerprint
    crashes = tools.state.books.crashes
    of_group = note_rank_crash(tools.state, upstream, tools.clock.elapsed())
    left = crashes.note(request, upstream.life, began, of_group=of_group)
    tools.tell_peers()
    if crashes.is_proven(request):
        tools.keep_quarantine(request)
    tools.state.note_miss(upstream)
    tools.log.event(
        UpstreamCrashed(
            journey.facts.call_id,
            request,
            upstream.life,
            broken.problem,
            tools.clock.elapsed() - began,
            left,
        )
    )


def note_whole_answer(
    tools: GatewayTools, journey: Journey, done: Done
) -> None:
    """Take note of a request that an upstream has answered whole.

    Args:
      tools: What every request needs.
      journey: The request.
      done: How it ended.
    """
    success = _FIRST_SUCCESS <= done.status < _FIRST_REDIRECT
    if success:
        tools.state.books.crashes.answer(journey.fingerprint)
