"""Tests of what a daemon knows of cold upstreams and may send to them."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.address import Address
from linnetwind.clock import ManualClock
from linnetwind.gateway_metrics import GatewayMetrics
from linnetwind.routes import RoutedService
from linnetwind.upstream_incarnation import tag_incarnation
from linnetwind.upstreams.cold_allowance import (
    WINDOW,
    ColdBound,
    ColdSource,
    ColdTolerance,
)
from linnetwind.upstreams.cold_quotas import ColdQuotas, ColdSettings
from linnetwind.upstreams.cold_upstreams import AdvertisedCold, ColdUpstreams
from linnetwind.upstreams.fleet_members import (
    LEFT_SILENCE,
    RETENTION,
    FleetMembers,
)
from linnetwind.upstreams.fleet_tracker import FleetSettings, FleetTracker
from linnetwind.upstreams.limit_share import SendWindow, window_quota
from linnetwind.upstreams.upstream_limits import UpstreamLimits
from linnetwind.upstreams.upstream_list import UpstreamList, UpstreamRecord
from standins.gateway_fixtures import MS, SECOND, make_upstream

OWN, PEER, THIRD = (Address(f'10.0.0.{n}', 7) for n in (1, 2, 3))
COLD_TIME = 8 * SECOND
SERVICE = RoutedService('plain', '/', 9, None, COLD_TIME, cold_per_s=4)
# 4 a second times 1.5, plus 5.
TOLERANCE = ColdTolerance(1.5, 5)
BOUND = 11
NOW = datetime(2026, 1, 1, tzinfo=UTC)
NOW_MS = int(NOW.timestamp() * 1000)


@pytest.fixture(name='clock')
def _clock():
    clock = ManualClock(NOW)
    clock.advance(20 * SECOND)
    return clock


def _fleet(clock):
    return FleetTracker(FleetSettings(OWN), clock)


def _cold(
    clock, fleet=None, *, has_peers=False, tolerance=TOLERANCE, service=SERVICE
):
    fleet = fleet or _fleet(clock)
    settings = ColdSettings(ColdBound(tolerance, has_peers), lambda: SECOND / 2)
    cold = ColdUpstreams(ColdQuotas(settings, fleet), clock)
    cold.apply_services({'plain': service})
    return cold


def _register(cold, *upstreams, end=1):
    before = UpstreamList(end=end)
    records = [UpstreamRecord(each.instance, end, each) for each in upstreams]
    after = before.fold_records(records, end + 1)
    cold.observe_list(before, after)


def _sent_at_once(cold, clock, upstream):
    """Return how many requests may be sent now."""
    limits = UpstreamLimits(clock, str(OWN), lambda _service: {}, cold)
    for count in range(100):
        if not limits.within_limit([upstream]):
            return count
        limits.count_sent(upstream)
    return None


@pytest.mark.parametrize(
    ('end', 'changes', 'left'),
    [
        (0, {'cold': 3 * SECOND}, 3),
        # It started 5 of 8 seconds ago, and its registration claims less.
        (0, {'cold': SECOND, 'born_ms': NOW_MS + 15_000}, 3),
        # Its clock is ahead.
        (0, {'born_ms': NOW_MS + 99_000}, 8),
        # It appeared during traffic, with an old start time.
        (9, {'born_ms': 5}, 8),
        (0, {'born_ms': 5}, 0),
    ],
)
def test_the_longest_cold_time_of_all_sources_counts(clock, end, changes, left):
    cold = _cold(clock)
    upstream = make_upstream('a', **changes)
    _register(cold, upstream, end=end)
    clock.advance(left * SECOND - MS)
    assert cold.count == bool(left)
    clock.advance(2 * MS)
    assert not cold.count


@pytest.mark.parametrize(
    'changes',
    [
        {'tolerance': None},
        {'service': RoutedService('plain', '/', 9, None, COLD_TIME, 0)},
    ],
)
def test_without_a_bound_or_a_rate_nothing_is_limited(clock, changes):
    cold = _cold(clock, **changes)
    upstream = make_upstream('a', cold=COLD_TIME)
    _register(cold, upstream)
    assert not cold.any_recent
    assert _sent_at_once(cold, clock, upstream) is None


def test_a_cold_time_before_the_configuration_counts_after_it(clock):
    cold = _cold(clock)
    cold.apply_services({})
    _register(cold, make_upstream('a', cold=SECOND))
    cold.apply_services({'plain': SERVICE})
    assert cold.count == 1


def test_a_service_that_is_removed_meanwhile_is_sent_nothing(clock):
    # A request that is just choosing an upstream still has the old list.
    cold, upstream = _cold(clock), make_upstream('a', cold=SECOND)
    _register(cold, upstream)
    cold._services = {}
    assert cold.wait(upstream, clock.elapsed()) is None


def test_a_peer_makes_an_unknown_upstream_cold(clock):
    # The peer saw it start; this daemon started later and read it as warm.
    cold, upstream = _cold(clock), make_upstream('a')
    heard = []
    cold.report_to(lambda *event: heard.append(event))
    advertised = AdvertisedCold(tag_incarnation(upstream.life), 5_000)
    cold.merge_advertised([advertised])
    _register(cold, upstream, end=0)
    assert heard == [(upstream.life, 4, 5 * SECOND, ColdSource.PEER)]
    # Passed on, the cold time would never end between two daemons.
    assert cold.to_advertise() == ()


def test_cold_upstreams_are_counted_in_the_metrics(clock):
    cold, metrics = _cold(clock), GatewayMetrics()
    metrics.watch_cold(lambda: cold.count)
    _register(cold, make_upstream('a'), make_upstream('b', cold=99 * SECOND))
    assert b'linnetwind_upstreams_cold 2.0' in metrics.render()
    clock.advance(COLD_TIME)
    assert b'linnetwind_upstreams_cold 1.0' in metrics.render()


def test_what_a_registration_does_not_say_is_advertised(clock):
    cold = _cold(clock)
    first, stated = make_upstream('a'), make_upstream('b', cold=9 * SECOND)
    _register(cold, first, stated)
    advertised = AdvertisedCold(tag_incarnation(first.life), 8_000)
    assert cold.to_advertise() == (advertised,)


def test_after_the_cold_time_the_weight_grows_in_steps(clock):
    cold, upstream = _cold(clock), make_upstream('a')
    _register(cold, upstream)
    weights = []
    for _step in range(7):
        now = clock.elapsed()
        weights.append(cold.weights(now).get(upstream.life, 1))
        clock.advance(COLD_TIME / 3)
    # Cold for the first three, then a slow start of the same length.
    assert weights == [1, 1, 1, 0.2, 0.4, 0.6, 1]
    assert not cold.any_recent


def test_a_daemon_alone_sends_up_to_the_bound_and_then_waits(clock):
    cold, upstream = _cold(clock), make_upstream('a', cold=COLD_TIME)
    _register(cold, upstream)
    assert _sent_at_once(cold, clock, upstream) == BOUND - 1
    clock.advance(WINDOW - MS)
    assert cold.wait(upstream, clock.elapsed()) == MS


def test_a_cold_upstream_that_names_a_limit_obeys_both(clock):
    cold, upstream = _cold(clock), make_upstream('a', cold=COLD_TIME)
    _register(cold, upstream)
    limits = UpstreamLimits(clock, 'o', lambda _service: {'o': 1.0}, cold)
    limits.record_limit(upstream, 0)
    while limits.within_limit([upstream]):
        limits.count_sent(upstream)
    assert not cold.wait(upstream, clock.elapsed())
    limits.record_limit(upstream, 1_000)
    sent = 0
    while limits.within_limit([upstream]):
        limits.count_sent(upstream)
        sent += 1
    assert sent < BOUND


def test_a_daemon_that_has_just_started_waits_for_its_peers(clock):
    # It knows none of the others, which divide the bound without it.
    fleet = _fleet(clock)
    cold = _cold(clock, fleet, has_peers=True)
    upstream = make_upstream('a', cold=COLD_TIME)
    _register(cold, upstream)
    fleet.hear_peer(PEER, (OWN,), leaving=False)
    assert _sent_at_once(cold, clock, upstream) == 0
    clock.advance(SECOND)
    fleet.hear_peer(PEER, (OWN, THIRD), leaving=False)
    clock.advance(SECOND)
    assert _sent_at_once(cold, clock, upstream) == 0
    clock.advance(SECOND)
    assert _sent_at_once(cold, clock, upstream) in {3, 4}


def test_a_daemon_that_hears_no_peer_sends_one_request_at_a_time(clock):
    cold = _cold(clock, has_peers=True)
    upstream = make_upstream('a', cold=COLD_TIME)
    _register(cold, upstream)
    clock.advance(2 * SECOND)
    assert _sent_at_once(cold, clock, upstream) == 1


def test_the_quotas_of_all_daemons_add_up_whatever_their_number():
    for most in (0, 1, 7, 33):
        names = [f'd{number}' for number in range(46)]
        life = make_upstream('a').life
        quotas = [window_quota(life, most, name, names) for name in names]
        assert sum(quotas) == most


def test_any_window_holds_no_more_than_the_quota():
    window, sent, now = SendWindow(), [], timedelta()
    for step in range(200):
        now = step * 40 * MS
        wait = window.wait(3, SECOND, now)
        if wait <= SECOND / 2:
            window = window.send(SECOND, now, wait)
            sent.append(now + wait)
    spans = [late - early for early, late in zip(sent, sent[3:], strict=False)]
    assert min(spans) >= SECOND
    assert len(sent) > 20


def test_a_silent_daemon_counts_until_it_left():
    # It may be alive on the other side of a broken link.
    members = FleetMembers(OWN, timedelta())
    members = members.hear(PEER, (OWN, THIRD), SECOND, leaving=False)
    now = SECOND + RETENTION - MS
    assert len(members.expire(now).names()) == 3
    assert set(members.unheard(now, 30 * SECOND)) == {PEER, THIRD}
    assert members.expire(now + 2 * MS).names() == {str(OWN)}
    members = members.hear(PEER, (), 2 * SECOND, leaving=True)
    gone = members.expire(2 * SECOND + LEFT_SILENCE)
    assert gone.names() == {str(OWN), str(THIRD)}
    # Peers list a daemon that left for some time longer.
    again = gone.hear(THIRD, (PEER,), 9 * SECOND, leaving=False)
    assert str(PEER) not in again.names()
