"""Tests of upstreams that say how many requests a second they take."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.gateway_requests import GET, STREAM
from standins.upstream_scripts import answer, stream

# What may reach an upstream beside one and a half times what it named.
EXTRA = 5
CALLS = 60


def _limited(per_s):
    def script(connection, request):
        connection.answer(request, Server_Limit=per_s)

    return script


def _limited_stream(connection, request):
    stream(connection, request, Server_Limit='2')


def _ask_at_once(gateway, text):
    """Send all calls together; return their statuses and headers."""
    with ThreadPoolExecutor(CALLS) as pool:
        found = list(pool.map(lambda _call: gateway.ask(text), range(CALLS)))
    return [(status, headers) for status, headers, _body in found]


def _allowed(per_s, seconds):
    return 1.5 * per_s * seconds + EXTRA


@pytest.mark.parametrize('service', ['plain', 'model'])
def test_an_upstream_gets_no_more_than_it_named(gateway, service):
    # An upstream in need names two requests a second. It was sent every call
    # that came, some hundred a second, and fell over.
    text, script = (GET, _limited('2'))
    if service == 'model':
        text, script = STREAM, _limited_stream
    upstream = gateway.add(script, service)
    gateway.ask(text)
    began = time.monotonic()
    answers = _ask_at_once(gateway, text)
    took = time.monotonic() - began
    assert len(upstream.requests) - 1 <= _allowed(2, took)
    # Whose answer would be late is refused at once and told when to come.
    refused = [headers for status, headers in answers if status == 503]
    assert len(refused) == CALLS - len(upstream.requests) + 1
    assert all(float(each['Retry-After']) > 0 for each in refused)


def test_what_does_not_fit_goes_to_another_upstream(gateway):
    limited = gateway.add(_limited('0.5'))
    free = gateway.add(answer)
    statuses = [gateway.ask(GET)[0] for _call in range(CALLS)]
    assert statuses == [200] * CALLS
    assert len(limited.requests) <= _allowed(0.5, 1)
    assert len(free.requests) >= CALLS - len(limited.requests)


def test_a_call_waits_for_its_turn_if_it_is_still_in_time(gateway):
    # Twenty a second, and calls one after the other: none has to wait for
    # longer than a twentieth of a second, and all are answered.
    gateway.add(_limited('20'))
    assert [gateway.ask(GET)[0] for _call in range(CALLS)] == [200] * CALLS


@pytest.mark.parametrize('named', ['', '-1', 'nan', 'many', '1e3'])
def test_an_answer_without_a_number_names_no_limit(gateway, named):
    # The first answer names a limit, those after it none that can be read.
    def script(connection, request):
        first = len(upstream.requests) == 1
        connection.answer(request, Server_Limit='1' if first else named)

    upstream = gateway.add(script)
    gateway.ask(GET)
    time.sleep(1)
    assert [gateway.ask(GET)[0] for _call in range(CALLS)] == [200] * CALLS


def test_a_limit_of_nothing_leaves_a_request_now_and_then(gateway):
    # Without any, nobody would hear that the upstream is well again.
    upstream = gateway.add(_limited('0'))
    gateway.ask(GET)
    _ask_at_once(gateway, GET)
    assert 1 <= len(upstream.requests) <= _allowed(0, 1)
