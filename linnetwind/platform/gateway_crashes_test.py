"""Tests of requests that crash the upstreams which begin to run them."""

from contextlib import suppress
from http.client import HTTPException

import pytest

from linnetwind.gateway_events import RequestEnded, UpstreamCrashed
from standins.gateway_requests import GET, ONCE, STREAM

UPSTREAMS = 8
MOST_CRASHES = 3
EVENTS = [f'id: {number}\ndata: {number}\n\n' for number in range(1, 4)]


def _crash(connection, request):
    connection.crash()


def _crash_in_stream(connection, request):
    connection.head(
        request, Content_Type='text/event-stream', Transfer_Encoding='chunked'
    )
    connection.chunk(EVENTS[0])
    connection.crash()


def _ask_again_and_again(gateway, text, tries=UPSTREAMS):
    """Send a request as callers do that try again; return the statuses.

    Each try has an id of its own; one without a whole answer has no status.
    """
    statuses = []
    for number in range(tries):
        with suppress(HTTPException, OSError):
            tried = text.replace('call-1', f'call-{number}')
            statuses.append(gateway.ask(tried)[0])
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
def test_a_request_that_crashes_upstreams_is_not_sent_for_ever(
    gateway, text, service, script
):
    # Each upstream that begins the request crashes: its connection is reset
    # and its port refuses the next one. The caller tries again, as it is told
    # nothing else, and each try took one or two more upstreams with it until
    # none was left: a try knew only the upstreams that it had itself. In a
    # rank group each crash cuts the streams of all other callers.
    upstreams = [gateway.add(script, service) for _number in range(UPSTREAMS)]
    _ask_again_and_again(gateway, text)
    begun = sum(len(each.requests) for each in upstreams)
    assert begun <= MOST_CRASHES
    # Every one of them was seen to crash, and was put down to one request.
    crashes = gateway.log.of(UpstreamCrashed)
    assert len(crashes) == begun
    assert len({each.fingerprint for each in crashes}) == 1
    ended = gateway.log.nth(RequestEnded, UPSTREAMS)
    assert ended.outcome == 'refused'
    assert not ended.upstreams


def test_other_requests_go_on_while_one_crashes_upstreams(gateway):
    # The request beside it differs in its path only, and is served.
    def crash_by_path(connection, request):
        if request.target.startswith('/x/bad'):
            connection.crash()
        else:
            connection.answer(request)

    for _number in range(UPSTREAMS):
        gateway.add(crash_by_path)
    _ask_again_and_again(gateway, GET.replace('/x/1', '/x/bad'))
    assert _ask_again_and_again(gateway, GET, 3) == [200] * 3


def test_callers_of_a_broken_group_are_told_when_it_opens(gateway):
    # One rank crashes. The other ranks would take the next streams, stand
    # still with them and refuse them later.
    gateway.add(_crash, 'model')
    gateway.ask(STREAM)
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
