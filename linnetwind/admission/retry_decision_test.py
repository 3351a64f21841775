"""Tests of the decision on a retry, and of its log line."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.address import Address
from linnetwind.admission.retry_decision import decide_retry
from linnetwind.admission.retry_events import RetryDecided
from linnetwind.admission.shared_retry_budget import (
    RetryBudgetTerms,
    SharedRetryBudget,
)
from linnetwind.clock import ManualClock
from linnetwind.gateway_metrics import GatewayMetrics
from linnetwind.upstreams.fleet_tracker import FleetSettings, FleetTracker
from standins.gateway_harness import ListLog

SECOND = timedelta(seconds=1)
UPTIME = timedelta(minutes=1)


@pytest.mark.parametrize(
    ('allowance', 'counts', 'decision', 'spent'),
    [
        (10, True, 'counted', 1),
        (0, True, 'denied', 0),
        (0, False, 'uncounted', 0),
    ],
)
def test_each_decision_is_logged_with_what_it_depends_on(
    allowance, counts, decision, spent
):
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    terms = RetryBudgetTerms(10 * SECOND, 0, allowance)
    fleet = FleetTracker(FleetSettings(Address('10.0.0.1', 7)), clock)
    budgets = SharedRetryBudget(terms, clock, fleet, clock.elapsed())
    clock.advance(UPTIME)
    log = ListLog()
    may_send = decide_retry(budgets, log, 'call', 'plain', counts=counts)
    assert may_send == (decision != 'denied')
    assert log.events == [
        RetryDecided('call', 'plain', decision, 1, spent, UPTIME)
    ]
    metrics = GatewayMetrics()
    metrics.observe(log.events[0])
    labels = f'decision="{decision}",service="plain"'
    assert f'linnetwind_retries_total{{{labels}}} 1.0' in (
        metrics.render().decode()
    )
