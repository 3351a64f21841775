"""Tests of the shared budget of retries."""

from datetime import timedelta

import pytest

from linnetwind.admission.shared_retry_budget import (
    RetryBudgetTerms,
    WindowedRetryBudget,
)

SECOND = timedelta(seconds=1)
TERMS = RetryBudgetTerms(10 * SECOND, 0.2, 88)


@pytest.mark.parametrize('daemons', [1, 4, 16])
def test_all_daemons_together_stay_within_the_shared_budget(daemons):
    # Every request to its first upstream fails, at all daemons, for longer than
    # the window. The budget must keep the service from getting twice its load,
    # and let callers see failures instead.
    budgets = [WindowedRetryBudget(TERMS) for _daemon in range(daemons)]
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
    budget = WindowedRetryBudget(RetryBudgetTerms(10 * SECOND, 0.0, 10))
    while budget.spend(SECOND, 1):
        continue
    assert not budget.spend(10 * SECOND, 1)
    assert budget.spend(12 * SECOND, 1)
