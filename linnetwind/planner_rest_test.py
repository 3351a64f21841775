"""Tests of planners that overtake each other."""

import random
from datetime import timedelta

import pytest

from linnetwind.planner_rest import (
    FIRST_REST,
    LONGEST_REST,
    PlannerRest,
    rest_when_overtaken,
)

ROLLOUT = timedelta(seconds=0.5)
LIMIT = timedelta(seconds=60)


def _first_map(rests, chance):
    """Play planners; return when the first map is rolled out."""
    starts = [chance.random() * ROLLOUT for _planner in rests]
    while True:
        first, second = sorted(range(len(starts)), key=starts.__getitem__)[:2]
        done = starts[first] + ROLLOUT
        if done <= starts[second] or done > LIMIT:
            return done
        # The second one's newer version overtakes the first one's map; that
        # one sees it when its copies are done.
        rests[first] = rest_when_overtaken(rests[first], done, chance.random())
        starts[first] = max(done, rests[first].until)


@pytest.mark.parametrize('planners', [2, 4])
def test_one_of_the_planners_soon_has_the_time_of_a_rollout(planners):
    # Two planners overtook each other for 15 s and more without rests.
    chance = random.Random(1)
    times = [
        _first_map([PlannerRest()] * planners, chance) for _play in range(500)
    ]
    times.sort()
    assert times[len(times) // 2] < timedelta(seconds=5)
    assert times[-1] < timedelta(seconds=30)


def test_rests_grow_to_their_limit():
    rest = PlannerRest()
    lengths = []
    for _time in range(5):
        rest = rest_when_overtaken(rest, timedelta(), 1)
        lengths.append(rest.until)
    assert lengths[0] == FIRST_REST
    assert lengths == sorted(lengths)
    assert lengths[-1] == LONGEST_REST
