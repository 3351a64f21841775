"""Which streams run now, which wait, and which are turned away at once.

The load that this answers: more streams than a rank group can run with every
pause in time. Without a limit all of them turn late together. A stream waits
only while its first event can still be in time; one that could not is
refused at once and told when there will be room, so that the caller's wait
is used instead of lost. A caller that comes back then may wait longer: its
answer is late in any case, and refused twice it gets none. While a group is
broken, streams wait for it if it opens soon enough.
"""

from dataclasses import dataclass
from datetime import timedelta

# The shortest and longest time after which a refused caller may come back.
_LEAST_RETRY_MS = 300
LEAST_RETRY = timedelta(milliseconds=_LEAST_RETRY_MS)
_MOST_RETRY_MS = 2500
MOST_RETRY = timedelta(milliseconds=_MOST_RETRY_MS)
# How long a caller that came back may wait for its place. Callers give up a
# stream that shows nothing for two seconds; the rest is for its first event.
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
    to streams that can be in time. `is_backoff` says that the group is sound
    but its ranks want no streams until `opens_in`, which is no estimate then.
    """

    free: int
    ends_per_s: float
    start_time: timedelta
    opens_in: timedelta | None
    reserved: int = 0
    scouts: int = 0
    is_backoff: bool = False


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

    When a group opens after a power loss, those that waited for it would take
    all places. None comes free for a second then, since all have begun at
    once, and newcomers would be late in turn. While as many streams end as
    come, nothing is reserved.

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

    After a power loss all that was under way comes back before the groups have
    formed anew. Refused then, most callers have used up their second try and
    get no answer.
    """
    left = RETURN_WAIT - waiter.waited
    # A caller that came back has no try left, and the time is an estimate.
    is_estimate = waiter.returning and not view.is_backoff
    slack = _ESTIMATE_SLACK if is_estimate else timedelta()
    if left > timedelta() and view.opens_in < left + slack:
        return WaitFor(left)
    if view.is_backoff:
        return TurnAway(
            max(view.opens_in, LEAST_RETRY), 'all ranks want no streams'
        )
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
