"""Tests of route lookup, service choice and access control."""

from dataclasses import replace
from datetime import timedelta

import pytest

from linnetwind.call_policy import Allowed, Denied, allow
from linnetwind.call_types import RequestFacts
from linnetwind.routes import (
    RouteTable,
    WeightedService,
    choose_service,
    find_route,
    request_priority,
)
from standins.gateway_fixtures import make_route, make_table


@pytest.mark.parametrize(
    ('host', 'path', 'expected'),
    [
        ('a.example', '/x/1', 'short'),
        ('a.example', '/x/y/1', 'long'),
        ('A.Example:8080', '/x/y/', 'long'),
        ('a.example', '/x', None),
        ('a.example', '/xy/', None),
        ('b.example', '/x/1', None),
        ('', '/x/1', None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, path, expected):
    table = make_table(
        make_route('short', path_prefix='/x/'),
        make_route('long', path_prefix='/x/y/'),
    )
    match = find_route(table, host, path)
    assert (match.name if match else None) == expected


@pytest.mark.parametrize(
    ('point', 'expected'), [(0, 'a'), (0.89, 'a'), (0.9, 'b'), (0.9999, 'b')]
)
def test_services_are_chosen_by_weight(point, expected):
    split = (WeightedService('a', 90), WeightedService('b', 10))
    route = replace(make_route('r'), services=split)
    assert choose_service(route, point) == expected


def _facts(path='/x/1', key=None):
    return RequestFacts('id', 'a.example', path, timedelta(1), key, None, '')


@pytest.mark.parametrize(
    ('facts', 'anonymous', 'expected'),
    [
        (_facts(key='good'), False, 'customer'),
        (_facts(key='good'), True, 'customer'),
        (_facts(key='bad'), True, None),
        (_facts(), True, None),
    ],
)
def test_api_key_identifies_its_customer(facts, anonymous, expected):
    route = make_route('r', anonymous=anonymous)
    table = make_table(route, keys={'good': 'customer'})
    assert allow(table, facts) == Allowed(route, expected)


@pytest.mark.parametrize(
    ('facts', 'status'),
    [
        (_facts(key='bad'), 401),
        (_facts(), 401),
        (_facts(path='/none/', key='good'), 404),
    ],
)
def test_request_without_valid_key_or_route_is_denied(facts, status):
    table = make_table(make_route('r'), keys={'good': 'customer'})
    decision = allow(table, facts)
    assert isinstance(decision, Denied)
    assert decision.status == status


@pytest.mark.parametrize('key', [None, ''])
def test_a_caller_without_a_key_is_no_customer(key):
    # If a customer's key was published empty, callers without a key ran as
    # that customer.
    route = make_route('r')
    table = make_table(route, keys={'': 'customer', 'good': 'other'})
    assert isinstance(allow(table, _facts(key=key)), Denied)
    anonymous = make_route('r', anonymous=True)
    open_table = make_table(anonymous, keys={'': 'customer'})
    assert allow(open_table, _facts(key=key)) == Allowed(anonymous, None)


def test_the_route_decides_among_customers_of_the_same_priority():
    # All customers have a priority of their own. If it took the place of the
    # routes', urgent and batch streams would be one class.
    urgent, batch = make_route('u', priority=0), make_route('b', priority=2)
    table = RouteTable(
        1,
        {},
        {},
        None,
        requires_key=True,
        customers_by_key={},
        priorities={'first': 0, 'x': 1, 'y': 1},
    )
    ordered = [
        request_priority(table, route, customer)
        for customer, route in (
            ('first', urgent),
            ('first', batch),
            ('x', urgent),
            ('y', batch),
        )
    ]
    assert ordered == sorted(set(ordered))
    assert request_priority(table, urgent, None) == ordered[0]
    equal = {request_priority(table, urgent, name) for name in ('x', 'y')}
    assert len(equal) == 1
