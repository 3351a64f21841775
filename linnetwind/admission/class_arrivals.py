"""The arrivals and the demand of streams by priority, of one service."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.admission.group_capacity import rate
from linnetwind.admission.permit_shares import Demand
from linnetwind.admission.urgency import ClassRate
from linnetwind.peers.peer_table import StreamLoad


@dataclass
class ClassArrivals:
    """The monotonic times at which streams of one priority arrived.

    `newcomers` are those of streams that are no retries of rejected callers.
    """

    arrivals: deque[timedelta] = field(default_factory=deque)
    newcomers: deque[timedelta] = field(default_factory=deque)


def class_demands(
    classes: Mapping[int, ClassArrivals],
    waiting: Mapping[int, int],
    now: timedelta,
) -> dict[int, Demand]:
    """Return a daemon's own demand by priority.

    Args:
      classes: The arrivals by priority.
      waiting: The number of queued streams by priority.
      now: The monotonic time.

    Returns:
      The priorities that streams wait or arrived with, and their demand.
    """
    demands = {
        priority: Demand(waiting.get(priority, 0), rate(each.arrivals, now))
        for priority, each in sorted(classes.items())
    }
    return {
        priority: each
        for priority, each in demands.items()
        if each.waiting or each.arrivals_per_s
    }


def advertised_demands(load: StreamLoad) -> dict[int, Demand]:
    """Return another daemon's demand by priority.

    Args:
      load: What it has advertised.

    Returns:
      The demand; without priorities, all of it is the most urgent.
    """
    if not load.classes:
        if not load.waiting and not load.arrivals_per_s:
            return {}
        return {0: Demand(load.waiting, load.arrivals_per_s)}
    return {
        each.priority: Demand(each.waiting, each.arrivals_per_s)
        for each in load.classes
    }


def class_rates(
    classes: Mapping[int, ClassArrivals],
    priorities: Iterable[int],
    now: timedelta,
) -> tuple[ClassRate, ...]:
    """Return the arrivals of each class at this daemon.

    Args:
      classes: The arrivals by priority.
      priorities: The priorities that any daemon has streams of.
      now: The monotonic time.

    Returns:
      The classes, the most urgent first; empty if there are not several.
    """
    seen = sorted(priorities)
    if len(seen) < 2:
        return ()
    known = [classes.get(each, ClassArrivals()) for each in seen]
    return tuple(
        ClassRate(priority, rate(each.arrivals, now), rate(each.newcomers, now))
        for priority, each in zip(seen, known, strict=True)
    )
