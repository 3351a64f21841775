"""Backoff of a planner whose expert map was superseded by another planner's.

Planners that cannot reach each other plan for the same group. A rank accepts
only the newest version, so each new map supersedes the one that another planner
is rolling out. Random backoffs that grow each time separate the planners: one
of them soon has enough time for a whole rollout.
"""

from dataclasses import dataclass
from datetime import timedelta

# The upper bound of the first backoff. A rollout takes half a second, most of
# it for copying experts, so half of the first backoffs are at least as long.
_FIRST_BACKOFF_BOUND_MS = 1_000
FIRST_BACKOFF_BOUND = timedelta(milliseconds=_FIRST_BACKOFF_BOUND_MS)
# The demand for experts shifts every few seconds. A planner that paused for
# longer would leave a group without new maps if the other planner stops.
MAX_BACKOFF_BOUND = timedelta(seconds=4)
_GROWTH_FACTOR = 2


@dataclass(frozen=True, slots=True)
class PlannerBackoff:
    """The state of a planner's backoff.

    The planner makes no new map until the monotonic time `until`. `bound` is
    the upper bound of its next backoff.
    """

    until: timedelta = timedelta()
    bound: timedelta = FIRST_BACKOFF_BOUND


def back_off_when_superseded(
    previous: PlannerBackoff, now: timedelta, chance: float
) -> PlannerBackoff:
    """Back off after the planner's map was superseded.

    Args:
      previous: The previous backoff; a new one if a map of this planner has
        been in use since.
      now: The monotonic time.
      chance: A random number from 0 to 1.

    Returns:
      The new backoff.
    """
    next_bound = min(previous.bound * _GROWTH_FACTOR, MAX_BACKOFF_BOUND)
    return PlannerBackoff(now + previous.bound * chance, next_bound)
