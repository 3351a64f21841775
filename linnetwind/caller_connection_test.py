"""Tests of reading callers' requests, including invalid input."""

import socket
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetwind.call_types import CallerRequest
from linnetwind.caller_connection import (
    BadRequest,
    CallerConnection,
    ConnectionEnded,
)
from linnetwind.clock import SystemClock
from linnetwind.routes import CallerLimits

TENTH = timedelta(seconds=0.1)
LIMITS = CallerLimits(2000, 5000, TENTH, 3 * TENTH)
GOOD = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc'


def _read_request(*parts, close=True, limits=LIMITS):
    ours, theirs = socket.socketpair()
    with ours, theirs:
        connection = CallerConnection(
            _TcpSocketStub(ours), lambda: limits, lambda: False, SystemClock()
        )
        for part in parts:
            theirs.sendall(part)
        if close:
            theirs.shutdown(socket.SHUT_WR)
        return connection.read_request()


class _TcpSocketStub:
    """Wraps one end of a socket pair, which has no TCP options."""

    def __init__(self, sock):
        self._sock = sock

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def setsockopt(self, *_option):
        """Ignore the option."""


def test_a_request_in_two_parts_is_read_completely():
    read = _read_request(GOOD[:20], GOOD[20:])
    assert isinstance(read, CallerRequest)
    assert (read.method, read.target, read.body) == (b'POST', b'/a', b'abc')


def test_a_chunked_body_is_joined():
    head = b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
    read = _read_request(head, b'2\r\nab\r\n', b'1\r\nc\r\n0\r\n\r\n')
    assert read.body == b'abc'


@pytest.mark.parametrize('length', range(1, len(GOOD)))
def test_a_truncated_request_is_not_accepted(length):
    # The caller's connection ends within the request. A part of a request
    # must never reach an upstream, even if it looks like a complete one.
    assert isinstance(
        _read_request(GOOD[:length]), ConnectionEnded | BadRequest
    )


def test_a_caller_that_stalls_within_a_request_gets_a_timeout_status():
    read = _read_request(GOOD[:30], close=False)
    assert isinstance(read, BadRequest)
    assert read.status == 408


class _FastClock:
    """A clock that advances by a second whenever it is read."""

    seconds = 0

    def elapsed(self):
        """Return the time."""
        self.seconds += 1
        return timedelta(seconds=self.seconds)


def test_a_body_that_arrives_byte_by_byte_gets_a_timeout_status(monkeypatch):
    # Each byte came within the time limit for one wait, and the caller kept
    # the memory that was counted for its body from others for hours.
    monkeypatch.setattr('linnetwind.caller_connection._READ_BYTES', 1)
    monkeypatch.setattr(
        'linnetwind.caller_connection_test.SystemClock', _FastClock
    )
    read = _read_request(GOOD.replace(b' 3', b' 90'), b'x' * 87)
    assert isinstance(read, BadRequest)
    assert read.status == 408


def test_an_idle_connection_is_closed_without_a_response():
    assert _read_request(close=False) == ConnectionEnded()


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_random_bytes_never_raise(garbage):
    read = _read_request(garbage)
    assert isinstance(read, ConnectionEnded | BadRequest | CallerRequest)


@settings(max_examples=200, deadline=None)
@given(st.integers(0, len(GOOD) - 1), st.binary(min_size=1, max_size=3))
def test_a_corrupted_request_stays_within_the_body_limit(place, replacement):
    corrupted = GOOD[:place] + replacement + GOOD[place + 1 :]
    read = _read_request(corrupted)
    if isinstance(read, CallerRequest):
        assert len(read.body) <= 5000
