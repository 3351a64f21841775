"""Tests of the pauses that upstreams ask for."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.clock import ManualClock
from linnetwind.upstream_backoff import Backoff, UpstreamBackoffs
from standins.gateway_fixtures import make_upstream

SECOND = timedelta(seconds=1)
SICK = make_upstream('sick')


@pytest.fixture(name='clock')
def _clock():
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    clock.advance(10 * SECOND)
    return clock


@pytest.fixture(name='backoffs')
def _backoffs(clock):
    return UpstreamBackoffs(clock)


def test_a_pause_under_way_is_told(clock, backoffs):
    assert backoffs.note(SICK.life, 3 * SECOND) is None
    clock.advance(SECOND)
    under_way = Backoff(10 * SECOND, 13 * SECOND)
    assert backoffs.note(SICK.life, 4 * SECOND) == under_way


def test_a_pause_that_is_over_is_not_told(clock, backoffs):
    backoffs.note(SICK.life, 3 * SECOND)
    clock.advance(3 * SECOND)
    assert backoffs.note(SICK.life, SECOND) is None
