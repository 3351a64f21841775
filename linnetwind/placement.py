"""Planning where experts go, in small steps that are worth their cost.

In each layer the group waits for its slowest rank, so a step takes the sum
over the layers of the slowest rank's time. A plan improves the layers one
change at a time, the best gain per byte first, and stops when the next gain
over the horizon is worth less than the bytes that it moves.
"""

import heapq
from collections.abc import Callable, Sequence
from dataclasses import replace

from linnetwind.placement_layer import Change, CopyRoom, LayerState
from linnetwind.placement_types import (
    ExpertMap,
    GroupLoad,
    LayerMap,
    Move,
    PlacementPrices,
    Plan,
)

_Queued = tuple[float, int, Change]


def even_map(
    ranks: int, slots_per_rank: int, layers: int, experts: int
) -> ExpertMap:
    """Return the map that spreads experts evenly, whatever their load.

    Args:
      ranks: The number of ranks.
      slots_per_rank: The experts that a rank holds in each layer.
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
    """Return the time of each rank in one layer, in tokens of usual speed.

    Args:
      layer: The layer's map.
      slots_per_rank: The experts that a rank holds.
      tokens: The load of each expert, shared evenly by its replicas.
      slowness: The factor of each rank.

    Returns:
      A time for each rank.
    """
    counts = _replicas(layer, len(tokens))
    loads = [float(0)] * len(slowness)
    for slot, expert in enumerate(layer):
        rank = slot // slots_per_rank
        loads[rank] += tokens[expert] / counts[expert] * slowness[rank]
    return loads


def skew(current: ExpertMap, load: GroupLoad) -> float:
    """Return a step's time over that of a group in perfect balance.

    Args:
      current: The map.
      load: The load.

    Returns:
      The slowest ranks' time over the mean rank's; 1 at best.
    """
    slowest = float(0)
    mean = float(0)
    for layer, tokens in zip(current.layers, load.tokens, strict=True):
        loads = rank_loads(layer, current.slots_per_rank, tokens, load.slowness)
        slowest += max(loads)
        mean += sum(loads) / len(loads)
    return slowest / mean if mean else 1


def go_on() -> None:
    """Plan without pauses."""


def plan_moves(
    current: ExpertMap,
    load: GroupLoad,
    prices: PlacementPrices,
    pause: Callable[[], None] = go_on,
) -> Plan:
    """Plan the changes that are worth their cost.

    Args:
      current: The map in use.
      load: The load that is expected.
      prices: What a gain is worth and what a move costs.
      pause: Called after each search for a change, so that a process that
        also serves callers can do so in between.

    Returns:
      The plan; without moves if nothing is worth it.
    """
    room = CopyRoom(prices.copies) if prices.copies else None
    layers = [
        LayerState(
            number, layer, current.slots_per_rank, tokens, load.slowness, room
        )
        for number, (layer, tokens) in enumerate(
            zip(current.layers, load.tokens, strict=True)
        )
    ]
    whole = sum(sum(each.loads) / len(each.loads) for each in layers)
    if not whole:
        return Plan(current, (), 1, 1, 'no load is known')
    moves, reason = _improve(layers, whole, prices, pause)
    target = replace(current, layers=tuple(each.layer for each in layers))
    before = skew(current, load)
    return Plan(target, tuple(moves), before, skew(target, load), reason)


def moves_between(old: ExpertMap, new: ExpertMap) -> int:
    """Count the experts that must be loaded to get from a map to another.

    Args:
      old: The map in use.
      new: The map wanted.

    Returns:
      The number of experts that a rank needs and does not have.
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
    whole: float,
    prices: PlacementPrices,
    pause: Callable[[], None],
) -> tuple[list[Move], str]:
    queue: list[_Queued] = []
    for number, _layer in enumerate(layers):
        _push(queue, layers, number)
        pause()
    moves: list[Move] = []
    while queue:
        _key, best, change = heapq.heappop(queue)
        if not layers[best].allows(change):
            # Another layer has taken the room at one of its ranks since it
            # was found.
            _push(queue, layers, best)
            pause()
            continue
        if len(moves) + len(change.moves) > prices.max_moves:
            return moves, 'as many moves as one plan may have'
        if not _is_worth(change, whole, prices):
            return moves, 'the next move costs more than it gains'
        layers[best].apply(change)
        moves.extend(change.moves)
        _push(queue, layers, best)
        pause()
    return moves, 'balanced'


def _push(queue: list[_Queued], layers: list[LayerState], number: int) -> None:
    change = layers[number].best_change()
    if change is not None:
        heapq.heappush(queue, (-change.rate, number, change))


def _is_worth(change: Change, whole: float, prices: PlacementPrices) -> bool:
    saved = change.gain / whole * prices.horizon
    cost = len(change.moves) * prices.seconds_per_move
    return prices.skew_weight * saved > prices.cost_weight * cost


def _replicas(layer: Sequence[int], experts: int) -> list[int]:
    counts = [0] * experts
    for expert in layer:
        counts[expert] += 1
    return counts
