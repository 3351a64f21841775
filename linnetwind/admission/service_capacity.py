"""The capacity of one service for streams, as one daemon knows it."""

import random
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.admission.admission_policy import (
    CapacityView,
    reserve_for_arrivals,
    reserve_for_newcomers,
)
from linnetwind.admission.class_arrivals import (
    ClassArrivals,
    class_demands,
    class_rates,
)
from linnetwind.admission.customer_shares import (
    CustomerTag,
    customers_above_share,
    merge_works,
    remembered,
)
from linnetwind.admission.group_capacity import (
    GroupCapacity,
    GroupCount,
    estimate_part,
    expire_times,
    rate,
    unavailable_for,
)
from linnetwind.admission.peer_totals import PeerTotals
from linnetwind.admission.permit_shares import (
    Demand,
    compute_allowance,
    compute_class_allowance,
    own_share,
)
from linnetwind.admission.queue_order import PermitRequest
from linnetwind.admission.wait_queue import WaitQueue
from linnetwind.peers.peer_table import (
    ClassLoad,
    PassTimePerStream,
    StreamLoad,
)
from linnetwind.ranks_by_group import SortedRanks
from linnetwind.routes import EngineProfile
from linnetwind.upstream_incarnation import UpstreamIncarnation

# The number of recent starts from which the time of the next one is estimated,
# and the quantile of their times that is the estimate.
_STARTS = 24
_START_QUANTILE = 0.9
# The estimate before any start: the rest of a pass that is in progress, and
# one that reads the prompt and generates the first output.
_FIRST_START_MS = 200
_FIRST_START = timedelta(milliseconds=_FIRST_START_MS)
# How long a daemon that has just started waits for a planner's first summary
# of a group. After a power loss all daemons start before the groups have
# formed, and ranks refuse streams until then. One probe stream at a time is
# admitted nevertheless: if only the daemons had stopped, its first event shows
# that the group runs streams.
_SUMMARY_WAIT_MS = 1000
_SUMMARY_WAIT = timedelta(milliseconds=_SUMMARY_WAIT_MS)
_PROBES = 1
# The time between probes. A rank of a group that is still forming refuses at
# once, so without this delay each queued stream in turn would become a probe
# and be refused.
_PROBE_INTERVAL_MS = 300
_PROBE_INTERVAL = timedelta(milliseconds=_PROBE_INTERVAL_MS)


def _no_starts() -> deque[timedelta]:
    return deque(maxlen=_STARTS)


@dataclass(frozen=True, slots=True)
class ServicePeers:
    """The totals over the other daemons, and the service that they are for."""

    service: str
    totals: PeerTotals


@dataclass
class ServiceCapacity:
    """The state of a service from which its free permits are computed.

    `arrivals` are the monotonic times at which streams arrived, `newcomers`
    those of streams that are no retries of rejected callers, and `classes`
    both by priority. `peer_priorities` are those of other daemons' streams,
    and `rooms` the permits for each priority in the last view.
    `starts` are the durations from a stream's start to its first event.
    `group_of`, the group of each incarnation of a rank, comes from the
    summaries of the planner. `first_asked_at` is the monotonic time at which a
    stream first asked for a permit, `probed_at` that at which a stream was last
    running before the first summary of a planner.
    """

    queue: WaitQueue
    arrivals: deque[timedelta] = field(default_factory=deque)
    newcomers: deque[timedelta] = field(default_factory=deque)
    classes: dict[int, ClassArrivals] = field(default_factory=dict)
    peer_priorities: frozenset[int] = frozenset()
    rooms: dict[int, int] = field(default_factory=dict)
    starts: deque[timedelta] = field(default_factory=_no_starts)
    engine: EngineProfile | None = None
    groups: dict[str, GroupCapacity] = field(default_factory=dict)
    group_of: dict[UpstreamIncarnation, str] = field(default_factory=dict)
    sorted_ranks: SortedRanks | None = None
    first_asked_at: timedelta | None = None
    probed_at: timedelta | None = None


def record_arrival(
    service: ServiceCapacity, request: PermitRequest, now: timedelta
) -> None:
    """Record a stream that asks for a permit.

    Args:
      service: The service.
      request: The stream's request for a permit.
      now: The monotonic time.
    """
    by_class = service.classes.setdefault(request.priority, ClassArrivals())
    recorded = [service.arrivals, by_class.arrivals]
    if not request.returning:
        recorded.extend((service.newcomers, by_class.newcomers))
    for times in recorded:
        times.append(now)
        expire_times(times, now)


def own_demands(service: ServiceCapacity, now: timedelta) -> dict[int, Demand]:
    """Return this daemon's demand by priority."""
    waiting = service.queue.waiting_by_priority()
    return class_demands(service.classes, waiting, now)


def renew_allowance(
    service: ServiceCapacity,
    group: GroupCapacity,
    count: GroupCount,
    free: int,
    share: float,
    peers: ServicePeers,
    now: timedelta,
) -> None:
    """Compute anew how many streams this daemon may run in a group.

    Args:
      service: The service.
      group: The group.
      count: Its streams.
      free: Its free permits.
      share: This daemon's share of them while all priorities are equal.
      peers: The demand and the customers of the other daemons.
      now: The monotonic time.
    """
    service.queue.put_behind(_above_share(service, peers, now))
    rounding = random.random()
    own = own_demands(service, now)
    others = peers.totals.demands(peers.service)
    service.peer_priorities = frozenset(others)
    if len(service.peer_priorities | own.keys()) < 2:
        group.allowance = compute_allowance(
            now, count.own_running, free, share, rounding
        )
        return
    group.allowance = compute_class_allowance(
        now,
        count.own_running,
        free,
        own,
        others,
        rounding,
        1 / max(1, len(service.groups)),
    )


