"""What the planner tells all gateways of a service's rank groups."""

from collections.abc import Collection
from datetime import timedelta

from linnetwind.peer_book import GroupBrief
from linnetwind.planned_group import PlannedGroup
from linnetwind.routes import RoutedService

# The least time until a rank that is away is expected back.
_RANK_BACK_MS = 800
_RANK_BACK = timedelta(milliseconds=_RANK_BACK_MS)
# A rank that takes so many times the usual time for the same work gets no new
# streams; smaller differences are left to the placement of experts.
SLOW_PACE = 1.4


def make_briefs(
    service: RoutedService, groups: Collection[PlannedGroup], now: timedelta
) -> list[GroupBrief]:
    """Return what the gateways need to know of a service's groups.

    Args:
      service: The service.
      groups: Its groups, as they were last seen.
      now: The monotonic time.

    Returns:
      A brief of each group that was seen.
    """
    return [_brief(service, each, now) for each in groups if each.reports]


def _brief(
    service: RoutedService, group: PlannedGroup, now: timedelta
) -> GroupBrief:
    is_open = _is_open(group)
    opens_in = timedelta() if is_open else _opens_in(service, group, now)
    slow = [
        group.ranks[rank].life
        for rank, each in group.reports.items()
        if each.pace > SLOW_PACE
    ]
    return GroupBrief(
        service=service.name,
        group=group.name,
        epoch=max(each.epoch for each in group.reports.values()),
        is_open=is_open,
        skew=group.skew,
        opens_in_ms=int(opens_in / timedelta(milliseconds=1)),
        # Also those that did not answer this time: their streams would be
        # missing from the group's count, and as many too many would begin.
        members=tuple(group.lives.values()),
        slow=tuple(slow),
    )


def _opens_in(
    service: RoutedService, group: PlannedGroup, now: timedelta
) -> timedelta:
    """Return when a broken group is expected to open.

    With all ranks back only its forming is left. A rank that has been away
    for some time is expected to be away for as long again.
    """
    forming = timedelta(milliseconds=service.engine.form_ms)
    size = max(each.size for each in group.reports.values())
    if len(group.reports) == size:
        return forming
    return forming + max(_RANK_BACK, now - group.whole_at)


def _is_open(group: PlannedGroup) -> bool:
    return all(each.is_open for each in group.reports.values())
