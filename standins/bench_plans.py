"""How long a plan of expert maps takes, and how even it leaves a group.

`python -m standins.bench_plans` prints a row a size: processor time of a plan
in the mean and at most, skew after it, experts moved. Demand is made: popular
experts by a power law, half of the most popular ones change every four plans.
"""

import random
import time
from dataclasses import dataclass, replace

from linnetwind.experts.target_map import plan_map
from linnetwind.placement import even_map
from linnetwind.rank_types import RankMaps
from linnetwind.routes import EngineProfile
from standins.gateway_fixtures import make_engine
from standins.rank_orders import GroupModel

_SEEDS = 4
_PLANS = 8
_PLANS_A_SHIFT = 4
_POWER = 1.1
_POPULAR = 4

Demand = tuple[tuple[float, ...], ...]


@dataclass(frozen=True)
class Size:
    """Ranks of a group, places of a rank in a layer, layers, experts.

    An expert has `expert_gb` gigabytes, and a rank copies one in `copy_ms`.
    """

    ranks: int
    places: int
    layers: int
    experts: int
    expert_gb: float = 2.5
    copy_ms: float = 111.0


SIZES = (
    Size(8, 11, 6, 64),
    Size(16, 5, 4, 64),
    Size(32, 5, 12, 128, expert_gb=0.42, copy_ms=36.5),
    Size(72, 3, 12, 144, expert_gb=0.37, copy_ms=16.4),
    Size(128, 3, 8, 256, expert_gb=0.17, copy_ms=7.6),
    Size(192, 3, 10, 384, expert_gb=0.17, copy_ms=7.6),
)


@dataclass(frozen=True)
class Planned:
    """One plan: seconds of processor time, skew after it, experts moved."""

    seconds: float
    skew: float
    moves: int


def plans_of(size: Size) -> list[Planned]:
    """Plan for a size over all seeds."""
    engine = replace(
        make_engine(),
        layers=size.layers,
        experts=size.experts,
        slots_per_rank=size.places,
        expert_gb=size.expert_gb,
        copy_ms=size.copy_ms,
    )
    return [
        planned
        for seed in range(_SEEDS)
        for planned in _play(size, engine, random.Random(seed))
    ]


def _play(
    size: Size, engine: EngineProfile, source: random.Random
) -> list[Planned]:
    reports = GroupModel(size.ranks).reports()
    maps = _first_maps(size)
    demand = _draw(size, source)
    planned = []
    for number in range(_PLANS):
        if number and number % _PLANS_A_SHIFT == 0:
            demand = tuple(_shift(layer, source) for layer in demand)
        begun = time.thread_time()
        plan = plan_map(
            maps, demand, reports, engine, utilization=1, force=False
        )
        took = time.thread_time() - begun
        if plan.target is None:
            planned.append(Planned(took, plan.skew_before, 0))
            continue
        maps = plan.target.maps
        planned.append(Planned(took, plan.skew_after, plan.moves))
    return planned


def _first_maps(size: Size) -> RankMaps:
    even = even_map(size.ranks, size.places, size.layers, size.experts)
    starts = range(0, size.ranks * size.places, size.places)
    return tuple(
        tuple(
            tuple(sorted(set(layer[start : start + size.places])))
            for start in starts
        )
        for layer in even.layers
    )


def _draw(size: Size, source: random.Random) -> Demand:
    layers = []
    for _layer in range(size.layers):
        weights = [1000 / (n + 1) ** _POWER for n in range(size.experts)]
        source.shuffle(weights)
        layers.append(tuple(weights))
    return tuple(layers)


def _shift(layer: tuple[float, ...], source: random.Random) -> tuple:
    weights = list(layer)
    order = sorted(range(len(weights)), key=weights.__getitem__, reverse=True)
    popular, others = (
        order[: len(order) // _POPULAR],
        order[len(order) // _POPULAR :],
    )
    changing = source.sample(popular, len(popular) // 2)
    for old, new in zip(
        changing, source.sample(others, len(changing)), strict=True
    ):
        weights[old], weights[new] = weights[new], weights[old]
    return tuple(weights)


def main() -> None:
    """Print a row a size."""
    print('ranks places layers experts   mean ms   most ms   skew   moves')
    for size in SIZES:
        planned = plans_of(size)
        mean = sum(each.seconds for each in planned) / len(planned) * 1000
        most = max(each.seconds for each in planned) * 1000
        skew = sum(each.skew for each in planned) / len(planned)
        moves = sum(each.moves for each in planned)
        print(
            f'{size.ranks:5} {size.places:6} {size.layers:6} {size.experts:7}'
            f' {mean:9.1f} {most:9.1f} {skew:6.3f} {moves:7}'
        )


if __name__ == '__main__':
    main()
