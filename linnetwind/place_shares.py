"""Which part of a group's free places a daemon may fill.

The load that this answers: many daemons see the same few places become free,
each with news of the others that is some tenths of a second old. If each
fills what it sees, the group runs as many streams too many as there are
daemons, again and again. A daemon may therefore only replace its own streams
that have ended, and take its part of what is free by the demand that each
daemon has; the part is worked out once for each state that the others send.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from math import floor


@dataclass(frozen=True, slots=True)
class Demand:
    """The streams of one service that ask for places at a daemon."""

    waiting: int
    arrivals_per_s: float


@dataclass(frozen=True, slots=True)
class Allowance:
    """How many streams a daemon may run, worked out at a monotonic time."""

    at: timedelta
    most: int


def own_share(
    own: Demand, others: Sequence[Demand], window: timedelta
) -> float:
    """Return this daemon's part of the places that become free.

    Args:
      own: This daemon's demand.
      others: The demand of each other daemon.
      window: For how long the part is used.

    Returns:
      A share from 0 to 1; even if nobody has any demand.
    """
    weight = _weight(own, window)
    total = weight + sum(_weight(each, window) for each in others)
    return weight / total if total else 1 / (1 + len(others))


def allow(
    now: timedelta, running: int, free: int, share: float, rounding: float
) -> Allowance:
    """Return how many streams a daemon may run until it hears more.

    Args:
      now: The monotonic time.
      running: The streams that run at this daemon.
      free: The places free in the group; below 0 if too many are taken.
      share: This daemon's part of them.
      rounding: A random number from 0 to 1, so that parts of a place are
        taken by as many daemons as there are places.

    Returns:
      The allowance.
    """
    return Allowance(now, max(0, running + floor(free * share + rounding)))


def _weight(demand: Demand, window: timedelta) -> float:
    return demand.waiting + demand.arrivals_per_s * window.total_seconds()
