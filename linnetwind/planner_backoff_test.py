"""Tests of the backoff of planners that supersede each other's maps."""

import random
from datetime import timedelta

import pytest

from linnetwind.planner_backoff import (
    FIRST_BACKOFF_BOUND,
    MAX_BACKOFF_BOUND,
    PlannerBackoff,
    back_off_when_superseded,
)

ROLLOUT = timedelta(seconds=0.5)
LIMIT = timedelta(seconds=60)


def _first_map(backoffs, chance):
    """Simulate planners and return when the first map is rolled out."""
    starts = [chance.random() * ROLLOUT for _planner in backoffs]
    while True:
        first, second = sorted(range(len(starts)), key=starts.__getitem__)[:2]
        done = starts[first] + ROLLOUT
        if done <= starts[second] or done > LIMIT:
            return done
        # The map of the second planner supersedes that of the first, which
        # notices it when its experts are copied.
        backoffs[first] = back_off_when_superseded(
            backoffs[first], done, chance.random()
        )
        starts[first] = max(done, backoffs[first].until)


@pytest.mark.parametrize('planners', [2, 4])
def test_one_of_the_planners_soon_completes_a_rollout(planners):
    # Without a backoff two planners superseded each other's maps for 15 s and
    # more.
    chance = random.Random(1)
    times = [
        _first_map([PlannerBackoff()] * planners, chance) for _run in range(500)
    ]
    times.sort()
    assert times[len(times) // 2] < timedelta(seconds=5)
    assert times[-1] < timedelta(seconds=30)


def test_backoffs_grow_to_their_limit():
    backoff = PlannerBackoff()
    lengths = []
    for _attempt in range(5):
        backoff = back_off_when_superseded(backoff, timedelta(), 1)
        lengths.append(backoff.until)
    assert lengths[0] == FIRST_BACKOFF_BOUND
    assert lengths == sorted(lengths)
    assert lengths[-1] == MAX_BACKOFF_BOUND
