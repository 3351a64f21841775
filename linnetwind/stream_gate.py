"""Which streams run now, which wait, and which are turned away at once.

The load that this answers: more streams than a rank group can run with every
pause in time. Without a limit all of them turn late together. A stream waits
only while its first event can still be in time; one that could not is
refused at once and told when there will be room, so that the caller's wait
is used instead of lost. A caller that comes back then may wait longer: its
answer is late in any case, and refused twice it gets none. Of those that
wait, the one whose time ends first goes first. When callers that came back
went before all others, a short overload lasted for 20 s: every newcomer
waited behind them, was refused, and came back.
"""

import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from math import ceil
from typing import NamedTuple

from linnetwind.clock import Clock
from linnetwind.upstream_list import Upstream

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
# How long a caller that came back may wait for its place. Callers give up a
# stream that shows nothing for two seconds: at a wait of 2 s some left while
# they waited, at 1.2 s half as many again were refused twice (worth of 414
# against 263 on one overloaded day).
_RETURN_WAIT_S = 1.6
RETURN_WAIT = timedelta(seconds=_RETURN_WAIT_S)


@dataclass(frozen=True, slots=True)
class GroupView:
    """What is known of a group when a stream asks to run.

    `running` counts the streams of all daemons, `limit` how many may run,
    `waiting_elsewhere` the streams that wait at other daemons, `ends_per_s`
    the streams that end in a second; `opens_in` is set while the group
    cannot run at all.
    """

    running: int
    limit: int
    waiting_elsewhere: int
    ends_per_s: float
    opens_in: timedelta | None


@dataclass(frozen=True, slots=True)
class Waiter:
    """A stream that asks to run.

    `ahead` streams go before it in its line of `line` streams, itself
    included. `target` is the latency of a first event that is on time, and
    `returning` says that the caller was refused before and told to return.
    """

    ahead: int
    line: int
    waited: timedelta
    target: timedelta
    returning: bool


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


def judge(view: GroupView, waiter: Waiter) -> Verdict:
    """Decide whether a stream runs, waits or is turned away.

    Args:
      view: What is known of the group.
      waiter: The stream.

    Returns:
      The verdict.
    """
    most = _longest_wait(waiter.target, returning=waiter.returning)
    left = most - waiter.waited
    if view.opens_in is not None:
        if waiter.returning and left > timedelta():
            return WaitFor(left)
        return _turn_away(view.opens_in, 'group is broken')
    free = _own_part(view, waiter)
    if free > waiter.ahead:
        return RunNow()
    places = waiter.ahead + 1 - free
    wait = timedelta(seconds=places / max(view.ends_per_s, 1))
    hopeless = not waiter.waited and wait > left and not waiter.returning
    if hopeless or left <= timedelta():
        return _turn_away(wait, 'no room in time')
    return WaitFor(left)


def _longest_wait(target: timedelta, *, returning: bool) -> timedelta:
    return RETURN_WAIT if returning else target - START_TIME


def _own_part(view: GroupView, waiter: Waiter) -> int:
    """Return this daemon's part of the free places.

    All daemons see the same places become free. If each filled them all, the
    group would run several times as many streams more.
    """
    free = view.limit - view.running
    if free <= 0:
        return free
    return ceil(free * waiter.line / (waiter.line + view.waiting_elsewhere))


def _turn_away(wait: timedelta, reason: str) -> TurnAway:
    return TurnAway(min(max(wait, LEAST_RETRY), MOST_RETRY), reason)


class _Place(NamedTuple):
    """A place in line; places are sorted by their first fields."""

    latest: timedelta
    number: int
    returning: bool


class WaitingLine:
    """The streams of one service that wait here, earliest deadline first."""

    def __init__(self, clock: Clock) -> None:
        """Start empty.

        Args:
          clock: For waiting times.
        """
        self._clock = clock
        self._changed = threading.Condition()
        self._numbers = itertools.count()
        self._waiting: list[_Place] = []

    @property
    def length(self) -> int:
        """Return how many streams wait."""
        return len(self._waiting)

    def wake(self) -> None:
        """Let those that wait look again, since a place may be free."""
        with self._changed:
            self._changed.notify_all()

    def enter(
        self,
        look: Callable[[], GroupView],
        take: Callable[[], Upstream | None],
        since: timedelta,
        target: timedelta,
        *,
        returning: bool,
    ) -> Upstream | TurnAway | None:
        """Wait for a place while that is worth it.

        The place is taken before the next stream in line looks. Taken later,
        all streams in line would run for one free place: after a power loss
        90 streams ran where 51 could in time, and for 5 s all were late.

        Args:
          look: Returns the present view of the group.
          take: Takes an upstream and counts the stream there.
          since: The monotonic time at which the request came.
          target: The latency of the first event that is on time.
          returning: Whether the caller was told to return.

        Returns:
          What `take` returned, or that the stream is refused.
        """
        latest = since + _longest_wait(target, returning=returning)
        place = _Place(latest, next(self._numbers), returning)
        with self._changed:
            self._waiting.append(place)
            self._waiting.sort()
            try:
                verdict = self._wait(place, look, since, target)
                return verdict if isinstance(verdict, TurnAway) else take()
            finally:
                self._waiting.remove(place)

    def _wait(
        self,
        place: _Place,
        look: Callable[[], GroupView],
        since: timedelta,
        target: timedelta,
    ) -> Verdict:
        while True:  # noqa: WPS457
            waiter = Waiter(
                self._waiting.index(place),
                len(self._waiting),
                self._clock.elapsed() - since,
                target,
                place.returning,
            )
            verdict = judge(look(), waiter)
            if not isinstance(verdict, WaitFor):
                return verdict
            wait = min(verdict.most, _LOOK)
            self._changed.wait(wait.total_seconds())
