"""Tests of reading callers' requests, with garbage as input."""

import socket
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetwind.call_types import CallerRequest
from linnetwind.caller_connection import (
    BadRequest,
    CallerConnection,
    CallerGone,
)
from linnetwind.clock import SystemClock
from linnetwind.routes import CallerLimits

TENTH = timedelta(seconds=0.1)
LIMITS = CallerLimits(2000, 5000, TENTH, 3 * TENTH)
GOOD = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc'


def _read(*parts, close=True, limits=LIMITS):
    ours, theirs = socket.socketpair()
    with ours, theirs:
        connection = CallerConnection(
            _Tcp(ours), lambda: limits, lambda: False, SystemClock()
        )
        for part in parts:
            theirs.sendall(part)
        if close:
            theirs.shutdown(socket.SHUT_WR)
        return connection.read_request()


class _Tcp:
    """A socket pair that takes the options of TCP."""

    def __init__(self, sock):
        self._sock = sock

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def setsockopt(self, *_option):
        """Take any option."""


def test_a_request_is_read_whole():
    read = _read(GOOD[:20], GOOD[20:])
    assert isinstance(read, CallerRequest)
    assert (read.method, read.target, read.body) == (b'POST', b'/a', b'abc')


def test_a_chunked_body_is_put_together():
    head = b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
    read = _read(head, b'2\r\nab\r\n', b'1\r\nc\r\n0\r\n\r\n')
    assert read.body == b'abc'


@pytest.mark.parametrize('length', range(1, len(GOOD)))
def test_a_request_that_is_cut_is_never_run(length):
    # The caller's connection ends within the request. Half of it must not
    # reach an upstream, whatever its first part looks like.
    assert isinstance(_read(GOOD[:length]), CallerGone | BadRequest)


def test_a_caller_that_stops_within_a_request_is_told():
    read = _read(GOOD[:30], close=False)
    assert isinstance(read, BadRequest)
    assert read.status == 408


def test_an_idle_caller_is_closed_without_a_word():
    assert _read(close=False) == CallerGone()


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_garbage_is_refused_or_left(garbage):
    read = _read(garbage)
    assert isinstance(read, CallerGone | BadRequest | CallerRequest)


@settings(max_examples=200, deadline=None)
@given(st.integers(0, len(GOOD) - 1), st.binary(min_size=1, max_size=3))
def test_a_spoiled_request_is_read_as_one_request_at_most(place, bytes_):
    spoiled = GOOD[:place] + bytes_ + GOOD[place + 1 :]
    read = _read(spoiled)
    if isinstance(read, CallerRequest):
        assert len(read.body) <= 5000
