"""Which expert map is wanted next, from the counts and the map in use.

The load that this answers: every few seconds half of the popular experts
change. A plan copies few experts to each rank, so that its switch comes
within half a second, and is made only if it makes passes clearly shorter.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from linnetwind.placement import go_on, plan_moves, skew
from linnetwind.placement_levels import lacks_room, plan_levels, worth_of
from linnetwind.placement_types import (
    CopyLimits,
    ExpertMap,
    GroupLoad,
    PlacementPrices,
    Plan,
)
from linnetwind.rank_types import RankMaps, RankReport
from linnetwind.rollout import MapWish
from linnetwind.routes import EngineFigures

# Versions are drawn above all seen; so many to a step of the counter.
_VERSIONS = 1_000_000
# The copies to one rank by one plan: as many as fit into this time, and three
# at least. Copies of a rank follow each other, so this bounds the time to the
# switch. At three copies of 16 ms each a group of 72 ranks was left at a skew
# of 1.69 where nine come to 1.43 and, with a second plan, to 1.08 (made
# demand). At 330 ms two groups of 32 ranks copied three times as much and
# earned 0.89 of what their answers in time could, with this bound 0.97: demand
# shifts before long plans pay.
COPIES_PER_RANK = 3
_COPY_TIME_MS = 150
# The time over which a better map pays: the popular experts change every few
# seconds.
_HORIZON_S = 2.0
# The part by which passes take longer while any rank copies.
_COPY_SLOWDOWN = 0.15
# What moving a gigabyte costs a group, as seconds of its service. Under light
# load a better map serves nobody better; at half of this, 16 ranks moved twice
# as much in 34 s (1,790 GB against 925) and answered as many in time.
_COST_PER_GB_S = 0.0012
# A gain in skew below this share is not worth a rollout in a full group; in
# an empty one passes are far shorter than they may be, and only a great gain
# is. With one threshold for both, maps were changed twice a second on calm
# days, 1,800 GB in 34 s, for passes of half the time allowed.
LEAST_GAIN = 0.12
LEAST_GAIN_EMPTY = 0.42
# Up to so many times a skew at which nothing could be gained, nothing new is
# expected: demand is counted over some passes and differs by a few per cent.
_SAME_SKEW = 1.05
_MS_PER_S = 1000
# The part of the mean demand that every expert is taken to have, so that one
# that nobody chose lately is not piled up with others.
_BACKGROUND = 0.1


@dataclass(frozen=True, slots=True)
class PlannedMap:
    """What was planned; `wish` is None if the present map is to stay."""

    wish: MapWish | None
    moves: int
    skew_before: float
    skew_after: float
    reason: str


def plan_map(
    maps: RankMaps,
    tokens: tuple[tuple[float, ...], ...],
    reports: Mapping[int, RankReport],
    engine: EngineFigures,
    *,
    use: float,
    force: bool,
    pause: Callable[[], None] = go_on,
) -> PlannedMap:
    """Plan the next map.

    Args:
      maps: The map in use.
      tokens: The recent demand of each expert, by layer.
      reports: The ranks' reports, for their pace and versions.
      engine: The figures of the engines.
      use: The streams that run over those that could, from 0 to 1.
      force: Whether a new version is needed even without a gain.
      pause: Called again and again while a plan is made.

    Returns:
      The plan.
    """
    plan = _better_plan(
        _slots(maps, engine),
        _load(tokens, reports),
        _prices(engine, len(reports)),
        pause,
    )
    gain = 1 - plan.skew_after / plan.skew_before
    reason = plan.reason
    wish = None
    if force or gain >= _least_gain(use):
        target = _rank_maps(plan.target, engine)
        wish = MapWish(_new_version(reports), target)
    else:
        reason = 'the gain is too small'
    return PlannedMap(
        wish, len(plan.moves), plan.skew_before, plan.skew_after, reason
    )


def map_skew(
    maps: RankMaps,
    tokens: tuple[tuple[float, ...], ...],
    reports: Mapping[int, RankReport],
    engine: EngineFigures,
) -> float:
    """Return how uneven the present map is.

    Args:
      maps: The map in use.
      tokens: The recent demand of each expert, by layer.
      reports: The ranks' reports, for their pace.
      engine: The figures of the engines.

    Returns:
      A pass's time over that of a group in perfect balance.
    """
    return skew(_slots(maps, engine), _load(tokens, reports))


def may_gain(present: float, use: float, settled: float) -> bool:
    """Return whether a plan can be worth a change.

    Most looks find a group near balance. Planned at each of them all the
    same, 10 times a second, two groups of 8 ranks kept their planner's
    process busy, which also passes events of streams on.

    Args:
      present: The skew of the map in use.
      use: The streams that run over those that could, from 0 to 1.
      settled: The skew at which a plan was in vain just now, 0 without one.

    Returns:
      Whether perfect balance would gain enough, and the skew has grown since
      a plan gained too little.
    """
    grown = present >= settled * _SAME_SKEW
    return grown and 1 - 1 / present >= _least_gain(use)


def even_demand(engine: EngineFigures) -> tuple[tuple[float, ...], ...]:
    """Return the demand of a group of which nothing is known.

    Args:
      engine: The figures of the engines.

    Returns:
      The same demand for each expert, by layer.
    """
    layer = (float(1),) * engine.experts
    return (layer,) * engine.layers


def _better_plan(
    current: ExpertMap,
    load: GroupLoad,
    prices: PlacementPrices,
    pause: Callable[[], None],
) -> Plan:
    """Return the better of two plans.

    Where few experts may be copied, changes one by one use them best. Where
    many ranks are nearly as slow as the slowest, none of these gains anything
    and only many at once do: 192 ranks stopped at a skew of 1.76 to 2.22, and
    come to 1.12 to 1.17 with two plans (made demand).
    """
    levelled = plan_levels(current, load, prices, pause)
    if not lacks_room(levelled, prices):
        return levelled
    stepped = plan_moves(current, load, prices, pause)
    return max(levelled, stepped, key=lambda plan: worth_of(plan, prices))


def _prices(engine: EngineFigures, ranks: int) -> PlacementPrices:
    copies = COPIES_PER_RANK
    if engine.copy_ms:
        copies = max(copies, int(_COPY_TIME_MS / engine.copy_ms))
    return PlacementPrices(
        horizon=_HORIZON_S,
        skew_weight=1,
        cost_weight=1,
        seconds_per_move=_copy_cost(engine, ranks),
        max_moves=copies * ranks,
        copies=CopyLimits(copies, engine.new_experts, engine.experts),
    )


def _least_gain(use: float) -> float:
    return LEAST_GAIN + (LEAST_GAIN_EMPTY - LEAST_GAIN) * (1 - min(1, use))


def _copy_cost(engine: EngineFigures, ranks: int) -> float:
    """Return the seconds that a copy costs the whole group.

    All ranks copy at once, so that the time of one copy is shared by them.
    At a fixed 4 ms a copy, a group of 72 ranks was left at a skew of 2.3 to
    2.6; at 0.8 ms, with twice the copies, 1.9 to 2.2 (planned on made demand).
    """
    slowdown = _COPY_SLOWDOWN * engine.copy_ms / _MS_PER_S / ranks
    return slowdown + _COST_PER_GB_S * engine.expert_gb


def _new_version(reports: Mapping[int, RankReport]) -> int:
    """Draw a version above all seen.

    Two planners that draw at once must not name two maps alike; by chance
    that happens once in a million such races.
    """
    seen = max(
        max(each.map_version, each.prepared or 0, each.armed or 0)
        for each in reports.values()
    )
    counter = seen // _VERSIONS + 1
    return counter * _VERSIONS + random.randrange(_VERSIONS)


def _load(
    tokens: tuple[tuple[float, ...], ...], reports: Mapping[int, RankReport]
) -> GroupLoad:
    smoothed = tuple(_smooth(layer) for layer in tokens)
    slowness = tuple(reports[rank].pace for rank in range(len(reports)))
    return GroupLoad(smoothed, slowness)


def _smooth(layer: tuple[float, ...]) -> tuple[float, ...]:
    background = sum(layer) / len(layer) * _BACKGROUND
    # The number that stands for an empty slot comes last, without demand.
    return (*(each + background for each in layer), float(0))


def _slots(maps: RankMaps, engine: EngineFigures) -> ExpertMap:
    size = engine.slots_per_rank
    layers = tuple(
        tuple(
            expert
            for experts in layer
            for expert in (*experts, *[engine.experts] * (size - len(experts)))
        )
        for layer in maps
    )
    return ExpertMap(size, layers)


def _rank_maps(target: ExpertMap, engine: EngineFigures) -> RankMaps:
    size = target.slots_per_rank
    return tuple(
        tuple(
            tuple(sorted(set(layer[start : start + size]) - {engine.experts}))
            for start in range(0, len(layer), size)
        )
        for layer in target.layers
    )
