"""Switch the expert map of a rank group; no pass mixes two maps.

Orders to the engines may be lost, repeated, or carried out seconds late. The
planner may freeze between any two of them, and two planners may be active at
once. The ranks do not compare their maps with each other. Safety rests on the
ranks' reports alone:

- A pass is held at rank 0 before any rank is armed for it. The hold is the
  lock: a rank accepts one hold at a time, and the held pass cannot start until
  it is released.
- A held pass is released only after every rank has been seen armed for exactly
  that pass with the same version. Versions are drawn at random above all
  versions seen, so that one version never names two maps.
- A rank is disarmed only if another rank has been seen with a newer version
  prepared and not armed. That other rank can never be armed with the older
  version again, so no planner can have seen, or will see, all ranks armed with
  it.
- Orders are bound to the group's epoch and, where a late order could do harm,
  to the number of orders that the rank has started. A rank that restarts under
  its name counts these from 0 and reports the old epoch until the group has
  formed again. Forming clears the effects of any late orders up to then;
  afterwards the new epoch makes the rank refuse them.

No planner keeps state that matters for safety: each round is decided from the
ranks' reports and a target map, and any planner can finish a rollout that
another one started.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from linnetwind.rank_types import (
    ArmMap,
    DisarmMap,
    HoldPass,
    PrepareMap,
    RankMaps,
    RankOrder,
    RankReport,
    ReleasePass,
)

# The number of passes between the running pass and the one that switches to the
# new map. Arming takes a few milliseconds and a pass tens of them; if arming
# takes longer, the group waits at the held pass.
LEAD_PASSES = 2
# The same while orders go unanswered and have to be sent again. With the short
# lead a group waited at the held pass for the last of 72 ranks, which delayed
# every running stream by 0.2 to 0.4 s with each map. Arming the ranks took 0.04
# to 0.23 s with one order in ten lost; with 12 passes the maps came a second
# too late.
LONG_LEAD_PASSES = 6
# The rank whose held pass serves as the lock.
_LOCK_RANK = 0


@dataclass(frozen=True, slots=True)
class TargetMap:
    """The map to switch to, with a version that was never used before."""

    version: int
    maps: RankMaps


@dataclass(frozen=True, slots=True)
class RankCommand:
    """An order for one rank."""

    rank: int
    order: RankOrder


@dataclass(frozen=True, slots=True)
class Round:
    """The stage that the group is at, and the orders to send now."""

    stage: str
    commands: tuple[RankCommand, ...] = ()


Reports = Mapping[int, RankReport]


def is_whole(reports: Reports) -> bool:
    """Return whether all ranks of one open group report the same epoch.

    Args:
      reports: The reports by rank.

    Returns:
      Whether orders may be sent to the group at all.
    """
    if not reports:
        return False
    size = max(report.size for report in reports.values())
    # Ranks of different groups have the same numbers. Orders sent to a mixture
    # of them would leave each group with two maps.
    epochs = {(report.group, report.epoch) for report in reports.values()}
    all_open = all(report.is_open for report in reports.values())
    return len(reports) == size and len(epochs) == 1 and all_open


def next_round(
    reports: Reports, target: TargetMap | None, lead: int = LEAD_PASSES
) -> Round:
    """Decide the next orders.

    Args:
      reports: The newest known report of each rank. Every rank that was given
        an order has reported since.
      target: The map to switch to, or None to keep the map in use.
      lead: The number of passes after the running one at which the ranks switch
        to the map.

    Returns:
      The stage and the orders. The caller sends the orders, collects new
      reports and decides another round.
    """
    if not is_whole(reports):
        return Round('group is not whole')
    held = reports[_LOCK_RANK].held
    if held is not None:
        return _resolve_held_pass(reports, held, target)
    if any(report.armed is not None for report in reports.values()):
        return Round('waiting for the pass')
    if target is None or _is_stale(reports, target):
        return Round('idle')
    if all(report.map_version == target.version for report in reports.values()):
        return Round('in use')
    unprepared = _ranks_to_prepare(reports, target)
    if unprepared:
        return Round(
            'preparing', _prepare_commands(reports, unprepared, target)
        )
    if _is_any_copying(reports):
        return Round('preparing for another planner')
    return Round('holding', (_hold_command(reports, lead),))


def _resolve_held_pass(
    reports: Reports, held: int, target: TargetMap | None
) -> Round:
    """Resolve a held pass: agree on one version, arm all ranks, release."""
    versions = {_armable_version(each) for each in reports.values()}
    in_use = {each.map_version for each in reports.values()}
    if len(versions) > 1 or None in versions or versions & in_use:
        return _start_over(reports, target)
    version = min(versions)
    unarmed = [
        rank
        for rank, each in reports.items()
        if (each.armed, each.armed_step) != (version, held)
    ]
    if _is_any_copying(reports):
        # A copy that completes while its rank is armed could change the map
        # that the rank switches to.
        return Round('preparing for another planner')
    if not unarmed:
        epoch = reports[_LOCK_RANK].epoch
        release = RankCommand(_LOCK_RANK, ReleasePass(held, epoch))
        return Round('releasing', (release,))
    commands = []
    for rank in unarmed:
        report = reports[rank]
        order = ArmMap(version, held, report.epoch, report.sequence)
        commands.append(RankCommand(rank, order))
    return Round('arming', tuple(commands))


def _start_over(reports: Reports, target: TargetMap | None) -> Round:
    """Abandon a version with which not all ranks can be armed any more."""
    newest = max(report.prepared or 0 for report in reports.values())
    superseded = [
        RankCommand(rank, DisarmMap(report.armed, report.epoch))
        for rank, report in reports.items()
        if report.armed is not None and report.armed < newest
    ]
    if superseded and _has_rank_moved_on(reports, newest):
        return Round('disarming', tuple(superseded))
    in_use = {report.map_version for report in reports.values()}
    if target is None or _is_stale(reports, target) or target.version in in_use:
        return Round('a new map is needed')
    unprepared = _ranks_to_prepare(reports, target)
    return Round(
        'preparing anew', _prepare_commands(reports, unprepared, target)
    )


def _is_stale(reports: Reports, target: TargetMap) -> bool:
    """Return whether a rank has already seen a newer version than the target.

    That rank refuses the older version for ever. A planner that kept ordering
    it would leave a held group blocked.
    """
    return any(
        max(report.map_version, report.prepared or 0, report.armed or 0)
        > target.version
        for report in reports.values()
    )


def _has_rank_moved_on(reports: Reports, newest: int) -> bool:
    """Return whether a rank can no longer be armed with an older version.

    That is a rank that has the newest version prepared and is not armed.
    """
    return any(
        report.prepared == newest and report.armed != newest
        for report in reports.values()
    )


def _is_any_copying(reports: Reports) -> bool:
    return any(report.is_copying for report in reports.values())


def _armable_version(report: RankReport) -> int | None:
    """Return the version that a rank is armed with, or could be armed with."""
    return report.prepared if report.armed is None else report.armed


def _ranks_to_prepare(reports: Reports, target: TargetMap) -> list[int]:
    return [
        rank
        for rank, report in reports.items()
        if report.prepared != target.version and report.armed is None
    ]


def _prepare_commands(
    reports: Reports, ranks: list[int], target: TargetMap
) -> tuple[RankCommand, ...]:
    commands = []
    for rank in ranks:
        report = reports[rank]
        if report.is_copying:
            continue
        order = PrepareMap(
            target.version, report.epoch, report.sequence, target.maps
        )
        commands.append(RankCommand(rank, order))
    return tuple(commands)


def _hold_command(reports: Reports, lead: int) -> RankCommand:
    step = max(each.step for each in reports.values()) + lead
    report = reports[_LOCK_RANK]
    order = HoldPass(step, report.epoch, report.sequence)
    return RankCommand(_LOCK_RANK, order)
