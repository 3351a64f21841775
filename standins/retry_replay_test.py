"""Tests of the shared retry budget while gateways start, stop and lose peers."""

import random
from datetime import timedelta

import pytest

from standins.retry_replay import (
    SECOND,
    Cut,
    Kill,
    Leave,
    Move,
    RetryScene,
    replay_retries,
)

GATEWAYS = 13
ALL = tuple(range(GATEWAYS))
HALF = ALL[: GATEWAYS // 2]
RATES = (30, 133, 400)
LENGTH = 50 * SECOND
TWO_OUTAGES = (
    (28 * SECOND, 30 * SECOND),
    (36 * SECOND, 38 * SECOND),
)


def _excess(per_s, *disruptions, length=LENGTH, seed=1, failing=()):
    scene = RetryScene(GATEWAYS, per_s, length, seed, disruptions, failing)
    return replay_retries(scene).excess()


@pytest.mark.parametrize('per_s', RATES)
@pytest.mark.parametrize('kills', [1, 2, 5])
def test_gateways_that_start_again_stay_within_the_budget(per_s, kills):
    """Guards against processes that spend what their predecessors spent."""
    disruptions = [
        Kill((25 + 2 * number) * SECOND, ALL) for number in range(kills)
    ]
    assert _excess(per_s, *disruptions) <= 0


@pytest.mark.parametrize('per_s', RATES)
def test_a_start_between_two_outages_stays_within_the_budget(per_s):
    """Guards against two processes that each spend what they have saved."""
    kill = Kill(30 * SECOND, ALL)
    assert _excess(per_s, kill, failing=TWO_OUTAGES) <= 0


@pytest.mark.parametrize('per_s', RATES)
def test_gateways_that_start_without_peers_stay_within_the_budget(per_s):
    """Guards against new processes that take the allowance for themselves."""
    cuts = [
        Cut(24 * SECOND, LENGTH, tuple(range(number + 1))) for number in ALL
    ]
    assert _excess(per_s, *cuts, Kill(25 * SECOND, ALL)) <= 0


@pytest.mark.parametrize('per_s', RATES)
def test_callers_that_move_to_other_gateways_stay_within_the_budget(per_s):
    """Guards against requests that pay for retries at two gateways."""
    first, *others = ALL
    moves = [Move(20 * SECOND, tuple(others)), Move(30 * SECOND, (first,))]
    assert _excess(per_s, *moves, failing=TWO_OUTAGES) <= 0


@pytest.mark.parametrize('per_s', RATES)
def test_halves_without_contact_stay_within_the_budget(per_s):
    """Guards against halves that each spend the whole allowance."""
    length = 70 * SECOND
    cut = Cut(20 * SECOND, length, HALF)
    assert _excess(per_s, cut, length=length) <= 0


@pytest.mark.parametrize('per_s', RATES)
@pytest.mark.parametrize('parts', [2, 4, 6])
def test_parts_that_start_without_contact_stay_within_the_budget(parts, per_s):
    """Guards against new processes that know only a part of the fleet."""
    cuts = [Cut(24 * SECOND, LENGTH, ALL[part::parts]) for part in range(parts)]
    assert _excess(per_s, *cuts, Kill(25 * SECOND, ALL)) <= 0


@pytest.mark.parametrize('per_s', RATES)
def test_gateways_that_leave_stay_within_the_budget(per_s):
    """Guards against parts that others take over before they are unused."""
    assert _excess(per_s, Leave(25 * SECOND, HALF)) <= 0


@pytest.mark.parametrize('seed', range(12))
def test_mixed_disruptions_stay_within_the_budget(seed):
    """Guards against retries that pile up when disruptions overlap."""
    draw = random.Random(seed)

    def some():
        return tuple(draw.sample(ALL, draw.randint(1, GATEWAYS)))

    disruptions = []
    for _number in range(draw.randint(2, 8)):
        at = timedelta(seconds=draw.uniform(16, 45))
        cut_until = at + timedelta(seconds=draw.uniform(1, 20))
        disruptions.append(
            draw.choice(
                [Kill(at, some()), Move(at, some()), Cut(at, cut_until, some())]
            )
        )
    assert _excess(draw.choice(RATES), *disruptions, seed=seed) <= 0
