"""Tests of how long streams are expected to last."""

from datetime import timedelta

from linnetwind.call_types import TokenCounts
from linnetwind.run_times import RunTimes, longest_run

SECOND = timedelta(seconds=1)


def test_nothing_is_known_before_a_stream_has_ended():
    runs = RunTimes()
    assert runs.expect('a', TokenCounts(10, 100)) is None
    runs.note('a', TokenCounts(10, 100), SECOND)
    assert runs.expect('b', TokenCounts(10, 100)) is None
    assert runs.expect('a', None) is None


def test_the_slowest_of_the_last_decides_with_a_margin():
    runs = RunTimes()
    runs.note('a', TokenCounts(10, 100), 2 * SECOND)
    for _run in range(20):
        runs.note('a', TokenCounts(10, 100), SECOND)
    assert runs.expect('a', TokenCounts(10, 100)) > 2.5 * SECOND
    for _run in range(40):
        runs.note('a', TokenCounts(10, 100), SECOND)
    assert runs.expect('a', TokenCounts(10, 100)) < 2 * SECOND


def test_twice_the_tokens_take_twice_the_time():
    paces = (timedelta(milliseconds=10),)
    one, two, three = (
        longest_run(paces, TokenCounts(10, 100 * times)) for times in (1, 2, 3)
    )
    assert three - two == two - one
