"""Which streams run now, which wait, and which are turned away at once.

The load that this answers: more streams than a rank group can run with every
pause in time. Without a limit all of them turn late together. A stream waits
only while its first event can still be in time; one that could not is
refused at once and told when there will be room, so that the caller's wait
is used instead of lost.
"""

import itertools
import threading
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.clock import Clock

# Time from a stream's start to its first event in a group at its limit: a
# pass under way, then the pass that reads the prompt and begins to write.
_START_TIME_MS = 200
START_TIME = timedelta(milliseconds=_START_TIME_MS)
# The shortest and longest time after which a refused caller may come back.
_LEAST_RETRY_MS = 300
LEAST_RETRY = timedelta(milliseconds=_LEAST_RETRY_MS)
_MOST_RETRY_MS = 2500
MOST_RETRY = timedelta(milliseconds=_MOST_RETRY_MS)
# How often a waiting stream looks at the count of other daemons' streams.
_LOOK_MS = 25
_LOOK = timedelta(milliseconds=_LOOK_MS)


@dataclass(frozen=True, slots=True)
class GroupView:
    """What is known of a group when a stream asks to run.

    `running` counts the streams of all daemons, `limit` how many may run,
    `ends_per_s` the streams that end in a second; `opens_in` is set while
    the group cannot run at all.
    """

    running: int
    limit: int
    ends_per_s: float
    opens_in: timedelta | None


@dataclass(frozen=True, slots=True)
class RunNow:
    """The stream may run."""


@dataclass(frozen=True, slots=True)
class WaitFor:
    """The stream may wait so long for a place."""

    most: timedelta


@dataclass(frozen=True, slots=True)
class TurnAway:
    """The stream is refused; there should be room after that time."""

    retry_after: timedelta
    reason: str


Verdict = RunNow | WaitFor | TurnAway


def judge(
    view: GroupView, ahead: int, waited: timedelta, target: timedelta
) -> Verdict:
    """Decide whether a stream runs, waits or is turned away.

    Args:
      view: What is known of the group.
      ahead: The streams that wait before this one.
      waited: How long this one has waited.
      target: The latency of the first event that is on time.

    Returns:
      The verdict.
    """
    if view.opens_in is not None:
        return TurnAway(
            min(max(view.opens_in, LEAST_RETRY), MOST_RETRY), 'group is broken'
        )
    free = view.limit - view.running
    if free > ahead:
        return RunNow()
    left = target - START_TIME - waited
    places = ahead + 1 - free
    wait = timedelta(seconds=places / max(view.ends_per_s, 1))
    if left <= timedelta() or (not waited and wait > left):
        return TurnAway(
            min(max(wait, LEAST_RETRY), MOST_RETRY), 'no room in time'
        )
    return WaitFor(left)


class WaitingLine:
    """The streams of one service that wait at this daemon, first come first."""

    def __init__(self, clock: Clock) -> None:
        """Start empty.

        Args:
          clock: For waiting times.
        """
        self._clock = clock
        self._changed = threading.Condition()
        self._numbers = itertools.count()
        self._waiting: list[int] = []

    @property
    def length(self) -> int:
        """Return how many streams wait."""
        return len(self._waiting)

    def wake(self) -> None:
        """Let those that wait look again, since a place may be free."""
        with self._changed:
            self._changed.notify_all()

    def enter(self, look, since: timedelta, target: timedelta) -> Verdict:
        """Wait for a place while that is worth it.

        Args:
          look: Called for the present view of the group. It is called again
            after `RunNow` was decided, by the caller, to take the place.
          since: The monotonic time at which the request came.
          target: The latency of the first event that is on time.

        Returns:
          `RunNow` or `TurnAway`.
        """
        number = next(self._numbers)
        with self._changed:
            self._waiting.append(number)
            try:
                return self._wait(number, look, since, target)
            finally:
                self._waiting.remove(number)

    def _wait(
        self, number: int, look, since: timedelta, target: timedelta
    ) -> Verdict:
        while True:
            waited = self._clock.elapsed() - since
            ahead = self._waiting.index(number)
            verdict = judge(look(), ahead, waited, target)
            match verdict:
                case WaitFor(most):
                    self._changed.wait(min(most, _LOOK).total_seconds())
                case _:
                    return verdict
