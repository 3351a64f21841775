"""Orders streams by their class: the priority of their customer and route.

Handles an overload in which urgent streams and batch streams ask for the same
permits. Without classes a burst of batch streams takes the permits that urgent
streams need, and the urgent ones, whose targets are shorter, are rejected.
Priority 0 is the most urgent.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from math import exp, sqrt
from typing import Self

from linnetwind.admission.caller_patience import longest_silence

# A class is not served less than this fraction as often as all streams.
FLOOR = 0.25
# How long it takes until a permit becomes free: about one pass of a group.
_RELEASE_MS = 100
_RELEASE_TIME = timedelta(milliseconds=_RELEASE_MS)
# Ends of streams are counted events: their number in a period exceeds its mean
# by more than two standard deviations in one case of forty.
_DEVIATIONS = 2
# The fraction of its time limit after which a caller's response has lost all
# worth.
_PATIENCE_LIMIT = 0.75
# The time constant with which streams that asked or were served are forgotten.
_TALLY_TIME = timedelta(seconds=4)


@dataclass(frozen=True, slots=True)
class ClassRate:
    """The streams of one class that arrive at a daemon.

    `newcomers_per_s` are the arrivals that are no retries of rejected callers.
    """

    priority: int
    arrivals_per_s: float
    newcomers_per_s: float


def caller_patience(
    target: timedelta, gap: timedelta, time_limit: timedelta | None
) -> timedelta:
    """Return how long a caller waits for the first event of a stream.

    Args:
      target: The latency up to which a first event is on time.
      gap: The longest pause between events that is in time.
      time_limit: How long the caller waits for the whole response, None if
        this is not known.

    Returns:
      The time since the request arrived.
    """
    patience = longest_silence(target, gap)
    if time_limit is None:
        return patience
    return min(patience, _PATIENCE_LIMIT * time_limit)


def room_per_s(
    rates: Sequence[ClassRate],
    ends_per_s: float,
    priority: int,
    *,
    returning: bool,
) -> float:
    """Return how many permits per second are left to a class.

    Args:
      rates: The streams that arrive, by class.
      ends_per_s: The permits that become free per second.
      priority: The priority of the class.
      returning: Whether the permits are for retries, which come after the
        newcomers of their class.

    Returns:
      The permits that streams with precedence do not take, but at least the
      floor of the class.
    """
    # The stream that asks counts, although the last second may have had none.
    own = 1 + sum(
        each.arrivals_per_s for each in rates if each.priority == priority
    )
    total = 1 + sum(each.arrivals_per_s for each in rates)
    floor = FLOOR * ends_per_s * own / total
    ahead_per_s = precedence_per_s(rates, priority, returning=returning)
    return max(ends_per_s - ahead_per_s, floor)


def precedence_per_s(
    rates: Sequence[ClassRate], priority: int, *, returning: bool
) -> float:
    """Return the arrivals per second that take precedence over a stream.

    Args:
      rates: The streams that arrive, by class.
      priority: The priority of the stream's class.
      returning: Whether the stream is a retry, which comes after the newcomers
        of its class.

    Returns:
      The arrivals of all more urgent classes, and those newcomers.
    """
    urgent = sum(
        each.arrivals_per_s for each in rates if each.priority < priority
    )
    if not returning:
        return urgent
    return urgent + sum(
        each.newcomers_per_s for each in rates if each.priority == priority
    )


def precedes_others(rates: Sequence[ClassRate], priority: int) -> bool:
    """Return whether less urgent streams than those of a class arrive.

    Args:
      rates: The streams that arrive, by class.
      priority: The priority of the class.

    Returns:
      Whether a class of `rates` is less urgent and has arrivals.
    """
    return any(
        each.priority > priority and each.arrivals_per_s for each in rates
    )


def reserve_for_urgent(
    rates: Sequence[ClassRate], ends_per_s: float, priority: int
) -> int:
    """Return the permits that a class leaves free for more urgent arrivals.

    Args:
      rates: The streams that arrive, by class.
      ends_per_s: The permits that become free per second.
      priority: The priority of the class.

    Returns:
      The permits that more urgent streams need before one becomes free.
    """
    urgent = precedence_per_s(rates, priority, returning=False)
    lacking = urgent - ends_per_s
    return max(0, int(lacking * _RELEASE_TIME.total_seconds()))


def can_be_served(missing: int, room: float, wait: timedelta) -> bool:
    """Return whether enough permits can become free within a wait.

    Args:
      missing: The number of permits that a stream has to wait for.
      room: The permits per second that are left to its class.
      wait: How long the stream may wait.

    Returns:
      Whether the number is within the usual variation of what becomes free.
    """
    expected = max(0, room * wait.total_seconds())
    return expected + _DEVIATIONS * sqrt(expected) >= missing


@dataclass(frozen=True, slots=True)
class ClassTally:
    """The newcomers of a class that asked lately, and its served streams.

    Both are weighted by their age as of the monotonic time `at`.
    """

    asked: float
    served: float
    at: timedelta

    def aged(self, now: timedelta) -> Self:
        """Return the tally as of a later monotonic time."""
        kept = exp(-((now - self.at) / _TALLY_TIME))
        return ClassTally(self.asked * kept, self.served * kept, now)


def starved_classes(
    tallies: Mapping[int, ClassTally], now: timedelta
) -> frozenset[int]:
    """Return the classes that are served less often than their floor.

    Args:
      tallies: The tally of each class, by priority.
      now: The monotonic time.

    Returns:
      The priorities of the classes that lack one stream or more.
    """
    aged = {key: tally.aged(now) for key, tally in tallies.items()}
    asked = sum(each.asked for each in aged.values())
    served = sum(each.served for each in aged.values())
    if not asked:
        return frozenset()
    # Retries are served but not counted as asking again.
    ratio = FLOOR * min(1, served / asked)
    return frozenset(
        priority
        for priority, each in aged.items()
        if each.asked * ratio - each.served >= 1
    )


def allocate_room(
    free: float, demands: Mapping[int, float]
) -> dict[int, float]:
    """Divide the free permits of a group among the classes.

    Args:
      free: The free permits, below 0 if the group runs too many streams.
      demands: The permits that each class needs, by priority.

    Returns:
      The room of each class. It is below 0 for a class whose streams may not
      replace as many of those that end, because more urgent streams need the
      permits. If there are more permits than needed, the rest is divided by
      demand.
    """
    total = sum(demands.values()) or 1
    floor = FLOOR * min(1, max(0, free) / total)
    floors = {key: floor * demand for key, demand in demands.items()}
    left = free - sum(floors.values())
    rooms = {}
    # The part of its demand that the class before was given.
    part = float(1)
    for priority in sorted(demands):
        demand = demands[priority]
        lacking = max(0, demand - floors[priority])
        room = min(floors[priority] + min(left, lacking), part * demand)
        rooms[priority] = room
        part = max(0, room) / demand if demand else part
        left -= lacking
    spare = max(0, left)
    # Dividing the spare permits by a demand near zero would overflow.
    return {
        key: room + spare * (demands[key] / total)
        for key, room in rooms.items()
    }


def demand_of(waiting: int, arrivals_per_s: float) -> float:
    """Return the permits that a class needs until others become free.

    Args:
      waiting: The streams that wait for a permit.
      arrivals_per_s: The streams that arrive per second.

    Returns:
      The number of permits.
    """
    return waiting + arrivals_per_s * _RELEASE_TIME.total_seconds()
