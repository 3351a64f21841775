"""Tests of what a daemon logs, counts and forgets of ejected upstreams."""

from collections import Counter
from dataclasses import replace

import pytest

from linnetwind.gateway_metrics import GatewayMetrics
from linnetwind.upstream_incarnation import tag_incarnation
from linnetwind.upstreams.ejected_upstreams import EjectedUpstreams
from linnetwind.upstreams.ejection_hints import AdvertisedEjection
from standins.gateway_fixtures import MS, SECOND, make_upstream
from standins.refusal_replay import PLAIN, RefusalReplay, RefusalScene

MEMBERS = [make_upstream(name, port) for port, name in enumerate('abc')]
BAD = MEMBERS[0]
HINT = AdvertisedEjection(tag_incarnation(BAD.life), 4_000, 90)
RETURNED = AdvertisedEjection(tag_incarnation(BAD.life), 0)


@pytest.fixture
def clock():
    return RefusalReplay(RefusalScene(1, (0,))).clock


@pytest.fixture
def events():
    return []


@pytest.fixture
def ejections(clock, events):
    made = EjectedUpstreams(clock)
    made.keep_only([each.life for each in MEMBERS])
    made.report_to(
        lambda *event: events.append(event), lambda life: events.append(life)
    )
    return made


def _eject(ejections, clock):
    for each in MEMBERS[1:] * 2:
        ejections.record_answer(each, MEMBERS, clock.elapsed(), bad=False)
    ejections.record_answer(BAD, MEMBERS, clock.elapsed(), bad=True)


def test_a_due_probe_is_sent_whatever_it_costs(clock):
    # The upstream looks slower than the others. By its cost it would get no
    # request, and stay ejected after it has recovered.
    replay = RefusalReplay(RefusalScene(1, (0, 0, 0)))
    state, members = replay.daemons[0], replay.upstreams
    ejections = state.request_history.ejections
    state.upstream_records.record_answer(members[0], SECOND, failed=False)
    for bad, each in ((False, 1), (False, 2), (False, 1), (True, 0)):
        now = replay.clock.elapsed()
        ejections.record_answer(members[each], members, now, bad=bad)
    assert ejections.ejected(members) == {'0'}
    replay.clock.advance(4 * SECOND)
    for each in members[1:]:
        state.upstream_records.record_answer(each, 9 * MS, failed=False)
    retry = state.acquire_upstream(PLAIN, frozenset(('1',)))
    assert retry == members[2]
    assert state.acquire_upstream(PLAIN, frozenset()) == members[0]
    assert state.acquire_upstream(PLAIN, frozenset()) != members[0]


def _probe(ejections, clock, *, bad):
    clock.advance(60 * SECOND)
    ejections.count_sent(BAD)
    ejections.record_answer(BAD, MEMBERS, clock.elapsed(), bad=bad)


def test_each_ejection_and_return_is_reported(ejections, clock, events):
    metrics = GatewayMetrics()
    metrics.watch_ejected(lambda: ejections.count)
    _eject(ejections, clock)
    assert b'linnetwind_upstreams_ejected 1.0' in metrics.render()
    _probe(ejections, clock, bad=True)
    _probe(ejections, clock, bad=False)
    first, second, returned = events
    assert first == ('a', 0.5, 2 * SECOND, 'own')
    assert second == ('a', 0.5, 4 * SECOND, 'own')
    assert returned == 'a'
    assert b'linnetwind_upstreams_ejected 0.0' in metrics.render()


def test_hints_are_reported_with_the_peer(ejections, clock, events):
    ejections.merge_advertised('peer', (HINT,))
    ejections.merge_advertised('peer', (HINT,))
    assert ejections.count == 1
    ejections.merge_advertised('peer', (RETURNED,))
    assert events == [('a', 0.9, 4 * SECOND, 'peer'), 'a']
    ejections.merge_advertised('peer', (HINT,))
    clock.advance(5 * SECOND)
    # It has ended by time, and starts anew.
    ejections.merge_advertised('peer', (HINT,))
    _probe(ejections, clock, bad=False)
    assert events[2:] == [events[0], events[0], 'a']


def test_peers_that_fall_silent_leave_no_hint(ejections, clock):
    ejections.merge_advertised('peer', (HINT,))
    assert ejections.ejected(MEMBERS) == {'a'}
    clock.advance(4 * SECOND)
    assert not ejections.ejected(MEMBERS)
    assert ejections.count == 0


def test_a_restarted_upstream_has_a_clean_record(ejections, clock):
    # The previous incarnation was ejected here and by peers. Its successor
    # must not wait for the end of that, nor repeat the level.
    _eject(ejections, clock)
    ejections.merge_advertised('peer', (HINT,))
    restarted = make_upstream('a', 0, born_ms=5)
    members = [restarted, *MEMBERS[1:]]
    ejections.keep_only([each.life for each in members])
    assert not ejections.ejected(members)
    assert ejections.to_advertise() == ()
    # A late answer of the previous incarnation.
    ejections.record_answer(BAD, members, clock.elapsed(), bad=True)
    assert not ejections.ejected(members)
    assert ejections.count == 0


def test_the_list_for_peers_is_bounded(ejections):
    # Hundreds of upstreams ask for backoffs at once.
    for number in range(300):
        ejections.record_backoff(make_upstream(str(number)), SECOND)
    assert len(ejections.to_advertise()) == 8


@pytest.mark.parametrize('hears_peers', [False, True])
@pytest.mark.parametrize('daemons', [1, 24])
def test_a_service_that_recovers_gets_its_requests_back(daemons, hears_peers):
    # All upstreams refuse for ten seconds, then one of them goes on.
    scene = RefusalScene(daemons, (1, 1, 1), hears_peers=hears_peers)
    replay = RefusalReplay(scene)
    replay.schedule(10 * SECOND, replay.change_shares, (1, 0, 0))
    counts = replay.run()
    assert counts.in_vain < 200
    late = sum(n for second, n in counts.by_second.items() if second >= 15)
    assert late < 60


@pytest.mark.parametrize('hears_peers', [False, True])
@pytest.mark.parametrize('daemons', [1, 24])
def test_an_upstream_that_recovers_gets_its_share_again(daemons, hears_peers):
    # Otherwise the other upstreams would have to carry its load.
    sent = Counter()
    for seed in range(4):
        scene = RefusalScene(daemons, (1, 0, 0), 1_600, seed=seed)
        scene = replace(scene, hears_peers=hears_peers)
        replay = RefusalReplay(scene)
        replay.schedule(10 * SECOND, replay.change_shares, (0, 0, 0))
        replay.schedule(60 * SECOND, replay.counts.sent.clear)
        sent += replay.run().sent
    assert sent[0] > 0.25 * sent.total()


def test_an_upstream_that_refuses_one_daemon_is_not_lost_to_the_others():
    # The fault is that daemon's, which renews its hint all the time.
    replay = RefusalReplay(RefusalScene(8, (0, 0, 0), hears_peers=True))
    replay.refused_daemon = replay.daemons[0]
    replay.schedule(20 * SECOND, replay.counts.sent.clear)
    sent = replay.run().sent
    assert sent[0] > 0.2 * sent.total()
