"""Tests of the check whether an upstream with a broken call has crashed."""

from datetime import timedelta
from types import SimpleNamespace

import pytest

from linnetwind.address import Address
from linnetwind.admission.shared_retry_budget import RetryBudgetTerms
from linnetwind.clock import SystemClock
from linnetwind.crash_guard import record_if_crashed
from linnetwind.gateway_events import UpstreamCrashed
from linnetwind.gateway_state import GatewayState
from linnetwind.upstream_call import BrokenCall, ConnectFailed
from standins.gateway_fixtures import MS, SECOND, make_upstream
from standins.gateway_harness import ListLog

# The network round trip between two data centres.
ROUND_TRIP = 4 * MS
BROKEN = BrokenCall('the connection was closed')


@pytest.mark.parametrize('time_left', [SECOND, MS, timedelta(), -SECOND])
def test_an_upstream_that_listens_has_not_crashed(time_left):
    # An upstream ends a call when the caller's deadline passes. Probed with the
    # remaining time of the caller, every upstream seemed to have crashed, and
    # two such attempts put a harmless request into quarantine.
    clock, log = SystemClock(), ListLog()
    terms = RetryBudgetTerms(10 * SECOND, 0.2, 88)
    state = GatewayState(clock, Address('127.0.0.1', 1), terms)

    def open_call(_address, _caller, _clock, timeout):
        if timeout < ROUND_TRIP:
            return ConnectFailed('timed out')
        return SimpleNamespace(close=lambda: None)

    tools = SimpleNamespace(
        open_call=open_call,
        clock=clock,
        log=log,
        state=state,
        advertise_to_peers=lambda: None,
        persist_quarantine=lambda _request: None,
    )
    context = SimpleNamespace(
        until=clock.elapsed() + time_left,
        fingerprint='print',
        facts=SimpleNamespace(call_id='call'),
    )
    record_if_crashed(
        tools, context, make_upstream('a'), BROKEN, clock.elapsed()
    )
    assert log.of(UpstreamCrashed) == []
    assert not state.request_history.crashes.has_crashes
