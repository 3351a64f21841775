"""How long a planner of expert maps rests after another one overtook it.

Planners that do not hear each other plan for the same group. A rank takes
only the newest version, so each new map overtakes one that another planner is
rolling out. Rests drawn at random, and longer each time, part the planners:
one of them soon has the time of a rollout to itself.
"""

from dataclasses import dataclass
from datetime import timedelta

# The longest first rest. A rollout takes half a second, most of it copying;
# one in two rests is as long.
_FIRST_REST_MS = 1_000
FIRST_REST = timedelta(milliseconds=_FIRST_REST_MS)
# Demand shifts every few seconds; a planner that rested longer would leave a
# group without maps when the other is gone.
LONGEST_REST = timedelta(seconds=4)
_GROWTH = 2


@dataclass(frozen=True, slots=True)
class PlannerRest:
    """The monotonic time until which a planner rests, and its longest rest."""

    until: timedelta = timedelta()
    most: timedelta = FIRST_REST


def rest_when_overtaken(
    rest: PlannerRest, now: timedelta, chance: float
) -> PlannerRest:
    """Return the rest of a planner whose map was overtaken.

    Args:
      rest: Its rest before; a new one once a map of its own is in use.
      now: The monotonic time.
      chance: A random number from 0 to 1.

    Returns:
      The rest.
    """
    longer = min(rest.most * _GROWTH, LONGEST_REST)
    return PlannerRest(now + rest.most * chance, longer)
