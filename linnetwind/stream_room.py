"""The room for streams in each rank group, as this daemon sees it."""

import random
import threading
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.lives import Life
from linnetwind.pass_meter import (
    USUAL_SKEW,
    PassMeter,
    Pause,
    stream_limit,
)
from linnetwind.peer_book import GroupBrief, PeerState, StreamLoad
from linnetwind.place_shares import Allowance, Demand, allow, own_share
from linnetwind.routes import EngineFigures, RoutedService
from linnetwind.stream_gate import Claim, GroupView, TurnAway, WaitingLine
from linnetwind.upstream_list import Upstream

# The starts that count for the time of the next one, and the part of them
# that is shorter.
_STARTS = 24
_USUAL_SHARE = 0.9
# Before any: a pass under way, then one that reads the prompt and writes.
_FIRST_START_MS = 200
_FIRST_START = timedelta(milliseconds=_FIRST_START_MS)
# Arrived and ended streams that count for their rates.
_RATE_WINDOW = timedelta(seconds=1)
# A brief of the planner is used this long.
_BRIEF_AGE = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class GroupCount:
    """The streams of a group and its ranks, as this daemon counts them."""

    running: int
    own_running: int
    ranks: int


def _no_starts() -> deque[timedelta]:
    return deque(maxlen=_STARTS)


@dataclass
class _ServiceRoom:
    """What is known of one service."""

    line: WaitingLine
    meter: PassMeter = field(default_factory=PassMeter)
    ends: deque[timedelta] = field(default_factory=deque)
    arrivals: deque[timedelta] = field(default_factory=deque)
    starts: deque[timedelta] = field(default_factory=_no_starts)
    allowance: Allowance = Allowance(timedelta(), 0)
    use: float = 1
    engine: EngineFigures | None = None
    brief: GroupBrief | None = None
    brief_at: timedelta = timedelta()


