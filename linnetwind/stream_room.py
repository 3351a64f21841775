"""The room for streams in the rank groups of each service.

The load that this answers: one group of a service is slow or broken, and the
others are sound. Each group has a limit of its own; measured as one, a slow
rank left 9 streams running in two groups of 48 slots each.
"""

import random
import threading
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.group_breaks import note_crash
from linnetwind.group_room import (
    UNNAMED,
    GroupCount,
    GroupRoom,
    closed_for,
    forget,
    fresh_brief,
    limit_of,
    opens_in,
    take_brief,
)
from linnetwind.lives import Life
from linnetwind.pass_meter import Pause
from linnetwind.peer_book import (
    GroupBrief,
    PeerState,
    StreamLoad,
)
from linnetwind.place_shares import allow
from linnetwind.ranks_by_group import sort_ranks
from linnetwind.routes import RoutedService
from linnetwind.service_room import (
    ServiceRoom,
    forget_groups,
    load_of,
    share_of,
    view_of,
)
from linnetwind.stream_gate import GroupView, TurnAway
from linnetwind.upstream_list import Upstream
from linnetwind.waiting_line import Claim, WaitingLine


class StreamRoom:
    """Pauses, ends and waiting streams; may be called from any thread."""

    def __init__(self, clock: Clock) -> None:
        """Start with nothing known.

        Args:
          clock: The daemon's clock.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._rooms: dict[str, ServiceRoom] = {}

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
            forget(room.arrivals, now)
            if not claim.returning:
                room.newcomers.append(now)
                forget(room.newcomers, now)
        return room.line.enter(claim, look, take, has_time)

    def wake(self) -> None:
        """Let all that wait look again."""
        for room in list(self._rooms.values()):
            room.line.wake()

    def note_pause(
        self, upstream: Upstream, length: timedelta, running: int
    ) -> None:
        """Take note of a pause between two events of a stream.

        Args:
          upstream: Where the stream runs.
          length: The pause.
          running: The streams that all daemons have in its group.
        """
        now = self._clock.elapsed()
        with self._lock:
            group = self._group(upstream)
            brief = fresh_brief(group, now)
            skew = brief.skew if brief else 0
            group.meter.note(Pause(now, length, running, skew))

    def note_start(self, service: str, took: timedelta) -> None:
        """Take note of the time from a stream's start to its first event.

        Args:
          service: The stream's service.
          took: The time.
        """
        with self._lock:
            room = self._room(service)
            is_first = not room.starts
            room.starts.append(took)
        if is_first:
            room.line.wake()

    def note_end(self, upstream: Upstream) -> None:
        """Take note that a request has ended, and let those that wait look.

        Args:
          upstream: Where it ran.
        """
        now = self._clock.elapsed()
        with self._lock:
            room = self._room(upstream.service)
            ends = self._group(upstream).ends
            ends.append(now)
            forget(ends, now)
        room.line.wake()

    def take_brief(self, brief: GroupBrief) -> None:
        """Take in what the planner found out about a group.

        Args:
          brief: The state of the group.
        """
        now = self._clock.elapsed()
        with self._lock:
            room = self._room(brief.service)
            group = room.groups.setdefault(brief.group, GroupRoom())
            take_brief(group, brief, now)
            forget_groups(room, now)
            stay = {
                life: name
                for life, name in room.group_of.items()
                if name in room.groups and name != brief.group
            }
            members = dict.fromkeys(brief.members, brief.group)
            group_of = {**stay, **members}
            if group_of != room.group_of:
                room.group_of = group_of

    def note_crash(self, service: str, life: Life, at: timedelta) -> bool:
        """Take note that a rank has crashed, so that its group is broken.

        Args:
          service: The service's name.
          life: The rank's life.
          at: The monotonic time at which it was seen.

        Returns:
          Whether that was not known.
        """
        with self._lock:
            room = self._room(service)
            name = room.group_of.get(life, UNNAMED)
            group = room.groups.setdefault(name, GroupRoom())
            before = group.health
            group.health = note_crash(before, at)
            return before.broken_at is None and group.health != before

    def outages(self, service: str) -> dict[str, timedelta]:
        """Return how long an outage lasts of each group that was open before.

        Args:
          service: The service's name.

        Returns:
          The time from a crash to the group's opening, by group. One that
          forms for the first time, or after all hosts have started, is no
          sign of a rank that is away.
        """
        with self._lock:
            groups = self._room(service).groups
            return {
                name: each.health.outage
                for name, each in groups.items()
                if each.health.opened_at is not None
            }

    def opens_in(self, service: str) -> timedelta | None:
        """Return when a service without an open group should have one.

        Args:
          service: The service's name.

        Returns:
          The time until then; None if a group is open, or none is known.
        """
        now = self._clock.elapsed()
        with self._lock:
            groups = self._room(service).groups.values()
            named = [each for each in groups if each.brief is not None]
            waits = [opens_in(each, now) for each in named or groups]
        return None if None in waits else min(waits, default=None)

    def group_of(self, upstream: Upstream) -> str:
        """Return the name of the group that a rank is in."""
        groups = self._room(upstream.service).group_of
        return groups.get(upstream.life, UNNAMED)

    def by_group(
        self, service: str, upstreams: Sequence[Upstream]
    ) -> Mapping[str, list[Upstream]]:
        """Sort a service's upstreams by their rank groups.

        Args:
          service: The service's name.
          upstreams: Upstreams of the service.

        Returns:
          The upstreams by group. A rank of no known group gets no streams, as
          its group has not formed; without any news of groups all are one.
        """
        now = self._clock.elapsed()
        with self._lock:
            room = self._room(service)
            is_told = any(
                fresh_brief(each, now) for each in room.groups.values()
            )
            known = room.sorted_ranks
            group_of = room.group_of
            if not known or not known.serves(
                upstreams, group_of, is_told=is_told
            ):
                known = sort_ranks(upstreams, group_of, is_told=is_told)
                room.sorted_ranks = known
        return known.by_group

    def view(
        self,
        service: RoutedService,
        gap: timedelta,
        counts: Mapping[str, GroupCount],
        peers: Sequence[PeerState],
        news_interval: timedelta,
    ) -> GroupView:
        """Return what is known of a service's rank groups.

        Args:
          service: The service, which has engines.
          gap: The longest pause that is in time.
          counts: The streams that run in each group, and its ranks.
          peers: The states of the other daemons.
          news_interval: How often each of them sends its state.

        Returns:
          The view of all groups together.
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
            room.asked_at = now if room.asked_at is None else room.asked_at
            share = share_of(room, now, loads, news_interval)
            for name, count in counts.items():
                group = room.groups.setdefault(name, GroupRoom())
                parts = [
                    (part.part_ms, part.pauses)
                    for load in loads
                    for part in load.parts
                    if part.group == name
                ]
                limit = limit_of(
                    group, now, service.engine, gap, count.ranks, parts
                )
                group.use = count.running / limit
                if now - group.allowance.at >= news_interval:
                    group.allowance = allow(
                        now,
                        count.own_running,
                        limit - count.running,
                        share,
                        random.random(),
                    )
            return view_of(room, counts, now)

    def places(
        self, service: str, counts: Mapping[str, GroupCount]
    ) -> dict[str, int]:
        """Return the places that this daemon may fill in each open group.

        Args:
          service: The service's name.
          counts: The streams that run in each group.

        Returns:
          The places by group, below 0 where it has too many streams. Of a
          service without an open group, all groups.
        """
        now = self._clock.elapsed()
        with self._lock:
            rooms = self._room(service).groups
            found = {
                name: rooms[name].allowance.most - count.own_running
                for name, count in counts.items()
                if name in rooms and closed_for(rooms[name], count, now) is None
            }
        return found or dict.fromkeys(counts, 0)

    def loads(self) -> tuple[StreamLoad, ...]:
        """Return what this daemon sees of its streams, for its peers."""
        now = self._clock.elapsed()
        with self._lock:
            return tuple(
                load_of(service, room, now)
                for service, room in self._rooms.items()
                if room.engine is not None
            )

    def use(self, service: str, group: str) -> float:
        """Return the streams that run in a group over those that could.

        Args:
          service: The service's name.
          group: The group's name.

        Returns:
          The share when a stream last asked; 1 if none has.
        """
        with self._lock:
            known = self._room(service).groups.get(group)
            return known.use if known else 1

    def slow(self, service: str) -> frozenset[Life]:
        """Return the lives whose ranks run slowly.

        Args:
          service: The service's name.

        Returns:
          The lives, as the planner has found them.
        """
        now = self._clock.elapsed()
        with self._lock:
            rooms = self._room(service).groups.values()
            briefs = [fresh_brief(each, now) for each in rooms]
        return frozenset(life for each in briefs if each for life in each.slow)

    def _room(self, service: str) -> ServiceRoom:
        room = self._rooms.get(service)
        if room is None:
            room = ServiceRoom(WaitingLine(self._clock))
            self._rooms[service] = room
        return room

    def _group(self, upstream: Upstream) -> GroupRoom:
        groups = self._room(upstream.service).groups
        return groups.setdefault(self.group_of(upstream), GroupRoom())
