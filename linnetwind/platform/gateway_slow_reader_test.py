"""Tests that a caller that does not read does not hold an upstream for long."""

import socket
import time

import pytest

from linnetwind.caller_connection import CallerConnection
from linnetwind.clock import SystemClock
from linnetwind.gateway_events import RequestEnded
from linnetwind.platform.headers import PlatformDialect
from linnetwind.routes import RouteKind, WeightedService
from standins.gateway_fixtures import make_route, make_table
from standins.gateway_harness import GatewayHarness

PART = 60_000
TIME_LIMIT_S = 1
CALL = f"""GET {{path}}1 HTTP/1.1
Host: a.example
Attempt-Id: call
Deadline-Ms: {TIME_LIMIT_S * 1000}
"""


@pytest.fixture(name='gateway')
def _gateway():
    table = make_table(
        make_route('plain', anonymous=True),
        make_route(
            'stream',
            RouteKind.STREAM,
            path_prefix='/s/',
            services=(WeightedService('model', 1),),
            anonymous=True,
        ),
    )
    harness = GatewayHarness(PlatformDialect(), table)
    yield harness
    harness.close()


def _send_without_end(connection, request):
    """Send events, or a large plain response, until the gateway closes."""
    connection.head(request, Transfer_Encoding='chunked')
    try:
        while True:
            connection.chunk(f'data: {"x" * PART}\n\n')
    except OSError:
        connection.wait_for_end()


@pytest.mark.parametrize(
    ('path', 'service'), [('/s/', 'model'), ('/x/', 'plain')]
)
@pytest.mark.parametrize('read_bytes', [0, PART // 2])
def test_the_call_is_closed_at_the_time_limit(
    gateway, path, service, read_bytes
):
    # A blocked write held the upstream for 5 s after a time limit of 1 s.
    upstream = gateway.add(_send_without_end, service)
    with gateway.call(CALL.format(path=path)) as sock:
        started_at = time.monotonic()
        while time.monotonic() - started_at < TIME_LIMIT_S / 2:
            time.sleep(0.1)
            if read_bytes:
                sock.recv(read_bytes)
        assert not upstream.left.is_set()
        assert upstream.left.wait(TIME_LIMIT_S)
        gateway.log.first(RequestEnded)
        assert not any(gateway.state.running.values())


class _FullSocketStub:
    """Writes a part of the bytes, and then times out."""

    def setsockopt(self, *_option):
        """Ignore the option."""

    def settimeout(self, _seconds):
        """Ignore the time."""

    def sendall(self, _content):
        """Fail as a socket does whose peer reads too slowly."""
        raise TimeoutError


def test_a_connection_is_not_reused_after_a_partial_write():
    # The caller would take the next response for the rest of this one.
    ours, theirs = socket.socketpair()
    limits = make_table().limits
    with ours, theirs:
        theirs.sendall(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
        ours.settimeout(1)
        stub = _FullSocketStub()
        stub.fileno = ours.fileno
        stub.recv = ours.recv
        connection = CallerConnection(
            stub, lambda: limits, lambda: False, SystemClock()
        )
        connection.read_request()
        assert not connection.answer(200, (), b'answer')
        assert not connection.reusable


def test_the_call_is_closed_before_a_complete_response_is_written(
    gateway, monkeypatch
):
    # The write of a response that was read completely may block for 5 s.
    closed = []

    def script(connection, request):
        connection.answer(request)
        connection.wait_for_end()

    def wait_for_close(_connection, *_response):
        closed.append(upstream.left.wait(2))
        return True

    upstream = gateway.add(script)
    monkeypatch.setattr(CallerConnection, 'answer', wait_for_close)
    with gateway.call(CALL.format(path='/x/')):
        gateway.log.first(RequestEnded)
    assert closed == [True]
