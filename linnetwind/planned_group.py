"""What a planner knows of one service's rank group."""

from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.expert_demand import ExpertDemand
from linnetwind.group_looks import SeenRank, held_maps
from linnetwind.lives import Life
from linnetwind.pass_meter import USUAL_SKEW
from linnetwind.planner_rest import PlannerRest
from linnetwind.rank_link import GroupLinks
from linnetwind.rank_types import RankMaps, RankReport
from linnetwind.rollout import MapWish

Reports = dict[int, RankReport]


@dataclass
class PlannedGroup:
    """What the planner knows of one service's group."""

    links: GroupLinks
    whole_at: timedelta
    ranks: dict[int, SeenRank] = field(default_factory=dict)
    lives: dict[int, Life] = field(default_factory=dict)
    demand: ExpertDemand = field(default_factory=ExpertDemand)
    wish: MapWish | None = None
    reports: Reports = field(default_factory=dict)
    maps: RankMaps | None = None
    maps_of: tuple[int, int] | None = None
    counted_at: timedelta = timedelta()
    unanswered_at: timedelta | None = None
    stage: str = ''
    stage_since: timedelta = timedelta()
    was: tuple[int, bool] | None = None
    skew: float = USUAL_SKEW
    rest: PlannerRest = PlannerRest()


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
