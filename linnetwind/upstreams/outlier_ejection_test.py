"""Tests of ejection with upstreams that refuse requests without a backoff."""

import random

import pytest

from linnetwind.upstreams.outlier_ejection import (
    MAX_EJECTION,
    NO_HEALTHS,
    Answer,
    begin_probe,
    ejected_upstreams,
    observe_answer,
)
from linnetwind.upstreams.upstream_choice import choose_plain
from standins.gateway_fixtures import SECOND
from standins.refusal_replay import PLAIN, RefusalReplay, RefusalScene

SEEDS = range(12)
LIVES = ('a', 'b', 'c')


def _refusals(daemons, seed):
    scene = RefusalScene(daemons, (0.9, 0, 0), seed=seed)
    counts = RefusalReplay(scene).run()
    assert counts.in_vain == 0
    return sum(counts.refusals.values())


@pytest.mark.parametrize('daemons', [1, 15])
def test_an_upstream_that_refuses_most_requests_gets_few(daemons):
    # Its quick refusals counted as short latencies, and 296 of 544 requests
    # were refused.
    assert max(_refusals(daemons, seed) for seed in SEEDS) < 60


def test_many_daemons_that_hear_no_peers_find_the_upstream_each():
    # Each of them sends less than a request a second.
    total = sum(_refusals(24, seed) for seed in SEEDS)
    assert total / len(SEEDS) < 60


def test_many_daemons_tell_each_other():
    # States are up to 300 ms old, and one in twenty is lost.
    scenes = [
        RefusalScene(24, (0.9, 0, 0), seed=seed, hears_peers=True)
        for seed in SEEDS
    ]
    counts = [RefusalReplay(scene).run() for scene in scenes]
    assert max(each.refusals.total() for each in counts) < 60


class _CheckedReplay(RefusalReplay):
    """Compares each choice with that of records without ejections."""

    def _send(self, daemon, tried):
        now = self.clock.elapsed()
        before = random.getstate()
        expected = choose_plain(
            daemon.candidates(PLAIN, tried),
            daemon.running,
            daemon.upstream_records.stats,
            now,
        )
        random.setstate(before)
        super()._send(daemon, tried)
        assert self.newest == expected


@pytest.mark.parametrize('refused', [0, 1])
@pytest.mark.parametrize('daemons', [1, 24])
def test_upstreams_that_are_alike_are_chosen_as_without_ejection(
    daemons, refused
):
    # An overloaded service must not lose the upstreams that still answer, and
    # one that is sound must not change.
    _CheckedReplay(RefusalScene(daemons, (refused,) * 3)).run()


@pytest.mark.parametrize('daemons', [1, 15, 24])
def test_an_overloaded_service_keeps_all_upstreams(daemons):
    scene = RefusalScene(daemons, (0.9, 0.9, 0.9), hears_peers=True)
    _CheckedReplay(scene).run()


def _answers(healths, life, now, *outcomes, lives=LIVES):
    for bad in outcomes:
        answer = Answer(now, bad)
        healths = observe_answer(healths, lives, life, answer, now)
    return healths


def _ejected_a(now):
    healths = _answers(NO_HEALTHS, 'b', now, *[False] * 9)
    return _answers(healths, 'a', now, True, True)


def test_ejections_grow_to_a_bound_and_successes_shorten_the_way_back():
    now = SECOND
    healths = _ejected_a(now)
    lengths = []
    for _probe in range(40):
        until = healths['a'].ejection.until
        lengths.append(until - now)
        now = until
        healths = _answers(begin_probe(healths, 'a', now), 'a', now, True)
    assert lengths[1] == 2 * lengths[0]
    assert max(lengths) == lengths[-1] == MAX_EJECTION
    successes = 0
    now = healths['a'].ejection.until
    while healths['a'].ejection:
        healths = _answers(begin_probe(healths, 'a', now), 'a', now, False)
        successes += 1
    assert successes == 3
    # The next ejection in a row is longer than the first.
    healths = _answers(healths, 'b', now, *[False] * 9)
    healths = _answers(healths, 'a', now, True, True)
    assert healths['a'].ejection.level > 1


def test_one_probe_is_sent_at_a_time_and_older_answers_change_nothing():
    # Ten requests run when an upstream is ejected. Their refusals must not
    # count as ten failed probes, nor a late success as its recovery.
    healths = _ejected_a(SECOND)
    until = healths['a'].ejection.until
    late = _answers(healths, 'a', SECOND, *[True] * 10, False)
    assert late['a'].ejection == healths['a'].ejection
    assert ejected_upstreams(late, LIVES, until - SECOND / 10) == {'a'}
    assert not ejected_upstreams(late, LIVES, until)
    probed = begin_probe(late, 'a', until)
    assert ejected_upstreams(probed, LIVES, until) == {'a'}
    stale = observe_answer(probed, LIVES, 'a', Answer(SECOND, True), until)
    assert stale['a'].ejection == probed['a'].ejection
    # A probe without an answer is followed by another one.
    assert not ejected_upstreams(probed, LIVES, until + MAX_EJECTION)


def test_at_most_half_of_the_upstreams_are_ejected():
    lives = ('a', 'b', 'c', 'd')
    healths = _answers(NO_HEALTHS, 'd', SECOND, *[False] * 200, lives=lives)
    for life in lives[:3]:
        healths = _answers(healths, life, SECOND, *[True] * 9, lives=lives)
    assert len(ejected_upstreams(healths, lives, SECOND)) == 2
    # Others have left since.
    assert len(ejected_upstreams(healths, ('a', 'b'), SECOND)) == 1
    assert not ejected_upstreams(healths, ('a',), SECOND)
