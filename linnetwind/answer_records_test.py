"""Tests of which outcomes count against an upstream."""

from dataclasses import replace

import pytest

from linnetwind.answer_records import AttemptOutcome, record_outcome
from linnetwind.routes import RoutedService
from standins.gateway_fixtures import SECOND, make_engine
from standins.refusal_replay import (
    PLAIN,
    REFUSAL,
    RefusalReplay,
    RefusalScene,
)

MODEL = RoutedService('plain', '/health', 248, make_engine())


def _record(outcome, service=PLAIN):
    """Return a daemon after four answers of two upstreams and an outcome."""
    replay = RefusalReplay(RefusalScene(1, (0, 0, 0)))
    state, clock = replay.daemons[0], replay.clock
    bad, *others = replay.upstreams
    sound = AttemptOutcome(clock.elapsed(), failed=False)
    for each in others * 2:
        record_outcome(state, clock, service, each, sound)
    record_outcome(state, clock, service, bad, outcome)
    ejected = state.request_history.ejections.ejected(replay.upstreams)
    return ejected, state.upstream_records.stats.get(bad.life)


@pytest.mark.parametrize(
    'outcome',
    [
        AttemptOutcome(0 * SECOND, failed=True),
        AttemptOutcome(0 * SECOND, failed=False, refusal=REFUSAL),
    ],
)
def test_refusals_count_like_failures_and_not_as_latency(outcome):
    ejected, stats = _record(outcome)
    assert ejected == {'0'}
    assert stats.failures
    assert stats.latency is None
    # Ranks are not ejected: a group needs all of them.
    assert not _record(outcome, MODEL)[0]


@pytest.mark.parametrize(
    'stated',
    [{'backoff': SECOND}, {'max_per_s': 5}, {'misdirected': True}],
)
def test_an_upstream_that_says_what_it_accepts_is_not_ejected(stated):
    # It must still get what it allows, and after a restart its successor must
    # not suffer for the 421 responses to its requests.
    refusal = replace(REFUSAL, **stated)
    outcome = AttemptOutcome(0 * SECOND, failed=False, refusal=refusal)
    assert not _record(outcome)[0]


def test_a_caller_that_left_says_nothing_of_the_upstream():
    # Counted as an answer, it would end an ejection.
    outcome = AttemptOutcome(0 * SECOND, failed=True, abandoned=True)
    assert not _record(outcome)[0]
