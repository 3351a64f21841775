"""Divides the free permits of a rank group among the daemons.

Many daemons see the same few permits become free, each with states of the
others that are some tenths of a second old. If each daemon used all permits
that it sees, the group would run as many streams too many as there are
daemons, again and again. A daemon may therefore only replace those of its own
streams that have ended, and use a share of the free permits in proportion to
its part of the demand. The share is computed once for each interval at which
the peers send their states.

Where streams have several priorities, the permits are divided by class first.
Otherwise a daemon with many batch streams would take the permits that urgent
streams of another daemon wait for.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from math import floor

from linnetwind.admission.urgency import allocate_room, demand_of


@dataclass(frozen=True, slots=True)
class Demand:
    """The streams of one service that ask a daemon for permits."""

    waiting: int
    arrivals_per_s: float


_NO_DEMAND = Demand(0, 0)


@dataclass(frozen=True, slots=True)
class Allowance:
    """How many streams a daemon may run in a group.

    `at` is the monotonic time at which this was computed. `by_class` holds the
    number up to which streams of each priority may start; it is empty while
    all streams have the same priority.
    """

    at: timedelta
    max_streams: int
    by_class: tuple[tuple[int, int], ...] = ()

    def max_of(self, priority: int | None) -> int:
        """Return up to how many streams one of a priority may start.

        Args:
          priority: The priority, None for the most urgent.

        Returns:
          The number of this daemon's streams in the group.
        """
        return dict(self.by_class).get(priority, self.max_streams)


ClassDemands = Mapping[int, Demand]


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


def compute_class_allowance(
    now: timedelta,
    running: int,
    free: float,
    own: ClassDemands,
    others: ClassDemands,
    rounding: float,
    portion: float = 1,
) -> Allowance:
    """Return how many streams of each priority a daemon may run.

    A stream may use the room of its own class and of less urgent ones. If more
    urgent streams of any daemon need more permits than are free, a class gives
    up some of the permits that its streams release.

    Args:
      now: The monotonic time.
      running: The streams that run at this daemon.
      free: The free permits of the group, below 0 if it runs too many streams.
      own: This daemon's demand by priority.
      others: The demand of all other daemons by priority.
      rounding: A random number from 0 to 1, see `compute_allowance`.
      portion: The part of the demand that this group should serve.

    Returns:
      The allowance.
    """
    priorities = sorted({*own, *others})
    needs = {
        priority: _need(own, priority) + _need(others, priority)
        for priority in priorities
    }
    rooms = allocate_room(
        free, {priority: portion * need for priority, need in needs.items()}
    )
    by_class = []
    usable = float(0)
    for priority in reversed(priorities):
        needed = needs[priority]
        part = _need(own, priority) / needed if needed else 0
        room = rooms[priority] * part
        usable += max(0, room)
        permits = floor(usable + min(0, room) + rounding)
        by_class.append((priority, max(0, running + permits)))
    return Allowance(now, by_class[-1][1], tuple(reversed(by_class)))


def _need(demands: ClassDemands, priority: int) -> float:
    demand = demands.get(priority, _NO_DEMAND)
    return demand_of(demand.waiting, demand.arrivals_per_s)


def _weight(demand: Demand, window: timedelta) -> float:
    return demand.waiting + demand.arrivals_per_s * window.total_seconds()
