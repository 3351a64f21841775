"""Summaries of rank groups that the planner sends to all gateways."""

from collections.abc import Collection, Mapping
from datetime import timedelta

from linnetwind.admission.slow_group import SLOW_PACE
from linnetwind.peers.peer_table import MAX_PACE, GroupSummary
from linnetwind.planned_group import PlannedGroup
from linnetwind.routes import RoutedService

# The minimum time until an unavailable rank is expected back.
_MIN_RANK_ABSENCE_MS = 800
_MIN_RANK_ABSENCE = timedelta(milliseconds=_MIN_RANK_ABSENCE_MS)
# A group is broken if one of its ranks does not reply and the group has made no
# progress for this long. Its ranks report this only when their engines give up,
# a second or more later. A pass that is on time takes half as long.
_STANDSTILL_MS = 300
_STANDSTILL = timedelta(milliseconds=_STANDSTILL_MS)
# The same for a group without streams, which makes no passes. A poll may take
# half as long if the agent of a rank is slow.
_IDLE_STANDSTILL_MS = 1_000
_IDLE_STANDSTILL = timedelta(milliseconds=_IDLE_STANDSTILL_MS)
# After this time the engines of a broken group have given up, so what their
# ranks report is true again. Without this limit a planner that cannot reach one
# rank of an idle group would keep the group closed forever: without streams it
# makes no passes that would show that it is healthy.
_ENGINE_TIMEOUT_S = 3
_ENGINE_TIMEOUT = timedelta(seconds=_ENGINE_TIMEOUT_S)


def make_summaries(
    service: RoutedService,
    groups: Collection[PlannedGroup],
    now: timedelta,
    outages: Mapping[str, timedelta],
) -> list[GroupSummary]:
    """Summarize the groups of a service for the gateways.

    Args:
      service: The service.
      groups: Its groups, as of the last poll.
      now: The monotonic time.
      outages: The length of the last outage by group, where it is known.

    Returns:
      A summary of each group of which a rank has replied.
    """
    return [
        _summarize(service, each, now, outages.get(each.name, timedelta()))
        for each in groups
        if each.reports
    ]


def _summarize(
    service: RoutedService,
    group: PlannedGroup,
    now: timedelta,
    outage: timedelta,
) -> GroupSummary:
    group_is_open = is_open(group, now)
    opens_in = timedelta()
    if not group_is_open:
        opens_in = _opens_in(service, group, now, outage)
    slow = [
        group.ranks[rank].life
        for rank, each in group.reports.items()
        if each.pace > SLOW_PACE
    ]
    return GroupSummary(
        service=service.name,
        group=group.name,
        epoch=max(each.epoch for each in group.reports.values()),
        is_open=group_is_open,
        skew=group.skew,
        opens_in_ms=int(opens_in / timedelta(milliseconds=1)),
        # Includes the ranks that did not reply to the last poll. Otherwise
        # their streams would be missing from the group's count, and as many
        # excess streams would be admitted.
        members=tuple(group.incarnations.values()),
        slow=tuple(slow),
        pace=min(MAX_PACE, max(each.pace for each in group.reports.values())),
    )


def _opens_in(
    service: RoutedService,
    group: PlannedGroup,
    now: timedelta,
    outage: timedelta,
) -> timedelta:
    """Return how long it should take until a broken group opens.

    If all ranks are back, the group only has to form. Otherwise the outage is
    expected to last as long as the previous one. If it already lasts longer,
    the missing rank is expected to stay away for as long again.
    """
    forming = timedelta(milliseconds=service.engine.form_ms)
    if _is_complete(group):
        return forming
    absence = now - group.whole_at
    if absence + forming < outage:
        return outage - absence
    return forming + max(_MIN_RANK_ABSENCE, absence)


def is_open(group: PlannedGroup, now: timedelta) -> bool:
    """Return whether a group runs streams, as far as this daemon can observe.

    Args:
      group: The group, of which at least one rank has reported.
      now: The monotonic time.

    Returns:
      Whether the group is open.
    """
    if not all(each.is_open for each in group.reports.values()):
        return False
    if _is_complete(group):
        return True
    # A rank that does not reply to the planner may still be healthy. In that
    # case its group continues to make passes.
    last_healthy_at = max(group.whole_at, group.progressed_at)
    is_busy = any(each.running for each in group.reports.values())
    limit = _STANDSTILL if is_busy else _IDLE_STANDSTILL
    standstill = now - last_healthy_at
    return not limit <= standstill < _ENGINE_TIMEOUT


def _is_complete(group: PlannedGroup) -> bool:
    size = max(each.size for each in group.reports.values())
    return len(group.reports) == size
