"""The capacity of one service for streams, as one daemon knows it."""

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.admission.admission_policy import (
    CapacityView,
    reserve_for_arrivals,
    reserve_for_newcomers,
    spread_over_trough,
    spread_retry,
)
from linnetwind.admission.arrival_wave import ArrivalWave
from linnetwind.admission.group_capacity import (
    GROUP_EXPIRY,
    GroupCapacity,
    GroupCount,
    apply_summary,
    estimate_part,
    rate,
    recent_summary,
    serves_late,
    unavailable_for,
    update_correction,
)
from linnetwind.admission.permit_shares import Demand, own_share
from linnetwind.admission.slow_group import (
    AwaitRecovery,
    CallerPatience,
    StreamLengths,
    longest_bearable_ms,
)
from linnetwind.admission.wait_queue import WaitQueue
from linnetwind.peers.peer_table import (
    GroupSummary,
    PassTimePerStream,
    StreamLoad,
)
from linnetwind.ranks_by_group import SortedRanks, sort_ranks
from linnetwind.routes import EngineProfile
from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.upstream_list import Upstream

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


@dataclass
class ServiceCapacity:
    """The state of a service from which its free permits are computed.

    `arrivals` are the monotonic times at which streams arrived, `newcomers`
    those of streams that are no retries of rejected callers. `starts` are the
    durations from a stream's start to its first event. `group_of`, the group
    of each incarnation of a rank, comes from the summaries of the planner.
    `first_asked_at` is the monotonic time at which a stream first asked for a
    permit, `probed_at` that at which a stream was last running before the
    first summary of a planner. `patience` is what its callers bear, `lengths`
    counts the events of its streams, and `wave` describes their arrivals.
    """

    queue: WaitQueue
    arrivals: deque[timedelta] = field(default_factory=deque)
    newcomers: deque[timedelta] = field(default_factory=deque)
    starts: deque[timedelta] = field(default_factory=_no_starts)
    engine: EngineProfile | None = None
    groups: dict[str, GroupCapacity] = field(default_factory=dict)
    group_of: dict[UpstreamIncarnation, str] = field(default_factory=dict)
    sorted_ranks: SortedRanks | None = None
    first_asked_at: timedelta | None = None
    probed_at: timedelta | None = None
    patience: CallerPatience = CallerPatience()
    lengths: StreamLengths = StreamLengths()
    wave: ArrivalWave = ArrivalWave()

    @property
    def bearable_ms(self) -> float:
        """Return the longest pass with which no caller leaves."""
        return longest_bearable_ms(self.patience, self.lengths.mean_events)


def expire_groups(service: ServiceCapacity, now: timedelta) -> None:
    """Remove the groups of which no planner has sent a summary for long.

    Args:
      service: The service.
      now: The monotonic time.
    """
    for name, group in tuple(service.groups.items()):
        if group.summary is not None and now - group.summary_at > GROUP_EXPIRY:
            service.groups.pop(name)


def apply_group_summary(
    service: ServiceCapacity, summary: GroupSummary, now: timedelta
) -> None:
    """Apply the planner's summary of a group of a service.

    Args:
      service: The service.
      summary: The summary.
      now: The monotonic time.
    """
    group = service.groups.setdefault(summary.group, GroupCapacity())
    apply_summary(group, summary, now)
    expire_groups(service, now)
    others = {
        life: name
        for life, name in service.group_of.items()
        if name in service.groups and name != summary.group
    }
    members = dict.fromkeys(summary.members, summary.group)
    group_of = {**others, **members}
    if group_of != service.group_of:
        service.group_of = group_of


def ranks_by_group(
    service: ServiceCapacity, upstreams: Sequence[Upstream], now: timedelta
) -> SortedRanks:
    """Return a service's upstreams sorted by their rank groups.

    Args:
      service: The service, which keeps the result until it changes.
      upstreams: Upstreams of the service.
      now: The monotonic time.

    Returns:
      The sorted upstreams.
    """
    has_summary = any(
        recent_summary(each, now) for each in service.groups.values()
    )
    cached = service.sorted_ranks
    group_of = service.group_of
    if not cached or not cached.is_valid_for(
        upstreams, group_of, has_summary=has_summary
    ):
        cached = sort_ranks(upstreams, group_of, has_summary=has_summary)
        service.sorted_ranks = cached
    return cached


