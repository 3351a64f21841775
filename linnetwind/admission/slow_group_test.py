"""Tests of what a rank group with a slow rank still serves."""

from dataclasses import replace
from datetime import timedelta

import pytest

from linnetwind.admission.retry_times import MAX_RETRY_AFTER
from linnetwind.admission.slow_group import (
    AwaitRecovery,
    CallerPatience,
    GroupLimits,
    PaceHistory,
    PassCosts,
    ServeInTime,
    ServeLate,
    StreamLengths,
    await_recovery,
    callers_patience,
    decide_slow_group,
    longest_tolerable_ms,
)
from linnetwind.routes import RouteKind, WeightedService
from standins.gateway_fixtures import MS, SECOND, make_route

GAP = 120 * MS
LIMITS = GroupLimits(in_time=1, gap=GAP, slots=155)


def _decide(pace, in_time, tolerable_ms=800, before=ServeInTime()):
    costs = PassCosts(35 * pace, 0.3, pace)
    limits = replace(LIMITS, in_time=in_time)
    return decide_slow_group(costs, limits, tolerable_ms, before)


def test_a_group_that_can_run_nothing_in_time_serves_late():
    # With a rank five times slower the limit fell to one stream, and callers
    # were rejected who would have had a late response.
    assert _decide(pace=5, in_time=1) == ServeLate(155)


def test_only_streams_whose_callers_stay_are_served_late():
    assert _decide(pace=5, in_time=1, tolerable_ms=205) == ServeLate(100)
    # No stream would end before its caller leaves.
    assert _decide(pace=5, in_time=1, tolerable_ms=170) == ServeInTime()


def test_streams_in_time_are_preferred_while_they_are_worth_more():
    assert _decide(pace=2.5, in_time=60) == ServeInTime()
    assert _decide(pace=2.8, in_time=25) == ServeLate(155)


def test_a_group_does_not_alternate_at_the_boundary():
    assert _decide(pace=2.6, in_time=45) == ServeInTime()
    again = _decide(pace=2.6, in_time=45, before=ServeLate(155))
    assert again == ServeLate(155)


def test_nothing_changes_without_a_slow_rank():
    assert _decide(pace=1, in_time=1) == ServeInTime()


def test_callers_tolerate_the_shortest_times_of_the_service_s_routes():
    fields = {'kind': RouteKind.STREAM, 'services': (WeightedService('m', 1),)}
    quick = make_route('a', **fields, target=400 * MS, timeout=9 * SECOND)
    slow = make_route('b', **fields, target=SECOND, timeout=8 * SECOND)
    other = make_route('c', timeout=SECOND)
    patience = callers_patience([quick, slow, other], 'm')
    assert patience == CallerPatience(2 * SECOND, SECOND, 8 * SECOND)
    assert callers_patience([other], 'm') == CallerPatience()


def test_a_whole_stream_ends_within_its_time():
    patience = CallerPatience(2 * SECOND, 400 * MS, 5 * SECOND)
    assert longest_tolerable_ms(patience, 0) == 800
    assert longest_tolerable_ms(patience, 20) == pytest.approx(200)


def test_the_usual_length_follows_the_streams():
    lengths = StreamLengths()
    for number in range(600):
        if number == 4:
            assert not lengths.mean_events
        for _pause in range(22 if number < 200 else 10):
            lengths = lengths.add_pause()
        lengths = lengths.add_end()
    assert lengths.mean_events == pytest.approx(11, abs=1.5)


def test_a_pass_across_a_change_of_pace_counts_as_slow():
    history = PaceHistory().apply_pace(5, 10 * SECOND)
    assert history.pace_during(11 * SECOND) == 5
    history = history.apply_pace(1.2, 16 * SECOND)
    assert history.last_spell == 6 * SECOND
    assert history.pace_during(15.9 * SECOND) == 5
    assert history.pace_during(16.1 * SECOND) == 1


def test_callers_retry_only_if_the_slowness_should_be_over():
    late = ServeLate(155)
    first = PaceHistory().apply_pace(5, timedelta())
    # Its end is not known, and a retry into it would get nothing.
    assert await_recovery(late, first, SECOND, MAX_RETRY_AFTER) == late
    again = first.apply_pace(1, 6 * SECOND).apply_pace(5, 20 * SECOND)
    early = await_recovery(late, again, 23 * SECOND, MAX_RETRY_AFTER)
    assert early == late
    near = await_recovery(late, again, 24 * SECOND, MAX_RETRY_AFTER)
    assert near == AwaitRecovery(2 * SECOND)
    longer = await_recovery(late, again, 27 * SECOND, MAX_RETRY_AFTER)
    assert longer == late
