"""Tests of the replay of shifting demand for experts."""

from datetime import timedelta

import pytest

from standins.expert_replay import (
    Case,
    LastingDemandPolicy,
    PresentDemandPolicy,
    replay,
)

SMALL = Case(8, (1, 2), duration_s=8, layers=3, experts=32)


def test_a_replay_gives_the_same_outcome_again():
    # Two policies can be compared only if both meet the same demand.
    first = replay(SMALL, PresentDemandPolicy())
    again = replay(SMALL, PresentDemandPolicy())
    assert first.skews == again.skews
    assert first.copied_gb == again.copied_gb > 0
    assert 1 <= first.mean_skew <= first.high_skew


class Successor:
    """Plans like today until a time, then as a planner without history."""

    def __init__(self, policy, start):
        self._policy = PresentDemandPolicy()
        self._next = policy
        self._start = start

    def apply_counts(self, counts, now):
        """Learn the counts, with the next policy from its start on."""
        if self._next and now >= self._start:
            self._policy, self._next = self._next(), None
        self._policy.apply_counts(counts, now)

    def plan(self, view):
        """Plan with the policy in charge."""
        return self._policy.plan(view)


@pytest.mark.parametrize('shift_s', [(2, 3), None])
def test_a_successor_without_history_copies_no_more_than_before(shift_s):
    # The planner is lost and the next one knows neither the lasting demand nor
    # the shifts. Had it copied more than a planner for the present demand, each
    # loss of a planner would have slowed the group.
    case = Case(32, shift_s, duration_s=16, layers=6)
    half = timedelta(seconds=8)
    copied = {
        policy: replay(case, Successor(policy, half)).late_gb
        for policy in (PresentDemandPolicy, LastingDemandPolicy)
    }
    assert copied[LastingDemandPolicy] <= copied[PresentDemandPolicy]