class StreamRoom:
    """Pauses, ends and waiting streams; may be called from any thread."""

    def __init__(self, clock: Clock) -> None:
        """Start with nothing known.

        Args:
          clock: The daemon's clock.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._rooms: dict[str, _ServiceRoom] = {}

    def enter(
        self,
        service: str,
        claim: Claim,
        look: Callable[[timedelta], GroupView],
        take: Callable[[], Upstream | None],
        has_time: Callable[[], bool],
    ) -> Upstream | TurnAway | None:
        """Wait for a place in a service's group while that is worth it.

        Args:
          service: The service's name.
          claim: The stream.
          look: Returns the present view of the group, for a longest pause.
          take: Takes an upstream and counts the stream there.
          has_time: Whether the stream can still end if it is begun now.

        Returns:
          What `take` returned, or that the stream is refused.
        """
        now = self._clock.elapsed()
        with self._lock:
            room = self._room(service)
            room.arrivals.append(now)
            _forget(room.arrivals, now)
        return room.line.enter(claim, look, take, has_time)

    def wake(self) -> None:
        """Let all that wait look again."""
        for room in list(self._rooms.values()):
            room.line.wake()

    def note_pause(self, service: str, length: timedelta, running: int) -> None:
        """Take note of a pause between two events of a stream.

        Args:
          service: The stream's service.
          length: The pause.
          running: The streams that all daemons have there.
        """
        pause = Pause(self._clock.elapsed(), length, running)
        with self._lock:
            self._room(service).meter.note(pause)

    def note_start(self, service: str, took: timedelta) -> None:
        """Take note of the time from a stream's start to its first event.

        Args:
          service: The stream's service.
          took: The time.
        """
        with self._lock:
            self._room(service).starts.append(took)

    def note_end(self, service: str) -> None:
        """Take note that a request has ended, and let those that wait look.

        Args:
          service: The request's service.
        """
        now = self._clock.elapsed()
        with self._lock:
            room = self._room(service)
            room.ends.append(now)
            _forget(room.ends, now)
        room.line.wake()

    def take_brief(self, brief: GroupBrief) -> None:
        """Take in what the planner found out about a group.

        Args:
          brief: The state of the group.
        """
        with self._lock:
            room = self._room(brief.service)
            room.brief = brief
            room.brief_at = self._clock.elapsed()

    def view(
        self,
        service: RoutedService,
        gap: timedelta,
        count: GroupCount,
        peers: Sequence[PeerState],
        news_interval: timedelta,
    ) -> GroupView:
        """Return what is known of a rank group.

        Args:
          service: The service, which has engines.
          gap: The longest pause that is in time.
          count: The streams that run there, and its ranks.
          peers: The states of the other daemons.
          news_interval: How often each of them sends its state.

        Returns:
          The view.
        """
        now = self._clock.elapsed()
        loads = [
            each
            for peer in peers
            for each in peer.loads
            if each.service == service.name
        ]
        with self._lock:
            room = self._room(service.name)
            room.engine = service.engine
            limit = _limit(room, now, service, gap, count.ranks, loads)
            room.use = count.running / limit
            if now - room.allowance.at >= news_interval:
                share = _share(room, now, loads, news_interval)
                room.allowance = allow(
                    now,
                    count.own_running,
                    limit - count.running,
                    share,
                    random.random(),
                )
            return GroupView(
                room.allowance.most - count.own_running,
                _rate(room.ends, now),
                _start_time(room),
                _opens_in(room, now),
            )

    def loads(self) -> tuple[StreamLoad, ...]:
        """Return what this daemon sees of its streams, for its peers."""
        now = self._clock.elapsed()
        with self._lock:
            return tuple(
                _load(service, room, now)
                for service, room in self._rooms.items()
                if room.engine is not None
            )

    def use(self, service: str) -> float:
        """Return the streams that run in a group over those that could.

        Args:
          service: The service's name.

        Returns:
          The share when a stream last asked; 1 if none has.
        """
        with self._lock:
            return self._room(service).use

    def slow(self, service: str) -> frozenset[Life]:
        """Return the lives whose ranks run slowly.

        Args:
          service: The service's name.

        Returns:
          The lives, as the planner has found them.
        """
        now = self._clock.elapsed()
        with self._lock:
            brief = _fresh_brief(self._room(service), now)
            return frozenset(brief.slow if brief else ())

    def _room(self, service: str) -> _ServiceRoom:
        room = self._rooms.get(service)
        if room is None:
            room = _ServiceRoom(WaitingLine(self._clock))
            self._rooms[service] = room
        return room


def _limit(
    room: _ServiceRoom,
    now: timedelta,
    service: RoutedService,
    gap: timedelta,
    ranks: int,
    loads: Sequence[StreamLoad],
) -> int:
    brief = _fresh_brief(room, now)
    measured = [(each.part_ms, each.pauses) for each in loads]
    measured.append(room.meter.measure(service.engine, now))
    skew = brief.skew if brief else USUAL_SKEW
    return stream_limit(service.engine, ranks, gap, measured, skew)


def _load(service: str, room: _ServiceRoom, now: timedelta) -> StreamLoad:
    demand = _demand(room, now)
    part, pauses = room.meter.measure(room.engine, now)
    return StreamLoad(
        service, part, pauses, demand.waiting, demand.arrivals_per_s
    )


def _share(
    room: _ServiceRoom,
    now: timedelta,
    loads: Sequence[StreamLoad],
    window: timedelta,
) -> float:
    others = [Demand(each.waiting, each.arrivals_per_s) for each in loads]
    return own_share(_demand(room, now), others, window)


def _demand(room: _ServiceRoom, now: timedelta) -> Demand:
    return Demand(room.line.length, _rate(room.arrivals, now))


def _start_time(room: _ServiceRoom) -> timedelta:
    if not room.starts:
        return _FIRST_START
    return sorted(room.starts)[int(len(room.starts) * _USUAL_SHARE)]


def _rate(times: deque[timedelta], now: timedelta) -> float:
    _forget(times, now)
    return len(times) / _RATE_WINDOW.total_seconds()


def _forget(times: deque[timedelta], now: timedelta) -> None:
    while times and now - times[0] > _RATE_WINDOW:
        times.popleft()


def _fresh_brief(room: _ServiceRoom, now: timedelta) -> GroupBrief | None:
    return room.brief if now - room.brief_at < _BRIEF_AGE else None


def _opens_in(room: _ServiceRoom, now: timedelta) -> timedelta | None:
    brief = _fresh_brief(room, now)
    if brief is None or brief.is_open:
        return None
    left = timedelta(milliseconds=brief.opens_in_ms) - (now - room.brief_at)
    return max(left, timedelta())
