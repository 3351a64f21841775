"""Tests of the limit on streams of a rank group."""

from datetime import timedelta

import pytest

from linnetwind.admission.pass_time_estimator import (
    PassTimeEstimator,
    Pause,
    stream_limit,
)
from standins.gateway_fixtures import make_engine

MS = timedelta(milliseconds=1)
ENGINE = make_engine()


def _estimate(length, running):
    estimator = PassTimeEstimator()
    for number in range(20):
        estimator.record(Pause(number * MS, length, running))
    return estimator.estimate_part(ENGINE, 20 * MS)


def _pass_ms(estimate, streams):
    part, _count = estimate
    return ENGINE.steps_per_pass * ENGINE.step_ms + part * streams


def test_the_limit_keeps_a_usual_pass_below_the_allowed_pause():
    for length, running in ((60 * MS, 40), (95 * MS, 60), (140 * MS, 70)):
        estimate = _estimate(length, running)
        limit = stream_limit(ENGINE, 16, 120 * MS, [estimate], 3)
        assert _pass_ms(estimate, limit) < 120 or limit == 1


def test_a_worse_map_lowers_the_limit():
    # The popular experts change, and with the same streams passes take almost
    # twice as long. The limit falls before all streams of the group are late.
    good = stream_limit(ENGINE, 16, 120 * MS, [_estimate(70 * MS, 50)], 3)
    bad = stream_limit(ENGINE, 16, 120 * MS, [_estimate(120 * MS, 50)], 3)
    assert bad < good * 0.6


def test_all_daemons_use_the_same_limit():
    here = _estimate(100 * MS, 50)
    there = _estimate(60 * MS, 50)
    both = stream_limit(ENGINE, 16, 120 * MS, [here, there], 3)
    reversed_order = stream_limit(ENGINE, 16, 120 * MS, [there, here], 3)
    assert both == reversed_order


def test_without_pauses_the_limit_follows_the_figures_of_the_engine():
    nothing = [(0.0, 0)]
    even = stream_limit(ENGINE, 16, 120 * MS, nothing, 1)
    skewed = stream_limit(ENGINE, 16, 120 * MS, nothing, 3.5)
    assert 1 < skewed < even <= 96


def test_a_group_without_pauses_is_not_filled():
    # All hosts lose power, and streams are queued until the groups open. Then
    # all of them start at once: if they fill the slots, the first passes also
    # read all prompts and take 0.14 to 0.18 s, and every stream is late.
    nothing = stream_limit(ENGINE, 16, 120 * MS, [(0.0, 0)], 3)
    part = ENGINE.steps_per_pass * ENGINE.sequence_ms / 16
    part *= 1 - ENGINE.expert_share + ENGINE.expert_share * 3
    estimated = stream_limit(ENGINE, 16, 120 * MS, [(part, 20)], 3)
    assert nothing < estimated * 0.7


def test_old_pauses_expire():
    estimator = PassTimeEstimator()
    estimator.record(Pause(timedelta(), 500 * MS, 5))
    assert estimator.estimate_part(ENGINE, timedelta(seconds=3)) == (0, 0)


def test_a_better_map_raises_the_limit_at_once():
    # Half of the popular experts have changed, and passes were long. The new
    # map is in use now, but the pauses of the last 2.5 s stem from the old one.
    # If they count in full, callers are rejected for two seconds though there
    # is capacity.
    estimator = PassTimeEstimator()
    for number in range(20):
        estimator.record(Pause(number * MS, 120 * MS, 40, skew=3.0))
    before = estimator.estimate_part(ENGINE, 20 * MS, skew=3.0)
    after = estimator.estimate_part(ENGINE, 200 * MS, skew=1.2)
    other_share = 1 - ENGINE.expert_share
    expected = (other_share + ENGINE.expert_share * 1.2) / (
        other_share + ENGINE.expert_share * 3
    )
    assert after[0] == pytest.approx(before[0] * expected)
    limits = [
        stream_limit(ENGINE, 16, 120 * MS, [each], 3)
        for each in (before, after)
    ]
    assert limits[1] > 1.8 * limits[0]


@pytest.mark.parametrize(('then', 'now'), [(1.2, 3.0), (0, 1.2), (3.0, 0)])
def test_pauses_are_not_scaled_for_a_worse_or_unknown_map(then, now):
    # A worse map shows in the pauses themselves.
    estimator = PassTimeEstimator()
    for number in range(20):
        estimator.record(Pause(number * MS, 120 * MS, 40, skew=then))
    unscaled = _estimate(120 * MS, 40)
    assert estimator.estimate_part(ENGINE, 20 * MS, skew=now) == unscaled


def test_pauses_before_the_report_of_a_worse_map_count_as_under_it():
    # A worse skew is reported some tenths of a second after it applies. The
    # pauses in between would count as long ones under the better map.
    estimator = PassTimeEstimator()
    for number in range(10):
        estimator.record(Pause(number * 100 * MS, 90 * MS, 40, skew=1.4))
    estimator.record(Pause(950 * MS, 90 * MS, 40))
    estimator.raise_skew(2.6, 600 * MS)
    skews = [each.skew for each in estimator.recent_pauses(1000 * MS, 1)]
    assert skews == [1.4] * 6 + [2.6] * 4 + [0]
