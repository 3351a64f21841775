"""Tests of the demand of experts from cumulative counts."""

from datetime import timedelta

import pytest

from linnetwind.experts.expert_demand import HALF_LIFE, ExpertDemand
from linnetwind.rank_messages import make_lane_counts
from linnetwind.rank_types import RankCounts

SECOND = timedelta(seconds=1)


def _counts(*counts, epoch=1):
    return {0: make_lane_counts(RankCounts(epoch, 5, counts))}


def test_only_increases_of_counts_add_demand():
    demand = ExpertDemand().apply_counts(_counts(100, 5), SECOND)
    demand = demand.apply_counts(_counts(110, 5), SECOND)
    assert demand.recent == (10, 0)


def test_a_shift_shows_within_two_half_lives():
    demand = ExpertDemand().apply_counts(_counts(0, 0), SECOND)
    demand = demand.apply_counts(_counts(1000, 0), SECOND)
    demand = demand.apply_counts(_counts(1000, 1000), SECOND + 2 * HALF_LIFE)
    assert demand.recent == pytest.approx((250, 1000))


def test_first_counts_of_a_new_epoch_add_nothing():
    demand = ExpertDemand().apply_counts(_counts(500, 500), SECOND)
    demand = demand.apply_counts(_counts(3, 4, epoch=2), SECOND)
    assert demand.recent == (0, 0)


def test_one_row_is_divided_into_layers():
    demand = ExpertDemand().apply_counts(_counts(0, 0, 0, 0), SECOND)
    demand = demand.apply_counts(_counts(1, 2, 3, 4), SECOND)
    assert demand.by_layer(2) == ((1, 2), (3, 4))


def _counts_of_two_ranks(first, second, step, born_ms):
    return {
        0: make_lane_counts(RankCounts(1, step, (first, 0), 1)),
        1: make_lane_counts(RankCounts(1, step, (second, 0), born_ms)),
    }


def test_first_counts_of_a_restarted_rank_add_nothing():
    # One rank of the group restarts in the same epoch and counts from 0. Its
    # difference of -990 cancelled the 500 choices that the other rank had
    # counted.
    demand = ExpertDemand().apply_counts(
        _counts_of_two_ranks(100, 1000, 5, born_ms=1), SECOND
    )
    demand = demand.apply_counts(
        _counts_of_two_ranks(600, 10, 6, born_ms=2), SECOND
    )
    assert demand.recent == (500, 0)


@pytest.mark.parametrize('born_ms', [None, 1])
def test_counts_of_an_earlier_pass_add_nothing(born_ms):
    # The rank states no start time, or two of its incarnations started in the
    # same millisecond: a pass number lower than before reveals the restart.
    demand = ExpertDemand().apply_counts(
        _counts_of_two_ranks(100, 1000, 5, born_ms), SECOND
    )
    demand = demand.apply_counts(
        {
            **_counts_of_two_ranks(600, 10, 6, born_ms),
            1: make_lane_counts(RankCounts(1, 0, (10, 0), born_ms)),
        },
        SECOND,
    )
    assert demand.recent == (500, 0)
