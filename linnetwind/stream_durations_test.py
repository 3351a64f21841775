"""Tests of the estimate of how long a stream takes."""

from datetime import timedelta

from linnetwind.call_types import TokenCounts
from linnetwind.stream_durations import StreamDurations, estimate_duration

SECOND = timedelta(seconds=1)


def test_there_is_no_estimate_before_a_stream_has_ended():
    runs = StreamDurations()
    assert runs.expected_duration('a', TokenCounts(10, 100)) is None
    runs.record_stream('a', TokenCounts(10, 100), SECOND)
    assert runs.expected_duration('b', TokenCounts(10, 100)) is None
    assert runs.expected_duration('a', None) is None


def test_the_slowest_recent_stream_decides_with_a_margin():
    runs = StreamDurations()
    runs.record_stream('a', TokenCounts(10, 100), 2 * SECOND)
    for _run in range(20):
        runs.record_stream('a', TokenCounts(10, 100), SECOND)
    assert runs.expected_duration('a', TokenCounts(10, 100)) > 2.5 * SECOND
    for _run in range(40):
        runs.record_stream('a', TokenCounts(10, 100), SECOND)
    assert runs.expected_duration('a', TokenCounts(10, 100)) < 2 * SECOND


def test_the_time_grows_linearly_with_the_tokens():
    token_times = (timedelta(milliseconds=10),)
    one, two, three = (
        estimate_duration(token_times, TokenCounts(10, 100 * times))
        for times in (1, 2, 3)
    )
    assert three - two == two - one
