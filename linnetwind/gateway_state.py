"""What the requests of one gateway daemon share: counts, records, budgets."""

import random
import threading
from collections.abc import Callable, Mapping
from datetime import timedelta

from linnetwind.address import Address
from linnetwind.clock import Clock
from linnetwind.group_room import UNNAMED, GroupCount
from linnetwind.lives import Life
from linnetwind.peer_book import PeerBook, PeerState
from linnetwind.repeat_budget import BudgetTerms
from linnetwind.request_books import RequestBooks, make_books
from linnetwind.routes import RoutedService, RouteTable
from linnetwind.stream_counts import StreamCounts
from linnetwind.stream_gate import GroupView
from linnetwind.stream_room import StreamRoom
from linnetwind.upstream_backoff import UpstreamBackoffs
from linnetwind.upstream_choice import (
    Record,
    choose_group,
    choose_plain,
    choose_rank,
    note_answer,
    note_miss,
)
from linnetwind.upstream_limits import Turn
from linnetwind.upstream_list import Upstream, UpstreamList

# Peers that are gone are looked for this often.
_FORGET_EVERY = timedelta(seconds=1)
# Peers that have gone silent are looked for this often: a part of the time
# after which one counts as gone.
_SILENCE_LOOK_MS = 40
_SILENCE_LOOK = timedelta(milliseconds=_SILENCE_LOOK_MS)


