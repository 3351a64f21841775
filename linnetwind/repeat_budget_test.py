"""Tests of the shared budget of repeats."""

from datetime import timedelta

import pytest

from linnetwind.repeat_budget import BudgetTerms, RepeatBudget

SECOND = timedelta(seconds=1)
TERMS = BudgetTerms(10 * SECOND, 0.2, 88)


@pytest.mark.parametrize('daemons', [1, 4, 16])
def test_all_daemons_together_stay_within_the_shared_budget(daemons):
    # Every request fails at its first upstream, at all daemons at once, for
    # longer than the window. Callers see failures instead of a service that
    # gets twice its load.
    budgets = [RepeatBudget(TERMS) for _daemon in range(daemons)]
    sent = []
    for tick in range(300):
        now = SECOND * tick / 10
        for budget in budgets:
            budget.count_request(now)
            if budget.spend(now, daemons):
                sent.append(now)
    for end in sent:
        window = [each for each in sent if end - TERMS.window < each <= end]
        requests = 100 * daemons
        assert len(window) <= TERMS.ratio * requests + TERMS.allowance


def test_the_budget_comes_back_with_time():
    budget = RepeatBudget(BudgetTerms(10 * SECOND, 0.0, 10))
    while budget.spend(SECOND, 1):
        continue
    assert not budget.spend(10 * SECOND, 1)
    assert budget.spend(12 * SECOND, 1)
