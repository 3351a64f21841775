"""What a daemon knows of one rank group, to say how many streams fit in."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.group_breaks import (
    GroupHealth,
    GroupWord,
    expected_opening,
    take_word,
)
from linnetwind.pass_meter import USUAL_SKEW, PassMeter, stream_limit
from linnetwind.peer_book import GroupBrief
from linnetwind.place_shares import Allowance
from linnetwind.routes import EngineFigures

# Arrived and ended streams that count for their rates.
RATE_WINDOW = timedelta(seconds=1)
# A brief of the planner is used this long.
_BRIEF_AGE = timedelta(seconds=2)
# A group of which no planner has said anything for this long is gone.
GROUP_GONE = timedelta(seconds=10)
# The group of ranks while no planner has said which groups there are.
UNNAMED = ''


@dataclass(frozen=True, slots=True)
class GroupCount:
    """The streams of a group and its ranks, as this daemon counts them.

    `ranks` are those that take streams from this daemon; `backoff` is how
    long none does, since all have asked this daemon to back off.
    """

    running: int
    own_running: int
    ranks: int
    backoff: timedelta = timedelta()


@dataclass
class GroupRoom:
    """Pauses and ends of a group's streams, and the planner's last brief.

    `allowance` says how many streams this daemon may run there; `use` is the
    part of the limit that was in use when a stream last asked; `health` tells
    whether the group runs anything.
    """

    meter: PassMeter = field(default_factory=PassMeter)
    ends: deque[timedelta] = field(default_factory=deque)
    allowance: Allowance = Allowance(timedelta(), 0)
    use: float = 1
    health: GroupHealth = GroupHealth()
    brief: GroupBrief | None = None
    brief_at: timedelta = timedelta()


def take_brief(room: GroupRoom, brief: GroupBrief, now: timedelta) -> None:
    """Take in what the planner found out about a group.

    Args:
      room: The group.
      brief: Its state.
      now: The monotonic time.
    """
    room.brief = brief
    room.brief_at = now
    word = GroupWord(now, brief.epoch, brief.is_open)
    room.health = take_word(room.health, word)


def fresh_brief(room: GroupRoom, now: timedelta) -> GroupBrief | None:
    """Return the planner's brief, unless it is too old to be used.

    Args:
      room: The group.
      now: The monotonic time.

    Returns:
      The brief, or None.
    """
    return room.brief if now - room.brief_at < _BRIEF_AGE else None


def opens_in(room: GroupRoom, now: timedelta) -> timedelta | None:
    """Return when a broken group should be open again.

    Args:
      room: The group.
      now: The monotonic time.

    Returns:
      The time until then; None if the group is not known to be broken.
    """
    brief = fresh_brief(room, now)
    planned = None
    if brief is not None and not brief.is_open:
        told = timedelta(milliseconds=brief.opens_in_ms)
        planned = told - (now - room.brief_at)
    return expected_opening(room.health, planned, now)


def closed_for(
    room: GroupRoom, count: GroupCount, now: timedelta
) -> timedelta | None:
    """Return for how long a group takes no streams from this daemon.

    Args:
      room: The group.
      count: Its streams and ranks.
      now: The monotonic time.

    Returns:
      The time until it should; None if nothing is known to be in the way.
    """
    broken = opens_in(room, now)
    if not count.backoff:
        return broken
    return max(broken or timedelta(), count.backoff)


def limit_of(
    room: GroupRoom,
    now: timedelta,
    engine: EngineFigures,
    gap: timedelta,
    ranks: int,
    others: Sequence[tuple[float, int]],
) -> int:
    """Return how many streams may run in a group.

    Args:
      room: The group.
      now: The monotonic time.
      engine: What the engines are said to cost.
      gap: The longest pause that is in time.
      ranks: The ranks that may be given work.
      others: What the other daemons have measured there.

    Returns:
      The number of streams.
    """
    brief = fresh_brief(room, now)
    skew = brief.skew if brief else USUAL_SKEW
    measured = [*others, measure(room, now, engine)]
    return stream_limit(engine, ranks, gap, measured, skew)


def measure(
    room: GroupRoom, now: timedelta, engine: EngineFigures
) -> tuple[float, int]:
    """Return what this daemon has measured of a group's passes.

    Args:
      room: The group.
      now: The monotonic time.
      engine: What the engines are said to cost.

    Returns:
      The milliseconds that each stream adds to a pass, and the number of
      pauses that say so.
    """
    brief = fresh_brief(room, now)
    return room.meter.measure(engine, now, brief.skew if brief else 0)


def rate(times: deque[timedelta], now: timedelta) -> float:
    """Return how many of the times lie in the last second.

    Args:
      times: Monotonic times in order; older ones are dropped.
      now: The monotonic time.

    Returns:
      The number a second.
    """
    forget(times, now)
    return len(times) / RATE_WINDOW.total_seconds()


def forget(times: deque[timedelta], now: timedelta) -> None:
    """Drop the times that no longer count for a rate.

    Args:
      times: Monotonic times in order.
      now: The monotonic time.
    """
    while times and now - times[0] > RATE_WINDOW:
        times.popleft()
