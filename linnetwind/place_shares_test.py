"""Tests of sharing out the free places of a group among daemons."""

import random
from datetime import timedelta

import pytest

from linnetwind.place_shares import Demand, allow, own_share

SECOND = timedelta(seconds=1)
WINDOW = SECOND * 0.15


@pytest.mark.parametrize('waiting', [1, 5, 20])
def test_daemons_share_out_the_places_that_become_free(waiting):
    # Four daemons see the same eight places become free at once. If each
    # filled all eight, the group would run 32 streams more and every stream
    # would turn late.
    demand = Demand(waiting, 0)
    share = own_share(demand, [demand] * 3, WINDOW)
    places = allow(SECOND, 10, 8, share, rounding=0).most - 10
    assert 4 * min(waiting, places) <= 8


def test_one_place_is_filled_by_about_one_of_many_daemons():
    # Sixteen daemons see one place become free, over and over. Rounded up, it
    # was filled sixteen times, and the group stood at all its slots while
    # every pass was too long.
    rounding = random.Random(4)
    share = own_share(Demand(1, 9), [Demand(1, 9)] * 15, WINDOW)
    filled = [
        sum(
            allow(SECOND, 3, 1, share, rounding.random()).most - 3
            for _daemon in range(16)
        )
        for _time in range(400)
    ]
    assert sum(filled) / len(filled) == pytest.approx(1, abs=0.1)
    assert max(filled) <= 5


def test_places_go_to_those_who_are_asked_for_them():
    # The platform spreads callers unevenly: most of them wait here.
    others = [Demand(0, 4)] * 15
    assert own_share(Demand(30, 40), others, WINDOW) > 0.75
    assert own_share(Demand(0, 0), others, WINDOW) == 0
    assert own_share(Demand(0, 0), [Demand(0, 0)] * 3, WINDOW) == 0.25


def test_an_overfull_group_is_emptied_by_all_daemons():
    # The limit has fallen by 32 streams. Every daemon lets its part of them
    # end before it starts another.
    share = own_share(Demand(2, 9), [Demand(2, 9)] * 15, WINDOW)
    assert allow(SECOND, 17, -32, share, rounding=0).most == 15
    assert allow(SECOND, 1, -900, share, rounding=0).most == 0
