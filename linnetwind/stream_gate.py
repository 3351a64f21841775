"""Which streams run now, which wait, and which are turned away at once.

The load that this answers: more streams than a rank group can run with every
pause in time. Without a limit all of them turn late together. A stream waits
only while its first event can still be in time; one that could not is
refused at once and told when there will be room, so that the caller's wait
is used instead of lost. A caller that comes back then may wait longer: its
answer is late in any case, and refused twice it gets none. While a group is
broken, streams wait for it if it opens soon enough.

Of those that wait, newcomers go first, and callers that came back take what
they leave. In the other order, or by the end of their waits, an overload
feeds itself: each place for a caller that came back is one for which a
newcomer is refused, who then comes back. After some seconds hardly anything
but returning callers was served, all late, long after the overload.
"""

import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.upstream_list import Upstream

# The shortest and longest time after which a refused caller may come back.
_LEAST_RETRY_MS = 300
LEAST_RETRY = timedelta(milliseconds=_LEAST_RETRY_MS)
_MOST_RETRY_MS = 2500
MOST_RETRY = timedelta(milliseconds=_MOST_RETRY_MS)
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
# How long a caller that came back may wait for its place. Callers give up a
# stream that shows nothing for two seconds: at a wait of 2 s some left while
# they waited, at 1.2 s half as many again were refused twice in an overload.
_RETURN_WAIT_S = 1.6
RETURN_WAIT = timedelta(seconds=_RETURN_WAIT_S)
# By so much sooner than expected a group may open.
_ESTIMATE_SLACK_MS = 500
_ESTIMATE_SLACK = timedelta(milliseconds=_ESTIMATE_SLACK_MS)
# For whom places are left free: the newcomers of this time, about as long as
# one of them can wait and still be in time.
_NEXT_MS = 300
_NEXT = timedelta(milliseconds=_NEXT_MS)


@dataclass(frozen=True, slots=True)
class GroupView:
    """What is known of a group when a stream asks to run.

    `free` counts the places that this daemon may fill now, below 0 if it has
    too many streams there; `ends_per_s` the streams of this daemon that end
    in a second. `start_time` passes from a stream's start to its first event.
    `opens_in` is set while the group cannot run at all; `scouts` streams may
    run then to find out whether it can. `reserved` of the free places are left
    to streams that can be in time. `all_pause` says that the group is sound but
    all its ranks have asked for a pause; `opens_in` is no estimate then.
    """

    free: int
    ends_per_s: float
    start_time: timedelta
    opens_in: timedelta | None
    reserved: int = 0
    scouts: int = 0
    all_pause: bool = False


@dataclass(frozen=True, slots=True)
class Waiter:
    """A stream that asks to run.

    `ahead` streams go before it in its line. `target` is the latency of a
    first event that is on time, and `returning` says that the caller was
    refused before and told to return, or has waited for a broken group; its
    answer is late in any case.
    """

    ahead: int
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
# Of a stream in line when the daemon has no time left; when its caller may
# come back is for the stop to say.
STOPPING = TurnAway(timedelta(), 'the daemon is stopping')


def judge(view: GroupView, waiter: Waiter) -> Verdict:
    """Decide whether a stream runs, waits or is turned away.

    Args:
      view: What is known of the group.
      waiter: The stream.

    Returns:
      The verdict.
    """
    if view.opens_in is not None:
        if view.scouts > waiter.ahead:
            return RunNow()
        return _await_group(view, waiter)
    most = RETURN_WAIT
    if not waiter.returning:
        most = waiter.target - view.start_time
    left = most - waiter.waited
    open_places = view.free - view.reserved * waiter.returning
    if open_places > waiter.ahead:
        return RunNow()
    places = waiter.ahead + 1 - view.free
    wait = timedelta(seconds=places / max(view.ends_per_s, 1))
    hopeless = not waiter.waited and wait > left and not waiter.returning
    if hopeless or left <= timedelta():
        return _turn_away(wait, 'no room in time')
    return WaitFor(left)


def reserve(free: int, arrivals_per_s: float, ends_per_s: float) -> int:
    """Return the places that late streams leave to those that come next.

    When a group opens after a power loss, those that waited for it took all
    places; none came free for a second, since all had begun at once, and
    newcomers were late in turn: for 3.6 s, 13 of 81 were in time. While as
    many streams end as come, nothing is reserved.

    Args:
      free: The places that this daemon may fill.
      arrivals_per_s: The streams that have come in the last second.
      ends_per_s: Those that have ended in it.

    Returns:
      What the next second lacks, at most half of the free places: the late
      ones have one try left at most.
    """
    lacking = max(0, arrivals_per_s - ends_per_s)
    return max(0, min(free // 2, int(lacking)))


def hold_back(newcomers_per_s: float) -> int:
    """Return the places that late streams leave free for the next newcomers.

    In an overload a newcomer can hardly wait. If those that came back took
    each place as it became free, it would find none and come back in turn.
    Fewer streams make the passes shorter, so that hardly less is served.

    Args:
      newcomers_per_s: The streams that came for the first time in the last
        second.

    Returns:
      The places; none where each of hundreds of daemons has few callers.
    """
    return int(newcomers_per_s * _NEXT.total_seconds())


def _await_group(view: GroupView, waiter: Waiter) -> Verdict:
    """Decide on a stream whose group cannot run.

    After a power loss all that was under way came back before the groups had
    formed anew, half a second later. Refused then, most callers had used up
    their second try: 50 of 150 requests of these seconds got no answer.
    """
    left = RETURN_WAIT - waiter.waited
    # A caller that came back has no try left, and the time is an estimate.
    is_estimate = waiter.returning and not view.all_pause
    slack = _ESTIMATE_SLACK if is_estimate else timedelta()
    if left > timedelta() and view.opens_in < left + slack:
        return WaitFor(left)
    if view.all_pause:
        return TurnAway(max(view.opens_in, LEAST_RETRY), 'all ranks pause')
    return _turn_away(view.opens_in, 'group is broken')


def _turn_away(wait: timedelta, reason: str) -> TurnAway:
    return TurnAway(bounded_retry(wait), reason)


def bounded_retry(wait: timedelta) -> timedelta:
    """Return when a caller may come back that would be served after a time.

    Args:
      wait: The time.

    Returns:
      The time, within what callers keep to.
    """
    return min(max(wait, LEAST_RETRY), MOST_RETRY)


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
        all streams in line would run for one free place: after a power loss
        90 streams ran where 51 could in time, and for 5 s all were late.

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

        Made by each of them at 0.13 ms, it takes two thirds of a core with 10
        streams in line and 500 states of peers a second.
        """
        now = self._clock.elapsed()
        made_at, view = self._views.get(gap, _NO_VIEW)
        if view is None or now - made_at > _VIEW_AGE:
            view = look(gap)
            self._views[gap] = (now, view)
        return view
