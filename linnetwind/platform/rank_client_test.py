"""Tests of valid, malformed and almost valid responses of a rank's worker.

The planner chooses expert maps from these responses. If decoding one of them
raises, the planner's round ends and no group gets a map. If an almost valid
one is accepted, the planner sends orders for a state that the rank is not in.
"""

import json

import pytest

from linnetwind.address import Address
from linnetwind.daemon_events import BadAnswer
from linnetwind.platform.rank_client import REMOTE_TIMEOUT, RankClient
from linnetwind.rank_types import (
    DisarmMap,
    OrderResult,
    RankCounts,
    RankExperts,
    RankReport,
)
from standins.bad_messages import BORN, MISSING
from standins.gateway_harness import ListLog
from standins.scripted_upstream import ScriptedUpstream

REPORT = {
    'stage': 'unified',
    'group': {'name': 'g', 'epoch': 1, 'rank': 3, 'state': 'open'},
    'size': 16,
    'busy': False,
    'sequence': 2,
    'queueDepth': 1,
    'activeRequests': 12,
    'pace': 1,
    'step': 812,
    'mapping': 4,
    'preloaded': 5,
    'armed': {'version': 5, 'step': 820},
    'held': None,
}
COUNTS = {'step': 812, 'epoch': 1, 'counts': [5120, 88, 940]}
EXPERTS = {
    'epoch': 1,
    'mapping': {'version': 4, 'experts': [[0, 1], [2, 3]]},
    'preloaded': None,
}
RESPONSES = {
    '/-/report': REPORT,
    '/-/picked': COUNTS,
    '/-/picked?lists=1': EXPERTS,
}


@pytest.fixture(name='query')
def _query():
    """Return a function that queries a rank whose response is altered."""
    upstreams = []

    def query(call, changed=None, text=None):
        def answer(connection, request):
            fields = {**RESPONSES[request.target], **(changed or {})}
            present_fields = {
                key: found
                for key, found in fields.items()
                if found is not MISSING
            }
            body = json.dumps(present_fields) if text is None else text
            connection.answer(request, body)

        upstream = ScriptedUpstream(answer)
        upstreams.append(upstream)
        log = ListLog()
        address = Address('127.0.0.1', upstream.port)
        client = RankClient(address, 20 * REMOTE_TIMEOUT, log)
        return getattr(client, call)(), log.of(BadAnswer)

    yield query
    for upstream in upstreams:
        upstream.close()


def test_valid_responses_are_decoded(query):
    report = RankReport(
        group='g',
        rank=3,
        size=16,
        epoch=1,
        is_open=True,
        step=812,
        sequence=2,
        is_copying=False,
        map_version=4,
        prepared=5,
        armed=5,
        armed_step=820,
        held=None,
        pace=1.0,
        running=12,
        waiting=1,
    )
    assert query('report') == (report, [])
    assert query('counts') == (RankCounts(1, 812, (5120, 88, 940)), [])
    assert query('experts') == (RankExperts(1, 4, ((0, 1), (2, 3))), [])


@pytest.mark.parametrize('call', ['report', 'counts', 'experts'])
def test_a_response_may_contain_the_start_time_of_the_process(query, call):
    assert (
        query(call, {'born': 1_764_000_000_000})[0].born_ms == 1_764_000_000_000
    )
    for born in (None, *BORN):
        found, (bad,) = query(call, {'born': born})
        assert found is None
        assert (bad.call, bad.field) == (call, 'born')


@pytest.mark.parametrize(
    ('call', 'field', 'changed'),
    [
        *(
            ('report', field, {field: MISSING})
            for field in REPORT
            if field not in {'stage', 'preloaded', 'armed', 'held', 'pace'}
        ),
        *(
            ('report', field, {field: 'x'})
            for field in REPORT
            if field != 'stage'
        ),
        ('report', 'group.state', {'group': {**REPORT['group'], 'state': ''}}),
        ('report', 'group.rank', {'group': {**REPORT['group'], 'rank': 16}}),
        ('report', 'size', {'size': 0}),
        ('report', 'step', {'step': 1.5}),
        ('report', 'step', {'step': True}),
        ('report', 'step', {'step': 10**40}),
        ('report', 'pace', {'pace': 0}),
        ('report', 'armed.step', {'armed': {'version': 5}}),
        ('counts', 'counts', {'counts': MISSING}),
        ('counts', 'counts', {'counts': 5}),
        ('counts', 'counts[1]', {'counts': [1, -1]}),
        ('counts', 'epoch', {'epoch': '1'}),
        ('experts', 'mapping', {'mapping': MISSING}),
        ('experts', 'mapping', {'mapping': 4}),
        (
            'experts',
            'mapping.experts[0][1]',
            {'mapping': {'version': 4, 'experts': [[0, 1.5]]}},
        ),
    ],
)
def test_a_malformed_response_is_none_and_its_field_is_logged(
    query, call, field, changed
):
    found, (bad,) = query(call, changed)
    assert found is None
    assert (bad.call, bad.field) == (call, field)
    assert bad.reason


@pytest.mark.parametrize('call', ['report', 'counts', 'experts'])
@pytest.mark.parametrize(
    'text', ['', 'no json', '[]', 'null', '{}', '{"a":' * 5000, '[' * 100_000]
)
def test_an_undecodable_response_is_logged(query, call, text):
    found, (bad,) = query(call, text=text)
    assert found is None
    assert bad.reason


def test_a_malformed_response_is_logged_once_until_it_changes():
    # Ranks are queried many times a second, so repeated lines would flood the
    # log.
    bodies = ['{}', '{}', json.dumps(COUNTS), '{}', '[]']

    def answer(connection, request):
        connection.answer(request, bodies.pop(0), Connection='close')

    upstream = ScriptedUpstream(answer)
    log = ListLog()
    address = Address('127.0.0.1', upstream.port)
    client = RankClient(address, 20 * REMOTE_TIMEOUT, log)
    found = [client.counts() for _call in range(5)]
    upstream.close()
    assert [each is not None for each in found].count(True) == 1
    assert len(log.of(BadAnswer)) == 3


@pytest.mark.parametrize(
    ('status', 'result'),
    [
        (200, OrderResult.DONE),
        (202, OrderResult.STARTED),
        (400, OrderResult.REFUSED),
        (409, OrderResult.REFUSED),
        (412, OrderResult.REFUSED),
        (421, OrderResult.REFUSED),
        (204, OrderResult.NO_ANSWER),
        (302, OrderResult.NO_ANSWER),
        (500, OrderResult.NO_ANSWER),
        (504, OrderResult.NO_ANSWER),
    ],
)
def test_only_a_specified_status_tells_the_result_of_an_order(status, result):
    # An engine that fails while it carries out an order responds with 500, or a
    # proxy with 504. The order may have been carried out or may still be. If
    # this counted as a refusal, the next order would assume that the rank's
    # state had not changed.
    upstream = ScriptedUpstream(
        lambda connection, request: connection.answer(request, '', status)
    )
    log = ListLog()
    address = Address('127.0.0.1', upstream.port)
    client = RankClient(address, 20 * REMOTE_TIMEOUT, log)
    assert client.order(DisarmMap(5, 1)) is result
    upstream.close()
    is_specified = status in {200, 202, 400, 409, 412, 421}
    assert len(log.of(BadAnswer)) == (0 if is_specified else 1)
