"""Tells the room for streams of ranks that have crashed."""

from collections.abc import Iterable
from datetime import timedelta

from linnetwind.ages import moment_of
from linnetwind.crash_book import ToldCrash
from linnetwind.gateway_state import GatewayState
from linnetwind.lives import tag_life
from linnetwind.upstream_list import Upstream

# A crash that was told later than this says nothing of the rank's group: its
# planner has.
_NEWS_MS = 1_000


def note_rank_crash(
    state: GatewayState, upstream: Upstream, at: timedelta
) -> bool:
    """Take note that an upstream has crashed; a rank's group is broken then.

    Args:
      state: The daemon's shared state.
      upstream: The upstream.
      at: The monotonic time at which it was seen.

    Returns:
      Whether it was a rank that was to stay. One that leaves ends by itself.
    """
    table = state.table
    service = None if table is None else table.services.get(upstream.service)
    if service is None or service.engine is None:
        return False
    if state.room.note_crash(service.name, upstream.life, at):
        state.room.wake()
    staying = state.upstreams.usable(service.name, at)
    return any(each.life == upstream.life for each in staying)


def hear_rank_crashes(
    state: GatewayState, crashes: Iterable[ToldCrash], now: timedelta
) -> None:
    """Take in the crashes that a peer tells.

    Args:
      state: The daemon's shared state.
      crashes: The crashes.
      now: The monotonic time.
    """
    ended = {
        each.life: moment_of(each.ended_ms, now)
        for each in crashes
        if each.ended_ms < _NEWS_MS
    }
    if not ended:
        return
    for record in state.upstreams.records.values():
        upstream = record.upstream
        if upstream is None:
            continue
        at = ended.get(tag_life(upstream.life))
        if at is not None:
            note_rank_crash(state, upstream, at)