def capacity_view(
    service: ServiceCapacity, counts: Mapping[str, GroupCount], now: timedelta
) -> CapacityView:
    """Return the capacity on which the admission of a stream is decided.

    Args:
      service: The service.
      counts: The streams that run in each group; the service's state has to
        hold each of these groups.
      now: The monotonic time.

    Returns:
      The capacity of all groups together.
    """
    if _awaits_first_summary(service, now):
        return _view_without_summary(service, counts, now)
    waits = {
        name: unavailable_for(service.groups[name], count, now)
        for name, count in counts.items()
    }
    open_counts = {
        name: counts[name] for name, wait in waits.items() if wait is None
    }
    free = _free_for(None, service, open_counts)
    rates = class_rates(
        service.classes,
        service.peer_priorities | own_demands(service, now).keys(),
        now,
    )
    ends = sum(rate(service.groups[name].ends, now) for name in open_counts)
    closed = [(wait, name) for name, wait in waits.items() if wait is not None]
    soonest, first = (None, None) if open_counts or not closed else min(closed)
    reserved = max(
        reserve_for_arrivals(free, rate(service.arrivals, now), ends),
        reserve_for_newcomers(rate(service.newcomers, now)),
    )
    view = CapacityView(
        free,
        ends,
        _start_time(service),
        soonest,
        reserved,
        is_backoff=first is not None and soonest == counts[first].backoff,
        rates=rates,
        free_by_class=tuple(
            _free_for(each.priority, service, open_counts) for each in rates
        ),
    )
    service.rooms = {each: view.free_for(each) for each in service.classes}
    return view


def stream_load(
    name: str, service: ServiceCapacity, now: timedelta
) -> StreamLoad:
    """Return what this daemon advertises to its peers of a service's streams.

    Args:
      name: The service's name.
      service: The service.
      now: The monotonic time.

    Returns:
      The demand at this daemon, and its estimates of each group's pass time.
    """
    demand = _demand(service, now)
    parts = [
        PassTimePerStream(group, *estimate_part(each, now, service.engine))
        for group, each in service.groups.items()
    ]
    return StreamLoad(
        name,
        demand.waiting,
        demand.arrivals_per_s,
        tuple(each for each in parts if each.pauses),
        tuple(
            ClassLoad(
                priority,
                each.waiting,
                each.arrivals_per_s,
                service.queue.largest_customers(priority, now),
            )
            for priority, each in own_demands(service, now).items()
        ),
    )


def permit_share(
    service: ServiceCapacity,
    now: timedelta,
    loads: Sequence[StreamLoad],
    window: timedelta,
) -> float:
    """Return this daemon's share of the permits that become free.

    Args:
      service: The service.
      now: The monotonic time.
      loads: What the other daemons have advertised of the service's streams.
      window: How long the share is used.

    Returns:
      A share from 0 to 1.
    """
    others = [Demand(each.waiting, each.arrivals_per_s) for each in loads]
    return own_share(_demand(service, now), others, window)


def _demand(service: ServiceCapacity, now: timedelta) -> Demand:
    return Demand(service.queue.length, rate(service.arrivals, now))


def _above_share(
    service: ServiceCapacity, peers: ServicePeers, now: timedelta
) -> dict[int, frozenset[CustomerTag]]:
    """Return the customers above their share in the classes that wait."""
    customers = service.queue.customers
    return {
        priority: customers_above_share(
            merge_works(
                remembered(customers.get(priority, {}), now),
                peers.totals.customers(peers.service, priority),
            )
        )
        for priority in service.queue.waiting_by_priority()
    }


def _free_for(
    priority: int | None,
    service: ServiceCapacity,
    counts: Mapping[str, GroupCount],
) -> int:
    """Return the permits in some groups, of all priorities if it is None."""
    allowances = {name: service.groups[name].allowance for name in counts}
    return sum(
        max(0, allowances[name].max_of(priority) - count.own_running)
        for name, count in counts.items()
    )


def _view_without_summary(
    service: ServiceCapacity, counts: Mapping[str, GroupCount], now: timedelta
) -> CapacityView:
    """Return the capacity before any planner has sent a summary of a group."""
    forming = timedelta(milliseconds=service.engine.form_ms)
    running = sum(each.own_running for each in counts.values())
    if running:
        service.probed_at = now
    probed_lately = (
        service.probed_at is not None
        and now - service.probed_at < _PROBE_INTERVAL
    )
    probes = 0 if probed_lately else _PROBES
    return CapacityView(0, 0, _start_time(service), forming, probes=probes)


def _awaits_first_summary(service: ServiceCapacity, now: timedelta) -> bool:
    if service.engine is None or not service.engine.layers:
        return False
    if service.starts or any(each.summary for each in service.groups.values()):
        return False
    return (
        service.first_asked_at is not None
        and now - service.first_asked_at < _SUMMARY_WAIT
    )


def _start_time(service: ServiceCapacity) -> timedelta:
    if not service.starts:
        return _FIRST_START
    return sorted(service.starts)[int(len(service.starts) * _START_QUANTILE)]
