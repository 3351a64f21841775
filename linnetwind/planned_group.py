"""What a planner knows of a service's rank groups."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.expert_demand import ExpertDemand
from linnetwind.group_looks import SeenRank, held_maps
from linnetwind.lives import Life
from linnetwind.pass_meter import USUAL_SKEW
from linnetwind.planner_rest import PlannerRest
from linnetwind.rank_link import GroupLinks
from linnetwind.rank_types import RankMaps, RankReport
from linnetwind.rollout import MapWish, is_whole

Reports = dict[int, RankReport]

# A group of which nobody has answered for this long is no longer planned.
_FORGOTTEN_S = 30
GROUP_FORGOTTEN = timedelta(seconds=_FORGOTTEN_S)


@dataclass
class PlannedGroup:
    """What the planner knows of one rank group.

    `name` tells it from the other groups of its service. `whole_at` is the
    monotonic time at which all its ranks were last seen, `stepped_at` that at
    which its passes were last seen to go on, by the ranks' newest `step`; at
    `settled_at` a plan found no gain worth a change, at the skew `settled`.
    """

    name: str
    links: GroupLinks
    whole_at: timedelta
    ranks: dict[int, SeenRank] = field(default_factory=dict)
    lives: dict[int, Life] = field(default_factory=dict)
    demand: ExpertDemand = field(default_factory=ExpertDemand)
    wish: MapWish | None = None
    reports: Reports = field(default_factory=dict)
    maps: RankMaps | None = None
    maps_of: tuple[int, int] | None = None
    unanswered_at: timedelta | None = None
    stage: str = ''
    stage_since: timedelta = timedelta()
    was: tuple[int, bool] | None = None
    skew: float = USUAL_SKEW
    rest: PlannerRest = PlannerRest()
    settled: float = 0
    settled_at: timedelta = timedelta()
    step: tuple[int, int] = (0, 0)
    stepped_at: timedelta = timedelta()


@dataclass
class PlannedService:
    """What the planner knows of a service; `groups` are by their names."""

    links: GroupLinks
    groups: dict[str, PlannedGroup] = field(default_factory=dict)
    counted_at: timedelta = timedelta()


def needs_experts(service: PlannedService) -> bool:
    """Return whether the ranks are to be asked which experts they hold.

    Args:
      service: The service.

    Returns:
      Whether the map of a group is not known.
    """
    groups = service.groups.values()
    return not groups or any(each.maps is None for each in groups)


def take_groups(
    service: PlannedService,
    seen: Mapping[str, Mapping[int, SeenRank]],
    now: timedelta,
) -> None:
    """Take in which groups a service has.

    Args:
      service: The service.
      seen: The ranks of each group that have just answered.
      now: The monotonic time.
    """
    for name in seen.keys() - service.groups.keys():
        service.groups[name] = PlannedGroup(name, service.links, now)
    for group in tuple(service.groups.values()):
        if group.name not in seen and now - group.whole_at > GROUP_FORGOTTEN:
            service.groups.pop(group.name)


def take_ranks(
    group: PlannedGroup, ranks: dict[int, SeenRank], now: timedelta
) -> None:
    """Take in what the ranks of a group have said.

    Args:
      group: The group.
      ranks: Those that have just answered.
      now: The monotonic time.
    """
    group.ranks = ranks
    group.reports = {rank: each.report for rank, each in ranks.items()}
    note_lives(group)
    step = max(
        ((each.epoch, each.step) for each in group.reports.values()),
        default=group.step,
    )
    if step > group.step:
        group.step = step
        group.stepped_at = now
    if is_whole(group.reports):
        group.whole_at = now
        take_maps(group, group.reports)


def note_lives(group: PlannedGroup) -> None:
    """Forget the maps of a group of which a rank has started again.

    It holds nothing of before, and what is planned from the map of its life
    before would name copies that are gone. The epoch ends with that life too,
    but the rank may report before the group has formed anew.

    Args:
      group: The group, whose ranks were just looked at.
    """
    lives = {rank: each.life for rank, each in group.ranks.items()}
    if any(group.lives.get(rank, life) != life for rank, life in lives.items()):
        forget_maps(group)
    group.lives.update(lives)


def forget_maps(group: PlannedGroup) -> None:
    """Forget the map in use and the one that is wanted.

    Args:
      group: The group.
    """
    group.wish = None
    group.maps = None
    group.skew = USUAL_SKEW
    group.settled = 0


def take_maps(group: PlannedGroup, reports: Reports) -> None:
    """Learn which map is in use: from the wish, or from the ranks.

    Args:
      group: The group.
      reports: The reports of all its ranks.
    """
    versions = {each.map_version for each in reports.values()}
    if len(versions) > 1:
        return
    in_use = (reports[0].epoch, min(versions))
    if group.maps_of == in_use and group.maps is not None:
        return
    if group.wish is not None and group.wish.version == in_use[1]:
        group.maps = group.wish.maps
    else:
        group.maps = held_maps(group.ranks, *in_use)
    group.maps_of = in_use
