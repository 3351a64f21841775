"""Plan many changes at once: bring each layer to its best load level.

How low a load level pays for its copies depends on the demand in the layer. So
several levels are tried, and the one that saves most time over the horizon is
kept.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from linnetwind.placement import no_pause, rank_loads, skew
from linnetwind.placement_level_layer import (
    LevelledLayer,
    LevelTask,
    level_layer,
)
from linnetwind.placement_types import (
    ExpertMap,
    GroupLoad,
    LayerMap,
    Move,
    PlacementPrices,
    Plan,
)

# The load levels that are tried, as multiples of the load of a rank in perfect
# balance. With two more, 1.5 and 2, planning takes half as long again and the
# plans are no more even.
_LOAD_LEVELS = (1.05, 1.2)


@dataclass(frozen=True, slots=True)
class _BestLevel:
    """The best load level so far and its net benefit in seconds.

    `levelled` is None if the layer is better left as it is.
    """

    worth: float
    levelled: LevelledLayer | None


def plan_levels(
    current: ExpertMap,
    load: GroupLoad,
    prices: PlacementPrices,
    pause: Callable[[], None] = no_pause,
) -> Plan:
    """Plan the changes that together are worth their cost.

    Args:
      current: The map in use.
      load: The expected load.
      prices: The weights of gains and costs; they must have copy limits.
      pause: Called after each change.

    Returns:
      The plan; without moves if no change is worth its cost.
    """
    mean_load = sum(map(sum, load.tokens)) / len(load.slowness)
    if not mean_load:
        return Plan(current, (), 1, 1, 'no load is known')
    copy_budget = [prices.copies.per_rank] * len(load.slowness)
    layers = list(current.layers)
    # The layers that delay the group most come first, so that they get the
    # copies where these are limited.
    for number in _layers_by_excess(current, load):
        task = _task(current, load, prices, number, copy_budget)
        levelled = _best_level(task, prices, mean_load, pause)
        if levelled is not None:
            layers[number] = levelled.layer
            copy_budget = [
                left - copied
                for left, copied in zip(
                    copy_budget, levelled.copies, strict=True
                )
            ]
    target = replace(current, layers=tuple(layers))
    moves = _moves(current, target, prices.copies.blank)
    reason = 'levelled' if moves else 'no level is worth its copies'
    return Plan(target, moves, skew(current, load), skew(target, load), reason)


def net_benefit(plan: Plan, prices: PlacementPrices) -> float:
    """Return the net benefit of a plan.

    Args:
      plan: The plan.
      prices: The weights of gains and costs.

    Returns:
      The time saved over the horizon, in seconds of a perfectly balanced group,
      less the cost of the copies.
    """
    gain = plan.skew_before - plan.skew_after
    return _net_seconds(gain, len(plan.moves), prices)


def reaches_copy_limit(plan: Plan, prices: PlacementPrices) -> bool:
    """Return whether a plan uses up the copy limit of a rank.

    Args:
      plan: The plan.
      prices: The weights of gains and costs; they must have copy limits.

    Returns:
      Whether a higher limit might have made a better plan.
    """
    size = plan.target.slots_per_rank
    by_rank = Counter(move.slot // size for move in plan.moves)
    return max(by_rank.values(), default=0) >= prices.copies.per_rank


def _layers_by_excess(current: ExpertMap, load: GroupLoad) -> list[int]:
    excess = []
    for number, layer in enumerate(current.layers):
        loads = rank_loads(
            layer, current.slots_per_rank, load.tokens[number], load.slowness
        )
        excess.append(max(loads) - sum(loads) / len(loads))
    return sorted(range(len(excess)), key=excess.__getitem__, reverse=True)


def _task(
    current: ExpertMap,
    load: GroupLoad,
    prices: PlacementPrices,
    number: int,
    copy_budget: list[int],
) -> LevelTask:
    return LevelTask(
        layer=current.layers[number],
        size=current.slots_per_rank,
        blank=prices.copies.blank,
        tokens=load.tokens[number],
        slowness=load.slowness,
        copy_budget=[
            min(left, prices.copies.per_layer) for left in copy_budget
        ],
        max_load=0,
    )


def _best_level(
    task: LevelTask,
    prices: PlacementPrices,
    mean_load: float,
    pause: Callable[[], None],
) -> LevelledLayer | None:
    loads = rank_loads(task.layer, task.size, task.tokens, task.slowness)
    # A slow rank gets less load than the others if all are to finish at the
    # same time.
    balanced_load = sum(task.tokens) / sum(1 / slow for slow in task.slowness)
    best = _BestLevel(0, None)
    for level in _LOAD_LEVELS:
        if balanced_load * level >= max(loads):
            break
        levelled = level_layer(
            replace(task, max_load=balanced_load * level), pause
        )
        gain = (max(loads) - levelled.slowest) / mean_load
        worth = _net_seconds(gain, sum(levelled.copies), prices)
        if worth > best.worth:
            best = _BestLevel(worth, levelled)
    return best.levelled


def _net_seconds(gain: float, copies: int, prices: PlacementPrices) -> float:
    """Return the seconds that a gain in skew saves, net of copy costs."""
    saved = gain * prices.horizon
    cost = copies * prices.seconds_per_move
    return prices.skew_weight * saved - prices.cost_weight * cost


def _moves(old: ExpertMap, new: ExpertMap, blank: int) -> tuple[Move, ...]:
    return tuple(
        Move(number, slot, after[slot])
        for number, (before, after) in enumerate(
            zip(old.layers, new.layers, strict=True)
        )
        for slot in _new_slots(before, after, old.slots_per_rank, blank)
    )


def _new_slots(
    before: LayerMap, after: LayerMap, size: int, blank: int
) -> list[int]:
    """Return the slots whose expert is new to their rank."""
    new_slots = []
    for start in range(0, len(before), size):
        held = {blank, *before[start : start + size]}
        slots = range(start, start + size)
        new_slots.extend(slot for slot in slots if after[slot] not in held)
    return new_slots
