"""Plan expert maps by single changes, each of which is worth its cost.

In each layer the group waits for its slowest rank, so a step takes the sum over
the layers of the slowest rank's time. A plan improves the layers one change at
a time, the change with the best gain per moved expert first, and stops when the
next gain over the horizon is worth less than the cost of its moves.
"""

import heapq
from collections.abc import Callable, Sequence
from dataclasses import replace

from linnetwind.placement_layer import CopyBudget, LayerChange, LayerState
from linnetwind.placement_types import (
    ExpertMap,
    GroupLoad,
    LayerMap,
    Move,
    PlacementPrices,
    Plan,
)

_QueueEntry = tuple[float, int, LayerChange]


def even_map(
    ranks: int, slots_per_rank: int, layers: int, experts: int
) -> ExpertMap:
    """Return the map that spreads experts evenly, regardless of their load.

    Args:
      ranks: The number of ranks.
      slots_per_rank: The number of experts that a rank holds in each layer.
      layers: The number of layers.
      experts: The number of experts in each layer.

    Returns:
      The map.
    """
    size = ranks * slots_per_rank
    layer = tuple(slot % experts for slot in range(size))
    return ExpertMap(slots_per_rank, (layer,) * layers)


def rank_loads(
    layer: LayerMap,
    slots_per_rank: int,
    tokens: Sequence[float],
    slowness: Sequence[float],
) -> list[float]:
    """Return the time of each rank in one layer.

    Args:
      layer: The layer's map.
      slots_per_rank: The number of experts that a rank holds.
      tokens: The load of each expert, which its replicas share evenly.
      slowness: The slowness factor of each rank.

    Returns:
      The time of each rank, in tokens of a rank of usual speed.
    """
    counts = _count_replicas(layer, len(tokens))
    loads = [float(0)] * len(slowness)
    for slot, expert in enumerate(layer):
        rank = slot // slots_per_rank
        loads[rank] += tokens[expert] / counts[expert] * slowness[rank]
    return loads


def skew(current: ExpertMap, load: GroupLoad) -> float:
    """Return the time of a step over that of a perfectly balanced group.

    Args:
      current: The map.
      load: The load.

    Returns:
      The slowest rank's time over the mean rank's, both summed over the layers;
      1 at best.
    """
    slowest = float(0)
    mean = float(0)
    for layer, tokens in zip(current.layers, load.tokens, strict=True):
        loads = rank_loads(layer, current.slots_per_rank, tokens, load.slowness)
        slowest += max(loads)
        mean += sum(loads) / len(loads)
    return slowest / mean if mean else 1


def no_pause() -> None:
    """Do nothing: the default for callers that need no pauses in planning."""


def plan_moves(
    current: ExpertMap,
    load: GroupLoad,
    prices: PlacementPrices,
    pause: Callable[[], None] = no_pause,
) -> Plan:
    """Plan the changes that are worth their cost, one after the other.

    Args:
      current: The map in use.
      load: The expected load.
      prices: The weights of gains and costs.
      pause: Called after each search for a change, so that a process that also
        serves callers can do so in between.

    Returns:
      The plan; without moves if no change is worth its cost.
    """
    copy_budget = CopyBudget(prices.copies) if prices.copies else None
    layers = [
        LayerState(
            number,
            layer,
            current.slots_per_rank,
            tokens,
            load.slowness,
            copy_budget,
        )
        for number, (layer, tokens) in enumerate(
            zip(current.layers, load.tokens, strict=True)
        )
    ]
    balanced_time = sum(sum(state.loads) / len(state.loads) for state in layers)
    if not balanced_time:
        return Plan(current, (), 1, 1, 'no load is known')
    moves, reason = _improve(layers, balanced_time, prices, pause)
    target = replace(current, layers=tuple(state.layer for state in layers))
    before = skew(current, load)
    return Plan(target, tuple(moves), before, skew(target, load), reason)


def moves_between(old: ExpertMap, new: ExpertMap) -> int:
    """Count the experts that must be loaded to switch from one map to another.

    Args:
      old: The map in use.
      new: The target map.

    Returns:
      The number of experts that a rank needs and does not hold, summed over
      ranks and layers.
    """
    size = old.slots_per_rank
    count = 0
    for before, after in zip(old.layers, new.layers, strict=True):
        for start in range(0, len(before), size):
            held = set(before[start : start + size])
            count += len(set(after[start : start + size]) - held)
    return count


def _improve(
    layers: list[LayerState],
    balanced_time: float,
    prices: PlacementPrices,
    pause: Callable[[], None],
) -> tuple[list[Move], str]:
    queue: list[_QueueEntry] = []
    for number, _layer in enumerate(layers):
        _push_best_change(queue, layers, number)
        pause()
    moves: list[Move] = []
    while queue:
        _key, best, change = heapq.heappop(queue)
        if not layers[best].allows(change):
            # Since this change was found, changes of other layers have used up
            # the copy limit of one of its ranks. Search this layer again.
            _push_best_change(queue, layers, best)
            pause()
            continue
        if len(moves) + len(change.moves) > prices.max_moves:
            return moves, 'as many moves as one plan may have'
        if not _is_worth(change, balanced_time, prices):
            return moves, 'the next move costs more than it gains'
        layers[best].apply(change)
        moves.extend(change.moves)
        _push_best_change(queue, layers, best)
        pause()
    return moves, 'balanced'


def _push_best_change(
    queue: list[_QueueEntry], layers: list[LayerState], number: int
) -> None:
    change = layers[number].best_change()
    if change is not None:
        heapq.heappush(queue, (-change.rate, number, change))


def _is_worth(
    change: LayerChange, balanced_time: float, prices: PlacementPrices
) -> bool:
    saved = change.gain / balanced_time * prices.horizon
    cost = len(change.moves) * prices.seconds_per_move
    return prices.skew_weight * saved > prices.cost_weight * cost


def _count_replicas(layer: Sequence[int], experts: int) -> list[int]:
    counts = [0] * experts
    for expert in layer:
        counts[expert] += 1
    return counts
