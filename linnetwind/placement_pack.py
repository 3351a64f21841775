"""Pack a layer from scratch, and reach the packed layer with few moves.

Packing is the greedy method of published balancers: replicate the hottest
experts, then place the heaviest shares first, each on the least loaded rank.
The parts of a packed layer belong to no particular rank, so each part is
assigned to a rank that already holds most of its experts.
"""

import heapq
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from itertools import chain, product

from linnetwind.placement_types import ExpertMap, GroupLoad, LayerMap


def greedy_map(current: ExpertMap, load: GroupLoad) -> ExpertMap:
    """Compute a map from scratch: replicate the hottest, pack heaviest first.

    This greedy method of published balancers is the baseline for plans, and the
    bound of what they can reach.

    Args:
      current: The map that gives the size of the group.
      load: The load.

    Returns:
      The map.
    """
    layers = tuple(
        _pack(len(layer), current.slots_per_rank, tokens, load.slowness)
        for layer, tokens in zip(current.layers, load.tokens, strict=True)
    )
    return replace(current, layers=layers)


def repack(
    layer: LayerMap,
    size: int,
    tokens: Sequence[float],
    slowness: Sequence[float],
) -> LayerMap:
    """Pack a layer from scratch, as close as possible to the map in use.

    Args:
      layer: The map in use.
      size: The number of slots per rank.
      tokens: The load of each expert.
      slowness: The slowness factor of each rank.

    Returns:
      The packed map. Its parts are assigned to ranks that hold most of their
      experts, and an expert that stays on its rank keeps its slot.
    """
    packed = _parts(_pack(len(layer), size, tokens, slowness), size)
    held = _parts(layer, size)
    overlaps = sorted(
        (
            (_overlap(held[rank], packed[part]), rank, part)
            for rank, part in product(range(len(held)), repeat=2)
            if slowness[rank] == slowness[part]
        ),
        reverse=True,
    )
    matched: dict[int, int] = {}
    for _overlapping, rank, part in overlaps:
        if rank not in matched and part not in matched.values():
            matched[rank] = part
    return tuple(
        chain.from_iterable(
            _keep_slots(before, packed[matched[holder]])
            for holder, before in enumerate(held)
        )
    )


def _parts(layer: LayerMap, size: int) -> list[LayerMap]:
    return [layer[start : start + size] for start in range(0, len(layer), size)]


def _overlap(held: LayerMap, part: LayerMap) -> int:
    return (Counter(held) & Counter(part)).total()


def _keep_slots(held: LayerMap, part: LayerMap) -> list[int]:
    coming = Counter(part) - Counter(held)
    staying = Counter(part) & Counter(held)
    new = list(coming.elements())
    slots = []
    for expert in held:
        if staying[expert] > 0:
            staying[expert] -= 1
            slots.append(expert)
        else:
            slots.append(new.pop())
    return slots


def _pack(
    slots: int,
    size: int,
    tokens: Sequence[float],
    slowness: Sequence[float],
) -> LayerMap:
    replicas = _count_replicas(slots, tokens, len(slowness))
    heaviest = sorted(
        (
            pair
            for held, count in enumerate(replicas)
            for pair in [(tokens[held] / count, held)] * count
        ),
        reverse=True,
    )
    ranks: list[list[int]] = [[] for _rank in slowness]
    loads = [float(0)] * len(slowness)
    for share, packed in heaviest:
        rank = _lightest_rank_with_slot(ranks, loads, size, packed)
        ranks[rank].append(packed)
        loads[rank] += share * slowness[rank]
    return tuple(chain.from_iterable(ranks))


def _count_replicas(
    slots: int, tokens: Sequence[float], max_replicas: int
) -> list[int]:
    counts = [1] * len(tokens)
    queue = [(-load, expert) for expert, load in enumerate(tokens)]
    heapq.heapify(queue)
    for _ in range(slots - len(tokens)):
        _share, expert = heapq.heappop(queue)
        counts[expert] += 1
        share = -tokens[expert] / counts[expert]
        # More replicas than ranks are useless, so stop replicating this expert.
        share = share if counts[expert] < max_replicas else float(1)
        heapq.heappush(queue, (share, expert))
    return counts


def _lightest_rank_with_slot(
    ranks: list[list[int]], loads: list[float], size: int, expert: int
) -> int:
    open_ranks = [rank for rank, held in enumerate(ranks) if len(held) < size]
    without_expert = [rank for rank in open_ranks if expert not in ranks[rank]]
    return min(without_expert or open_ranks, key=loads.__getitem__)
