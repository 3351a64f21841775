"""Tests of rate limits, shares, retries and the choice of an upstream."""

import random
from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.clock import ManualClock
from linnetwind.config import Customer, Routing
from linnetwind.customer_rate_limits import (
    Admitted,
    CustomerRateLimiter,
    OverLimit,
)
from linnetwind.messages import CustomerDemand, Demand
from linnetwind.outcome import NotRun, Reason, Unknown
from linnetwind.retry import Attempt, GiveUp, Retry, RetryBudget, after_failure
from linnetwind.routing import (
    Candidate,
    NoCandidate,
    RouteRequest,
    choose,
    choose_slot_owner,
)
from linnetwind.shares import DEMAND_EXPIRY, ShareAllocator, share_owner

CUSTOMER = Customer('c', 'x', 60, 6000)
SECOND = timedelta(seconds=1)
NOW = datetime(2026, 1, 1, tzinfo=UTC)
WAIT = timedelta(seconds=10)


@pytest.fixture
def clock():
    return ManualClock(NOW)


def test_rejection_states_the_time_until_the_next_request(clock):
    limiter = CustomerRateLimiter(clock, 1)
    while isinstance(decision := limiter.admit(CUSTOMER, 1), Admitted):
        continue
    assert timedelta() < decision.retry_after <= SECOND
    clock.advance(decision.retry_after)
    assert isinstance(limiter.admit(CUSTOMER, 1), Admitted)


def test_tokens_beyond_the_estimate_are_deducted_afterwards(clock):
    limiter = CustomerRateLimiter(clock, 1)
    admitted = limiter.admit(CUSTOMER, 10)
    limiter.settle(CUSTOMER, admitted, 5000)
    assert isinstance(limiter.admit(CUSTOMER, 10), OverLimit)


def test_request_that_did_not_run_costs_nothing(clock):
    limiter = CustomerRateLimiter(clock, 1)
    for _request in range(5):
        admitted = limiter.admit(CUSTOMER, 400)
        assert isinstance(admitted, Admitted)
        limiter.settle(CUSTOMER, admitted, 0)


def test_shares_follow_demand_and_sum_up_to_one(clock):
    allocator = ShareAllocator(clock)
    demand = {'a': 90.0, 'b': 10.0}
    for _round in range(2):
        fractions = {
            entry: allocator.apply_demand(
                Demand(entry, (CustomerDemand('c', 0, asked),))
            )
            .shares[0]
            .fraction
            for entry, asked in demand.items()
        }
    assert fractions['a'] > 0.8
    assert sum(fractions.values()) == pytest.approx(1)


def test_share_of_a_stopped_entry_daemon_is_freed(clock):
    allocator = ShareAllocator(clock)
    allocator.apply_demand(Demand('a', (CustomerDemand('c', 0, 90),)))
    clock.advance(DEMAND_EXPIRY * 2)
    shares = allocator.apply_demand(Demand('b', (CustomerDemand('c', 0, 10),)))
    assert shares.shares[0].fraction == pytest.approx(1)


def test_owner_changes_only_for_customers_of_a_lost_side():
    sides = [f'side-{number}' for number in range(10)]
    customers = [f'customer-{number}' for number in range(200)]
    before = {name: share_owner(name, sides) for name in customers}
    after = {name: share_owner(name, sides[1:]) for name in customers}
    moved = {name for name in customers if before[name] != after[name]}
    assert moved == {name for name in customers if before[name] == sides[0]}


LEFT = timedelta(seconds=5)
NOT_RUN = NotRun(Reason.OVERLOADED, SECOND)
LOST = Unknown(Reason.CONNECTION_LOST)
RETRIES = [
    # outcome, repeatable, attempts left, time left, decision
    (NOT_RUN, False, 1, LEFT, Retry()),
    (NOT_RUN, True, 1, LEFT, Retry()),
    (LOST, True, 1, LEFT, Retry()),
    (LOST, False, 1, LEFT, GiveUp(LOST)),
    (NOT_RUN, True, 0, LEFT, GiveUp(NOT_RUN)),
    (NOT_RUN, True, 1, timedelta(), GiveUp(NOT_RUN)),
]


