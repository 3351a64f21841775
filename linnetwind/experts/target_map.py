"""Plan the next expert map from the experts' demand and the map in use.

Handles demand in which half of the popular experts change every few seconds. A
plan copies few experts to each rank, so that the group can switch within half a
second, and is made only if it makes passes clearly shorter.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.experts.copy_payback import USUAL_LIFE
from linnetwind.placement import no_pause, plan_moves, skew
from linnetwind.placement_level_plan import (
    net_benefit,
    plan_levels,
    reaches_copy_limit,
)
from linnetwind.placement_types import (
    CopyLimits,
    ExpertMap,
    GroupLoad,
    PlacementPrices,
    Plan,
)
from linnetwind.rank_types import RankMaps, RankReport
from linnetwind.rollout import TargetMap
from linnetwind.routes import EngineProfile

# A version is a counter times this number plus a random number below it, so
# that versions of different planners differ.
_VERSIONS_PER_COUNT = 1_000_000
# A plan copies as many experts to a rank as fit into the copy time, and at
# least this many. A rank makes its copies one after the other, so this bounds
# the time until the switch. At three copies of 16 ms each, a group of 72 ranks
# was left at a skew of 1.69; nine copies bring it to 1.43 and, with a second
# plan, to 1.08 (synthetic demand). With a copy time of 330 ms two groups of 32
# ranks copied three times as much and earned 0.89 of what their responses in
# time could have earned; with this bound they earned 0.97, because demand
# shifts before long plans pay off.
MIN_COPIES_PER_RANK = 3
_COPY_TIME_MS = 150
# The fraction by which passes take longer while any rank copies.
_COPY_SLOWDOWN = 0.15
# The cost of moving one gigabyte, in seconds of the group's service. Under
# light load a better map brings callers no benefit: at half of this cost, 16
# ranks moved twice as much in 34 s (1,790 GB against 925) and answered as many
# requests in time.
_COST_PER_GB_S = 0.0012
# The smallest gain in skew that is worth a rollout, as a fraction: the first
# for a fully used group, the second for an idle one, in between by utilization.
# In an idle group passes are far shorter than they need to be, so only a large
# gain is worth copying. With one threshold for both, maps changed twice a
# second on calm days, 1,800 GB in 34 s, while passes took half the time
# allowed.
MIN_GAIN = 0.12
MIN_GAIN_IDLE = 0.42
# After a plan has gained too little, no new plan is made until the skew has
# grown by this factor. Demand is counted over a few passes and varies by a few
# per cent.
_SKEW_GROWTH = 1.05
_MS_PER_S = 1000
# Every expert is assumed to have at least this fraction of the mean demand, so
# that experts without recent demand are not all placed on one rank.
_BACKGROUND_DEMAND = 0.1


@dataclass(frozen=True, slots=True)
class PlannedMap:
    """A planning result; without a map if the one in use is to stay."""

    target: TargetMap | None
    moves: int
    skew_before: float
    skew_after: float
    reason: str


@dataclass(frozen=True, slots=True)
class PlanTerms:
    """Terms of a plan.

    `life` is the expected life of the gain of a better map. `pause` is called
    repeatedly while the plan is made, so that other threads of the process can
    run.
    """

    life: timedelta = USUAL_LIFE
    pause: Callable[[], None] = no_pause


DEFAULT_TERMS = PlanTerms()


def plan_map(
    maps: RankMaps,
    tokens: tuple[tuple[float, ...], ...],
    reports: Mapping[int, RankReport],
    engine: EngineProfile,
    *,
    utilization: float,
    force: bool,
    terms: PlanTerms = DEFAULT_TERMS,
) -> PlannedMap:
    """Plan the next map.

    Args:
      maps: The map in use.
      tokens: The recent demand of each expert, by layer.
      reports: The ranks' reports, for their relative slowness and their map
        versions.
      engine: The figures of the engines.
      utilization: Running streams over the group's capacity, from 0 to
        1.
      force: Whether a new version is needed even without a gain.
      terms: The expected life of the gain, and the pause in between.

    Returns:
      The planned map, or the reason why the map in use stays.
    """
    plan = _better_plan(
        _expert_map(maps, engine),
        _group_load(tokens, reports),
        _prices(engine, len(reports), terms.life),
        terms.pause,
    )
    gain = 1 - plan.skew_after / plan.skew_before
    reason = plan.reason
    next_target = None
    if force or gain >= _min_gain(utilization, terms.life):
        target = _rank_maps(plan.target, engine)
        next_target = TargetMap(_new_version(reports), target)
    else:
        reason = 'the gain is too small'
    return PlannedMap(
        next_target, len(plan.moves), plan.skew_before, plan.skew_after, reason
    )


def map_skew(
    maps: RankMaps,
    tokens: tuple[tuple[float, ...], ...],
    reports: Mapping[int, RankReport],
    engine: EngineProfile,
) -> float:
    """Return the skew of the map in use.

    Args:
      maps: The map in use.
      tokens: The recent demand of each expert, by layer.
      reports: The ranks' reports, for their relative slowness.
      engine: The figures of the engines.

    Returns:
      The time of a pass over that of a perfectly balanced group; 1 at best.
    """
    return skew(_expert_map(maps, engine), _group_load(tokens, reports))


def can_gain(
    current_skew: float,
    utilization: float,
    futile_skew: float,
    life: timedelta = USUAL_LIFE,
) -> bool:
    """Return whether a plan could gain enough to be worth a rollout.

    Most polls find a group near balance. When a plan was made at every poll all
    the same, 10 times a second, two groups of 8 ranks kept the planner's
    process busy, which also relays the events of streams.

    Args:
      current_skew: The skew of the map in use.
      utilization: Running streams over the group's capacity, from 0 to
        1.
      futile_skew: The skew at which a recent plan gained too little; 0 if there
        is none.
      life: The expected life of the gain of a better map.

    Returns:
      Whether perfect balance would gain enough, and the skew has grown since a
      plan gained too little.
    """
    grown = current_skew >= futile_skew * _SKEW_GROWTH
    return grown and 1 - 1 / current_skew >= _min_gain(utilization, life)


def even_demand(engine: EngineProfile) -> tuple[tuple[float, ...], ...]:
    """Return the demand to assume for a group whose demand is unknown.

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
    """Return the better of a plan by levels and a plan by single changes.

    Where few experts may be copied, single changes use the copies best. Where
    many ranks are nearly as slow as the slowest, no single change gains
    anything and only many at once do: single changes left 192 ranks at a skew
    of 1.76 to 2.22, and two plans by levels bring them to 1.12 to 1.17
    (synthetic demand).
    """
    level_plan = plan_levels(current, load, prices, pause)
    if not reaches_copy_limit(level_plan, prices):
        return level_plan
    stepwise_plan = plan_moves(current, load, prices, pause)
    return max(
        level_plan, stepwise_plan, key=lambda plan: net_benefit(plan, prices)
    )


