"""Tests of levelling one layer: what it keeps, and how low it comes."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetwind.placement import even_map, go_on, rank_loads
from linnetwind.placement_level import LevelTask, level_layer


def _tokens(seed, experts, power):
    rng = random.Random(seed)
    weights = [1000 / (place + 1) ** power for place in range(experts)]
    rng.shuffle(weights)
    return (*weights, 0.0)


def _task(seed, ranks, size, experts, room, top=1.1, power=1.0):
    tokens = _tokens(seed, experts, power)
    return LevelTask(
        layer=even_map(ranks, size, 1, experts).layers[0],
        size=size,
        blank=experts,
        tokens=tokens,
        slowness=(1.0,) * ranks,
        room=[room] * ranks,
        top=sum(tokens) / ranks * top,
    )


@settings(max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    ranks=st.integers(1, 24),
    size=st.integers(1, 6),
    room=st.integers(0, 4),
    power=st.floats(0, 2),
    top=st.floats(0.5, 3),
)
def test_every_expert_keeps_a_place_and_no_rank_gets_more_than_its_room(
    seed, ranks, size, room, power, top
):
    experts = max(1, ranks * size * 2 // 3)
    task = _task(seed, ranks, size, experts, room, top, power)
    levelled = level_layer(task, go_on)
    assert set(range(experts)) <= set(levelled.layer)
    for rank in range(ranks):
        held = levelled.layer[rank * size : (rank + 1) * size]
        before = task.layer[rank * size : (rank + 1) * size]
        new = set(held) - set(before) - {experts}
        assert len(new) == levelled.copies[rank]
        assert len(new) <= room
    added_up = rank_loads(levelled.layer, size, task.tokens, task.slowness)
    assert max(added_up) == pytest.approx(levelled.slowest)


@pytest.mark.parametrize('seed', range(4))
def test_hundreds_of_ranks_come_down_from_a_plateau(seed):
    # Many of 192 ranks are nearly as slow as the slowest one. Taken one by
    # one no change makes a pass shorter, and every pass of the group took
    # twice as long as it had to.
    task = _task(seed, ranks=192, size=3, experts=384, room=2, power=0.6)
    even = sum(task.tokens) / 192
    assert level_layer(task, go_on).slowest < 1.3 * even


def test_without_room_nothing_is_copied():
    task = _task(1, ranks=16, size=3, experts=32, room=0)
    levelled = level_layer(task, go_on)
    assert sum(levelled.copies) == 0


def test_the_process_is_told_after_each_change():
    # Streams of the same host are passed on in between.
    told = []
    level_layer(
        _task(1, ranks=32, size=3, experts=64, room=2),
        lambda: told.append(None),
    )
    assert len(told) > 20
