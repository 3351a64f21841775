"""Tests of the detection of a wave of arrivals."""

import math
import random

import pytest

from linnetwind.admission.arrival_wave import ArrivalWave
from standins.gateway_fixtures import MS


def _observe(rate, seconds, seed=1):
    """Return the wave with random arrivals, and each prediction of a fall."""
    chance = random.Random(seed)
    wave, falls = ArrivalWave(), []
    for at in range(0, seconds * 1_000, 100):
        per_s = chance.gauss(rate(at / 1_000), math.sqrt(rate(at / 1_000)))
        wave = wave.add(at * MS, per_s)
        left = wave.falls_in(at * MS)
        if left is not None:
            falls.append((at + left / MS) / 1_000)
    return wave, falls


@pytest.mark.parametrize('period', [7, 13, 20])
def test_the_fall_of_a_regular_wave_is_predicted(period):
    _wave, falls = _observe(
        lambda at: 130 * (1 - 0.55 * math.cos(math.tau * at / period)), 80
    )
    assert falls
    # Arrivals are below the mean in the last quarter of a period.
    assert all(0.75 < (fall / period) % 1 < 1 for fall in falls)


def test_a_steady_load_is_no_wave():
    assert _observe(lambda at: 130, 120)[1] == []


def test_bursts_at_irregular_times_are_no_wave():
    bursts = (10, 17, 38, 50, 80)

    def rate(at):
        return 300 if any(0 < at - burst < 4 for burst in bursts) else 100

    assert _observe(rate, 100)[1] == []
