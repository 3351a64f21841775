"""Tests of the backoffs that upstreams ask for."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.clock import ManualClock
from linnetwind.upstream_backoff import Backoff, UpstreamBackoffs
from standins.gateway_fixtures import make_upstream

SECOND = timedelta(seconds=1)
SICK = make_upstream('sick')
SISTER = make_upstream('sister', 81)


@pytest.fixture(name='clock')
def _clock():
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    clock.advance(10 * SECOND)
    return clock


@pytest.fixture(name='backoffs')
def _backoffs(clock):
    return UpstreamBackoffs(clock)


def test_a_backoff_in_force_is_told(clock, backoffs):
    assert backoffs.note(SICK.life, 3 * SECOND) is None
    clock.advance(SECOND)
    in_force = Backoff(10 * SECOND, 13 * SECOND)
    assert backoffs.note(SICK.life, 4 * SECOND) == in_force


def test_a_backoff_that_is_over_is_not_told(clock, backoffs):
    backoffs.note(SICK.life, 3 * SECOND)
    clock.advance(3 * SECOND)
    assert backoffs.note(SICK.life, SECOND) is None


def test_an_upstream_that_wants_none_is_not_free(clock, backoffs):
    both = [SICK, SISTER]
    assert backoffs.free(both) is both
    backoffs.note(SICK.life, 3 * SECOND)
    assert backoffs.free(both) == [SISTER]
    clock.advance(3 * SECOND)
    assert backoffs.free(both) is both


def test_a_later_shorter_backoff_does_not_end_a_longer_one(clock, backoffs):
    """Guards against a second answer that cuts the first one's time short."""
    backoffs.note(SICK.life, 3 * SECOND)
    clock.advance(SECOND)
    backoffs.note(SICK.life, SECOND)
    assert backoffs.left(SICK.life) == 2 * SECOND


def test_all_want_none_until_the_first_one_is_back(backoffs):
    backoffs.note(SICK.life, 3 * SECOND)
    assert not backoffs.left_for_all([SICK, SISTER])
    backoffs.note(SISTER.life, SECOND)
    assert backoffs.left_for_all([SICK, SISTER]) == SECOND
    assert not backoffs.left_for_all([])


def test_the_next_life_of_an_upstream_has_asked_for_nothing(backoffs):
    """Guards against a worker that starts anew and gets no requests."""
    backoffs.note(make_upstream('sick', born_ms=1).life, 3 * SECOND)
    reborn = make_upstream('sick', born_ms=2)
    assert backoffs.free([reborn]) == [reborn]
