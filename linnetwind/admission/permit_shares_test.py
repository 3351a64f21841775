"""Tests of dividing the free permits of a group among daemons."""

import random
from datetime import timedelta

import pytest

from linnetwind.admission.permit_shares import (
    Demand,
    compute_allowance,
    own_share,
)

SECOND = timedelta(seconds=1)
WINDOW = SECOND * 0.15


@pytest.mark.parametrize('waiting', [1, 5, 20])
def test_daemons_divide_the_free_permits(waiting):
    # Four daemons see the same eight permits become free at once. If each used
    # all eight, the group would run 32 more streams and every stream would be
    # late.
    demand = Demand(waiting, 0)
    share = own_share(demand, [demand] * 3, WINDOW)
    permits = (
        compute_allowance(SECOND, 10, 8, share, rounding=0).max_streams - 10
    )
    assert 4 * min(waiting, permits) <= 8


def test_one_permit_is_used_by_about_one_of_many_daemons():
    # Sixteen daemons repeatedly see one permit become free. If each rounds its
    # share up, the permit is used sixteen times, and the group runs streams in
    # all its slots while every pass is too long.
    rounding = random.Random(4)
    share = own_share(Demand(1, 9), [Demand(1, 9)] * 15, WINDOW)
    used = [
        sum(
            compute_allowance(
                SECOND, 3, 1, share, rounding.random()
            ).max_streams
            - 3
            for _daemon in range(16)
        )
        for _time in range(400)
    ]
    assert sum(used) / len(used) == pytest.approx(1, abs=0.1)
    assert max(used) <= 5


def test_permits_go_to_the_daemons_with_demand():
    # The platform spreads callers unevenly: most of them wait at this daemon.
    others = [Demand(0, 4)] * 15
    assert own_share(Demand(30, 40), others, WINDOW) > 0.75
    assert own_share(Demand(0, 0), others, WINDOW) == 0
    assert own_share(Demand(0, 0), [Demand(0, 0)] * 3, WINDOW) == 0.25


def test_all_daemons_reduce_the_streams_of_a_group_over_its_limit():
    # The limit has fallen by 32 streams. Every daemon lets its share of them
    # end before it starts another.
    share = own_share(Demand(2, 9), [Demand(2, 9)] * 15, WINDOW)
    assert (
        compute_allowance(SECOND, 17, -32, share, rounding=0).max_streams == 15
    )
    assert (
        compute_allowance(SECOND, 1, -900, share, rounding=0).max_streams == 0
    )
