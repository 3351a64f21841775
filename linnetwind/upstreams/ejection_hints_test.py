"""Tests of hints from peers whose own requests an upstream refuses."""

import pytest

from linnetwind.upstream_incarnation import tag_incarnation
from linnetwind.upstreams.ejected_upstreams import RETURN_NEWS, EjectedUpstreams
from linnetwind.upstreams.ejection_hints import (
    NO_HINTS,
    AdvertisedEjection,
    hinted_upstreams,
    limit_to_half,
    merge_hints,
    observe_hinted,
    probe_hinted,
)
from linnetwind.upstreams.outlier_ejection import Answer
from standins.gateway_fixtures import MS, SECOND, make_upstream
from standins.refusal_replay import PLAIN, RefusalReplay, RefusalScene

LIVES = ('a', 'b', 'c')
HINT = AdvertisedEjection(tag_incarnation('a'), 4_000, 90)
RETURNED = AdvertisedEjection(tag_incarnation('a'), 0)


def _hints(now, *sources, spread=0):
    hints = NO_HINTS
    for source in sources:
        hints = merge_hints(hints, source, (HINT,), now, spread)
    return hints


def _hinted(hints, now):
    return hinted_upstreams(hints, LIVES, now)


@pytest.mark.parametrize('spread', [0, 0.4])
def test_each_daemon_probes_once_at_its_own_time(spread):
    # Peers renew the hint all the time, because the upstream refuses only
    # their requests. The upstream must not be lost to this daemon.
    hints = _hints(SECOND, 'peer', spread=spread)
    probe_at = SECOND + 4 * SECOND * (0.5 + spread)
    hints = merge_hints(hints, 'peer', (HINT,), 3 * SECOND, spread)
    assert _hinted(hints, probe_at - MS) == {'a'}
    assert not _hinted(hints, probe_at)
    hints = probe_hinted(hints, 'a', probe_at)
    assert _hinted(hints, probe_at) == {'a'}
    answered = probe_at + 50 * MS
    sound = observe_hinted(hints, 'a', Answer(probe_at, bad=False), answered)
    sound = merge_hints(sound, 'peer', (HINT,), answered, spread)
    assert not _hinted(sound, answered)
    bad = observe_hinted(hints, 'a', Answer(probe_at, bad=True), answered)
    bad = merge_hints(bad, 'other', (HINT,), answered + 3 * SECOND, spread)
    assert _hinted(bad, answered + 6 * SECOND) == {'a'}


def test_answers_to_requests_before_the_hint_do_not_refute_it():
    hints = _hints(SECOND, 'peer')
    stale = Answer(SECOND - MS, bad=False)
    assert observe_hinted(hints, 'a', stale, SECOND + MS) == hints


def test_a_hint_ends_when_all_its_sources_say_so_or_fall_silent():
    hints = _hints(SECOND, 'one', 'two')
    one_left = merge_hints(hints, 'one', (RETURNED,), SECOND, 0)
    assert _hinted(one_left, SECOND) == {'a'}
    assert not merge_hints(one_left, 'two', (RETURNED,), SECOND, 0)
    assert not _hinted(hints, 5 * SECOND)
    assert not merge_hints(hints, 'three', (), 5 * SECOND, 0)


def test_hints_on_most_upstreams_of_a_service_are_ignored():
    # The whole service asks daemons to back off. Avoiding a part of it would
    # overload the rest.
    own, hinted = frozenset('a'), frozenset('bc')
    assert limit_to_half(own, hinted, LIVES) == own
    assert limit_to_half(own, own, LIVES) == own
    assert limit_to_half(own, hinted, 'abcdef') == frozenset('abc')


def _daemon_with(change):
    replay = RefusalReplay(RefusalScene(1, (0, 0, 0)))
    change(replay.daemons[0].request_history.ejections, replay.upstreams)
    return replay


def test_a_hint_moves_requests_and_binds_nobody():
    bad = make_upstream('0', 1)
    hint = AdvertisedEjection(tag_incarnation(bad.life), 3_000)
    replay = _daemon_with(
        lambda ejections, _upstreams: ejections.merge_advertised('p', (hint,))
    )
    state = replay.daemons[0]
    chosen = [state.acquire_upstream(PLAIN, frozenset()) for _call in range(9)]
    assert bad not in chosen
    # The only one left for a retry.
    assert state.acquire_upstream(PLAIN, frozenset(('1', '2'))) == bad


def test_ejections_backoffs_and_returns_are_told_once_for_a_change():
    clock = RefusalReplay(RefusalScene(1, (0,))).clock
    members = [make_upstream(name, port) for port, name in enumerate('abc')]
    ejections = EjectedUpstreams(clock)
    for each in members[1:] * 3:
        ejections.record_answer(each, members, clock.elapsed(), bad=False)
    assert not ejections.take_news()
    assert ejections.to_advertise() == ()
    ejections.record_answer(members[0], members, clock.elapsed(), bad=True)
    ejections.record_backoff(members[1], SECOND)
    assert (ejections.take_news(), ejections.take_news()) == (True, False)
    told = ejections.to_advertise()
    assert [each.percent for each in told] == [50, 0]
    assert told[1].left_ms == 1_000
    clock.advance(30 * SECOND)
    ejections.count_sent(members[0])
    # While the probe runs the upstream is still avoided.
    assert len(ejections.to_advertise()) == 1
    ejections.record_answer(members[0], members, clock.elapsed(), bad=False)
    assert ejections.take_news()
    assert [each.left_ms for each in ejections.to_advertise()] == [0]
    clock.advance(RETURN_NEWS)
    assert ejections.to_advertise() == ()
