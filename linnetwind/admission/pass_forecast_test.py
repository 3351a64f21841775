"""Tests of the forecast of passes and of its limit."""

from datetime import timedelta

import pytest

from linnetwind.admission.pass_forecast import (
    GroupShape,
    PassCorrection,
    SkewHistory,
    combine_corrections,
    correct_by_pauses,
    forecast,
    modelled_part,
)
from linnetwind.admission.pass_time_estimator import Pause
from standins.gateway_fixtures import MS, SECOND, make_engine

ENGINE = make_engine()
FIXED_MS = ENGINE.steps_per_pass * ENGINE.step_ms
READING_MS = ENGINE.chunk * ENGINE.steps_per_pass / ENGINE.tokens_per_ms
RANKS = 16
SHAPE = GroupShape(RANKS, RANKS * ENGINE.slots, skew=1.4)
GAP = 120 * MS


def _near(number):
    """Allow for the microseconds to which pauses are rounded."""
    return pytest.approx(number, abs=1e-3)


def _pauses(running, reading_ms=0.0, factor=1.0, pace=1.0):
    part_ms = modelled_part(ENGINE, RANKS, 1.4) * factor
    length = (FIXED_MS + reading_ms) * pace + part_ms * running
    return [Pause(SECOND, length * MS, running, 1.4, pace)] * 20


@pytest.mark.parametrize('running', [16, 40, 80])
def test_reading_is_not_attributed_to_the_streams(running):
    # In a trough most of a pass is the reading of prompts. When all of it was
    # attributed to the few streams, callers were rejected in a rising wave.
    found = correct_by_pauses(ENGINE, RANKS, _pauses(running, reading_ms=30))
    assert (found.reading_ms, found.factor) == (_near(30), 1)
    quiet = correct_by_pauses(ENGINE, RANKS, _pauses(running))
    assert quiet.reading_ms == _near(0)


def test_what_no_reading_explains_is_attributed_to_the_streams():
    pauses = _pauses(60, reading_ms=READING_MS, factor=1.5)
    found = correct_by_pauses(ENGINE, RANKS, pauses)
    assert found.factor == _near(1.5)
    assert found.reading_ms == _near(READING_MS)


def test_a_skew_that_is_reported_too_high_is_corrected():
    found = correct_by_pauses(ENGINE, RANKS, _pauses(60, factor=0.85))
    assert found.factor == _near(0.85)
    # Nothing is faster than an even group.
    found = correct_by_pauses(ENGINE, RANKS, _pauses(60, factor=0.1))
    even = modelled_part(ENGINE, RANKS, 1) / modelled_part(ENGINE, RANKS, 1.4)
    assert found.factor == _near(even)


def test_one_stall_of_an_idle_group_does_not_close_it():
    found = correct_by_pauses(ENGINE, RANKS, [Pause(SECOND, SECOND, 1, 1.4)])
    assert forecast(ENGINE, SHAPE, GAP, found).limit > RANKS


def test_a_slow_rank_is_not_attributed_to_the_streams():
    found = correct_by_pauses(ENGINE, RANKS, _pauses(60, 10, pace=5.0))
    assert (found.reading_ms, found.factor) == (_near(10), 1)


def test_pauses_without_a_map_do_not_correct():
    assert correct_by_pauses(ENGINE, RANKS, [Pause(SECOND, SECOND, 9)]) is None
    assert combine_corrections([]) is None


def test_one_slow_daemon_does_not_change_the_limit_of_all():
    usual = PassCorrection(20, 1.1, 50)
    slow = PassCorrection(33, 9, 40)
    combined = combine_corrections([slow, usual, usual])
    assert (combined.reading_ms, combined.factor) == (20, 1.1)


def test_a_pass_at_the_limit_is_in_time():
    for skew in (1.2, 2, 3.5):
        shape = GroupShape(RANKS, 1_000, skew)
        found = forecast(ENGINE, shape, GAP, PassCorrection(30, 1.2, 9))
        assert 100 < found.pass_ms(found.limit) < 120
    assert forecast(ENGINE, SHAPE, GAP, PassCorrection(0, 1, 9)).limit == 96
    assert forecast(ENGINE, SHAPE, 10 * MS, PassCorrection(30, 1, 9)).limit == 1


def _shifts(interval, number):
    """Return a history after some changes of the experts in demand."""
    history = SkewHistory().add(timedelta(), 1.4, 1)
    for shift in range(1, 1 + number):
        history = history.add(interval * shift, 2.6, 1)
        history = history.add(interval * shift + SECOND / 2, 1.4, 1)
    return history


def test_regular_changes_of_the_experts_are_expected():
    often = _shifts(3 * SECOND, 3)
    assert often.expected(10 * SECOND) == 2.6
    # The changes have stopped.
    assert often.expected(16 * SECOND) == 1.4
    # The streams admitted now end before the next change.
    assert _shifts(20 * SECOND, 2).expected(45 * SECOND) == 1.4


def test_a_single_change_does_not_reduce_the_limit_afterwards():
    once = _shifts(3 * SECOND, 1)
    assert once.expected(4 * SECOND) == 1.4
    assert once.add(5 * SECOND, 1.5, 1).expected(5 * SECOND) == 1.5


def test_the_skew_of_a_slow_rank_is_not_expected_again():
    history = _shifts(3 * SECOND, 3).add(10 * SECOND, 4.0, 5)
    assert history.add(12 * SECOND, 1.4, 1).expected(12 * SECOND) == 1.4
