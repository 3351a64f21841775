"""Tests of telling shifts of demand from chance."""

import random
from datetime import timedelta

import pytest

from linnetwind.experts.lasting_demand import LastingDemand

POLL = timedelta(milliseconds=100)
BEFORE = (800, 400, 200, 100, 100, 100)
AFTER = (100, 100, 800, 400, 200, 100)


def _apply(lasting, counts, poll):
    """Apply counts whose present demand is half of each poll before."""
    present = tuple(
        old / 2 + new
        for old, new in zip(
            lasting.present or (0,) * len(counts), counts, strict=True
        )
    )
    return lasting.apply_counts(counts, present, poll * POLL)


def _vary(counts, source):
    return tuple(count * source.uniform(0.6, 1.4) for count in counts)


def _error(row, expected):
    return sum(
        abs(count / sum(row) - each / sum(expected))
        for count, each in zip(row, expected, strict=True)
    )


@pytest.mark.parametrize('seed', range(5))
def test_variation_by_chance_is_averaged(seed):
    # Each poll reads a few prompts only. Plans for the present demand copied
    # experts for demand that was gone at the next poll.
    source = random.Random(seed)
    expected = BEFORE * 20
    lasting = LastingDemand()
    shifts = 0
    errors = []
    for poll in range(60):
        lasting = _apply(lasting, _vary(expected, source), poll)
        shifts += lasting.has_shifted
        planned = _error(lasting.by_layer(1)[0], expected)
        errors.append((planned, _error(lasting.present, expected)))
    planned, present = map(sum, zip(*errors[10:], strict=True))
    assert planned < present / 2
    assert not shifts


def test_a_shift_shows_within_three_polls():
    # An average over seconds would plan for the demand from before the shift.
    lasting = LastingDemand()
    for poll in range(30):
        lasting = _apply(lasting, BEFORE, poll)
    shifts = 0
    for poll in range(30, 33):
        lasting = _apply(lasting, AFTER, poll)
        shifts += lasting.has_shifted
    assert shifts >= 1
    row = lasting.by_layer(1)[0]
    assert max(row) == row[2]


def test_counts_that_jump_back_are_no_shift():
    # A rank restarts and counts from 0, so that a poll adds nothing.
    lasting = LastingDemand()
    for poll in range(10):
        lasting = _apply(lasting, BEFORE, poll)
    assert lasting.apply_counts((0,) * 6, BEFORE, 11 * POLL) is lasting
    assert not lasting.has_shifted


def test_demand_that_does_not_change_never_shifts():
    # The shares differ by rounding only. A fit to that noise found shifts that
    # shortened the expected life of later plans.
    source = random.Random(1)
    lasting = LastingDemand()
    present = (float(0), float(0))
    now = timedelta()
    for _poll in range(2000):
        now += timedelta(milliseconds=source.uniform(1, 200))
        added = (1800, 600)
        decay = source.random()
        present = tuple(
            old * decay + new for old, new in zip(present, added, strict=True)
        )
        lasting = lasting.apply_counts(added, present, now)
        assert not lasting.has_shifted
