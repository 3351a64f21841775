"""Tests of the backoffs that upstreams request."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.clock import ManualClock
from linnetwind.upstream_backoff import Backoff, UpstreamBackoffs
from standins.gateway_fixtures import make_upstream

SECOND = timedelta(seconds=1)
REFUSING = make_upstream('sick')
OTHER = make_upstream('sister', 81)


@pytest.fixture(name='clock')
def _clock():
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    clock.advance(10 * SECOND)
    return clock


@pytest.fixture(name='backoffs')
def _backoffs(clock):
    return UpstreamBackoffs(clock)


def test_a_backoff_in_force_is_returned(clock, backoffs):
    assert backoffs.record_backoff(REFUSING.life, 3 * SECOND) is None
    clock.advance(SECOND)
    in_force = Backoff(10 * SECOND, 13 * SECOND)
    assert backoffs.record_backoff(REFUSING.life, 4 * SECOND) == in_force


def test_a_backoff_that_has_ended_is_not_returned(clock, backoffs):
    backoffs.record_backoff(REFUSING.life, 3 * SECOND)
    clock.advance(3 * SECOND)
    assert backoffs.record_backoff(REFUSING.life, SECOND) is None


def test_an_upstream_in_backoff_is_left_out(clock, backoffs):
    both = [REFUSING, OTHER]
    assert backoffs.without_backoff(both) is both
    backoffs.record_backoff(REFUSING.life, 3 * SECOND)
    assert backoffs.without_backoff(both) == [OTHER]
    clock.advance(3 * SECOND)
    assert backoffs.without_backoff(both) is both


def test_a_later_shorter_backoff_does_not_end_a_longer_one(clock, backoffs):
    """Guards against a second response that shortens the first backoff."""
    backoffs.record_backoff(REFUSING.life, 3 * SECOND)
    clock.advance(SECOND)
    backoffs.record_backoff(REFUSING.life, SECOND)
    assert backoffs.remaining(REFUSING.life) == 2 * SECOND


def test_the_remaining_time_for_all_is_that_of_the_first_to_end(backoffs):
    backoffs.record_backoff(REFUSING.life, 3 * SECOND)
    assert not backoffs.remaining_for_all([REFUSING, OTHER])
    backoffs.record_backoff(OTHER.life, SECOND)
    assert backoffs.remaining_for_all([REFUSING, OTHER]) == SECOND
    assert not backoffs.remaining_for_all([])


def test_the_next_incarnation_of_an_upstream_has_no_backoff(backoffs):
    """Guards against an upstream that restarts and gets no requests."""
    backoffs.record_backoff(make_upstream('sick', born_ms=1).life, 3 * SECOND)
    restarted = make_upstream('sick', born_ms=2)
    assert backoffs.without_backoff([restarted]) == [restarted]
