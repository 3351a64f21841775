"""Tests of the replay of shifting demand for experts."""

from standins.expert_replay import Case, PresentDemandPolicy, replay

SMALL = Case(8, (1, 2), duration_s=8, layers=3, experts=32)


def test_a_replay_gives_the_same_outcome_again():
    # Two policies can be compared only if both meet the same demand.
    first = replay(SMALL, PresentDemandPolicy())
    again = replay(SMALL, PresentDemandPolicy())
    assert first.skews == again.skews
    assert first.copied_gb == again.copied_gb > 0
    assert 1 <= first.mean_skew <= first.high_skew
