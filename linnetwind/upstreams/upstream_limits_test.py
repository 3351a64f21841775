"""Tests of the limits that upstreams state to this daemon or to its peers."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.clock import ManualClock
from linnetwind.upstream_incarnation import tag_incarnation
from linnetwind.upstreams.upstream_limits import AdvertisedLimit, UpstreamLimits
from standins.gateway_fixtures import make_upstream

SECOND = timedelta(seconds=1)
LIMITED = make_upstream('sick')
OTHER = make_upstream('sister', 81)
TAG = tag_incarnation(LIMITED.life)
OWN = 'a'


@pytest.fixture(name='clock')
def _clock():
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    clock.advance(10 * SECOND)
    return clock


@pytest.fixture(name='limits')
def _limits(clock):
    return UpstreamLimits(clock, OWN, lambda _service: {OWN: 1.0, 'b': 1.0})


def _advertised(per_s, age_ms=0):
    return (AdvertisedLimit(TAG, per_s, age_ms),)


def test_without_a_limit_nothing_is_recorded(limits):
    assert not limits.record_limit(LIMITED, None)
    assert not limits.any_known
    assert limits.within_limit([LIMITED, OTHER]) == [LIMITED, OTHER]
    assert limits.to_advertise() == ()


def test_a_daemon_keeps_to_a_limit_that_a_peer_advertised(limits):
    # This daemon has sent nothing to the upstream since it states a limit.
    limits.merge_advertised(_advertised(0.0))
    for _request in range(10):
        limits.count_sent(LIMITED)
    assert limits.within_limit([LIMITED, OTHER]) == [OTHER]


def test_a_response_without_a_limit_ends_the_limit(limits, clock):
    assert limits.record_limit(LIMITED, 2.0)
    clock.advance(SECOND)
    assert limits.record_limit(LIMITED, None)
    assert limits.per_s(LIMITED.life) is None
    # Peers have to learn that the limit has ended.
    assert limits.to_advertise() == (AdvertisedLimit(TAG, None, 0),)


@pytest.mark.parametrize(('age_ms', 'expected'), [(1500, 2.0), (500, 7.0)])
def test_the_latest_statement_counts_whichever_daemon_got_it(
    limits, clock, age_ms, expected
):
    # The states of peers arrive late and in any order.
    limits.record_limit(LIMITED, 2.0)
    clock.advance(SECOND)
    limits.merge_advertised(_advertised(7.0, age_ms))
    assert limits.per_s(LIMITED.life) == expected


def test_limits_from_peers_are_not_passed_on(limits):
    # Two daemons would keep an outdated limit alive between them.
    limits.merge_advertised(_advertised(2.0))
    assert limits.to_advertise() == ()


@pytest.mark.parametrize(
    ('before', 'now', 'informed'),
    [(2.0, 2.1, False), (2.0, 3.0, True), (0.0, 0.0, False), (0.0, 1.0, True)],
)
def test_peers_are_informed_at_once_of_large_changes(
    limits, before, now, informed
):
    limits.record_limit(LIMITED, before)
    assert limits.record_limit(LIMITED, now) is informed


def test_the_next_incarnation_of_an_upstream_has_no_limit(limits):
    limits.record_limit(LIMITED, 0.0)
    limits.keep_only({OTHER.life})
    assert not limits.any_known


def test_a_request_is_reserved_only_within_the_longest_wait(limits):
    limits.record_limit(LIMITED, 2.0)
    while limits.within_limit([LIMITED]):
        limits.count_sent(LIMITED)
    assert limits.reserve([LIMITED], SECOND / 10) is None
    reservation = limits.reserve([LIMITED], 2 * SECOND)
    assert timedelta() < reservation.wait <= SECOND
    # The reservation counts: the next request has to wait longer.
    assert limits.time_until_accepted([LIMITED]) > reservation.wait
