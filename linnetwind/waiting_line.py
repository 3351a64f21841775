"""The streams that wait for a place, in their order.

Newcomers go first, and callers that came back take what they leave. In the
other order, or by the end of their waits, an overload feeds itself: each place
for a caller that came back is one for which a newcomer is refused, who then
comes back. After some seconds hardly anything but returning callers was
served, all late, long after the overload.
"""

import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.stream_gate import (
    RETURN_WAIT,
    STOPPING,
    GroupView,
    TurnAway,
    Verdict,
    Waiter,
    WaitFor,
    judge,
)
from linnetwind.upstream_list import Upstream

# How often the first stream in line looks at the count of other daemons'
# streams. One with others ahead looks as many times more seldom, and is told
# when it is the first; it has to see by itself only that its group broke. If
# all looked as often, 200 in line would look 8,000 times a second.
_LOOK_MS = 25
_LOOK = timedelta(milliseconds=_LOOK_MS)
_LONGEST_LOOK_MS = 250
_LONGEST_LOOK = timedelta(milliseconds=_LONGEST_LOOK_MS)
# How long all that wait share one view of the group. Each place taken or
# given back, and each state of a peer, makes a new one.
_VIEW_MS = 10
_VIEW_AGE = timedelta(milliseconds=_VIEW_MS)


@dataclass(frozen=True, slots=True)
class Claim:
    """A stream that asks for a place.

    `since` is the monotonic time at which the request came, `target` the
    latency of a first event that is on time, `gap` the longest pause between
    events that is, and `returning` says that its caller was told to return.
    """

    since: timedelta
    target: timedelta
    gap: timedelta
    returning: bool


def precedence(claim: Claim) -> tuple[bool, timedelta]:
    """Return the key by which streams in line are sorted.

    Args:
      claim: The stream.

    Returns:
      Newcomers before those that came back, each by the end of its wait.
    """
    most = RETURN_WAIT if claim.returning else claim.target
    return claim.returning, claim.since + most


@dataclass(eq=False)
class _Place:
    """A place in line; `number` counts all that came.

    `turn` is notified when the stream may be the one that runs next.
    """

    number: int
    claim: Claim
    turn: threading.Condition

    @property
    def order(self) -> tuple[bool, timedelta, int]:
        """Return the key by which places are sorted."""
        return (*precedence(self.claim), self.number)


_NO_VIEW = (timedelta(), None)


class WaitingLine:
    """The streams of one service that wait here, in order of precedence."""

    def __init__(self, clock: Clock) -> None:
        """Start empty.

        Args:
          clock: For waiting times.
        """
        self._clock = clock
        self._lock = threading.RLock()
        self._numbers = itertools.count()
        self._waiting: list[_Place] = []
        self._views: dict[timedelta, tuple[timedelta, GroupView]] = {}

    @property
    def length(self) -> int:
        """Return how many streams wait."""
        return len(self._waiting)

    def wake(self) -> None:
        """Let the first in line look again, since a place may be free.

        Whoever leaves the line wakes the next one. If all were woken by each
        change they would take the interpreter from the streams that run, the
        more of them wait the longer.
        """
        with self._lock:
            self._views.clear()
            self._wake_first()

    def enter(
        self,
        claim: Claim,
        look: Callable[[timedelta], GroupView],
        take: Callable[[], Upstream | None],
        has_time: Callable[[], bool],
    ) -> Upstream | TurnAway | None:
        """Wait for a place while that is worth it.

        The place is taken before the next stream in line looks. Taken later,
        all streams in line would run for one free place, and all that run
        would be late.

        Args:
          claim: The stream.
          look: Returns the present view of the group, for a longest pause.
          take: Takes an upstream and counts the stream there.
          has_time: Whether the stream can still end if it is begun now.

        Returns:
          What `take` returned, or that the stream is refused.
        """
        turn = threading.Condition(self._lock)
        place = _Place(next(self._numbers), claim, turn)
        with self._lock:
            self._waiting.append(place)
            self._sort()
            try:
                verdict = self._wait(place, look, has_time)
                return verdict if isinstance(verdict, TurnAway) else take()
            finally:
                self._views.clear()
                self._waiting.remove(place)
                self._wake_first()

    def _wake_first(self) -> None:
        if self._waiting:
            self._waiting[0].turn.notify()

    def _wait(
        self,
        place: _Place,
        look: Callable[[timedelta], GroupView],
        has_time: Callable[[], bool],
    ) -> Verdict:
        # A daemon that was told to stop meanwhile would cut the stream.
        while has_time():
            claim = place.claim
            view = self._see(claim.gap, look)
            ahead = self._waiting.index(place)
            waiter = Waiter(
                ahead,
                self._clock.elapsed() - claim.since,
                claim.target,
                claim.returning,
            )
            verdict = judge(view, waiter)
            if not isinstance(verdict, WaitFor):
                return verdict
            if view.opens_in is not None and not claim.returning:
                # Once the group is open, those that can be in time go first.
                place.claim = replace(claim, returning=True)
                self._sort()
                self._wake_first()
            wait = min(verdict.most, _LOOK * (1 + ahead), _LONGEST_LOOK)
            place.turn.wait(wait.total_seconds())
        return STOPPING

    def _sort(self) -> None:
        self._waiting.sort(key=lambda place: place.order)

    def _see(
        self, gap: timedelta, look: Callable[[timedelta], GroupView]
    ) -> GroupView:
        """Return the present view, made once for all that wait.

        Each state of a peer makes them look. A view of its own for each would
        take most of a core where there are many peers.
        """
        now = self._clock.elapsed()
        made_at, view = self._views.get(gap, _NO_VIEW)
        if view is None or now - made_at > _VIEW_AGE:
            view = look(gap)
            self._views[gap] = (now, view)
        return view