def capacity_view(
    service: ServiceCapacity,
    counts: Mapping[str, GroupCount],
    now: timedelta,
    chance: float,
) -> CapacityView:
    """Return the capacity on which the admission of a stream is decided.

    Args:
      service: The service.
      counts: The streams that run in each group; the service's state has to
        hold each of these groups.
      now: The monotonic time.
      chance: A random number from 0 to 1, which spreads retry times.

    Returns:
      The capacity of all groups together.
    """
    if _awaits_first_summary(service, now):
        return _view_without_summary(service, counts, now)
    waits = {
        name: unavailable_for(service.groups[name], count, now)
        for name, count in counts.items()
    }
    open_groups = {
        name: service.groups[name]
        for name, wait in waits.items()
        if wait is None
    }
    in_time = {
        name: group
        for name, group in open_groups.items()
        if not serves_late(group)
    }
    free = _count_free(in_time, counts)
    # Streams that end in a slow group free no permit for one in time.
    ends = _ends_per_s(in_time or open_groups, now)
    closed = [(wait, name) for name, wait in waits.items() if wait is not None]
    soonest, first = (None, None) if open_groups or not closed else min(closed)
    reserved = max(
        reserve_for_arrivals(free, rate(service.arrivals, now), ends),
        reserve_for_newcomers(rate(service.newcomers, now)),
    )
    return CapacityView(
        free,
        ends,
        _start_time(service),
        soonest,
        reserved,
        is_backoff=first is not None and soonest == counts[first].backoff,
        late_free=_count_free(open_groups, counts) - free,
        recovers_in=max(
            _recovers_in(open_groups, chance),
            spread_over_trough(service.wave.falls_in(now), chance),
        ),
    )


def prefer_groups_in_time(
    service: ServiceCapacity, permits: Mapping[str, int]
) -> dict[str, int]:
    """Withhold the permits of slow groups while other groups have any.

    Args:
      service: The service.
      permits: The permits of each open group.

    Returns:
      The permits that a stream may use now.
    """
    late = {name for name in permits if serves_late(service.groups[name])}
    if all(permits[name] <= 0 for name in permits if name not in late):
        return dict(permits)
    return {
        name: min(0, count) if name in late else count
        for name, count in permits.items()
    }


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
        _pass_time(group, each, service.engine, now)
        for group, each in service.groups.items()
    ]
    return StreamLoad(
        name,
        demand.waiting,
        demand.arrivals_per_s,
        tuple(each for each in parts if each.pauses),
    )


def _pass_time(
    name: str, group: GroupCapacity, engine: EngineProfile, now: timedelta
) -> PassTimePerStream:
    part_ms, pauses = estimate_part(group, now, engine)
    correction = update_correction(group, now, engine)
    if correction is None:
        return PassTimePerStream(name, part_ms, pauses)
    return PassTimePerStream(
        name,
        part_ms,
        pauses,
        round(correction.reading_ms, 1),
        round(correction.factor, 2),
    )


def observe_arrivals(
    service: ServiceCapacity, now: timedelta, loads: Sequence[StreamLoad]
) -> None:
    """Record the arrivals of a service's streams at all daemons.

    Args:
      service: The service.
      now: The monotonic time.
      loads: What the other daemons have advertised of the service's streams.
    """
    others = sum(each.arrivals_per_s for each in loads)
    service.wave = service.wave.add(now, rate(service.arrivals, now) + others)


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


def _count_free(
    groups: Mapping[str, GroupCapacity], counts: Mapping[str, GroupCount]
) -> int:
    """Return the permits that this daemon may use in some groups."""
    return sum(
        max(0, group.allowance.max_streams - counts[name].own_running)
        for name, group in groups.items()
    )


def _ends_per_s(groups: Mapping[str, GroupCapacity], now: timedelta) -> float:
    return sum(rate(group.ends, now) for group in groups.values())


def _recovers_in(
    groups: Mapping[str, GroupCapacity], chance: float
) -> timedelta:
    """Return when a rejected caller may retry if a group should recover."""
    decisions = [group.slow_decision for group in groups.values()]
    earliest = min(
        (
            each.recovers_in
            for each in decisions
            if isinstance(each, AwaitRecovery)
        ),
        default=timedelta(),
    )
    return spread_retry(earliest, chance) if earliest else earliest


def _demand(service: ServiceCapacity, now: timedelta) -> Demand:
    return Demand(service.queue.length, rate(service.arrivals, now))


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
