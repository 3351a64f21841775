"""The state that a planner keeps for each rank group of a service."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.admission.pass_time_estimator import DEFAULT_SKEW
from linnetwind.experts.copy_payback import ShiftHistory
from linnetwind.experts.expert_demand import ExpertDemand
from linnetwind.experts.lasting_demand import LastingDemand
from linnetwind.group_observations import ObservedRank, held_maps
from linnetwind.planner_backoff import PlannerBackoff
from linnetwind.rank_link import GroupLinks
from linnetwind.rank_types import LaneCounts, RankMaps, RankReport
from linnetwind.rollout import TargetMap, is_whole
from linnetwind.upstream_incarnation import UpstreamIncarnation

Reports = dict[int, RankReport]

# A group of which no rank replies is discarded this long after it was last
# complete.
_GROUP_EXPIRY_S = 30
GROUP_EXPIRY = timedelta(seconds=_GROUP_EXPIRY_S)


@dataclass
class PlannedGroup:
    """The planner's state of one rank group; all times are monotonic.

    `name` is unique within the service. `ranks` holds the ranks that replied
    to the last poll and `reports` their newest reports; `incarnations` also
    covers ranks that did not reply. `whole_at` is the time at which all ranks
    of the open group last replied. `step` is the newest epoch and step that a
    rank has reported, and `progressed_at` the time at which it last increased.

    `demand` is the present demand for experts, `lasting` the demand to plan
    for, and `shifts` tells how often it has shifted.

    `maps` is the expert map in use, if known, and `maps_version` its epoch and
    version. `target` is the map that is being rolled out, and `backoff` delays
    the next one after another planner's map superseded it. At `settled_at` a
    plan found no gain that was worth a change, at the skew `settled`.

    `unanswered_at` is the time of the last order without a reply. `stage` is
    the stage of the rollout since `stage_since`. `logged_state` is the epoch
    that was last logged, and whether the group was complete and open then.
    """

    name: str
    links: GroupLinks
    whole_at: timedelta
    ranks: dict[int, ObservedRank] = field(default_factory=dict)
    incarnations: dict[int, UpstreamIncarnation] = field(default_factory=dict)
    demand: ExpertDemand = field(default_factory=ExpertDemand)
    lasting: LastingDemand = LastingDemand()
    shifts: ShiftHistory = ShiftHistory()
    target: TargetMap | None = None
    reports: Reports = field(default_factory=dict)
    maps: RankMaps | None = None
    maps_version: tuple[int, int] | None = None
    unanswered_at: timedelta | None = None
    stage: str = ''
    stage_since: timedelta = timedelta()
    logged_state: tuple[int, bool] | None = None
    skew: float = DEFAULT_SKEW
    backoff: PlannerBackoff = PlannerBackoff()
    settled: float = 0
    settled_at: timedelta = timedelta()
    step: tuple[int, int] = (0, 0)
    progressed_at: timedelta = timedelta()


@dataclass
class PlannedService:
    """The planner's state of one service.

    `groups` holds its groups by name, and `counted_at` is the monotonic time at
    which the token counts were last read.
    """

    links: GroupLinks
    groups: dict[str, PlannedGroup] = field(default_factory=dict)
    counted_at: timedelta = timedelta()


def needs_experts(service: PlannedService) -> bool:
    """Return whether the ranks must be queried for the experts they hold.

    Args:
      service: The service.

    Returns:
      Whether the map of any group is unknown.
    """
    groups = service.groups.values()
    return not groups or any(each.maps is None for each in groups)


def update_groups(
    service: PlannedService,
    observed: Mapping[str, Mapping[int, ObservedRank]],
    now: timedelta,
) -> None:
    """Add the new groups of a service and discard those that are gone.

    Args:
      service: The service.
      observed: The ranks that replied to the last poll, by group.
      now: The monotonic time.
    """
    for name in observed.keys() - service.groups.keys():
        service.groups[name] = PlannedGroup(name, service.links, now)
    for group in tuple(service.groups.values()):
        if group.name not in observed and now - group.whole_at > GROUP_EXPIRY:
            service.groups.pop(group.name)


def update_ranks(
    group: PlannedGroup, ranks: dict[int, ObservedRank], now: timedelta
) -> None:
    """Update a group with the replies of its ranks.

    Args:
      group: The group.
      ranks: The ranks that replied to the last poll.
      now: The monotonic time.
    """
    group.ranks = ranks
    group.reports = {rank: each.report for rank, each in ranks.items()}
    discard_maps_after_restart(group)
    step = max(
        ((each.epoch, each.step) for each in group.reports.values()),
        default=group.step,
    )
    if step > group.step:
        group.step = step
        group.progressed_at = now
    if is_whole(group.reports):
        group.whole_at = now
        update_maps(group, group.reports)


def update_demand(
    group: PlannedGroup, counts: Mapping[int, LaneCounts], now: timedelta
) -> None:
    """Update the demand of a group with newer counts.

    Args:
      group: The group.
      counts: The counts of each rank that has replied.
      now: The monotonic time.
    """
    group.demand = group.demand.apply_counts(counts, now)
    group.lasting = group.lasting.apply_counts(
        group.demand.added, group.demand.recent, now
    )
    group.shifts = group.shifts.begin(now)
    if group.lasting.has_shifted:
        group.shifts = group.shifts.record_shift(now)


def discard_maps_after_restart(group: PlannedGroup) -> None:
    """Discard the maps of a group if one of its ranks has restarted.

    A restarted rank holds no experts, and a plan based on the map of its
    previous incarnation would refer to copies that no longer exist. The epoch
    also ends with that incarnation, but the rank may report before the group
    has formed again.

    Args:
      group: The group, whose `ranks` come from the last poll.
    """
    incarnations = {rank: each.life for rank, each in group.ranks.items()}
    if any(
        group.incarnations.get(rank, life) != life
        for rank, life in incarnations.items()
    ):
        discard_maps(group)
    group.incarnations.update(incarnations)


def discard_maps(group: PlannedGroup) -> None:
    """Discard the map in use and the target map.

    Args:
      group: The group.
    """
    group.target = None
    group.maps = None
    group.skew = DEFAULT_SKEW
    group.settled = 0


def update_maps(group: PlannedGroup, reports: Reports) -> None:
    """Determine which map is in use: the target map or what the ranks hold.

    Nothing changes while the ranks report different versions.

    Args:
      group: The group.
      reports: The reports of all its ranks.
    """
    versions = {each.map_version for each in reports.values()}
    if len(versions) > 1:
        return
    in_use = (reports[0].epoch, min(versions))
    if group.maps_version == in_use and group.maps is not None:
        return
    if group.target is not None and group.target.version == in_use[1]:
        group.maps = group.target.maps
    else:
        group.maps = held_maps(group.ranks, *in_use)
    group.maps_version = in_use
