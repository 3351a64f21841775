"""What the planner tells all gateways of a service's rank groups."""

from collections.abc import Collection, Mapping
from datetime import timedelta

from linnetwind.peer_book import GroupBrief
from linnetwind.planned_group import PlannedGroup
from linnetwind.routes import RoutedService

# The least time until a rank that is away is expected back.
_RANK_BACK_MS = 800
_RANK_BACK = timedelta(milliseconds=_RANK_BACK_MS)
# A group of which a rank is missing, and whose passes have stood still for this
# long, is broken. Its ranks say so only when their engines give up, a second or
# more later. A pass that is in time takes half of this.
_STANDSTILL_MS = 300
_STANDSTILL = timedelta(milliseconds=_STANDSTILL_MS)
# A group without streams makes no passes; a look may take half of this where
# one rank's agent is slow.
_IDLE_STANDSTILL_MS = 1_000
_IDLE_STANDSTILL = timedelta(milliseconds=_IDLE_STANDSTILL_MS)
# By then the engines have given up, and what their ranks say holds. A planner
# that cannot reach one rank of an idle group would keep it closed for ever:
# without streams it makes no passes by which it could be seen to be sound.
_ENGINES_KNOW_S = 3
_ENGINES_KNOW = timedelta(seconds=_ENGINES_KNOW_S)
# A rank that takes so many times the usual time for the same work gets no new
# streams; smaller differences are left to the placement of experts.
SLOW_PACE = 1.4


def make_briefs(
    service: RoutedService,
    groups: Collection[PlannedGroup],
    now: timedelta,
    outages: Mapping[str, timedelta],
) -> list[GroupBrief]:
    """Return what the gateways need to know of a service's groups.

    Args:
      service: The service.
      groups: Its groups, as they were last seen.
      now: The monotonic time.
      outages: How long a group's outages last, of those that are known.

    Returns:
      A brief of each group that was seen.
    """
    return [
        _brief(service, each, now, outages.get(each.name, timedelta()))
        for each in groups
        if each.reports
    ]


def _brief(
    service: RoutedService,
    group: PlannedGroup,
    now: timedelta,
    outage: timedelta,
) -> GroupBrief:
    runs = is_open(group, now)
    opens_in = timedelta()
    if not runs:
        opens_in = _opens_in(service, group, now, outage)
    slow = [
        group.ranks[rank].life
        for rank, each in group.reports.items()
        if each.pace > SLOW_PACE
    ]
    return GroupBrief(
        service=service.name,
        group=group.name,
        epoch=max(each.epoch for each in group.reports.values()),
        is_open=runs,
        skew=group.skew,
        opens_in_ms=int(opens_in / timedelta(milliseconds=1)),
        # Also those that did not answer this time: their streams would be
        # missing from the group's count, and as many too many would begin.
        members=tuple(group.lives.values()),
        slow=tuple(slow),
    )


def _opens_in(
    service: RoutedService,
    group: PlannedGroup,
    now: timedelta,
    outage: timedelta,
) -> timedelta:
    """Return when a broken group is expected to open.

    With all ranks back only its forming is left. Otherwise it should take as
    long as last time. A rank that has been away for longer is expected to be
    away for as long again.
    """
    forming = timedelta(milliseconds=service.engine.form_ms)
    if _has_all_ranks(group):
        return forming
    away = now - group.whole_at
    if away + forming < outage:
        return outage - away
    return forming + max(_RANK_BACK, away)


def is_open(group: PlannedGroup, now: timedelta) -> bool:
    """Return whether a group runs streams.

    Args:
      group: The group, of which some rank has reported.
      now: The monotonic time.

    Returns:
      Whether it does, as far as this daemon can see.
    """
    if not all(each.is_open for each in group.reports.values()):
        return False
    if _has_all_ranks(group):
        return True
    # One that does not answer the planner may be sound; its group goes on.
    seen_sound_at = max(group.whole_at, group.stepped_at)
    is_busy = any(each.running for each in group.reports.values())
    longest = _STANDSTILL if is_busy else _IDLE_STANDSTILL
    stood_still = now - seen_sound_at
    return not longest <= stood_still < _ENGINES_KNOW


def _has_all_ranks(group: PlannedGroup) -> bool:
    size = max(each.size for each in group.reports.values())
    return len(group.reports) == size
