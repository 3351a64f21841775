"""The state that all requests of a gateway daemon share.

It holds the configuration, the upstreams and the peers, the numbers of requests
in flight, and the history and budgets of requests.
"""

import random
import threading
from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from datetime import timedelta

from linnetwind.address import Address
from linnetwind.admission.admission_policy import CapacityView
from linnetwind.admission.group_capacity import UNNAMED_GROUP
from linnetwind.admission.shared_retry_budget import RetryBudgetTerms
from linnetwind.admission.stream_admission_control import StreamAdmission
from linnetwind.clock import Clock
from linnetwind.group_counts import count_by_group
from linnetwind.peers.peer_table import PeerState, PeerTable
from linnetwind.request_counts import RequestCounts
from linnetwind.request_history import RequestHistory, make_request_history
from linnetwind.routes import RoutedService, RouteTable
from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.cold_allowance import NO_COLD_BOUND, ColdBound
from linnetwind.upstreams.upstream_choice import (
    choose_group,
    choose_plain,
    choose_rank,
)
from linnetwind.upstreams.upstream_limits import Reservation
from linnetwind.upstreams.upstream_list import Upstream, UpstreamList
from linnetwind.upstreams.upstream_records import UpstreamRecords

# How often the table of peers is checked for peers to expire.
_EXPIRY_CHECK_INTERVAL = timedelta(seconds=1)
# How often the peers are checked for a timeout: a fraction of the time after
# which a silent peer counts as gone.
_TIMEOUT_CHECK_MS = 40
_TIMEOUT_CHECK_INTERVAL = timedelta(milliseconds=_TIMEOUT_CHECK_MS)


