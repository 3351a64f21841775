"""Tests of the limit on streams of a rank group."""

from datetime import timedelta

import pytest

from linnetwind.pass_meter import PassMeter, Pause, stream_limit
from standins.gateway_fixtures import make_engine

MS = timedelta(milliseconds=1)
ENGINE = make_engine()


def _measured(length, running):
    meter = PassMeter()
    for number in range(20):
        meter.note(Pause(number * MS, length, running))
    return meter.measure(ENGINE, 20 * MS)


def _pass_ms(measured, streams):
    part, _count = measured
    return ENGINE.steps_per_pass * ENGINE.step_ms + part * streams


def test_the_limit_keeps_a_usual_pass_under_the_pause_allowed():
    for length, running in ((60 * MS, 40), (95 * MS, 60), (140 * MS, 70)):
        measured = _measured(length, running)
        limit = stream_limit(ENGINE, 16, 120 * MS, [measured], 3)
        assert _pass_ms(measured, limit) < 120 or limit == 1


def test_a_worse_map_lowers_the_limit():
    # The popular experts change: with the same streams passes take twice as
    # long. The limit falls before all streams of the group are late.
    good = stream_limit(ENGINE, 16, 120 * MS, [_measured(70 * MS, 50)], 3)
    bad = stream_limit(ENGINE, 16, 120 * MS, [_measured(120 * MS, 50)], 3)
    assert bad < good * 0.6


def test_all_daemons_use_the_same_limit():
    here = _measured(100 * MS, 50)
    there = _measured(60 * MS, 50)
    both = stream_limit(ENGINE, 16, 120 * MS, [here, there], 3)
    turned = stream_limit(ENGINE, 16, 120 * MS, [there, here], 3)
    assert both == turned


def test_without_pauses_the_figures_of_the_engine_decide():
    nothing = [(0.0, 0)]
    even = stream_limit(ENGINE, 16, 120 * MS, nothing, 1)
    skewed = stream_limit(ENGINE, 16, 120 * MS, nothing, 3.5)
    assert 1 < skewed < even <= 96


def test_a_group_that_was_not_measured_yet_is_not_filled():
    # All hosts lose power, and streams wait for the groups to open. All of
    # them then start at once: filled to the slots, the first passes read all
    # prompts besides and took 0.14 to 0.18 s, and every stream was late.
    nothing = stream_limit(ENGINE, 16, 120 * MS, [(0.0, 0)], 3)
    part = ENGINE.steps_per_pass * ENGINE.sequence_ms / 16
    part *= 1 - ENGINE.expert_share + ENGINE.expert_share * 3
    measured = stream_limit(ENGINE, 16, 120 * MS, [(part, 20)], 3)
    assert nothing < measured * 0.7


def test_old_pauses_are_forgotten():
    meter = PassMeter()
    meter.note(Pause(timedelta(), 500 * MS, 5))
    assert meter.measure(ENGINE, timedelta(seconds=3)) == (0, 0)


def test_a_better_map_raises_the_limit_at_once():
    # Half of the popular experts have changed, and passes were long. The new
    # map is in use now, but the pauses of the last 2.5 s are those of the old
    # one: for two seconds callers were refused for whom there was room.
    meter = PassMeter()
    for number in range(20):
        meter.note(Pause(number * MS, 120 * MS, 40, skew=3.0))
    before = meter.measure(ENGINE, 20 * MS, skew=3.0)
    after = meter.measure(ENGINE, 200 * MS, skew=1.2)
    rest = 1 - ENGINE.expert_share
    expected = (rest + ENGINE.expert_share * 1.2) / (
        rest + ENGINE.expert_share * 3
    )
    assert after[0] == pytest.approx(before[0] * expected)
    limits = [
        stream_limit(ENGINE, 16, 120 * MS, [each], 3)
        for each in (before, after)
    ]
    assert limits[1] > 1.8 * limits[0]


@pytest.mark.parametrize(('then', 'now'), [(1.2, 3.0), (0, 1.2), (3.0, 0)])
def test_pauses_count_as_they_are_under_a_worse_or_unknown_map(then, now):
    # A worse map shows in the pauses themselves.
    meter = PassMeter()
    for number in range(20):
        meter.note(Pause(number * MS, 120 * MS, 40, skew=then))
    plain = _measured(120 * MS, 40)
    assert meter.measure(ENGINE, 20 * MS, skew=now) == plain
