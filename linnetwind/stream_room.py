"""The room for streams in each rank group, as this daemon sees it."""

import threading
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.pass_meter import (
    USUAL_SKEW,
    PassMeter,
    Pause,
    stream_limit,
)
from linnetwind.peer_book import GroupBrief, PeerState, StreamCost
from linnetwind.routes import EngineFigures, RoutedService
from linnetwind.stream_gate import GroupView, WaitingLine

# Ended streams that count for the rate at which places become free.
_ENDS_WINDOW = timedelta(seconds=1)
# A brief of the planner is used this long.
_BRIEF_AGE = timedelta(seconds=2)


@dataclass
class _ServiceRoom:
    """What is known of one service."""

    line: WaitingLine
    meter: PassMeter = field(default_factory=PassMeter)
    ends: deque[timedelta] = field(default_factory=deque)
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

    @property
    def waiting(self) -> int:
        """Return the streams that wait at this daemon."""
        return sum(room.line.length for room in list(self._rooms.values()))

    def line(self, service: str) -> WaitingLine:
        """Return the waiting line of a service.

        Args:
          service: The service's name.

        Returns:
          The line.
        """
        with self._lock:
            return self._room(service).line

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
        running: int,
        ranks: int,
        peers: Sequence[PeerState],
    ) -> GroupView:
        """Return what is known of a rank group.

        Args:
          service: The service, which has engines.
          gap: The longest pause that is in time.
          running: The streams that all daemons have there.
          ranks: The ranks that may be given work.
          peers: The states of the other daemons.

        Returns:
          The view.
        """
        now = self._clock.elapsed()
        with self._lock:
            room = self._room(service.name)
            room.engine = service.engine
            own = room.meter.measure(service.engine, now)
            brief = _fresh_brief(room, now)
            skew = brief.skew if brief else USUAL_SKEW
            limit = stream_limit(
                service.engine,
                ranks,
                gap,
                [own, *_measured(peers, service)],
                skew,
            )
            _forget(room.ends, now)
            # Callers are spread over the daemons, so that the others end
            # about as many streams as this one.
            rate = len(room.ends) / _ENDS_WINDOW.total_seconds()
            return GroupView(
                running,
                limit,
                sum(each.waiting for each in peers),
                rate * (1 + len(peers)),
                _opens_in(room, now),
            )

    def costs(self) -> tuple[StreamCost, ...]:
        """Return what this daemon has measured, for its peers."""
        now = self._clock.elapsed()
        with self._lock:
            return tuple(
                StreamCost(service, *room.meter.measure(room.engine, now))
                for service, room in self._rooms.items()
                if room.engine is not None
            )

    def slow(self, service: str) -> frozenset[str]:
        """Return the instances whose ranks run slowly.

        Args:
          service: The service's name.

        Returns:
          The instances, as the planner has found them.
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


def _measured(
    peers: Sequence[PeerState], service: RoutedService
) -> list[tuple[float, int]]:
    return [
        (each.part_ms, each.pauses)
        for peer in peers
        for each in peer.costs
        if each.service == service.name
    ]


def _forget(ends: deque[timedelta], now: timedelta) -> None:
    while ends and now - ends[0] > _ENDS_WINDOW:
        ends.popleft()


def _fresh_brief(room: _ServiceRoom, now: timedelta) -> GroupBrief | None:
    return room.brief if now - room.brief_at < _BRIEF_AGE else None


def _opens_in(room: _ServiceRoom, now: timedelta) -> timedelta | None:
    brief = _fresh_brief(room, now)
    if brief is None or brief.is_open:
        return None
    left = timedelta(milliseconds=brief.opens_in_ms) - (now - room.brief_at)
    return max(left, timedelta())
