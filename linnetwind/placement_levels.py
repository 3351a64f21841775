"""A plan of many changes at once: each layer brought to its best level.

How low a level is worth its copies depends on the layer's demand, so several
are tried and the one is kept that saves most time over the horizon.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from linnetwind.placement import go_on, rank_loads, skew
from linnetwind.placement_level import Levelled, LevelTask, level_layer
from linnetwind.placement_types import (
    ExpertMap,
    GroupLoad,
    LayerMap,
    Move,
    PlacementPrices,
    Plan,
)

# The levels that are tried, as parts of the load of a rank in perfect balance.
# With two more, 1.5 and 2, plans take a half longer and are as even.
_LEVELS = (1.05, 1.2)


@dataclass(frozen=True, slots=True)
class _Kept:
    """The seconds that a change is worth, and what the layer becomes."""

    worth: float
    levelled: Levelled | None


def plan_levels(
    current: ExpertMap,
    load: GroupLoad,
    prices: PlacementPrices,
    pause: Callable[[], None] = go_on,
) -> Plan:
    """Plan the changes that together are worth their cost.

    Args:
      current: The map in use.
      load: The load that is expected.
      prices: What a gain is worth and what a copy costs; with copy limits.
      pause: Called after each change.

    Returns:
      The plan; without moves if nothing is worth it.
    """
    whole = sum(map(sum, load.tokens)) / len(load.slowness)
    if not whole:
        return Plan(current, (), 1, 1, 'no load is known')
    room = [prices.copies.per_rank] * len(load.slowness)
    layers = list(current.layers)
    # Where room is short, the layers that hold up the group most come first.
    for number in _by_excess(current, load):
        task = _task(current, load, prices, number, room)
        kept = _best_level(task, prices, whole, pause)
        if kept is not None:
            layers[number] = kept.layer
            room = [
                left - copied
                for left, copied in zip(room, kept.copies, strict=True)
            ]
    target = replace(current, layers=tuple(layers))
    moves = _moves(current, target, prices.copies.blank)
    reason = 'levelled' if moves else 'no level is worth its copies'
    return Plan(target, moves, skew(current, load), skew(target, load), reason)


def worth_of(plan: Plan, prices: PlacementPrices) -> float:
    """Return what a plan is worth.

    Args:
      plan: The plan.
      prices: What a gain is worth and what a copy costs.

    Returns:
      The seconds of a group in perfect balance that are saved over the
      horizon, less what the copies cost.
    """
    gain = plan.skew_before - plan.skew_after
    return _net(gain, len(plan.moves), prices)


def lacks_room(plan: Plan, prices: PlacementPrices) -> bool:
    """Return whether a plan brings as many copies to a rank as it may get.

    Args:
      plan: The plan.
      prices: The limits of copies.

    Returns:
      Whether more room might have made a better plan.
    """
    size = plan.target.slots_per_rank
    by_rank = Counter(move.slot // size for move in plan.moves)
    return max(by_rank.values(), default=0) >= prices.copies.per_rank


def _by_excess(current: ExpertMap, load: GroupLoad) -> list[int]:
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
    room: list[int],
) -> LevelTask:
    return LevelTask(
        layer=current.layers[number],
        size=current.slots_per_rank,
        blank=prices.copies.blank,
        tokens=load.tokens[number],
        slowness=load.slowness,
        room=[min(left, prices.copies.per_layer) for left in room],
        top=0,
    )


def _best_level(
    task: LevelTask,
    prices: PlacementPrices,
    whole: float,
    pause: Callable[[], None],
) -> Levelled | None:
    loads = rank_loads(task.layer, task.size, task.tokens, task.slowness)
    # A slow rank takes less than others where all end at the same time.
    even = sum(task.tokens) / sum(1 / slow for slow in task.slowness)
    best = _Kept(0, None)
    for level in _LEVELS:
        if even * level >= max(loads):
            break
        levelled = level_layer(replace(task, top=even * level), pause)
        gain = (max(loads) - levelled.slowest) / whole
        worth = _net(gain, sum(levelled.copies), prices)
        if worth > best.worth:
            best = _Kept(worth, levelled)
    return best.levelled


def _net(gain: float, copies: int, prices: PlacementPrices) -> float:
    """Return the seconds that a gain in skew saves, less its copies."""
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
    found = []
    for start in range(0, len(before), size):
        held = {blank, *before[start : start + size]}
        slots = range(start, start + size)
        found.extend(slot for slot in slots if after[slot] not in held)
    return found
