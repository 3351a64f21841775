"""Tests of requests while data centres are evacuated, over real sockets."""

import time
from dataclasses import replace

import pytest

from linnetwind.admission.admission_policy import (
    EVACUATED,
    CapacityView,
    PendingStream,
    decide_admission,
)
from linnetwind.admission.retry_times import MAX_RETRY_AFTER
from linnetwind.upstream_call import open_call
from standins.gateway_fixtures import MS, SECOND, evacuate
from standins.gateway_requests import FRAGILE, GET, ONCE, STREAM
from standins.upstream_scripts import answer, stream

CALLS = 10
KINDS = pytest.mark.parametrize('text', [GET, ONCE, STREAM, FRAGILE])


def _service(text):
    return 'model' if text in {STREAM, FRAGILE} else 'plain'


def _add(gateway, text, *sites):
    """Add an upstream in each data centre, which answers all requests."""
    script = stream if text in {STREAM, FRAGILE} else answer
    return [gateway.add(script, _service(text), site=site) for site in sites]


def _statuses(gateway, text):
    return [gateway.ask(text)[0] for _call in range(CALLS)]


@KINDS
def test_an_evacuated_data_centre_gets_no_requests(gateway, text):
    there, elsewhere = _add(gateway, text, 'a', 'b')
    evacuate(gateway.state, 'a')
    assert _statuses(gateway, text) == [200] * CALLS
    assert (len(there.requests), len(elsewhere.requests)) == (0, CALLS)


@KINDS
def test_a_cancelled_evacuation_brings_requests_back(gateway, text):
    (there,) = _add(gateway, text, 'a')
    evacuate(gateway.state, 'a')
    evacuate(gateway.state, 'a', offset=1, active=False)
    assert _statuses(gateway, text) == [200] * CALLS
    assert len(there.requests) == CALLS


@KINDS
def test_an_evacuation_while_connecting_prevents_the_request(gateway, text):
    """Guards against requests that were on their way when it was read."""
    there, elsewhere = _add(gateway, text, 'a', 'b')
    opened = []

    def open_and_evacuate(address, *terms):
        opened.append(address.port)
        if address.port == there.port:
            evacuate(gateway.state, 'a')
        return open_call(address, *terms)

    gateway._tools = replace(gateway._tools, open_call=open_and_evacuate)
    assert _statuses(gateway, text) == [200] * CALLS
    while there.port not in opened and len(elsewhere.requests) < 200:
        assert gateway.ask(text)[0] == 200
    assert opened.count(there.port) == 1
    assert there.requests == []


@KINDS
def test_a_retry_follows_an_evacuation(gateway, text):
    """Guards against a retry at an upstream that was usable at first."""

    def refuse(connection, request):
        evacuate(gateway.state, 'b')
        connection.answer(request, 'no', 503, Not_Executed='1')

    gateway.add(refuse, _service(text), site='a')
    there, _elsewhere = _add(gateway, text, 'b', 'c')
    for _call in range(CALLS):
        evacuate(gateway.state, 'b', offset=2 * _call + 1, active=False)
        there.requests.clear()
        evacuate(gateway.state, 'b', offset=2 * _call + 2)
        assert gateway.ask(text)[0] == 200
        assert there.requests == []


def test_a_resumed_stream_follows_an_evacuation(gateway):
    def cut(connection, request):
        connection.head(
            request,
            Content_Type='text/event-stream',
            Transfer_Encoding='chunked',
        )
        connection.chunk('id: 1\ndata: 1\n\n')
        evacuate(gateway.state, 'a')
        evacuate(gateway.state, 'b')
        evacuate(gateway.state, 'c', offset=1, active=False)
        connection.reset()

    def resume(connection, request):
        connection.head(
            request,
            Content_Type='text/event-stream',
            Transfer_Encoding='chunked',
        )
        connection.chunk('id: 2\ndata: 2\n\n')
        connection.send('0\r\n\r\n')

    cut_at = [gateway.add(cut, 'model', site=site) for site in ('a', 'b')]
    evacuate(gateway.state, 'c')
    resumed = gateway.add(resume, 'model', site='c')
    status, _headers, body = gateway.ask(STREAM)
    assert (status, body) == (200, b'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n')
    assert sorted(len(each.requests) for each in cut_at) == [0, 1]
    assert len(resumed.requests) == 1


def test_a_running_stream_ends_in_an_evacuated_data_centre(gateway):
    def evacuate_meanwhile(connection, request):
        evacuate(gateway.state, 'a')
        stream(connection, request)

    gateway.add(evacuate_meanwhile, 'model', site='a')
    status, _headers, body = gateway.ask(STREAM)
    assert (status, body) == (200, b'id: 1\ndata: 1\n\n')


@KINDS
def test_requests_are_rejected_at_once_if_all_are_evacuated(gateway, text):
    """Guards against callers that wait where nothing can become free."""
    upstreams = _add(gateway, text, 'a', 'b')
    evacuate(gateway.state, 'a')
    evacuate(gateway.state, 'b')
    before = time.monotonic()
    status, headers, _body = gateway.ask(text)
    assert time.monotonic() - before < 0.3
    assert status == 503
    assert float(headers['Retry-After']) == MAX_RETRY_AFTER / SECOND
    assert [each.requests for each in upstreams] == [[], []]


@pytest.mark.parametrize('opens_in', [None, 100 * MS])
def test_queued_streams_are_rejected_if_all_are_evacuated(opens_in):
    view = CapacityView(5, 40, 200 * MS, opens_in, is_evacuated=True)
    queued = PendingStream(2, 50 * MS, 400 * MS, returning=True)
    assert decide_admission(view, queued) == EVACUATED
