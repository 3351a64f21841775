"""Admits streams to the rank groups of each service.

Handles services of which one group is slow or broken while the others are
healthy. Each group has a limit of its own: with one limit for two groups of 48
slots each, a single slow rank reduced both together to 9 running streams.
"""

import random
import threading
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from itertools import chain

from linnetwind.admission.admission_policy import CapacityView, RejectStream
from linnetwind.admission.group_capacity import (
    UNNAMED_GROUP,
    GroupCapacity,
    GroupCount,
    expire_times,
    record_pause,
    serves_late,
)
from linnetwind.admission.group_limits import renew_limits
from linnetwind.admission.limit_report import GroupLimitReport, report_limits
from linnetwind.admission.peer_totals import PeerTotals
from linnetwind.admission.queue_order import PermitRequest
from linnetwind.admission.service_capacity import (
    capacity_view,
    open_permits,
)
from linnetwind.admission.service_demand import (
    ServicePeers,
    observe_arrivals,
    record_arrival,
    stream_load,
)
from linnetwind.admission.service_groups import (
    ClassState,
    class_states,
    group_capacity_of,
    merge_summary,
    ranks_by_group,
    slow_ranks,
    time_until_open,
)
from linnetwind.admission.service_state import ServiceCapacity
from linnetwind.admission.slow_group import callers_patience
from linnetwind.admission.wait_queue import WaitQueue
from linnetwind.clock import Clock
from linnetwind.group_outages import record_crash
from linnetwind.peers.peer_table import GroupSummary, PeerState, StreamLoad
from linnetwind.routes import RoutedService, RouteTable
from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.upstream_list import Upstream


