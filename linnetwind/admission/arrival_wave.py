"""Detects a regular wave of arrivals and says when it falls next.

Handles load that rises and falls every few seconds. Callers that are rejected
near the end of a crest find room if they retry after the fall; before it they
take the permits of newcomers, or are rejected for good.
"""

import math
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Self

# How often the arrivals are sampled, and the times over which their present
# rate and their mean are averaged.
_SAMPLE_MS = 250
_SAMPLE = timedelta(milliseconds=_SAMPLE_MS)
_PRESENT_S = 0.6
_MEAN_S = 20
# The fraction of the mean by which arrivals pass it at a rise or fall; random
# arrivals at a steady load vary less.
_HYSTERESIS = 0.15
# The falls that show a wave, and the fraction by which its periods may differ.
_FALLS = 3
_MAX_DIFFERENCE = 0.25


@dataclass(frozen=True, slots=True)
class ArrivalWave:
    """The arrivals of a service over all daemons.

    `present` and `mean` are averages per second as of `at`. `falls` are the
    monotonic times of the last falls below the mean.
    """

    at: timedelta | None = None
    present: float = 0
    mean: float = 0
    is_high: bool = False
    falls: tuple[timedelta, ...] = ()

    def add(self, now: timedelta, per_s: float) -> Self:
        """Return the wave after an observation of the arrivals.

        Args:
          now: The monotonic time.
          per_s: The arrivals per second over all daemons.

        Returns:
          The wave; unchanged if the last sample is recent.
        """
        if self.at is None:
            return replace(self, at=now, present=per_s, mean=per_s)
        passed = now - self.at
        if passed < _SAMPLE:
            return self
        present = _approach(self.present, per_s, passed, _PRESENT_S)
        mean = _approach(self.mean, per_s, passed, _MEAN_S)
        newer = replace(self, at=now, present=present, mean=mean)
        if present > mean * (1 + _HYSTERESIS):
            return replace(newer, is_high=True)
        if self.is_high and present < mean * (1 - _HYSTERESIS):
            falls = (*self.falls, now)[-_FALLS:]
            return replace(newer, is_high=False, falls=falls)
        return newer

    def falls_in(self, now: timedelta) -> timedelta | None:
        """Return the time until the arrivals should fall.

        Args:
          now: The monotonic time.

        Returns:
          The time; None in a trough, and without a regular wave.
        """
        if not self.is_high or len(self.falls) < _FALLS:
            return None
        first, second, last = self.falls
        period = last - second
        if abs(period - (second - first)) > period * _MAX_DIFFERENCE:
            return None
        left = last + period - now
        return left if left > timedelta() else None


def _approach(
    average: float, value: float, passed: timedelta, over_s: float
) -> float:
    """Return an exponential average after some time at a value."""
    weight = 1 - math.exp(-passed.total_seconds() / over_s)
    return average + weight * (value - average)
