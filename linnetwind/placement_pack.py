"""Packing a layer from scratch, and getting there with few moves.

Packing is the greedy method known from published balancers: replicate the
hottest experts, then place the heaviest shares first, each on the lightest
rank. A packed layer names no particular rank, so its parts are matched to
the ranks that already hold most of them.
"""

import heapq
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from itertools import chain, product

from linnetwind.placement_types import ExpertMap, GroupLoad, LayerMap


def full_map(current: ExpertMap, load: GroupLoad) -> ExpertMap:
    """Compute a map anew: replicate the hottest, pack heaviest first.

    This is the greedy method known from published balancers; it is the
    baseline and the bound of what a plan can reach.

    Args:
      current: Gives the size of the group.
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
    """Pack a layer from scratch, near to the map in use.

    Args:
      layer: The map in use.
      size: The slots of a rank.
      tokens: The load of each expert.
      slowness: The factor of each rank.

    Returns:
      The packed map, its parts given to ranks that hold most of them and
      each expert that stays left in its slot.
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
            _in_place(before, packed[matched[place]])
            for place, before in enumerate(held)
        )
    )


def _parts(layer: LayerMap, size: int) -> list[LayerMap]:
    return [layer[start : start + size] for start in range(0, len(layer), size)]


def _overlap(held: LayerMap, part: LayerMap) -> int:
    return (Counter(held) & Counter(part)).total()


def _in_place(held: LayerMap, part: LayerMap) -> list[int]:
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
    replicas = _share_out(slots, tokens, len(slowness))
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
        rank = _lightest_with_room(ranks, loads, size, packed)
        ranks[rank].append(packed)
        loads[rank] += share * slowness[rank]
    return tuple(chain.from_iterable(ranks))


def _share_out(slots: int, tokens: Sequence[float], most: int) -> list[int]:
    counts = [1] * len(tokens)
    queue = [(-load, expert) for expert, load in enumerate(tokens)]
    heapq.heapify(queue)
    for _ in range(slots - len(tokens)):
        _share, expert = heapq.heappop(queue)
        counts[expert] += 1
        share = -tokens[expert] / counts[expert]
        # More replicas than ranks would be of no use.
        share = share if counts[expert] < most else float(1)
        heapq.heappush(queue, (share, expert))
    return counts


def _lightest_with_room(
    ranks: list[list[int]], loads: list[float], size: int, expert: int
) -> int:
    open_ranks = [rank for rank, held in enumerate(ranks) if len(held) < size]
    fresh = [rank for rank in open_ranks if expert not in ranks[rank]]
    return min(fresh or open_ranks, key=loads.__getitem__)
