"""Tests of dividing the free permits of a group among daemons."""

import itertools
import random
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetwind.admission.class_arrivals import advertised_demands
from linnetwind.admission.customer_shares import CustomerWork, pack_customers
from linnetwind.admission.peer_totals import PeerTotals
from linnetwind.admission.permit_shares import (
    Allowance,
    Demand,
    compute_allowance,
    compute_class_allowance,
    own_share,
)
from linnetwind.admission.urgency import FLOOR, allocate_room
from linnetwind.peers.peer_table import ClassLoad, StreamLoad

SECOND = timedelta(seconds=1)
NOW = SECOND
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


def test_batch_streams_leave_permits_to_urgent_ones_of_other_daemons():
    # One daemon has many batch streams, another a few urgent ones that wait.
    # If a daemon may replace each of its streams that ends, the batch streams
    # keep all permits.
    batch = {2: Demand(20, 10)}
    urgent = {0: Demand(4, 10)}
    first = compute_class_allowance(NOW, 30, 0, batch, urgent, 0.5)
    assert first.max_of(2) == 25
    second = compute_class_allowance(NOW, 3, 5, urgent, batch, 0.5)
    assert second.max_of(0) >= 6
    # A daemon that sends no priorities counts as the most urgent.
    load = StreamLoad('model', 4, 10, ())
    assert advertised_demands(load) == urgent


@given(
    st.integers(-30, 60),
    st.lists(
        st.dictionaries(
            st.integers(0, 3),
            st.builds(Demand, st.integers(0, 9), st.floats(0, 20)),
        ),
        min_size=1,
        max_size=6,
    ),
    st.floats(0, 1, exclude_max=True),
)
def test_all_daemons_together_use_no_more_than_the_free_permits(
    free, demands, rounding
):
    # Each daemon computes its part by itself; if the parts did not fit, every
    # stream of the group would be late.
    used = 0
    for at, own in enumerate(demands):
        peers = PeerTotals()
        for number, other in enumerate(demands):
            classes = [
                ClassLoad(priority, each.waiting, each.arrivals_per_s)
                for priority, each in other.items()
            ]
            load = StreamLoad('model', 0, 0, (), tuple(classes))
            if number != at and classes:
                peers.merge(f'peer {number}', [load])
        others = peers.demands('model')
        allowance = (
            compute_class_allowance(NOW, 100, free, own, others, rounding)
            if own
            else Allowance(NOW, 100)
        )
        used += allowance.max_streams - 100
    assert used <= max(0, free) + len(demands) * (1 + rounding)


@given(
    st.floats(0, 90),
    st.dictionaries(st.integers(0, 5), st.floats(0.1, 40), min_size=1),
)
def test_rooms_add_up_and_keep_the_floors(free, demands):
    rooms = allocate_room(free, demands)
    total = sum(demands.values())
    if free >= total:
        assert sum(rooms.values()) == pytest.approx(free)
    parts = [max(0, rooms[each]) / demands[each] for each in sorted(rooms)]
    # No class is served less often than a less urgent one.
    for more, less in itertools.pairwise(parts):
        assert more >= less - 0.001
    first = min(rooms)
    assert rooms[first] >= min(free, demands[first]) * FLOOR


def test_a_daemon_that_timed_out_leaves_no_demand():
    # If its demand stayed, a share of the permits would never be used.
    peers = PeerTotals()
    work = pack_customers({7: CustomerWork(2, 1, NOW)}, NOW)
    load = StreamLoad('model', 4, 9, (), (ClassLoad(1, 4, 9, work),))
    for name in ('a', 'b', 'a'):
        peers.merge(name, [load])
    assert peers.demands('model') == {1: Demand(8, 18)}
    assert peers.customers('model', 1) == {7: CustomerWork(4, 2)}
    peers.merge('a', ())
    assert peers.demands('model') == {1: Demand(4, 9)}
    peers.merge('b', ())
    assert peers.demands('model') == {}
    assert peers.customers('model', 1) == {}


def test_a_need_near_zero_does_not_overflow():
    # A daemon whose rate of arrivals is a denormal number got an error instead
    # of an allowance. All of the free permits are for the only demand.
    own = {0: Demand(0, 2.2250738585072014e-308)}
    allowance = compute_class_allowance(SECOND, 3, 1, own, {}, 0)
    assert allowance.max_streams == 4
