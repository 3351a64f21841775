"""Tests of when a stopping gateway takes requests."""

from datetime import UTC, datetime, timedelta

from linnetwind.clock import ManualClock
from linnetwind.gateway_stop import (
    NOTICE,
    USE_OF_STOP,
    GatewayStop,
    may_begin,
    plan_stop,
)

GRACE = timedelta(seconds=8)
MOMENT = timedelta(milliseconds=1)
LONG = timedelta(seconds=60)


def test_what_ends_before_the_last_sixth_of_the_grace_is_not_cut():
    # With a grace of 5 s, streams that began 1.2 and 2.8 s after SIGTERM were
    # cut at 4.05 s; only what lasts beyond 4.17 s may be.
    assert 5 / 6 < USE_OF_STOP < 1


def test_callers_that_do_not_know_of_the_stop_yet_are_served():
    plan = plan_stop(timedelta(), GRACE)
    assert may_begin(plan, NOTICE - MOMENT, LONG)


def test_after_the_notice_only_what_ends_in_time_is_begun():
    # A caller asks 3 s after SIGTERM for a stream that may take 8 s, and for
    # a call that ends after 1.5 s at the latest. The process ends 7.2 s after
    # SIGTERM and would cut the stream; the call cannot be cut.
    plan = plan_stop(timedelta(), GRACE)
    now = timedelta(seconds=3)
    assert not may_begin(plan, now, now + timedelta(seconds=8))
    assert may_begin(plan, now, now + timedelta(seconds=1.5))


def test_a_process_that_nobody_told_to_stop_begins_everything():
    stop = GatewayStop(ManualClock(datetime.now(UTC)), GRACE)
    assert stop.may_begin(LONG)
    assert not stop.is_begun()
    assert not stop.is_closing()
    assert not stop.is_over()


def test_a_stop_goes_through_its_times_in_order():
    clock = ManualClock(datetime.now(UTC))
    clock.advance(LONG)
    stop = GatewayStop(clock, GRACE)
    stop.begin()
    seen = []
    for _second in range(9):
        seen.append((stop.is_closing(), stop.is_over()))
        clock.advance(timedelta(seconds=1))
    assert stop.is_begun()
    assert seen == [(False, False)] * 3 + [(True, False)] * 5 + [(True, True)]