class GatewayState:
    """The shared state; every method may be called from any thread."""

    def __init__(self, clock: Clock, own: Address, terms: BudgetTerms) -> None:
        """Start without configuration, upstreams and peers.

        Args:
          clock: The daemon's clock.
          own: The address at which peers reach this daemon.
          terms: The shared budget of repeats.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._table: RouteTable | None = None
        self._upstreams = UpstreamList()
        self._book = PeerBook(own)
        self._streams = StreamCounts()
        self._silence_looked_at = timedelta()
        self._records: dict[Life, Record] = {}
        self._books = make_books(terms, clock, lambda: self._book)
        self._room = StreamRoom(clock)
        self._forgotten_at = timedelta()
        self._on_change: Callable[[], None] = _nothing

    @property
    def table(self) -> RouteTable | None:
        """Return the configuration in force, or None before the first."""
        return self._table

    @property
    def upstreams(self) -> UpstreamList:
        """Return the list of upstreams."""
        return self._upstreams

    @property
    def book(self) -> PeerBook:
        """Return what is known of the peers."""
        return self._book

    @property
    def room(self) -> StreamRoom:
        """Return the room for streams in each group."""
        return self._room

    @property
    def books(self) -> RequestBooks:
        """Return what is remembered of callers' requests."""
        return self._books

    @property
    def running(self) -> dict[Life, int]:
        """Return a copy of this daemon's own counts by life."""
        with self._lock:
            return dict(self._streams.own)

    def call_on_change(self, tell: Callable[[], None]) -> None:
        """Have something called when the counts have changed.

        Args:
          tell: It must return at once.
        """
        self._on_change = tell

    def apply_table(self, table: RouteTable) -> bool:
        """Put a configuration in force unless it is older.

        A reader that is served an old copy would bring back routes and keys
        that were taken away; versions only ever rise within a process.

        Args:
          table: The configuration.

        Returns:
          Whether it is in force now and was not before.
        """
        with self._lock:
            if self._table is not None and table.version <= self._table.version:
                return False
            self._table = table
            return True

    def change_upstreams(
        self, change: Callable[[UpstreamList], UpstreamList]
    ) -> UpstreamList:
        """Replace the list of upstreams.

        Args:
          change: Given the list, returns the new one.

        Returns:
          The list before.
        """
        with self._lock:
            before = self._upstreams
            self._upstreams = change(before)
            # What was measured at a life ends with it. Without this a worker
            # that crashes again and again would fill the memory.
            living = self._upstreams.lives()
            for life in self._records.keys() - living:
                self._records.pop(life)
        self._books.limits.keep_only(living)
        self._room.wake()
        return before

    def hear(self, state: PeerState) -> None:
        """Take in a peer's message.

        Args:
          state: What the peer sent.
        """
        now = self._clock.elapsed()
        with self._lock:
            self._book = self._book.hear(state, now)
            heard = self._book.heard[state.name].state
            self._streams.hear(state.name, heard.running)
            if now - self._forgotten_at > _FORGET_EVERY:
                self._forgotten_at = now
                self._book = self._book.forget(now)
        self._books.hear(state, 1 + len(self._book.heard))
        for brief in state.groups:
            self._room.take_brief(brief)

    def note_pause(self, upstream: Upstream, length: timedelta) -> None:
        """Take note of a pause between two events of a stream.

        Args:
          upstream: Where the stream runs.
          length: The pause.
        """
        group = self._room.group_of(upstream)
        members = self._groups(upstream.service).get(group, ())
        counts = self._counts()
        running = sum(counts.get(each.life, 0) for each in members)
        self._room.note_pause(upstream, length, running)

    def group_running(self, service: str) -> int:
        """Return the requests that all daemons have at a service.

        Args:
          service: The service's name.

        Returns:
          Their number.
        """
        counts = self._counts()
        usable = self._upstreams.usable(service, self._clock.elapsed())
        return sum(counts.get(each.life, 0) for each in usable)

    def group_view(self, service: RoutedService, gap: timedelta) -> GroupView:
        """Return what is known of a service's rank groups.

        Args:
          service: The service, which has engines.
          gap: The longest pause that is in time.

        Returns:
          The view of all groups together.
        """
        now = self._clock.elapsed()
        counts = _count_streams(
            self._groups(service.name),
            self._counts(),
            self._streams.own,
            self._books.backoffs,
        )
        book = self._book
        return self._room.view(
            service, gap, counts, book.live(now), book.send_interval
        )

    def take_upstream(
        self, service: RoutedService, tried: frozenset[str]
    ) -> Upstream | None:
        """Choose an upstream and count a request there.

        Args:
          service: The service.
          tried: Instances that are left out.

        Returns:
          The upstream, or None if there is none that takes a request at
          once. `give_back` ends the count.
        """
        usable = self._books.limits.free(self.candidates(service, tried))
        counts = self._counts()
        slow = self._room.slow(service.name)
        with self._lock:
            if service.engine is None:
                now = self._clock.elapsed()
                chosen = choose_plain(usable, counts, self._records, now)
            else:
                chosen = choose_rank(usable, counts, slow)
            if chosen is not None:
                self._books.limits.take(chosen)
                self._streams.begin(chosen.life)
        self._on_change()
        return chosen

    def take_turn(
        self,
        service: RoutedService,
        tried: frozenset[str],
        longest: timedelta,
    ) -> Turn | None:
        """Choose an upstream with a limit and count a request there.

        Args:
          service: The service.
          tried: Instances that are left out.
          longest: The longest time for which the request may wait.

        Returns:
          The upstream and how long to wait, None if there is none in time.
        """
        usable = self.candidates(service, tried)
        with self._lock:
            turn = self._books.limits.reserve(usable, longest)
            if turn is not None:
                self._streams.begin(turn.upstream.life)
        self._on_change()
        return turn

    def _groups(self, service: str) -> Mapping[str, list[Upstream]]:
        usable = self._upstreams.usable(service, self._clock.elapsed())
        return self._room.by_group(service, usable)

    def candidates(
        self, service: RoutedService, tried: frozenset[str]
    ) -> list[Upstream]:
        """Return the upstreams that may take a request now.

        Args:
          service: The service.
          tried: Instances that are left out.

        Returns:
          Plain upstreams, or the ranks of the group that is to take a stream.
        """
        groups = self._groups(service.name)
        name = UNNAMED
        if service.engine is not None:
            counts = _count_streams(
                groups,
                self._counts(),
                self._streams.own,
                self._books.backoffs,
            )
            failed = frozenset(
                name
                for name, members in groups.items()
                if any(each.instance in tried for each in members)
            )
            places = self._room.places(service.name, counts)
            name = choose_group(places, failed, random.random())
        members = self._books.backoffs.free(groups.get(name, []))
        return [each for each in members if each.instance not in tried]

    def give_back(self, upstream: Upstream) -> None:
        """End the count of a request at an upstream.

        Args:
          upstream: What `take_upstream` returned.
        """
        with self._lock:
            self._streams.end(upstream.life)
        self._on_change()
        self._room.note_end(upstream)

    def note_answer(
        self, upstream: Upstream, took: timedelta, *, failed: bool
    ) -> None:
        """Take note of how an upstream answered.

        Args:
          upstream: The upstream.
          took: How long the answer took.
          failed: Whether it was a failure.
        """
        now = self._clock.elapsed()
        with self._lock:
            record = self._records.get(upstream.life, Record(now))
            self._records[upstream.life] = note_answer(
                record, now, took, failed=failed
            )

    def note_miss(self, upstream: Upstream) -> None:
        """Take note that an upstream could not be reached.

        Args:
          upstream: The upstream.
        """
        now = self._clock.elapsed()
        with self._lock:
            record = self._records.get(upstream.life, Record(now))
            self._records[upstream.life] = note_miss(record, now)

    def _counts(self) -> Mapping[Life, int]:
        """Return the requests of all daemons that are not silent."""
        now = self._clock.elapsed()
        if now - self._silence_looked_at >= _SILENCE_LOOK:
            with self._lock:
                self._silence_looked_at = now
                live = {each.name for each in self._book.live(now)}
                for gone in self._streams.peers - live:
                    self._streams.drop(gone)
        return self._streams.totals


def _count_streams(
    groups: Mapping[str, list[Upstream]],
    running: Mapping[Life, int],
    own: Mapping[Life, int],
    backoffs: UpstreamBackoffs,
) -> dict[str, GroupCount]:
    return {
        name: GroupCount(
            sum(running.get(each.life, 0) for each in members),
            sum(own.get(each.life, 0) for each in members),
            len(backoffs.free(members)),
            backoffs.left_for_all(members),
        )
        for name, members in groups.items()
    }


def _nothing() -> None:
    """Do nothing, until a listener is set."""
