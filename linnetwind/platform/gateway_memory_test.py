"""Tests that the bytes of bodies are bounded and given back on every path."""

import threading
import time
from dataclasses import replace

import pytest

from linnetwind.admission.memory_budget import MemoryBudget
from linnetwind.gateway_events import AttemptFailed, BodyRefused
from linnetwind.gateway_metrics import GatewayMetrics
from linnetwind.platform.headers import PlatformDialect
from linnetwind.routes import CallerLimits, RouteKind, WeightedService
from standins.gateway_fixtures import SECOND, make_route, make_table
from standins.gateway_harness import GatewayHarness, read_answer
from standins.upstream_scripts import answer

LARGE = 200_000
SMALL = 60_000
# Fits one large body, which exists twice, but not two.
BUDGET = MemoryBudget(3 * LARGE)


def _post(size, path='/x/', **headers):
    lines = [f'{name}: {text}' for name, text in headers.items()]
    return '\n'.join(
        (
            f'POST {path} HTTP/1.1',
            'Host: a.example',
            'Attempt-Id: call',
            f'Content-Length: {size}',
            *lines,
        )
    )


@pytest.fixture(name='gateway')
def _gateway():
    table = make_table(
        make_route('idempotent', anonymous=True),
        make_route('stream', RouteKind.STREAM, path_prefix='/s/'),
        make_route(
            'open',
            RouteKind.STREAM,
            path_prefix='/open/',
            services=(WeightedService('model', 1),),
            anonymous=True,
        ),
    )
    limits = CallerLimits(16_384, 4_194_304, SECOND, 2 * SECOND)
    harness = GatewayHarness(
        PlatformDialect(), replace(table, limits=limits), BUDGET
    )
    yield harness
    harness.close()


def _wait_for_total(gateway, expected):
    for _look in range(300):
        if gateway.bytes_in_hand.total == expected:
            return
        time.sleep(0.01)
    assert gateway.bytes_in_hand.total == expected


def test_a_large_body_is_refused_before_it_is_sent(gateway):
    # Bodies that were read before they were refused used the memory already.
    gateway.add(answer)
    with gateway.call(_post(LARGE), b'x'):
        _wait_for_total(gateway, 2 * LARGE)
        status, headers, _body = gateway.ask(
            _post(LARGE, Expect='100-continue')
        )
        assert status == 503
        assert float(headers['Retry-After']) > 0
        assert headers['Connection'] == 'close'
        assert gateway.bytes_in_hand.total == 2 * LARGE
        assert len(gateway.log.of(BodyRefused)) == 1
        assert gateway.ask(_post(SMALL), b'x' * SMALL)[0] == 200


def test_a_caller_that_sends_on_receives_the_refusal(gateway):
    # The kernel resets a connection that is closed with unread data, and the
    # caller lost the response.
    gateway.add(answer)
    size = 4_000_000
    with gateway.call(_post(LARGE), b'x'):
        _wait_for_total(gateway, 2 * LARGE)
        with gateway.call(_post(LARGE)) as sock:
            for _part in range(20):
                sock.sendall(b'x' * (LARGE // 20))
                time.sleep(0.01)
            assert read_answer(sock)[0] == 503
    # This one exceeds the whole budget, so that a retry is useless.
    status, headers, _body = gateway.ask(_post(size), b'x' * size)
    assert status == 413
    assert 'Retry-After' not in headers


def test_a_chunked_body_is_refused_when_it_becomes_too_large(gateway):
    gateway.add(answer)
    head = _post(0).replace('Content-Length: 0', 'Transfer-Encoding: chunked')
    part = b'%x\r\n%s\r\n' % (SMALL, b'x' * SMALL)
    assert gateway.ask(head, part * 3 + b'0\r\n\r\n')[0] == 200
    # The caller receives the response before the bytes are given back.
    _wait_for_total(gateway, 0)
    with gateway.call(_post(LARGE), b'x'):
        _wait_for_total(gateway, 2 * LARGE)
        assert gateway.ask(head, part * 3 + b'0\r\n\r\n')[0] == 503


def _crash(connection, _request):
    connection.reset()


def _break_off(connection, request):
    connection.head(request, Content_Length=str(LARGE))
    connection.send('x' * SMALL)


@pytest.mark.parametrize('script', [answer, _crash, _break_off])
def test_bytes_are_given_back_after_each_response(gateway, script):
    gateway.add(script)
    gateway.ask(_post(LARGE), b'x' * LARGE)
    _wait_for_total(gateway, 0)
    gateway.ask(_post(LARGE, '/s/'), b'x' * LARGE)  # Denied with 401.
    _wait_for_total(gateway, 0)


def test_bytes_are_given_back_if_the_caller_leaves(gateway):
    reached = threading.Event()

    def script(connection, _request):
        reached.set()
        connection.wait_for_end()

    gateway.add(script)
    gateway.call(_post(LARGE), b'x').close()
    _wait_for_total(gateway, 0)
    with gateway.call(_post(LARGE), b'x' * LARGE):
        assert reached.wait(5)
        assert gateway.bytes_in_hand.total == 2 * LARGE
    _wait_for_total(gateway, 0)


def test_bytes_are_given_back_after_an_exception(gateway, monkeypatch):
    def fail(_self, _request):
        raise ValueError

    with monkeypatch.context() as patch:
        patch.setattr(PlatformDialect, 'read_call', fail)
        patch.setattr(threading, 'excepthook', lambda _arguments: None)
        with gateway.call(_post(LARGE), b'x' * LARGE) as sock:
            assert sock.recv(1) == b''
        _wait_for_total(gateway, 0)


def test_a_response_is_not_read_ahead_beyond_the_budget(gateway):
    # The upstream goes on only after the caller has got the first part.
    received = threading.Event()

    def script(connection, request):
        connection.head(request, Content_Length=str(LARGE))
        connection.send('x' * (LARGE // 2))
        received.wait(5)
        connection.send('x' * (LARGE // 2))

    gateway.add(script)
    with gateway.call(_post(LARGE), b'x'):
        _wait_for_total(gateway, 2 * LARGE)
        with gateway.call(_post(SMALL), b'x' * SMALL) as sock:
            # The request's own bytes use up the rest.
            sock.settimeout(3)
            assert sock.recv(12) == b'HTTP/1.1 200'
            received.set()


def test_an_event_that_never_ends_breaks_off_the_call(gateway):
    # The unfinished event grew without a limit.
    def script(connection, request):
        connection.head(request, Content_Length='99999999')
        connection.send('id: 1\ndata: 1\n\n')
        for _part in range(100):
            connection.send('x' * SMALL)
        connection.wait_for_end()

    upstream = gateway.add(script, 'model')
    with gateway.call(_post(0, '/open/')) as sock:
        while sock.recv(SMALL):
            continue
    assert len(upstream.requests) == 1
    failed = gateway.log.first(AttemptFailed)
    assert failed.problem == 'no memory for the rest of an event'
    _wait_for_total(gateway, 0)


def test_the_metric_follows_the_bytes_in_hand(gateway):
    metrics = GatewayMetrics()
    metrics.watch_bytes(lambda: gateway.bytes_in_hand.total)
    with gateway.bytes_in_hand.holder() as held:
        held.resize(100)
        assert b'linnetwind_bytes_in_hand 200.0' in metrics.render()
    assert b'linnetwind_bytes_in_hand 0.0' in metrics.render()
