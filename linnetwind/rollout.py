"""Changing the expert map of a rank group so that no pass mixes two maps.

The engine's orders may be lost, repeated, or carried out seconds late, the
planner may freeze between any two of them, and there may be two planners.
The ranks do not compare maps. Safety rests on the reports alone:

- A pass is held at rank 0 before any rank is armed for it. The hold is the
  lock: a rank has one at a time, and the pass cannot begin while it stands.
- A held pass is released only after every rank was seen armed for just that
  pass with one and the same version. Versions are drawn at random above all
  that were seen, so that one version never names two maps.
- A rank is disarmed only if another rank was seen with a newer version
  prepared and not armed. That rank can never be armed with the older version
  again, so nobody can have seen, or will see, all ranks armed with it.
- Orders are bound to the group's epoch and, where they could do harm late,
  to the number of orders that the rank has begun. A rank that starts again
  under its name counts these from 0 and names the old epoch until the group
  has formed anew, which clears what late orders did until then; after that
  the epoch refuses them.

No planner keeps state that matters: each round is decided from the ranks'
reports and a wish, and any planner can finish what another one began.
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

# The passes from the one that runs to the one at which a map is taken up.
# Arming takes a few milliseconds and a pass tens of them; if it takes longer
# the group waits at the held pass.
LEAD_PASSES = 2
# The same while orders stay unanswered and have to be given again. A group
# that waited at the held pass for the last of 72 ranks made every running
# stream late, 0.2 to 0.4 s with each map. Arming them took 0.04 to 0.23 s with
# one order in ten lost; with 12 passes the maps came a second too late.
LONG_LEAD_PASSES = 6
_LOCK_RANK = 0


@dataclass(frozen=True, slots=True)
class MapWish:
    """The map that is wanted next, with a version never used before."""

    version: int
    maps: RankMaps


@dataclass(frozen=True, slots=True)
class RankCommand:
    """An order for one rank."""

    rank: int
    order: RankOrder


@dataclass(frozen=True, slots=True)
class Round:
    """What to do now, and at which stage the group is."""

    stage: str
    commands: tuple[RankCommand, ...] = ()


Reports = Mapping[int, RankReport]


def is_whole(reports: Reports) -> bool:
    """Return whether all ranks of an open group of one epoch have reported.

    Args:
      reports: The reports by rank.

    Returns:
      Whether orders may be given at all.
    """
    if not reports:
        return False
    size = max(each.size for each in reports.values())
    # Ranks of two groups have the same numbers; orders for a mixture of them
    # would leave each group with two maps.
    epochs = {(each.group, each.epoch) for each in reports.values()}
    all_open = all(each.is_open for each in reports.values())
    return len(reports) == size and len(epochs) == 1 and all_open


def next_round(
    reports: Reports, wish: MapWish | None, lead: int = LEAD_PASSES
) -> Round:
    """Decide the next orders.

    Args:
      reports: The newest report of each rank that is known. A rank that was
        given an order has reported since.
      wish: The map that is wanted, or None if the present one is to stay.
      lead: The passes until a map is taken up.

    Returns:
      The orders; to be followed by new reports and another round.
    """
    if not is_whole(reports):
        return Round('group is not whole')
    held = reports[_LOCK_RANK].held
    if held is not None:
        return _finish(reports, held, wish)
    if any(each.armed is not None for each in reports.values()):
        return Round('waiting for the pass')
    if wish is None or _is_stale(reports, wish):
        return Round('idle')
    if all(each.map_version == wish.version for each in reports.values()):
        return Round('in use')
    missing = _unprepared(reports, wish)
    if missing:
        return Round('preparing', _prepare(reports, missing, wish))
    if _any_copies(reports):
        return Round('preparing for another planner')
    return Round('holding', (_hold(reports, lead),))


def _finish(reports: Reports, held: int, wish: MapWish | None) -> Round:
    """Bring a group with a held pass to one map, and let it go on."""
    versions = {_coming(each) for each in reports.values()}
    in_use = {each.map_version for each in reports.values()}
    if len(versions) > 1 or None in versions or versions & in_use:
        return _start_over(reports, wish)
    version = min(versions)
    unarmed = [
        rank
        for rank, each in reports.items()
        if (each.armed, each.armed_step) != (version, held)
    ]
    if _any_copies(reports):
        # A copy that ends while its rank is armed could change what the rank
        # takes up.
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


def _start_over(reports: Reports, wish: MapWish | None) -> Round:
    """Leave a version that can no longer be armed everywhere."""
    newest = max(each.prepared or 0 for each in reports.values())
    overtaken = [
        RankCommand(rank, DisarmMap(each.armed, each.epoch))
        for rank, each in reports.items()
        if each.armed is not None and each.armed < newest
    ]
    if overtaken and _is_barred(reports, newest):
        return Round('disarming', tuple(overtaken))
    in_use = {each.map_version for each in reports.values()}
    if wish is None or _is_stale(reports, wish) or wish.version in in_use:
        return Round('a new map is needed')
    missing = _unprepared(reports, wish)
    return Round('preparing anew', _prepare(reports, missing, wish))


def _is_stale(reports: Reports, wish: MapWish) -> bool:
    """Return whether a rank has had a newer version than the one wanted.

    It refuses the older one for ever; a planner that kept asking for it
    would leave a held group standing.
    """
    return any(
        max(each.map_version, each.prepared or 0, each.armed or 0)
        > wish.version
        for each in reports.values()
    )


def _is_barred(reports: Reports, newest: int) -> bool:
    """Return whether a rank can no longer be armed with what came before."""
    return any(
        each.prepared == newest and each.armed != newest
        for each in reports.values()
    )


def _any_copies(reports: Reports) -> bool:
    return any(each.is_copying for each in reports.values())


def _coming(report: RankReport) -> int | None:
    """Return the version that a rank is armed with, or could be."""
    return report.prepared if report.armed is None else report.armed


def _unprepared(reports: Reports, wish: MapWish) -> list[int]:
    return [
        rank
        for rank, each in reports.items()
        if each.prepared != wish.version and each.armed is None
    ]


def _prepare(
    reports: Reports, ranks: list[int], wish: MapWish
) -> tuple[RankCommand, ...]:
    commands = []
    for rank in ranks:
        report = reports[rank]
        if report.is_copying:
            continue
        order = PrepareMap(
            wish.version, report.epoch, report.sequence, wish.maps
        )
        commands.append(RankCommand(rank, order))
    return tuple(commands)


def _hold(reports: Reports, lead: int) -> RankCommand:
    step = max(each.step for each in reports.values()) + lead
    report = reports[_LOCK_RANK]
    order = HoldPass(step, report.epoch, report.sequence)
    return RankCommand(_LOCK_RANK, order)
