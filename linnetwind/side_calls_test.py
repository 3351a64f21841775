"""Tests of backoff when an upstream responds with Retry-After."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.address import Address
from linnetwind.call_admission import CallAdmission
from linnetwind.clock import ManualClock
from linnetwind.messages import Call, Head, Refused
from linnetwind.outcome import Reason
from linnetwind.side_calls import UpstreamCalls
from standins.scripted_upstream import ScriptedUpstream

SECOND = timedelta(seconds=1)
BACKOFF = 3 * SECOND


class InlineExecutor:
    """An executor that runs work in the calling thread."""

    def submit(self, work, *arguments):
        """Run the work at once."""
        work(*arguments)


class Side:
    """The calls of a side daemon to one scripted upstream."""

    def __init__(self, script):
        """Start the upstream."""
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.upstream = ScriptedUpstream(script)
        self._calls = UpstreamCalls(
            Address('127.0.0.1', self.upstream.port),
            CallAdmission(4, self.clock),
            InlineExecutor(),
            self.clock,
        )
        self._number = 0

    def send_call(self):
        """Submit a call and return the first frame of the response."""
        self._number += 1
        call = Call(
            f'call-{self._number}',
            'request',
            'codes-01',
            'GET',
            '/p',
            (),
            b'',
            'customer',
            5,
            1000,
            True,
            False,
        )
        received = []
        self._calls.offer(
            call, lambda message: received.append(message) or True
        )
        return received[0]


@pytest.fixture(name='serve')
def _serve():
    sides = []

    def serve(script):
        sides.append(Side(script))
        return sides[-1]

    yield serve
    for each in sides:
        each.upstream.close()


def refuse_with_retry_after(connection, request):
    connection.answer(request, 'no', 503, Retry_After='3')


def test_upstream_gets_no_calls_during_its_requested_backoff(serve):
    """Guards against calls sent to an upstream that requested backoff."""
    side = serve(refuse_with_retry_after)
    assert side.send_call().status == 503
    side.clock.advance(SECOND)
    refused = side.send_call()
    assert isinstance(refused, Refused)
    assert refused.reason == Reason.OVERLOADED
    assert refused.retry_after_ms == 2000
    assert len(side.upstream.requests) == 1
    side.clock.advance(2 * SECOND)
    assert isinstance(side.send_call(), Head)


@pytest.mark.parametrize(
    'retry_after', ['', 'soon', '-1', 'Wed, 21 Oct 2026 07:28']
)
def test_retry_after_without_a_number_of_seconds_is_ignored(serve, retry_after):
    def script(connection, request):
        connection.answer(request, 'no', 503, Retry_After=retry_after)

    side = serve(script)
    assert [side.send_call().status for _call in range(3)] == [503] * 3


def test_retry_after_of_a_successful_response_is_ignored(serve):
    def script(connection, request):
        connection.answer(request, Retry_After='3')

    side = serve(script)
    assert [side.send_call().status for _call in range(3)] == [200] * 3
