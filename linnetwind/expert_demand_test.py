"""Tests of the demand of experts from counts that only grow."""

from datetime import timedelta

import pytest

from linnetwind.expert_demand import HALF_LIFE, ExpertDemand
from linnetwind.rank_messages import count_lanes
from linnetwind.rank_types import RankCounts

SECOND = timedelta(seconds=1)


def _counts(*counts, epoch=1):
    return {0: count_lanes(RankCounts(epoch, 5, counts))}


def test_only_what_was_added_counts():
    demand = ExpertDemand().take(_counts(100, 5), SECOND)
    demand = demand.take(_counts(110, 5), SECOND)
    assert demand.recent == (10, 0)


def test_a_shift_shows_within_two_half_lives():
    demand = ExpertDemand().take(_counts(0, 0), SECOND)
    demand = demand.take(_counts(1000, 0), SECOND)
    demand = demand.take(_counts(1000, 1000), SECOND + 2 * HALF_LIFE)
    assert demand.recent == pytest.approx((250, 1000))


def test_counts_of_a_new_epoch_begin_anew():
    demand = ExpertDemand().take(_counts(500, 500), SECOND)
    demand = demand.take(_counts(3, 4, epoch=2), SECOND)
    assert demand.recent == (0, 0)


def test_layers_are_cut_from_one_row():
    demand = ExpertDemand().take(_counts(0, 0, 0, 0), SECOND)
    demand = demand.take(_counts(1, 2, 3, 4), SECOND)
    assert demand.by_layer(2) == ((1, 2), (3, 4))


def _two(first, second, step, born_ms):
    return {
        0: count_lanes(RankCounts(1, step, (first, 0), 1)),
        1: count_lanes(RankCounts(1, step, (second, 0), born_ms)),
    }


def test_counts_of_a_rank_that_started_again_begin_anew():
    # One rank of the group starts again in the same epoch and counts from 0.
    # Its difference, -990, hid the 500 choices that the other one counted.
    demand = ExpertDemand().take(_two(100, 1000, 5, born_ms=1), SECOND)
    demand = demand.take(_two(600, 10, 6, born_ms=2), SECOND)
    assert demand.recent == (500, 0)


@pytest.mark.parametrize('born_ms', [None, 1])
def test_counts_that_went_back_begin_anew(born_ms):
    # No start is stated, or two lives share a millisecond: the pass that the
    # rank counted last went back.
    demand = ExpertDemand().take(_two(100, 1000, 5, born_ms), SECOND)
    demand = demand.take(
        {
            **_two(600, 10, 6, born_ms),
            1: count_lanes(RankCounts(1, 0, (10, 0), born_ms)),
        },
        SECOND,
    )
    assert demand.recent == (500, 0)
