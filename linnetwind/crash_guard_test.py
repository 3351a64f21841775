"""Tests of the check whether an upstream with a broken call has crashed."""

from datetime import timedelta
from types import SimpleNamespace

import pytest

from linnetwind.address import Address
from linnetwind.clock import SystemClock
from linnetwind.crash_guard import note_if_crashed
from linnetwind.gateway_events import UpstreamCrashed
from linnetwind.gateway_state import GatewayState
from linnetwind.repeat_budget import BudgetTerms
from linnetwind.upstream_call import Broken, NotReached
from standins.gateway_fixtures import MS, SECOND, make_upstream
from standins.gateway_harness import ListLog

# The network round trip between two data centres.
ROUND_TRIP = 4 * MS
BROKEN = Broken('the connection was closed')


@pytest.mark.parametrize('time_left', [SECOND, MS, timedelta(), -SECOND])
def test_an_upstream_that_listens_has_not_crashed(time_left):
    # An upstream ends a call when the caller's deadline passes. Probed with the
    # remaining time of the caller, every upstream seemed to have crashed, and
    # two such attempts put a harmless request into quarantine.
    clock, log = SystemClock(), ListLog()
    terms = BudgetTerms(10 * SECOND, 0.2, 88)
    state = GatewayState(clock, Address('127.0.0.1', 1), terms)

    def open_call(_address, _caller, _clock, timeout):
        if timeout < ROUND_TRIP:
            return NotReached('timed out')
        return SimpleNamespace(close=lambda: None)

    tools = SimpleNamespace(
        open_call=open_call,
        clock=clock,
        log=log,
        state=state,
        tell_peers=lambda: None,
        keep_quarantine=lambda _request: None,
    )
    context = SimpleNamespace(
        until=clock.elapsed() + time_left,
        fingerprint='print',
        facts=SimpleNamespace(call_id='call'),
    )
    note_if_crashed(tools, context, make_upstream('a'), BROKEN, clock.elapsed())
    assert log.of(UpstreamCrashed) == []
    assert not state.books.crashes.has_crashes