def _prices(
    engine: EngineProfile, ranks: int, life: timedelta
) -> PlacementPrices:
    copies = MIN_COPIES_PER_RANK
    if engine.copy_ms:
        copies = max(copies, int(_COPY_TIME_MS / engine.copy_ms))
    return PlacementPrices(
        horizon=min(life, USUAL_LIFE).total_seconds(),
        skew_weight=1,
        cost_weight=1,
        seconds_per_move=_copy_cost(engine, ranks),
        max_moves=copies * ranks,
        copies=CopyLimits(copies, engine.new_experts, engine.experts),
    )


def _min_gain(utilization: float, life: timedelta) -> float:
    """Return the smallest gain in skew that is worth a rollout.

    A gain that lasts longer than usual is worth a rollout when it is smaller.
    In an idle group it is worth none however long it lasts.
    """
    full = MIN_GAIN * min(1, USUAL_LIFE / life)
    return full + (MIN_GAIN_IDLE - full) * (1 - min(1, utilization))


def _copy_cost(engine: EngineProfile, ranks: int) -> float:
    """Return the seconds that one copy costs the whole group.

    All ranks copy at the same time, so the time of one copy is divided by their
    number. At a fixed 4 ms a copy, a group of 72 ranks was left at a skew of
    2.3 to 2.6; at 0.8 ms, with twice the copies, 1.9 to 2.2 (synthetic demand).
    """
    slowdown = _COPY_SLOWDOWN * engine.copy_ms / _MS_PER_S / ranks
    return slowdown + _COST_PER_GB_S * engine.expert_gb


def _new_version(reports: Mapping[int, RankReport]) -> int:
    """Draw a random version above all versions seen.

    Two planners that draw at the same time must not give two maps the same
    version; that happens by chance once in a million such races.
    """
    seen = max(
        max(report.map_version, report.prepared or 0, report.armed or 0)
        for report in reports.values()
    )
    counter = seen // _VERSIONS_PER_COUNT + 1
    return counter * _VERSIONS_PER_COUNT + random.randrange(_VERSIONS_PER_COUNT)


def _group_load(
    tokens: tuple[tuple[float, ...], ...], reports: Mapping[int, RankReport]
) -> GroupLoad:
    smoothed = tuple(_add_background(layer) for layer in tokens)
    slowness = tuple(reports[rank].pace for rank in range(len(reports)))
    return GroupLoad(smoothed, slowness)


def _add_background(layer: tuple[float, ...]) -> tuple[float, ...]:
    background = sum(layer) / len(layer) * _BACKGROUND_DEMAND
    # The last entry stands for an empty slot and has no demand.
    return (*(demand + background for demand in layer), float(0))


def _expert_map(maps: RankMaps, engine: EngineProfile) -> ExpertMap:
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


def _rank_maps(target: ExpertMap, engine: EngineProfile) -> RankMaps:
    size = target.slots_per_rank
    return tuple(
        tuple(
            tuple(sorted(set(layer[start : start + size]) - {engine.experts}))
            for start in range(0, len(layer), size)
        )
        for layer in target.layers
    )
