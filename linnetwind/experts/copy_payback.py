"""Estimate for how long a copied expert pays off.

Handles demand whose popular experts shift every few seconds: a copy made for
demand that is gone soon after the switch never pays off. The expected life of
a plan's gain is derived from the observed time between shifts. Where it is
short, the gain of each copy is counted over this life only; where it is long,
a smaller gain is worth a plan (`target_map`).
"""

from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Self

# The life to expect before a second shift is seen.
_USUAL_LIFE_S = 2.0
USUAL_LIFE = timedelta(seconds=_USUAL_LIFE_S)
# A longer life makes plans copy more under steady demand at the same skew: with
# 8 s, 72 ranks copied 331 GB in 34 s at 1.237, with 4 s 279 GB at 1.240.
_MAX_LIFE_S = 4.0
_MAX_LIFE = timedelta(seconds=_MAX_LIFE_S)
# Even after frequent shifts a gain counts for this long: part of the demand is
# common to all times, and the copies for it stay.
_MIN_LIFE_S = 0.5
_MIN_LIFE = timedelta(seconds=_MIN_LIFE_S)
# The time from a plan until its map is in use, in which it gains nothing.
_ROLLOUT_S = 0.5
_ROLLOUT = timedelta(seconds=_ROLLOUT_S)
# Two shifts within this time are one: a shift is seen while the steady demand
# still holds counts from before it, and may then be seen again.
_MIN_INTERVAL_S = 0.8
_MIN_INTERVAL = timedelta(seconds=_MIN_INTERVAL_S)
# The weight of the newest interval in the mean interval.
_NEWEST_WEIGHT = 0.3


@dataclass(frozen=True, slots=True)
class ShiftHistory:
    """The observed shifts of demand.

    `began_at` is the monotonic time of the first counts, `shifted_at` that of
    the last shift, and `interval` the mean time between shifts; each is None
    until it is known.
    """

    began_at: timedelta | None = None
    shifted_at: timedelta | None = None
    interval: timedelta | None = None

    def begin(self, now: timedelta) -> Self:
        """Return the history with the time of the first counts.

        Args:
          now: The monotonic time of counts.

        Returns:
          The history; unchanged if it has begun before.
        """
        return self if self.began_at else replace(self, began_at=now)

    def record_shift(self, now: timedelta) -> Self:
        """Return the history with a shift.

        Args:
          now: The monotonic time of the shift.

        Returns:
          The new history.
        """
        if self.shifted_at is None:
            return replace(self, shifted_at=now)
        newest = now - self.shifted_at
        if newest < _MIN_INTERVAL:
            return self
        mean = self.interval or newest
        mean += (newest - mean) * _NEWEST_WEIGHT
        return replace(self, shifted_at=now, interval=mean)

    def expected_life(self, now: timedelta) -> timedelta:
        """Return for how long the gain of a plan made now is expected to last.

        Args:
          now: The monotonic time.

        Returns:
          The expected life, counted from the switch to the plan's map.
        """
        interval = self.interval or USUAL_LIFE + _ROLLOUT
        # Shifts that are overdue have become rarer.
        since = now - (self.shifted_at or self.began_at or now)
        life = max(interval, since) - _ROLLOUT
        return max(_MIN_LIFE, min(_MAX_LIFE, life))
