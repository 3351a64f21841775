"""Tests of the budget for bodies in memory."""

import pytest

from linnetwind.admission.memory_budget import (
    SMALL_BODY_BYTES,
    Hold,
    MemoryBudget,
    NeverFits,
    RefuseForNow,
    derive_budget,
)

MEGABYTE = 1_048_576
SMALL = SMALL_BODY_BYTES - 1


@pytest.mark.parametrize('memory_mb', [152, 200, 552])
def test_bodies_take_less_than_the_memory_of_the_smallest_host(memory_mb):
    # 900 bodies of 4 MB, each of which exists twice, were 7,200 MB.
    budget = derive_budget(memory_mb * MEGABYTE)
    in_hand = 0
    for _request in range(900):
        decision = budget.decide(in_hand, 0, 4 * MEGABYTE)
        in_hand += decision.memory if isinstance(decision, Hold) else 0
    assert 8 * MEGABYTE <= in_hand <= memory_mb * MEGABYTE / 2


def test_small_bodies_are_accepted_beyond_the_budget():
    # Nearly all requests are small, and are not to fail because of large ones.
    assert isinstance(MemoryBudget(0).decide(99, 0, SMALL), Hold)


def test_a_body_beyond_the_budget_fits_later_or_never():
    # A retry of a body that never fits would use up the caller's tries.
    budget = MemoryBudget(4 * SMALL_BODY_BYTES)
    assert isinstance(budget.decide(1, 0, 2 * SMALL_BODY_BYTES), RefuseForNow)
    assert budget.decide(0, 0, 3 * SMALL_BODY_BYTES) == NeverFits()


def test_a_body_that_grows_is_not_counted_twice():
    budget = MemoryBudget(4 * SMALL_BODY_BYTES)
    held = 2 * SMALL
    assert isinstance(budget.decide(held, held, 2 * SMALL_BODY_BYTES), Hold)


def test_without_stated_memory_nothing_is_refused():
    assert isinstance(derive_budget(None).decide(10**12, 0, 10**9), Hold)
