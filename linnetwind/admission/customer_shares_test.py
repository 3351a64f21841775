"""Tests of the max-min fair shares of customers."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetwind.admission.customer_shares import (
    MAX_ADVERTISED,
    CustomerWork,
    add_work,
    customer_tag,
    customers_above_share,
    fair_level,
    merge_works,
    pack_customers,
    remembered,
    unpack_customers,
)
from linnetwind.admission.queue_order import (
    PermitRequest,
    QueuedStream,
    QueueOrder,
)
from linnetwind.admission.stream_work import StreamWork
from linnetwind.call_types import TokenCounts
from standins.gateway_fixtures import MS, SECOND

NOW = 9 * SECOND


@given(st.lists(st.floats(0, 90), min_size=1), st.floats(0, 900))
def test_shares_use_the_whole_room(demands, room):
    level = fair_level(demands, room)
    served = sum(min(each, level) for each in demands)
    assert served == pytest.approx(min(room, sum(demands)), abs=1e-6)


def test_a_large_customer_is_above_its_share_and_small_ones_are_not():
    # Half of what is asked for can be served. In the order of arrival, the
    # small customers would lose half of their streams too.
    works = {
        1: CustomerWork(80, 40),
        2: CustomerWork(8, 4),
        3: CustomerWork(8, 4),
    }
    assert customers_above_share(works) == {1}
    # Nobody is above its share if all are served, or if there is one customer.
    full = {
        key: replace(each, served=each.asked) for key, each in works.items()
    }
    assert not customers_above_share(full)
    assert not customers_above_share({1: works[1]})


def test_a_large_customer_keeps_its_floor():
    works = {1: CustomerWork(1000, 12), 2: CustomerWork(10, 10)}
    works |= {key: CustomerWork(10, 10) for key in range(3, 20)}
    # All are served in 0.16 of the cases, so that this one gets 0.04.
    assert 1 not in customers_above_share(works | {1: CustomerWork(1000, 7)})


def test_the_share_of_an_idle_customer_is_forgotten():
    works = add_work({}, 1, CustomerWork(5, 5, NOW))
    assert not remembered(works, NOW + 30 * SECOND)
    for customer in range(2000):
        works = add_work(works, customer, CustomerWork(1, 0, NOW))
    assert len(works) <= 256


def test_the_largest_customers_are_advertised_in_few_bytes():
    works = {key: CustomerWork(key, key / 2, NOW) for key in range(1, 30)}
    packed = pack_customers(works, NOW)
    assert len(packed) == 12 * MAX_ADVERTISED
    read = unpack_customers(packed)
    merged = merge_works({29: CustomerWork(1, 1)}, read, read)
    assert merged[29] == CustomerWork(59, 30)
    assert len(merged) == MAX_ADVERTISED


@given(st.binary(max_size=40))
def test_other_bytes_are_no_customers(content):
    # They came from a datagram; not-a-number would spoil all shares.
    merged = unpack_customers(content)
    assert all(each.asked >= 0 and each.served >= 0 for each in merged.values())


def test_a_customer_that_repeats_its_requests_gains_nothing():
    # It retries three times as often as asked; the daemons recognize retries.
    order = QueueOrder()
    request = PermitRequest(NOW, SECOND, 120 * MS, False, customer='a', work=2)
    order.add(QueuedStream(1, request, 0), NOW)
    for number in range(2, 5):
        again = replace(request, returning=True)
        order.add(QueuedStream(number, again, 0), NOW)
    assert order.customers[0][customer_tag('a')].asked == 2


def test_a_customer_above_its_share_waits_behind_the_others_of_its_class():
    order = QueueOrder(above_share={1: frozenset((customer_tag('large'),))})
    streams = [('large', 1), ('small', 1), ('large', 0), ('other', 2)]
    for number, (customer, priority) in enumerate(streams):
        request = PermitRequest(
            NOW, SECOND, 120 * MS, False, priority, customer=customer
        )
        order.add(QueuedStream(number, request, 0), NOW)
    assert [each.number for each in order.entries] == [2, 1, 0, 3]


def test_work_is_relative_to_the_route():
    work = StreamWork()
    assert work.relative('a', None) == 1
    assert work.relative('a', TokenCounts(100, 20)) == 1
    assert 1.8 < work.relative('a', TokenCounts(200, 40)) < 2
    assert work.relative('a', TokenCounts(0, 10**9)) <= 10
    assert work.relative('b', TokenCounts(0, 0)) == 1


def test_customers_are_advertised_only_while_streams_wait():
    # Otherwise every state of every daemon would be 100 bytes longer.
    order = QueueOrder()
    for number, wait in enumerate((5 * MS, 200 * MS)):
        assert not order.largest_customers(1, NOW)
        request = PermitRequest(NOW, SECOND, 120 * MS, False, 1)
        entry = QueuedStream(number, request, 0)
        order.add(entry, NOW)
        order.remove(entry, NOW + wait)
    assert len(order.largest_customers(1, NOW + SECOND)) == 12
    assert not order.largest_customers(1, NOW + 6 * SECOND)
