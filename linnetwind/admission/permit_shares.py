"""Divides the free permits of a rank group among the daemons.

Many daemons see the same few permits become free, each with states of the
others that are some tenths of a second old. If each daemon used all permits
that it sees, the group would run as many streams too many as there are
daemons, again and again. A daemon may therefore only replace those of its own
streams that have ended, and use a share of the free permits in proportion to
its part of the demand. The share is computed once for each interval at which
the peers send their states.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from math import floor


@dataclass(frozen=True, slots=True)
class Demand:
    """The streams of one service that ask a daemon for permits."""

    waiting: int
    arrivals_per_s: float


@dataclass(frozen=True, slots=True)
class Allowance:
    """How many streams a daemon may run in a group.

    `at` is the monotonic time at which this was computed.
    """

    at: timedelta
    max_streams: int


def own_share(
    own: Demand, others: Sequence[Demand], window: timedelta
) -> float:
    """Return this daemon's share of the permits that become free.

    Args:
      own: This daemon's demand.
      others: The demand of each other daemon.
      window: How long the share is used.

    Returns:
      A share from 0 to 1; an equal share if no daemon has any demand.
    """
    weight = _weight(own, window)
    total = weight + sum(_weight(each, window) for each in others)
    return weight / total if total else 1 / (1 + len(others))


def compute_allowance(
    now: timedelta, running: int, free: int, share: float, rounding: float
) -> Allowance:
    """Return how many streams a daemon may run until the next states arrive.

    Args:
      now: The monotonic time.
      running: The streams that run at this daemon.
      free: The free permits of the group, below 0 if it runs too many streams.
      share: This daemon's share of the free permits.
      rounding: A random number from 0 to 1. It rounds fractions of a permit so
        that about as many daemons use one as there are permits.

    Returns:
      The allowance.
    """
    return Allowance(now, max(0, running + floor(free * share + rounding)))


def _weight(demand: Demand, window: timedelta) -> float:
    return demand.waiting + demand.arrivals_per_s * window.total_seconds()
