"""Tests of the calls at an upstream that refuses some of them."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.address import Address
from linnetwind.clock import ManualClock
from linnetwind.gate import Gate
from linnetwind.messages import Call, Head, Refused
from linnetwind.outcome import Reason
from linnetwind.side_calls import UpstreamCalls
from standins.scripted_upstream import ScriptedUpstream

SECOND = timedelta(seconds=1)
BACKOFF = 3 * SECOND


class InlineExecutor:
    """Runs work at once."""

    def submit(self, work, *arguments):
        """Run it."""
        work(*arguments)


class Side:
    """The calls of a side daemon at one scripted upstream."""

    def __init__(self, script):
        """Start the upstream."""
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.upstream = ScriptedUpstream(script)
        self._calls = UpstreamCalls(
            Address('127.0.0.1', self.upstream.port),
            Gate(4, self.clock),
            InlineExecutor(),
            self.clock,
        )
        self._number = 0

    def ask(self):
        """Send a call; return the first message that came back."""
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
        answers = []
        self._calls.offer(call, lambda message: answers.append(message) or True)
        return answers[0]


@pytest.fixture(name='serve')
def _serve():
    sides = []

    def serve(script):
        sides.append(Side(script))
        return sides[-1]

    yield serve
    for each in sides:
        each.upstream.close()


def _refuse(connection, request):
    connection.answer(request, 'no', 503, Retry_After='3')


def test_an_upstream_that_asked_to_back_off_gets_no_calls(serve):
    """Guards against calls that go on to an upstream that backs off."""
    side = serve(_refuse)
    assert side.ask().status == 503
    side.clock.advance(SECOND)
    refused = side.ask()
    assert isinstance(refused, Refused)
    assert refused.reason == Reason.OVERLOADED
    assert refused.retry_after_ms == 2000
    assert len(side.upstream.requests) == 1
    side.clock.advance(2 * SECOND)
    assert isinstance(side.ask(), Head)


@pytest.mark.parametrize('told', ['', 'soon', '-1', 'Wed, 21 Oct 2026 07:28'])
def test_a_backoff_without_a_number_of_seconds_is_none(serve, told):
    def script(connection, request):
        connection.answer(request, 'no', 503, Retry_After=told)

    side = serve(script)
    assert [side.ask().status for _call in range(3)] == [503] * 3


def test_only_a_refusal_asks_to_back_off(serve):
    def script(connection, request):
        connection.answer(request, Retry_After='3')

    side = serve(script)
    assert [side.ask().status for _call in range(3)] == [200] * 3
