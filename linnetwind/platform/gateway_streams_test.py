"""Tests of streams through the gateway, over real sockets."""

from http.client import HTTPException

import pytest

from linnetwind.gateway_events import AttemptFailed, RequestEnded
from standins.gateway_harness import read_answer
from standins.gateway_requests import FRAGILE, GET, STREAM

EVENTS = [f'id: {number}\ndata: {number}\n\n' for number in range(1, 6)]


def _answer(connection, request):
    connection.answer(request)


def _stream(connection, request, events=EVENTS, end=True):
    connection.head(
        request, Content_Type='text/event-stream', Transfer_Encoding='chunked'
    )
    last = int(request.headers.get('last-event-id', 0))
    for event in events[last:]:
        connection.chunk(event)
    if end:
        connection.send('0\r\n\r\n')


def test_a_stream_is_passed_on_whole(gateway):
    gateway.add(_stream, 'model')
    status, _headers, body = gateway.ask(STREAM)
    assert (status, body) == (200, ''.join(EVENTS).encode())


def test_events_are_passed_on_as_they_come(gateway):
    def one(connection, request):
        _stream(connection, request, EVENTS[:1], end=False)
        connection.wait_for_end()

    upstream = gateway.add(one, 'model')
    sock = gateway.call(STREAM)
    seen = b''
    while EVENTS[0].encode() not in seen:
        seen += sock.recv(4096)
    assert not upstream.left.is_set()
    sock.close()
    assert upstream.left.wait(10)


def test_a_caller_that_leaves_before_the_first_event_cancels(gateway):
    def silent(connection, request):
        connection.wait_for_end()

    upstream = gateway.add(silent, 'model')
    sock = gateway.call(STREAM)
    while not upstream.requests:
        continue
    sock.close()
    assert upstream.left.wait(10)


def test_a_cut_stream_is_resumed_within_the_answer(gateway):
    # The first upstream stops in the middle of the third event. The caller
    # sees one answer with each event once, in order.
    def cut(connection, request):
        events = [*EVENTS[:2], EVENTS[2][:8]]
        _stream(connection, request, events, end=False)
        connection.reset()

    gateway.add(cut, 'model')
    gateway.add(cut, 'model')
    whole = gateway.add(_stream, 'model')
    bodies = []
    while not whole.requests:
        try:
            bodies.append(gateway.ask(STREAM)[2])
        except HTTPException:
            continue
    assert bodies[-1] == ''.join(EVENTS).encode()
    resumed = [each for each in gateway.log.of(AttemptFailed)]
    if resumed and whole.requests[0].headers.get('last-event-id'):
        assert whole.requests[0].headers['last-event-id'] == '2'


@pytest.mark.parametrize('ending', ['reset', 'clean end in an event'])
def test_a_stream_that_cannot_be_resumed_looks_broken(gateway, ending):
    # Two events have reached the caller when the upstream breaks. Ended
    # cleanly, the answer would look complete.
    def cut(connection, request):
        events = [*EVENTS[:2], EVENTS[2][:8]]
        _stream(connection, request, events, end=ending != 'reset')

    gateway.add(cut, 'model')
    with pytest.raises((HTTPException, OSError)):
        gateway.ask(FRAGILE)
    assert gateway.log.first(RequestEnded).outcome == 'cut'


def test_a_stream_whose_second_run_fails_looks_broken(gateway):
    # One event has reached the caller when the upstream breaks, and the
    # upstream at which the stream is to go on answers 500. A second head in
    # the middle of the body must not be written, and the daemon goes on.
    def cut_or_fail(connection, request):
        if request.headers.get('last-event-id'):
            connection.answer(request, 'failed', 500)
            return
        _stream(connection, request, EVENTS[:1], end=False)
        connection.reset()

    for _upstream in range(2):
        gateway.add(cut_or_fail, 'model')
    with pytest.raises((HTTPException, OSError)):
        gateway.ask(STREAM)
    assert gateway.log.first(RequestEnded).outcome == 'cut'
    reasons = [each.problem for each in gateway.log.of(AttemptFailed)]
    assert any('failed with 500' in reason for reason in reasons)


def test_a_draining_daemon_says_so_with_streams_too(gateway):
    # A caller that is not told goes on over its kept connection until the
    # daemon ends.
    gateway.add(_stream, 'model')
    gateway.stop.begin()
    _status, headers, _body = gateway.ask(STREAM)
    assert headers['Connection'] == 'close'


def test_a_draining_daemon_closes_after_the_answer(gateway):
    gateway.add(_answer)
    gateway.stop.begin()
    sock = gateway.call(GET)
    assert read_answer(sock)[1]['Connection'] == 'close'
