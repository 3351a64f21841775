"""Tests of plans of many changes at once."""

import random

import pytest

from linnetwind.placement import even_map, moves_between, plan_moves, skew
from linnetwind.placement_level_plan import (
    net_benefit,
    plan_levels,
    reaches_copy_limit,
)
from linnetwind.placement_pack import greedy_map
from linnetwind.placement_types import (
    CopyLimits,
    GroupLoad,
    PlacementPrices,
)


def _prices(experts, per_rank, per_layer, cost=0.0002):
    limits = CopyLimits(per_rank, per_layer, experts)
    return PlacementPrices(2, 1, 1, cost, 10_000, limits)


def _load(seed, ranks, layers, experts, power=0.6):
    rng = random.Random(seed)
    tokens = []
    for _layer in range(layers):
        weights = [
            1000 / (position + 1) ** power for position in range(experts)
        ]
        rng.shuffle(weights)
        tokens.append((*weights, 0.0))
    return GroupLoad(tuple(tokens), (1.0,) * ranks)


@pytest.mark.parametrize(
    ('ranks', 'size', 'layers', 'experts', 'power'),
    [
        (192, 3, 10, 384, 0.6),
        (192, 3, 10, 384, 1.1),
        (72, 3, 12, 144, 0.6),
        (72, 3, 12, 144, 1.1),
    ],
)
def test_two_plans_come_close_to_packing_from_scratch(
    ranks, size, layers, experts, power
):
    # Copies are cheap and quick here. One rank in hundreds that is twice as
    # slow doubles the pauses in all streams of the group.
    current = even_map(ranks, size, layers, experts)
    load = _load(1, ranks, layers, experts, power)
    prices = _prices(experts, per_rank=20, per_layer=2)
    for _plan in range(2):
        current = plan_levels(current, load, prices).target
    assert skew(current, load) < 1.1 * skew(greedy_map(current, load), load)


def test_a_slow_rank_gets_less_load():
    current = even_map(16, 3, 2, 32)
    load = _load(1, 16, 2, 32)
    slowness = (*(1.0,) * 15, 3.0)
    load = GroupLoad(load.tokens, slowness)
    prices = _prices(32, per_rank=6, per_layer=2)
    before = skew(current, load)
    assert skew(plan_levels(current, load, prices).target, load) < before / 2


def test_copies_that_cost_more_than_they_gain_are_not_made():
    current = even_map(16, 3, 2, 32)
    load = _load(1, 16, 2, 32)
    plan = plan_levels(current, load, _prices(32, 6, 2, cost=100))
    assert plan.moves == ()
    assert plan.target == current


def test_moves_are_the_copies_of_the_plan():
    current = even_map(16, 3, 2, 32)
    plan = plan_levels(current, _load(1, 16, 2, 32), _prices(32, 6, 2))
    assert plan.moves
    assert len(plan.moves) == moves_between(current, plan.target)


def test_no_rank_exceeds_its_copy_limit_over_all_layers():
    current = even_map(16, 3, 6, 32)
    prices = _prices(32, per_rank=3, per_layer=2)
    plan = plan_levels(current, _load(1, 16, 6, 32), prices)
    by_rank = [0] * 16
    for move in plan.moves:
        by_rank[move.slot // 3] += 1
    assert max(by_rank) == 3
    assert reaches_copy_limit(plan, prices)


def test_with_few_copies_single_changes_can_be_worth_more():
    # Then both plans are made and compared by the same prices.
    current = even_map(32, 5, 12, 128)
    load = _load(2, 32, 12, 128, power=1.1)
    prices = _prices(128, per_rank=3, per_layer=2)
    level_plan = plan_levels(current, load, prices)
    stepwise_plan = plan_moves(current, load, prices)
    assert reaches_copy_limit(level_plan, prices)
    assert net_benefit(stepwise_plan, prices) > net_benefit(level_plan, prices)


def test_unknown_load_plans_nothing():
    current = even_map(4, 3, 2, 8)
    load = GroupLoad(((0.0,) * 9,) * 2, (1.0,) * 4)
    assert plan_levels(current, load, _prices(8, 6, 2)).moves == ()
