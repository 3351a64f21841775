"""Tests of upstreams whose responses ask the gateway to back off."""

import time

import pytest

from linnetwind.gateway_events import BackoffAsked
from standins.gateway_requests import FRAGILE, GET, ONCE, STREAM
from standins.upstream_scripts import answer, stream

CALLS = 20
# Longer than all calls of one test take together.
BACKOFF_S = 60


def _refuse(retry_after_s, **headers):
    """Refuse each request and ask for a backoff of some seconds."""

    def script(connection, request):
        connection.answer(
            request,
            'no',
            503,
            Not_Executed='1',
            Retry_After=retry_after_s,
            **headers,
        )

    return script


def _send_calls(gateway, text):
    """Send calls one after the other; return their statuses and headers."""
    answers = [gateway.ask(text) for _call in range(CALLS)]
    return [(status, headers) for status, headers, _body in answers]


def test_a_requested_backoff_is_logged(gateway):
    gateway.add(_refuse('2.5'))
    gateway.ask(GET)
    asked = gateway.log.first(BackoffAsked)
    assert asked.request == 'call-1'
    assert asked.upstream == 'i-0'
    assert asked.backoff.total_seconds() == 2.5
    assert asked.left_before is None


@pytest.mark.parametrize('text', [GET, ONCE, STREAM, FRAGILE])
def test_an_upstream_in_backoff_gets_no_requests(gateway, text):
    """Guards against attempts that are wasted on an upstream in backoff."""
    is_stream = text in {STREAM, FRAGILE}
    service = 'model' if is_stream else 'plain'
    backing_off = gateway.add(_refuse(str(BACKOFF_S)), service)
    gateway.add(stream if is_stream else answer, service)
    statuses = [status for status, _headers in _send_calls(gateway, text)]
    assert statuses == [200] * CALLS
    assert len(backing_off.requests) <= 1


@pytest.mark.parametrize('text', [GET, ONCE, STREAM, FRAGILE])
def test_callers_get_a_retry_after_while_all_upstreams_back_off(gateway, text):
    """Guards against callers that wait, or retry during the backoff."""
    service = 'model' if text in {STREAM, FRAGILE} else 'plain'
    upstreams = [
        gateway.add(_refuse(str(BACKOFF_S)), service) for _ in range(2)
    ]
    gateway.ask(text)
    started_at = time.monotonic()
    answers = _send_calls(gateway, text)
    elapsed_s = time.monotonic() - started_at
    assert [len(each.requests) for each in upstreams] == [1, 1]
    for status, headers in answers:
        assert status == 503
        assert float(headers['Retry-After']) >= BACKOFF_S - elapsed_s - 1
