"""Tests of upstreams that state a limit of requests per second."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.gateway_requests import GET, STREAM
from standins.upstream_scripts import answer, stream

# Requests that may reach an upstream beyond one and a half times its limit.
EXTRA_REQUESTS = 5
CALLS = 60


def _answer_with_limit(per_s):
    def script(connection, request):
        connection.answer(request, Server_Limit=per_s)

    return script


def _stream_with_limit(connection, request):
    stream(connection, request, Server_Limit='2')


def _send_concurrently(gateway, text):
    """Send all calls concurrently; return their statuses and headers."""
    with ThreadPoolExecutor(CALLS) as pool:
        found = list(pool.map(lambda _call: gateway.ask(text), range(CALLS)))
    return [(status, headers) for status, headers, _body in found]


def _max_requests(per_s, seconds):
    return 1.5 * per_s * seconds + EXTRA_REQUESTS


@pytest.mark.parametrize('service', ['plain', 'model'])
def test_an_upstream_gets_no_more_requests_than_its_limit(gateway, service):
    # An overloaded upstream states a limit of two requests per second. Without
    # the limit it was sent every call, some hundred per second, and crashed.
    text, script = (GET, _answer_with_limit('2'))
    if service == 'model':
        text, script = STREAM, _stream_with_limit
    upstream = gateway.add(script, service)
    gateway.ask(text)
    started_at = time.monotonic()
    answers = _send_concurrently(gateway, text)
    elapsed_s = time.monotonic() - started_at
    assert len(upstream.requests) - 1 <= _max_requests(2, elapsed_s)
    # A call that would miss its deadline is refused at once with a
    # `Retry-After`.
    refused = [headers for status, headers in answers if status == 503]
    assert len(refused) == CALLS - len(upstream.requests) + 1
    assert all(float(each['Retry-After']) > 0 for each in refused)


def test_requests_over_the_limit_go_to_another_upstream(gateway):
    limited = gateway.add(_answer_with_limit('0.5'))
    free = gateway.add(answer)
    statuses = [gateway.ask(GET)[0] for _call in range(CALLS)]
    assert statuses == [200] * CALLS
    assert len(limited.requests) <= _max_requests(0.5, 1)
    assert len(free.requests) >= CALLS - len(limited.requests)


def test_a_call_waits_for_the_limit_if_its_deadline_allows(gateway):
    # The limit is twenty per second and the calls come one after the other. No
    # call waits longer than a twentieth of a second, and all succeed.
    gateway.add(_answer_with_limit('20'))
    assert [gateway.ask(GET)[0] for _call in range(CALLS)] == [200] * CALLS


@pytest.mark.parametrize('header', ['', '-1', 'nan', 'many', '1e3'])
def test_a_malformed_limit_removes_the_limit(gateway, header):
    # The first response states a limit, the later ones a malformed one.
    def script(connection, request):
        first = len(upstream.requests) == 1
        connection.answer(request, Server_Limit='1' if first else header)

    upstream = gateway.add(script)
    gateway.ask(GET)
    time.sleep(1)
    assert [gateway.ask(GET)[0] for _call in range(CALLS)] == [200] * CALLS


def test_a_limit_of_zero_still_lets_some_requests_through(gateway):
    # Without any request, no response could tell that the upstream recovered.
    upstream = gateway.add(_answer_with_limit('0'))
    gateway.ask(GET)
    _send_concurrently(gateway, GET)
    assert 1 <= len(upstream.requests) <= _max_requests(0, 1)