class GatewayState:
    """The shared state; every method may be called from any thread."""

    def __init__(
        self,
        clock: Clock,
        own: Address,
        terms: RetryBudgetTerms,
        bound: ColdBound = NO_COLD_BOUND,
        started_at: timedelta | None = None,
        seeds: Collection[Address] = (),
    ) -> None:
        """Start without configuration, upstreams and peers.

        Args:
          clock: The daemon's clock.
          own: The address at which peers reach this daemon.
          terms: The terms of the shared retry budget.
          bound: The bound for cold upstreams.
          started_at: The monotonic time at which the daemon started, None for
            now.
          seeds: The addresses of the first peers.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._table: RouteTable | None = None
        self._upstreams = UpstreamList()
        self._peer_table = PeerTable(own)
        self._streams = RequestCounts()
        self._timeouts_checked_at = timedelta()
        self._records = UpstreamRecords(clock)
        self._history = make_request_history(
            terms,
            clock,
            lambda: self._peer_table,
            bound,
            clock.elapsed() if started_at is None else started_at,
            seeds,
        )
        self._admission = StreamAdmission(clock)
        self._expiry_checked_at = timedelta()
        self._on_change: Callable[[], None] = _do_nothing

    @property
    def table(self) -> RouteTable | None:
        """Return the configuration in force, or None before the first."""
        return self._table

    @property
    def upstreams(self) -> UpstreamList:
        """Return the list of upstreams."""
        return self._upstreams

    @property
    def peer_table(self) -> PeerTable:
        """Return the table of peers."""
        return self._peer_table

    @property
    def stream_admission(self) -> StreamAdmission:
        """Return the stream admission control of each group."""
        return self._admission

    @property
    def request_history(self) -> RequestHistory:
        """Return the history of callers' requests, for retries and limits."""
        return self._history

    @property
    def upstream_records(self) -> UpstreamRecords:
        """Return the recent statistics of the upstreams."""
        return self._records

    @property
    def running(self) -> dict[UpstreamIncarnation, int]:
        """Return this daemon's own requests in flight, by incarnation."""
        with self._lock:
            return dict(self._streams.own)

    def call_on_change(self, listener: Callable[[], None]) -> None:
        """Set the function to call when the counts have changed.

        Args:
          listener: The function, which must not block.
        """
        self._on_change = listener

    def apply_table(self, table: RouteTable) -> bool:
        """Put a configuration in force if its version is newer.

        The version in force never decreases within a process: an old copy of
        the configuration would bring back routes and keys that were removed.

        Args:
          table: The configuration.

        Returns:
          Whether the configuration was put in force.
        """
        with self._lock:
            if self._table is not None and table.version <= self._table.version:
                return False
            self._table = table
        self._admission.apply_table(table)
        self._history.cold.apply_services(table.services)
        return True

    def change_upstreams(
        self, change: Callable[[UpstreamList], UpstreamList]
    ) -> UpstreamList:
        """Replace the list of upstreams.

        Args:
          change: Returns the new list, given the old one.

        Returns:
          The old list.
        """
        with self._lock:
            before = self._upstreams
            self._upstreams = change(before)
            living = self._upstreams.incarnations()
            self._records.keep_only(living)
            self._history.cold.observe_list(before, self._upstreams)
            self._history.keep_only(living)
        self._admission.wake()
        if self._upstreams.evacuations is not before.evacuations:
            self._on_change()
        return before

    def merge_advertised(self, state: PeerState) -> None:
        """Apply the state that a peer sent.

        Args:
          state: The peer's state.
        """
        now = self._clock.elapsed()
        with self._lock:
            self._peer_table = self._peer_table.merge_advertised(state, now)
            received = self._peer_table.received[state.name].state
            self._streams.merge_advertised(state.name, received.running)
            if now - self._expiry_checked_at > _EXPIRY_CHECK_INTERVAL:
                self._expiry_checked_at = now
                self._peer_table = self._peer_table.expire_peers(now)
        self._history.merge_advertised(state)
        self._admission.peer_totals.merge(state.name, received.loads)
        for summary in state.groups:
            self._admission.apply_summary(summary)

    def record_pause(self, upstream: Upstream, length: timedelta) -> None:
        """Record a pause between two events of a stream.

        Args:
          upstream: The rank that runs the stream.
          length: The length of the pause.
        """
        group = self._admission.group_of(upstream)
        members = self._groups(upstream.service).get(group, ())
        counts = self._counts()
        running = sum(counts.get(each.life, 0) for each in members)
        self._admission.record_pause(upstream, length, running)

    def requests_in_flight(self, service: str) -> int:
        """Return the number of requests in flight at a service.

        Args:
          service: The service's name.

        Returns:
          The number of requests of all daemons.
        """
        counts = self._counts()
        usable = self._upstreams.usable(service, self._clock.elapsed())
        return sum(counts.get(each.life, 0) for each in usable)

    def group_view(
        self, service: RoutedService, gap: timedelta
    ) -> CapacityView:
        """Return the capacity and load of a service's rank groups.

        Args:
          service: The service, which has model engines.
          gap: The target for the longest pause between events.

        Returns:
          The view of all groups together.
        """
        now = self._clock.elapsed()
        counts = count_by_group(
            self._groups(service.name),
            self._counts(),
            self._streams.own,
            self._history,
        )
        peer_table = self._peer_table
        view = self._admission.view(
            service,
            gap,
            counts,
            peer_table.live(now),
            peer_table.min_send_interval,
        )
        if self._upstreams.is_evacuated(service.name, now):
            return replace(view, is_evacuated=True)
        return view

    def acquire_upstream(
        self,
        service: RoutedService,
        tried: frozenset[str],
        priority: int | None = None,
    ) -> Upstream | None:
        """Choose an upstream for a request and count the request there.

        Args:
          service: The service.
          tried: Instances to exclude.
          priority: The request's priority.

        Returns:
          The upstream, or None if none accepts a request at once. The caller
          ends the count with `release_upstream`.
        """
        candidates = self.candidates(service, tried, priority)
        counts = self._counts()
        slow = self._admission.slow(service.name)
        with self._lock:
            # Checked and counted under one lock; otherwise two requests at once
            # would both use the last one that a limit allows.
            usable = self._history.limits.within_limit(candidates)
            now = self._clock.elapsed()
            weights = self._history.cold.weights(now)
            if service.engine is None:
                stats = self._records.stats
                members = self._upstreams.usable(service.name, now)
                ejections = self._history.ejections
                ejected = ejections.ejected(members)
                # A request that has failed once is no probe.
                probes = ejections.due_probes(() if tried else usable)
                chosen = choose_plain(
                    usable, counts, stats, now, weights, ejected, probes
                )
            else:
                chosen = choose_rank(usable, counts, slow, weights)
            if chosen is not None:
                self._history.limits.count_sent(chosen)
                self._history.ejections.count_sent(chosen)
                self._streams.begin(chosen.life)
        self._on_change()
        return chosen

    def acquire_reservation(
        self,
        service: RoutedService,
        tried: frozenset[str],
        longest: timedelta,
    ) -> Reservation | None:
        """Reserve a request at an upstream with a rate limit and count it.

        Args:
          service: The service.
          tried: Instances to exclude.
          longest: The longest time that the request may wait.

        Returns:
          The upstream and the time to wait, or None if no upstream accepts the
          request in time. The caller ends the count with `release_upstream`.
        """
        usable = self.candidates(service, tried)
        with self._lock:
            reservation = self._history.limits.reserve(usable, longest)
            if reservation is not None:
                self._streams.begin(reservation.upstream.life)
        self._on_change()
        return reservation

    def _groups(self, service: str) -> Mapping[str, list[Upstream]]:
        usable = self._upstreams.usable(service, self._clock.elapsed())
        return self._admission.by_group(service, usable)

    def candidates(
        self,
        service: RoutedService,
        tried: frozenset[str],
        priority: int | None = None,
    ) -> list[Upstream]:
        """Return the upstreams that are eligible for a request now.

        Args:
          service: The service.
          tried: Instances to exclude.
          priority: The request's priority.

        Returns:
          The upstreams of a plain service, or the ranks of the group that is
          chosen for a stream.
        """
        groups = self._history.limits.open_groups(self._groups(service.name))
        name = UNNAMED_GROUP
        if service.engine is not None:
            counts = count_by_group(
                groups,
                self._counts(),
                self._streams.own,
                self._history,
            )
            failed = frozenset(
                name
                for name, members in groups.items()
                if any(each.instance in tried for each in members)
            )
            free_permits = self._admission.free_permits(
                service.name, counts, priority
            )
            name = choose_group(free_permits, failed, random.random())
        members = self._history.backoffs.without_backoff(groups.get(name, []))
        return [each for each in members if each.instance not in tried]

    def release_upstream(self, upstream: Upstream) -> None:
        """Release an upstream: end the count of a request there.

        Args:
          upstream: The upstream, from `acquire_upstream` or
            `acquire_reservation`.
        """
        with self._lock:
            self._streams.end(upstream.life)
        self._on_change()
        self._admission.record_end(upstream)

    def _counts(self) -> Mapping[UpstreamIncarnation, int]:
        """Return the requests in flight of all daemons that are not timed out.

        Counts of peers that have timed out are dropped first, not more often
        than each 40 ms.
        """
        now = self._clock.elapsed()
        if now - self._timeouts_checked_at >= _TIMEOUT_CHECK_INTERVAL:
            with self._lock:
                self._timeouts_checked_at = now
                live = {each.name for each in self._peer_table.live(now)}
                for timed_out in self._streams.peers - live:
                    self._streams.drop_peer(timed_out)
                    self._admission.peer_totals.merge(timed_out, ())
        return self._streams.totals


def _do_nothing() -> None:
    """Do nothing; the default until a listener is set."""
