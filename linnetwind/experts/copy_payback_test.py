"""Tests of the expected life of a gain."""

from datetime import timedelta

from linnetwind.experts.copy_payback import USUAL_LIFE, ShiftHistory

SECOND = timedelta(seconds=1)


def _shifting(interval, shifts=8):
    history = ShiftHistory().begin(SECOND)
    for number in range(1, shifts + 1):
        history = history.record_shift(SECOND + number * interval)
    return history, SECOND + shifts * interval


def test_a_planner_without_history_expects_the_usual_life():
    # The successor of a lost planner knows no shifts and must copy no more
    # than with the usual life.
    assert ShiftHistory().expected_life(9 * SECOND) == USUAL_LIFE
    begun = ShiftHistory().begin(9 * SECOND)
    assert begun.expected_life(10 * SECOND) == USUAL_LIFE


def test_frequent_shifts_shorten_the_life_and_their_end_extends_it():
    history, last = _shifting(1.5 * SECOND)
    assert history.expected_life(last) == SECOND
    assert history.expected_life(last + 4 * SECOND) > USUAL_LIFE


def test_a_shift_seen_twice_counts_once():
    history, last = _shifting(2 * SECOND)
    again = history.record_shift(last + SECOND / 5)
    assert again.interval == history.interval
