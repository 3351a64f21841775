"""Tests of upstreams that ask a gateway to back off."""

import time

import pytest

from linnetwind.gateway_events import BackoffAsked
from standins.gateway_requests import FRAGILE, GET, ONCE, STREAM
from standins.upstream_scripts import answer, stream

CALLS = 20
# Longer than all calls of a test take.
BACKOFF_S = 60


def _refuse(wanted, **headers):
    """Refuse each request and want no more for some seconds."""

    def script(connection, request):
        connection.answer(
            request, 'no', 503, Not_Executed='1', Retry_After=wanted, **headers
        )

    return script


def _ask(gateway, text):
    """Send calls one after the other; return statuses and headers."""
    answers = [gateway.ask(text) for _call in range(CALLS)]
    return [(status, headers) for status, headers, _body in answers]


def test_the_log_tells_of_a_backoff(gateway):
    gateway.add(_refuse('2.5'))
    gateway.ask(GET)
    asked = gateway.log.first(BackoffAsked)
    assert asked.request == 'call-1'
    assert asked.upstream == 'i-0'
    assert asked.backoff.total_seconds() == 2.5
    assert asked.left_before is None


@pytest.mark.parametrize('text', [GET, ONCE, STREAM, FRAGILE])
def test_an_upstream_that_asked_to_back_off_gets_nothing(gateway, text):
    """Guards against tries that are wasted on upstreams that back off."""
    is_stream = text in {STREAM, FRAGILE}
    service = 'model' if is_stream else 'plain'
    resting = gateway.add(_refuse(str(BACKOFF_S)), service)
    gateway.add(stream if is_stream else answer, service)
    statuses = [status for status, _headers in _ask(gateway, text)]
    assert statuses == [200] * CALLS
    assert len(resting.requests) <= 1


@pytest.mark.parametrize('text', [GET, ONCE, STREAM, FRAGILE])
def test_callers_are_told_when_upstreams_that_want_none_are_back(gateway, text):
    """Guards against waits and returns that are refused again."""
    service = 'model' if text in {STREAM, FRAGILE} else 'plain'
    upstreams = [
        gateway.add(_refuse(str(BACKOFF_S)), service) for _ in range(2)
    ]
    gateway.ask(text)
    began = time.monotonic()
    answers = _ask(gateway, text)
    took = time.monotonic() - began
    assert [len(each.requests) for each in upstreams] == [1, 1]
    for status, headers in answers:
        assert status == 503
        assert float(headers['Retry-After']) >= BACKOFF_S - took - 1