class StreamAdmission:
    """The admission control of one daemon; methods are thread-safe.

    It holds the state of each service, with its groups and its wait queue.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without any services.

        Args:
          clock: The daemon's clock.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._services: dict[str, ServiceCapacity] = {}
        self._totals = PeerTotals()

    @property
    def peer_totals(self) -> PeerTotals:
        """Return the demand of the other daemons."""
        return self._totals

    def acquire_permit(
        self,
        service: str,
        request: PermitRequest,
        read_view: Callable[[timedelta], CapacityView],
        acquire: Callable[[], Upstream | None],
        has_time: Callable[[], bool],
    ) -> Upstream | RejectStream | None:
        """Queue a stream until it is admitted to a group or rejected.

        Args:
          service: The service's name.
          request: The stream's request for a permit.
          read_view: Returns the present capacity, given the longest pause that
            is in time.
          acquire: Chooses an upstream and counts the stream there.
          has_time: Returns whether the stream could still end before the
            daemon stops if it started now.

        Returns:
          What `acquire` returned, or the rejection of the stream.
        """
        now = self._clock.elapsed()
        with self._lock:
            state = self._service(service)
            record_arrival(state, request, now)
        return state.queue.acquire_permit(request, read_view, acquire, has_time)

    def apply_table(self, table: RouteTable) -> None:
        """Record what the callers of each configured service tolerate."""
        routes = list(chain.from_iterable(table.routes_by_host.values()))
        with self._lock:
            for service in table.services.values():
                if service.engine is not None:
                    state = self._service(service.name)
                    state.patience = callers_patience(routes, service.name)

    def wake(self) -> None:
        """Make all queues check the capacity, which may have changed."""
        for state in list(self._services.values()):
            state.queue.wake()

    def record_pause(
        self, upstream: Upstream, length: timedelta, running: int
    ) -> None:
        """Record a pause between two events of a stream.

        Args:
          upstream: The upstream that runs the stream.
          length: The length of the pause.
          running: The number of streams of all daemons in its group.
        """
        now = self._clock.elapsed()
        with self._lock:
            state = self._service(upstream.service)
            group = group_capacity_of(state, upstream)
            record_pause(group, length, running, now)
            state.lengths = state.lengths.add_pause()

    def record_start(self, upstream: Upstream, took: timedelta) -> None:
        """Record the time from a stream's start to its first event.

        Args:
          upstream: The upstream that runs the stream.
          took: The time. Starts in a group that serves late streams are not
            used to estimate what can be in time elsewhere.
        """
        with self._lock:
            state = self._service(upstream.service)
            if serves_late(group_capacity_of(state, upstream)):
                return
            is_first = not state.starts
            state.starts.append(took)
        if is_first:
            state.queue.wake()

    def record_end(self, upstream: Upstream) -> None:
        """Record the end of a request, and wake the service's queue.

        Args:
          upstream: The upstream that ran the request.
        """
        now = self._clock.elapsed()
        with self._lock:
            state = self._service(upstream.service)
            ends = group_capacity_of(state, upstream).ends
            ends.append(now)
            expire_times(ends, now)
            state.lengths = state.lengths.add_end()
        state.queue.wake()

    def apply_summary(self, summary: GroupSummary) -> None:
        """Apply the planner's summary of a group.

        Args:
          summary: The summary.
        """
        now = self._clock.elapsed()
        with self._lock:
            state = self._service(summary.service)
            merge_summary(state, summary, now)

    def record_crash(
        self, service: str, life: UpstreamIncarnation, at: timedelta
    ) -> bool:
        """Record the crash of a rank, which breaks its group.

        Args:
          service: The service's name.
          life: The incarnation of the rank.
          at: The monotonic time at which the crash was detected.

        Returns:
          Whether the group was not known to be broken before.
        """
        with self._lock:
            state = self._service(service)
            name = state.group_of.get(life, UNNAMED_GROUP)
            group = state.groups.setdefault(name, GroupCapacity())
            before = group.health
            group.health = record_crash(before, at)
            return before.broken_at is None and group.health != before

    def outages(self, service: str) -> dict[str, timedelta]:
        """Return the expected duration of an outage of each group.

        Args:
          service: The service's name.

        Returns:
          The time from a crash to the opening of the group, by group. Groups
          that have not been open before are left out: a group that forms for
          the first time, or after all hosts have started, does not show that a
          rank is missing.
        """
        with self._lock:
            groups = self._service(service).groups
            return {
                name: each.health.outage
                for name, each in groups.items()
                if each.health.opened_at is not None
            }

    def opens_in(self, service: str) -> timedelta | None:
        """Return the time until a service without an open group has one.

        Args:
          service: The service's name.

        Returns:
          The estimated time; None if a group is open, or none is known.
        """
        now = self._clock.elapsed()
        with self._lock:
            return time_until_open(self._service(service), now)

    def group_of(self, upstream: Upstream) -> str:
        """Return the name of the group that a rank belongs to."""
        groups = self._service(upstream.service).group_of
        return groups.get(upstream.life, UNNAMED_GROUP)

    def by_group(
        self, service: str, upstreams: Sequence[Upstream]
    ) -> Mapping[str, list[Upstream]]:
        """Sort a service's upstreams by their rank groups.

        Args:
          service: The service's name.
          upstreams: Upstreams of the service.

        Returns:
          The upstreams by group. A rank without a known group gets no streams,
          as its group has not formed. Without a recent summary of any group,
          the ranks without one form a group with an empty name.
        """
        now = self._clock.elapsed()
        with self._lock:
            return ranks_by_group(self._service(service), upstreams, now)

    def view(
        self,
        service: RoutedService,
        gap: timedelta,
        counts: Mapping[str, GroupCount],
        peers: Sequence[PeerState],
        send_interval: timedelta,
    ) -> CapacityView:
        """Return the present capacity of a service's rank groups.

        Args:
          service: The service, which has engines.
          gap: The longest pause that is in time.
          counts: The streams that run in each group, and its ranks.
          peers: The states of the other daemons.
          send_interval: How often each of them sends its state.

        Returns:
          The capacity of all groups together.
        """
        now = self._clock.elapsed()
        loads = [
            each
            for peer in peers
            for each in peer.loads
            if each.service == service.name
        ]
        with self._lock:
            state = self._service(service.name)
            state.engine = service.engine
            state.first_asked_at = (
                now if state.first_asked_at is None else state.first_asked_at
            )
            observe_arrivals(state, now, loads)
            renew_limits(
                state,
                gap,
                counts,
                loads,
                ServicePeers(service.name, self._totals),
                send_interval,
                now,
            )
            return capacity_view(state, counts, now, random.random())

    def free_permits(
        self,
        service: str,
        counts: Mapping[str, GroupCount],
        priority: int | None = None,
    ) -> dict[str, int]:
        """Return the permits that this daemon may use in each open group.

        Args:
          service: The service's name.
          counts: The streams that run in each group.
          priority: The priority of the stream that asks.

        Returns:
          The permits by group, below 0 where the daemon runs too many streams;
          0 for each group if none is open.
        """
        now = self._clock.elapsed()
        with self._lock:
            state = self._service(service)
            permits = open_permits(state, counts, priority, now)
        return permits or dict.fromkeys(counts, 0)

    def loads(self) -> tuple[StreamLoad, ...]:
        """Return what this daemon advertises of its streams, by service."""
        now = self._clock.elapsed()
        with self._lock:
            return tuple(
                stream_load(name, state, now)
                for name, state in self._services.items()
                if state.engine is not None
            )

    def class_states(self, service: str | None = None) -> list[ClassState]:
        """Return the waiting streams and the room of each priority.

        Args:
          service: The service's name, None for all services together.

        Returns:
          The states, the most urgent first.
        """
        with self._lock:
            services = [
                state
                for name, state in self._services.items()
                if service in {None, name}
            ]
        return class_states(services)

    def limit_reports(self) -> dict[str, GroupLimitReport]:
        """Return the limit of each group, by service and group."""
        with self._lock:
            return report_limits(self._services, self._clock.elapsed())

    def utilization(self, service: str, group: str) -> float:
        """Return how much of a group's time for passes is in use.

        Args:
          service: The service's name.
          group: The group's name.

        Returns:
          The running streams over those that have passes in time, as of the
          last stream that asked for a permit; 1 if none has.
        """
        with self._lock:
            known = self._service(service).groups.get(group)
            return known.utilization if known else 1

    def slow(self, service: str) -> frozenset[UpstreamIncarnation]:
        """Return the incarnations of the ranks that run slowly.

        Args:
          service: The service's name.

        Returns:
          The incarnations, as the planner's recent summaries list them.
        """
        now = self._clock.elapsed()
        with self._lock:
            return slow_ranks(self._service(service), now)

    def _service(self, service: str) -> ServiceCapacity:
        state = self._services.get(service)
        if state is None:
            state = ServiceCapacity(WaitQueue(self._clock))
            self._services[service] = state
        return state
