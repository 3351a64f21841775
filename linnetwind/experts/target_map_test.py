"""Tests of planning the next expert map while demand shifts."""

import random
from dataclasses import replace

import pytest

from linnetwind.experts.target_map import (
    MIN_COPIES_PER_RANK,
    can_gain,
    even_demand,
    map_skew,
    plan_map,
)
from standins.gateway_fixtures import make_engine
from standins.rank_orders import GroupModel

RANKS = 16
ENGINE = make_engine()
REPORTS = GroupModel(RANKS).reports()


def _round_robin_map():
    layer = tuple(
        tuple(range(rank, ENGINE.experts, RANKS)) for rank in range(RANKS)
    )
    return (layer,) * ENGINE.layers


def _demand(seed):
    rng = random.Random(seed)
    layers = []
    for _layer in range(ENGINE.layers):
        weights = [1000 / (position + 1) ** 1.1 for position in range(64)]
        rng.shuffle(weights)
        layers.append(tuple(weights))
    return tuple(layers)


def _new_experts(before, after):
    """Return the experts that are new to each rank, by layer and rank."""
    return [
        [set(new) - set(old) for old, new in zip(olds, news, strict=True)]
        for olds, news in zip(before, after, strict=True)
    ]


@pytest.mark.parametrize('seed', range(5))
def test_after_a_shift_three_plans_bring_the_group_near_balance(seed):
    # Half of the popular experts change at once, and one rank delays all
    # streams. A large plan would take a second to copy; a series of small ones
    # is in use before the next shift.
    maps = _round_robin_map()
    skews = []
    for _plan in range(3):
        planned = plan_map(
            maps, _demand(seed), REPORTS, ENGINE, utilization=1, force=False
        )
        skews.append(planned.skew_before)
        if planned.target is None:
            break
        maps = planned.target.maps
    assert skews[0] > 2.5
    assert planned.skew_after < 1.65


@pytest.mark.parametrize('seed', range(5))
def test_a_plan_keeps_the_limits_of_the_engines(seed):
    maps = _round_robin_map()
    planned = plan_map(
        maps, _demand(seed), REPORTS, ENGINE, utilization=1, force=False
    )
    maps_after = planned.target.maps
    by_rank = [0] * RANKS
    for layer in _new_experts(maps, maps_after):
        for rank, new in enumerate(layer):
            assert len(new) <= ENGINE.new_experts
            by_rank[rank] += len(new)
    assert max(by_rank) <= MIN_COPIES_PER_RANK
    for layer in maps_after:
        held = {expert for experts in layer for expert in experts}
        assert held == set(range(ENGINE.experts))
        assert max(map(len, layer)) <= ENGINE.slots_per_rank


def test_a_balanced_group_keeps_its_map_unless_forced():
    maps = _round_robin_map()
    flat = even_demand(ENGINE)
    assert (
        plan_map(maps, flat, REPORTS, ENGINE, utilization=1, force=False).target
        is None
    )
    forced = plan_map(
        maps, flat, REPORTS, ENGINE, utilization=1, force=True
    ).target
    assert forced is not None
    assert forced.version > 0


def test_a_small_gain_moves_nothing_in_a_group_with_few_streams():
    # On a calm day passes take half the time allowed. Each small change of
    # demand led to a new map, gigabytes were copied twice a second, and no
    # caller was served better.
    maps = _round_robin_map()
    for _plan in range(4):
        planned = plan_map(
            maps, _demand(1), REPORTS, ENGINE, utilization=1, force=False
        )
        maps = planned.target.maps if planned.target else maps
    shifted = tuple(
        tuple(
            tokens * (1.5 if expert % 5 == 0 else 1)
            for expert, tokens in enumerate(layer)
        )
        for layer in _demand(1)
    )
    full = plan_map(maps, shifted, REPORTS, ENGINE, utilization=1, force=False)
    calm = plan_map(
        maps, shifted, REPORTS, ENGINE, utilization=0.3, force=False
    )
    assert full.target is not None
    assert calm.target is None


def test_a_large_gain_is_planned_in_a_group_with_few_streams():
    planned = plan_map(
        _round_robin_map(),
        _demand(1),
        REPORTS,
        ENGINE,
        utilization=0.1,
        force=False,
    )
    assert planned.target is not None


def test_version_is_above_all_seen_versions():
    reports = {**REPORTS, 3: replace(REPORTS[3], prepared=7_000_123)}
    planned = plan_map(
        _round_robin_map(),
        _demand(1),
        reports,
        ENGINE,
        utilization=1,
        force=False,
    )
    assert planned.target.version >= 8_000_000


def test_a_slow_rank_loses_popular_experts():
    # A rank runs at a third of its usual speed; each popular expert that it
    # holds delays all ranks.
    maps = _round_robin_map()
    demand = _demand(2)
    reports = {**REPORTS, 5: replace(REPORTS[5], pace=3)}
    for _plan in range(4):
        planned = plan_map(
            maps, demand, reports, ENGINE, utilization=1, force=False
        )
        if planned.target is None:
            break
        maps = planned.target.maps
    load = sum(
        demand[number][expert] / sum(expert in experts for experts in layer)
        for number, layer in enumerate(maps)
        for expert in layer[5]
    )
    mean = sum(map(sum, demand)) / RANKS
    assert load < mean / 2


def test_no_plan_is_made_where_balance_would_gain_too_little():
    # Most polls find a group near balance. A plan at each of them kept the
    # process that also relays streams busy, and changed nothing.
    assert not can_gain(1.1, utilization=1, futile_skew=0)
    assert can_gain(1.3, utilization=1, futile_skew=0)
    assert not can_gain(1.3, utilization=0.1, futile_skew=0)
    assert can_gain(3, utilization=0.1, futile_skew=0)


def test_no_plan_after_a_futile_one_while_the_skew_stays():
    assert not can_gain(1.52, utilization=1, futile_skew=1.5)
    assert can_gain(1.7, utilization=1, futile_skew=1.5)


def test_map_skew_equals_the_skew_before_the_plan():
    maps = _round_robin_map()
    planned = plan_map(
        maps, _demand(3), REPORTS, ENGINE, utilization=1, force=False
    )
    measured = map_skew(maps, _demand(3), REPORTS, ENGINE)
    assert measured == pytest.approx(planned.skew_before)
