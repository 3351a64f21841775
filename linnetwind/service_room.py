"""What a daemon knows of one service's streams, and what it makes of it."""

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.group_room import (
    GROUP_GONE,
    GroupCount,
    GroupRoom,
    closed_for,
    measure,
    rate,
)
from linnetwind.lives import Life
from linnetwind.peer_book import PassPart, StreamLoad
from linnetwind.place_shares import Demand, own_share
from linnetwind.ranks_by_group import SortedRanks
from linnetwind.routes import EngineFigures
from linnetwind.stream_gate import GroupView, hold_back, reserve
from linnetwind.waiting_line import WaitingLine

# The starts that count for the time of the next one, and the part of them
# that is shorter.
_STARTS = 24
_USUAL_SHARE = 0.9
# Before any: a pass under way, then one that reads the prompt and writes.
_FIRST_START_MS = 200
_FIRST_START = timedelta(milliseconds=_FIRST_START_MS)
# A daemon that has just started waits so long for a planner's word of the
# groups. After a power loss all daemons start before the groups have formed;
# what is sent to their ranks then is refused. One stream at a time is sent all
# the same: where only the daemons had ended, its first event shows that the
# group runs.
_FIRST_WORD_MS = 1000
_FIRST_WORD = timedelta(milliseconds=_FIRST_WORD_MS)
_SCOUTS = 1
# A rank of a group that forms refuses at once; each stream in line would be
# sent in turn, and all of them be refused.
_SCOUT_PAUSE_MS = 300
_SCOUT_PAUSE = timedelta(milliseconds=_SCOUT_PAUSE_MS)


def _no_starts() -> deque[timedelta]:
    return deque(maxlen=_STARTS)


@dataclass
class ServiceRoom:
    """What is known of one service; `group_of` is told by its planner.

    `arrivals` are those of all streams, `newcomers` those of callers that were
    not refused before. `asked_at` is the monotonic time at which a stream
    first asked for a place, `scouted_at` that at which one was last seen to
    run before any word of a planner.
    """

    line: WaitingLine
    arrivals: deque[timedelta] = field(default_factory=deque)
    newcomers: deque[timedelta] = field(default_factory=deque)
    starts: deque[timedelta] = field(default_factory=_no_starts)
    engine: EngineFigures | None = None
    groups: dict[str, GroupRoom] = field(default_factory=dict)
    group_of: dict[Life, str] = field(default_factory=dict)
    sorted_ranks: SortedRanks | None = None
    asked_at: timedelta | None = None
    scouted_at: timedelta | None = None


def forget_groups(room: ServiceRoom, now: timedelta) -> None:
    """Drop the groups of which no planner has spoken for long.

    Args:
      room: The service.
      now: The monotonic time.
    """
    for name, group in tuple(room.groups.items()):
        if group.brief is not None and now - group.brief_at > GROUP_GONE:
            room.groups.pop(name)


def view_of(
    room: ServiceRoom, counts: Mapping[str, GroupCount], now: timedelta
) -> GroupView:
    """Return what a stream that asks for a place has to know.

    Args:
      room: The service.
      counts: The streams that run in each group; each is known in the room.
      now: The monotonic time.

    Returns:
      The view of all groups together.
    """
    if _awaits_first_word(room, now):
        return _untold_view(room, counts, now)
    groups = {name: room.groups[name] for name in counts}
    waits = {
        name: closed_for(each, counts[name], now)
        for name, each in groups.items()
    }
    open_groups = [name for name, wait in waits.items() if wait is None]
    free = sum(
        max(0, groups[name].allowance.most - counts[name].own_running)
        for name in open_groups
    )
    ends = sum(rate(groups[name].ends, now) for name in open_groups)
    closed = [(wait, name) for name, wait in waits.items() if wait is not None]
    soonest, first = (None, None) if open_groups or not closed else min(closed)
    reserved = max(
        reserve(free, rate(room.arrivals, now), ends),
        hold_back(rate(room.newcomers, now)),
    )
    return GroupView(
        free,
        ends,
        _start_time(room),
        soonest,
        reserved,
        is_backoff=first is not None and soonest == counts[first].backoff,
    )


def load_of(service: str, room: ServiceRoom, now: timedelta) -> StreamLoad:
    """Return what this daemon tells its peers of a service's streams.

    Args:
      service: The service's name.
      room: What is known of it.
      now: The monotonic time.

    Returns:
      Its demand and what it has measured in each group.
    """
    demand = _demand(room, now)
    parts = [
        PassPart(name, *measure(each, now, room.engine))
        for name, each in room.groups.items()
    ]
    return StreamLoad(
        service,
        demand.waiting,
        demand.arrivals_per_s,
        tuple(each for each in parts if each.pauses),
    )


def share_of(
    room: ServiceRoom,
    now: timedelta,
    loads: Sequence[StreamLoad],
    window: timedelta,
) -> float:
    """Return this daemon's part of the places that become free.

    Args:
      room: The service.
      now: The monotonic time.
      loads: What the other daemons have told of it.
      window: For how long the part is used.

    Returns:
      A share from 0 to 1.
    """
    others = [Demand(each.waiting, each.arrivals_per_s) for each in loads]
    return own_share(_demand(room, now), others, window)


def _demand(room: ServiceRoom, now: timedelta) -> Demand:
    return Demand(room.line.length, rate(room.arrivals, now))


def _untold_view(
    room: ServiceRoom, counts: Mapping[str, GroupCount], now: timedelta
) -> GroupView:
    """Return the view of a service of whose groups nobody has told yet."""
    forming = timedelta(milliseconds=room.engine.form_ms)
    running = sum(each.own_running for each in counts.values())
    if running:
        room.scouted_at = now
    rests = room.scouted_at is not None and now - room.scouted_at < _SCOUT_PAUSE
    scouts = 0 if rests else _SCOUTS
    return GroupView(0, 0, _start_time(room), forming, scouts=scouts)


def _awaits_first_word(room: ServiceRoom, now: timedelta) -> bool:
    if room.engine is None or not room.engine.layers:
        return False
    if room.starts or any(each.brief for each in room.groups.values()):
        return False
    return room.asked_at is not None and now - room.asked_at < _FIRST_WORD


def _start_time(room: ServiceRoom) -> timedelta:
    if not room.starts:
        return _FIRST_START
    return sorted(room.starts)[int(len(room.starts) * _USUAL_SHARE)]
