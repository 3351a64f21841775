"""Tests of requests that crash every upstream that starts to run them."""

from contextlib import suppress
from http.client import HTTPException

import pytest

from linnetwind.gateway_events import RequestEnded, UpstreamCrashed
from standins.gateway_requests import GET, ONCE, STREAM

UPSTREAM_COUNT = 8
MAX_CRASHES = 3
EVENTS = [f'id: {number}\ndata: {number}\n\n' for number in range(1, 4)]


def _crash(connection, request):
    connection.crash()


def _crash_in_stream(connection, request):
    connection.head(
        request, Content_Type='text/event-stream', Transfer_Encoding='chunked'
    )
    connection.chunk(EVENTS[0])
    connection.crash()


def _send_with_retries(gateway, text, attempts=UPSTREAM_COUNT):
    """Send a request repeatedly, as a retrying caller does; return statuses.

    Each attempt has its own id. An attempt without a complete response adds no
    status.
    """
    statuses = []
    for number in range(attempts):
        with suppress(HTTPException, OSError):
            retry_text = text.replace('call-1', f'call-{number}')
            statuses.append(gateway.ask(retry_text)[0])
    return statuses


@pytest.mark.parametrize(
    ('text', 'service', 'script'),
    [
        (GET, 'plain', _crash),
        (ONCE, 'plain', _crash),
        (STREAM, 'model', _crash),
        (STREAM, 'model', _crash_in_stream),
    ],
)
def test_a_request_that_crashes_upstreams_is_refused_in_the_end(
    gateway, text, service, script
):
    # Each upstream that starts the request crashes: its connection is reset
    # and its port refuses new ones. The caller retries, since no response tells
    # it otherwise. If a retry knew only the upstreams of its own attempts, each
    # retry would crash one or two more until none was left. In a rank group,
    # each crash cuts the streams of all other callers.
    upstreams = [
        gateway.add(script, service) for _number in range(UPSTREAM_COUNT)
    ]
    _send_with_retries(gateway, text)
    started = sum(len(each.requests) for each in upstreams)
    assert started <= MAX_CRASHES
    # Each crash was detected and attributed to the same request.
    crashes = gateway.log.of(UpstreamCrashed)
    assert len(crashes) == started
    assert len({each.fingerprint for each in crashes}) == 1
    ended = gateway.log.nth(RequestEnded, UPSTREAM_COUNT)
    assert ended.outcome == 'refused'
    assert not ended.upstreams


def test_other_requests_are_served_while_one_crashes_upstreams(gateway):
    # The request that is served differs from the crashing one only in its path.
    def crash_by_path(connection, request):
        if request.target.startswith('/x/bad'):
            connection.crash()
        else:
            connection.answer(request)

    for _number in range(UPSTREAM_COUNT):
        gateway.add(crash_by_path)
    _send_with_retries(gateway, GET.replace('/x/1', '/x/bad'))
    assert _send_with_retries(gateway, GET, 3) == [200] * 3


def test_callers_of_a_broken_group_get_the_time_until_it_opens(gateway):
    # One rank crashes. The other ranks of its group would accept the next
    # streams, stall with them and refuse them later.
    gateway.add(_crash, 'model')
    gateway.ask(STREAM)
    gateway.log.first(RequestEnded)
    other = gateway.add(_crash, 'model')
    status, headers, _body = gateway.ask(
        STREAM.replace('/stream/1', '/stream/2')
    )
    assert status == 503
    assert float(dict(headers)['Retry-After']) > 1
    assert not other.requests
    ended = gateway.log.nth(RequestEnded, 2)
    assert ended.reason == 'group is broken'
    assert ended.retry_after.total_seconds() > 1
