"""Tests of the shared budget of retries."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.address import Address
from linnetwind.admission.shared_retry_budget import (
    RetryBudgetTerms,
    SharedRetryBudget,
    WindowedRetryBudget,
)
from linnetwind.clock import ManualClock
from linnetwind.upstreams.fleet_tracker import FleetSettings, FleetTracker

SECOND = timedelta(seconds=1)
TERMS = RetryBudgetTerms(10 * SECOND, 0.2, 88)
ALLOWANCE = RetryBudgetTerms(10 * SECOND, 0, 10)
LONG_UP = timedelta(hours=-1)
OWN = Address('10.0.0.1', 7)
PEER = Address('10.0.0.2', 7)
SECOND_PEER = Address('10.0.0.3', 7)
SEEDS = frozenset((PEER, SECOND_PEER, Address('10.0.0.4', 7)))


def _spend_all(budget, now, daemons=1):
    """Spend as many retries as the budget allows; return their number."""
    spent = 0
    while budget.spend(now, daemons):
        spent += 1
    return spent


@pytest.mark.parametrize('started_at', [LONG_UP, timedelta()])
@pytest.mark.parametrize('daemons', [1, 4, 16])
def test_all_daemons_together_stay_within_the_shared_budget(
    daemons, started_at
):
    # Every request to its first upstream fails, at all daemons, for longer than
    # the window. The budget must keep the service from getting twice its load,
    # and let callers see failures instead.
    budgets = [
        WindowedRetryBudget(TERMS, started_at) for _daemon in range(daemons)
    ]
    retried_at = []
    for tick in range(300):
        now = SECOND * tick / 10
        for budget in budgets:
            budget.count_request(now)
            if budget.spend(now, daemons):
                retried_at.append(now)
    for end in retried_at:
        window = [
            each for each in retried_at if end - TERMS.window < each <= end
        ]
        requests = 100 * daemons
        assert len(window) <= TERMS.ratio * requests + TERMS.allowance


def test_spent_retries_expire_with_the_window():
    budget = WindowedRetryBudget(ALLOWANCE, LONG_UP)
    assert _spend_all(budget, SECOND) > 0
    # A retry may have arrived up to two seconds after it was allowed.
    assert not budget.spend(12 * SECOND, 1)
    assert budget.spend(14 * SECOND, 1)


def test_a_new_process_gets_its_allowance_bit_by_bit():
    """Guards against a process that spends what the one before it spent."""
    budget = WindowedRetryBudget(ALLOWANCE, SECOND)
    assert _spend_all(budget, SECOND) == 0
    assert _spend_all(budget, 6 * SECOND) == 1
    assert _spend_all(budget, 12 * SECOND) == 1
    assert _spend_all(budget, 14 * SECOND) == 5


def test_a_request_pays_once_and_within_the_window():
    """Guards against retries that are paid for by requests of long ago."""
    budget = WindowedRetryBudget(RetryBudgetTerms(10 * SECOND, 0.2, 0), LONG_UP)
    for _request in range(100):
        budget.count_request(SECOND)
    assert _spend_all(budget, 2 * SECOND) == 9
    for _request in range(100):
        budget.count_request(5 * SECOND)
    assert _spend_all(budget, 12 * SECOND) == 9
    assert _spend_all(budget, 16 * SECOND) == 0


def test_requests_and_allowance_add_up_to_whole_retries():
    """Guards against parts of a retry that many daemons can never use."""
    budget = WindowedRetryBudget(
        RetryBudgetTerms(10 * SECOND, 0.2, 10), LONG_UP
    )
    for _request in range(6):
        budget.count_request(SECOND)
    assert _spend_all(budget, SECOND, daemons=14) == 1


def test_a_daemon_that_has_not_heard_most_seeds_has_no_allowance():
    """Guards against a daemon that takes the whole allowance for itself."""
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    fleet = FleetTracker(FleetSettings(OWN, SEEDS), clock)
    budgets = SharedRetryBudget(TERMS, clock, fleet, clock.elapsed())
    clock.advance(timedelta(hours=1))
    assert not budgets.spend('plain')
    assert budgets.use('plain').daemons is None
    fleet.hear_peer(PEER, (), leaving=False)
    assert not budgets.spend('plain')
    fleet.hear_peer(SECOND_PEER, (), leaving=False)
    assert budgets.spend('plain')
    assert budgets.use('plain').daemons == 3


def test_a_silent_daemon_keeps_its_part_of_the_allowance():
    """Guards against halves without contact that each spend all of it."""
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    fleet = FleetTracker(FleetSettings(OWN), clock)
    budgets = SharedRetryBudget(TERMS, clock, fleet, LONG_UP)
    fleet.hear_peer(PEER, (), leaving=False)
    clock.advance(timedelta(minutes=2))
    fleet.hear_peer(SECOND_PEER, (), leaving=False)
    assert budgets.use('plain').daemons == 3
