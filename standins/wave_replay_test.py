"""Tests of the limit of a rank group under a wave, by replay."""

from standins.wave_group import Wave
from standins.wave_replay import Replay


def _in_time(replay):
    counts = replay.run().counts
    return sum(
        count for (_, outcome), count in counts.items() if outcome == 'in time'
    )


def test_the_forecast_serves_more_of_a_wave_in_time():
    # With the pauses alone, most streams at a crest were late: the limit was
    # too low in the trough, and too high when the experts in demand changed.
    wave = Wave(length_ms=13_000)
    forecast = _in_time(Replay(wave, 'forecast'))
    assert forecast > _in_time(Replay(wave, 'pauses'))


def test_the_forecast_does_not_reduce_a_steady_load():
    steady = Wave(per_s=88, swing=0, length_ms=8_000)
    replay = Replay(steady, 'forecast').run()
    assert replay.worth > 0.99


def test_daemons_together_hardly_pass_the_limit_at_a_steep_ramp():
    # Each daemon rounds its share of the free permits at random, with states
    # of the others that are up to 300 ms old. More than one permit a daemon
    # beyond the limit would mean that they use the same free permits.
    wave = Wave(per_s=200, swing=0.95, period_ms=8_000, length_ms=5_000)
    replay = Replay(wave, 'forecast', seed=3).run()
    assert replay.overshoot <= wave.daemons
