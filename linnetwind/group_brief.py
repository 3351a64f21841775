"""What the planner tells all gateways of a service's rank groups."""

from collections.abc import Collection

from linnetwind.lives import Life
from linnetwind.pass_meter import USUAL_SKEW
from linnetwind.peer_book import GroupBrief
from linnetwind.planned_group import PlannedGroup
from linnetwind.routes import RoutedService

# What is said of the time until a broken group opens, beyond its forming.
_RANK_BACK_MS = 800
# A rank that takes so many times the usual time for the same work gets no new
# streams; smaller differences are left to the placement of experts.
SLOW_PACE = 1.4


def make_brief(
    service: RoutedService, groups: Collection[PlannedGroup]
) -> GroupBrief:
    """Return what the gateways need to know of a service's groups.

    A service takes streams while one of its groups is open. The ranks of the
    others then get none: they would only refuse them.

    Args:
      service: The service.
      groups: Its groups, as they were last seen.

    Returns:
      The brief.
    """
    seen = [each for each in groups if each.reports]
    open_groups = [each for each in seen if _is_open(each)]
    is_open = not seen or bool(open_groups)
    opens_in = 0 if is_open else int(service.engine.form_ms) + _RANK_BACK_MS
    passed_over = [
        life
        for each in seen
        for life in _passed_over(each, beside_open=bool(open_groups))
    ]
    return GroupBrief(
        service.name,
        max((_epoch(each) for each in seen), default=0),
        is_open,
        max((each.skew for each in groups), default=USUAL_SKEW),
        opens_in,
        tuple(passed_over),
    )


def _is_open(group: PlannedGroup) -> bool:
    return all(each.is_open for each in group.reports.values())


def _epoch(group: PlannedGroup) -> int:
    return max(each.epoch for each in group.reports.values())


def _passed_over(group: PlannedGroup, *, beside_open: bool) -> list[Life]:
    broken = beside_open and not _is_open(group)
    return [
        group.ranks[rank].life
        for rank, each in group.reports.items()
        if broken or each.pace > SLOW_PACE
    ]
