"""Tests of levelling one layer: its invariants, and the load it reaches."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetwind.placement import even_map, no_pause, rank_loads
from linnetwind.placement_level_layer import LevelTask, level_layer


def _tokens(seed, experts, power):
    rng = random.Random(seed)
    weights = [1000 / (position + 1) ** power for position in range(experts)]
    rng.shuffle(weights)
    return (*weights, 0.0)


def _task(seed, ranks, size, experts, copy_budget, max_load=1.1, power=1.0):
    """Return a task; `max_load` is a multiple of the mean load of a rank."""
    tokens = _tokens(seed, experts, power)
    return LevelTask(
        layer=even_map(ranks, size, 1, experts).layers[0],
        size=size,
        blank=experts,
        tokens=tokens,
        slowness=(1.0,) * ranks,
        copy_budget=[copy_budget] * ranks,
        max_load=sum(tokens) / ranks * max_load,
    )


@settings(max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    ranks=st.integers(1, 24),
    size=st.integers(1, 6),
    copy_budget=st.integers(0, 4),
    power=st.floats(0, 2),
    max_load=st.floats(0.5, 3),
)
def test_every_expert_keeps_a_slot_and_no_rank_exceeds_its_budget(
    seed, ranks, size, copy_budget, power, max_load
):
    experts = max(1, ranks * size * 2 // 3)
    task = _task(seed, ranks, size, experts, copy_budget, max_load, power)
    levelled = level_layer(task, no_pause)
    assert set(range(experts)) <= set(levelled.layer)
    for rank in range(ranks):
        held = levelled.layer[rank * size : (rank + 1) * size]
        before = task.layer[rank * size : (rank + 1) * size]
        new = set(held) - set(before) - {experts}
        assert len(new) == levelled.copies[rank]
        assert len(new) <= copy_budget
    added_up = rank_loads(levelled.layer, size, task.tokens, task.slowness)
    assert max(added_up) == pytest.approx(levelled.slowest)


@pytest.mark.parametrize('seed', range(4))
def test_hundreds_of_nearly_equally_slow_ranks_are_levelled(seed):
    # Many of 192 ranks are nearly as slow as the slowest one. No single change
    # makes a pass shorter, and with single changes every pass of the group took
    # twice as long as necessary.
    task = _task(seed, ranks=192, size=3, experts=384, copy_budget=2, power=0.6)
    even = sum(task.tokens) / 192
    assert level_layer(task, no_pause).slowest < 1.3 * even


def test_nothing_is_copied_without_budget():
    task = _task(1, ranks=16, size=3, experts=32, copy_budget=0)
    levelled = level_layer(task, no_pause)
    assert sum(levelled.copies) == 0


def test_levelling_pauses_after_each_change():
    # Streams of the same host are relayed in between.
    pauses = []
    level_layer(
        _task(1, ranks=32, size=3, experts=64, copy_budget=2),
        lambda: pauses.append(None),
    )
    assert len(pauses) > 20
