"""Closes rank groups to new streams when one of their ranks crashes."""

from collections.abc import Iterable
from datetime import timedelta

from linnetwind.ages import moment_of
from linnetwind.crash_history import AdvertisedCrash
from linnetwind.gateway_state import GatewayState
from linnetwind.upstream_incarnation import tag_incarnation
from linnetwind.upstreams.upstream_list import Upstream

# A crash that a peer advertises at a greater age is ignored: by then the
# planner has published the state of the rank's group.
_MAX_CRASH_AGE_MS = 1_000


def record_rank_crash(
    state: GatewayState, upstream: Upstream, at: timedelta
) -> bool:
    """Record that an upstream has crashed, which breaks the group of a rank.

    Args:
      state: The daemon's shared state.
      upstream: The upstream.
      at: The monotonic time at which the crash was detected.

    Returns:
      Whether it was a rank that was not leaving. A leaving rank stops by
      itself, which is no crash.
    """
    table = state.table
    service = None if table is None else table.services.get(upstream.service)
    if service is None or service.engine is None:
        return False
    if state.stream_admission.record_crash(service.name, upstream.life, at):
        state.stream_admission.wake()
    not_leaving = state.upstreams.active(service.name, at)
    return any(other.life == upstream.life for other in not_leaving)


def merge_peer_rank_crashes(
    state: GatewayState, crashes: Iterable[AdvertisedCrash], now: timedelta
) -> None:
    """Record the crashes of ranks that a peer advertises.

    Args:
      state: The daemon's shared state.
      crashes: The advertised crashes under requests.
      now: The monotonic time.
    """
    crashed_at = {
        crash.life: moment_of(crash.ended_ms, now)
        for crash in crashes
        if crash.ended_ms < _MAX_CRASH_AGE_MS
    }
    if not crashed_at:
        return
    for record in state.upstreams.records.values():
        upstream = record.upstream
        if upstream is None:
            continue
        at = crashed_at.get(tag_incarnation(upstream.life))
        if at is not None:
            record_rank_crash(state, upstream, at)