@pytest.mark.parametrize('row', RETRIES)
def test_decision_after_a_failed_attempt(row):
    outcome, repeatable, attempts, left, decision = row
    attempt = Attempt(outcome, repeatable, attempts, left)
    assert after_failure(attempt, RetryBudget(ManualClock(NOW))) == decision


def test_retries_do_not_multiply_the_load_in_an_outage():
    # Every request fails. Apart from a small reserve, at most a tenth of the
    # requests may be retried.
    budget = RetryBudget(ManualClock(NOW))
    retries = 0
    for _request in range(1000):
        budget.earn(0.1)
        attempt = Attempt(NOT_RUN, True, 2, LEFT)
        retries += after_failure(attempt, budget) == Retry()
    assert retries <= 10 + 0.1 * 1000


def test_requests_of_long_ago_pay_for_no_retries():
    """Guards against an outage in which most requests are retried."""
    clock = ManualClock(NOW)
    budget = RetryBudget(clock)
    for _request in range(1000):
        budget.earn(0.1)
    clock.advance(11 * SECOND)
    assert sum(budget.spend() for _retry in range(100)) == 10


def test_the_reserve_of_retries_is_refilled_slowly():
    """Guards against a daemon with few requests that retries all of them."""
    clock = ManualClock(NOW)
    budget = RetryBudget(clock)
    assert sum(budget.spend() for _retry in range(100)) == 10
    clock.advance(2 * SECOND)
    assert [budget.spend() for _retry in range(3)] == [True, True, False]


def candidate(name, **facts):
    return Candidate(name, 's', 'r', 8, **facts)


REQUEST = RouteRequest('s', 'r', 4, 10)
ALL = Routing(sample_size=8)


def chosen(*candidates, request=REQUEST):
    return choose(candidates, request, ALL, random.Random(1)).upstream


def test_upstream_with_the_shorter_wait_is_preferred():
    assert (
        chosen(candidate('busy', running=8, waiting=8), candidate('free'))
        == 'free'
    )


def test_own_calls_count_before_the_upstream_reports_them():
    assert (
        chosen(
            candidate('stale', unreported=9, own=9),
            candidate('free', running=2),
        )
        == 'free'
    )


def test_unresponsive_upstream_is_avoided():
    silent = candidate('silent', own=1, silence=WAIT)
    assert chosen(silent, candidate('busy', running=6)) == 'busy'


def test_group_with_a_straggler_is_avoided():
    # The slowest rank determines the duration of every step of its group.
    request = RouteRequest('s', 'r', 0, 0, 100)
    slow = candidate('slow', step_ms=20)
    busy = candidate('busy', running=6, step_ms=8)
    assert chosen(slow, busy, request=request) == 'busy'


def test_cached_prefix_is_preferred_unless_the_wait_is_too_long():
    warm = candidate('warm', cached_blocks=4)
    assert chosen(warm, candidate('cold')) == 'warm'
    hot = candidate('hot', cached_blocks=4, running=8, waiting=20)
    assert chosen(hot, candidate('cold')) == 'cold'


def test_other_region_is_used_only_as_a_last_resort():
    far = Candidate('far', 'x', 'other', 8)
    assert chosen(far, candidate('near', running=8)) == 'near'
    assert chosen(far) == 'far'


def test_choice_without_candidates_fails():
    assert isinstance(choose([], REQUEST, ALL, random.Random(1)), NoCandidate)


def test_owner_of_a_slot_does_not_depend_on_the_order():
    three = [candidate(name) for name in ('a', 'b', 'c')]
    owners = {
        choose_slot_owner(order, 'codes', 7).upstream
        for order in (three, three[::-1], three[1:] + three[:1])
    }
    assert len(owners) == 1
