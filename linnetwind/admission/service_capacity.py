"""The capacity of one service for streams, as one daemon knows it."""

from collections.abc import Mapping, Sequence
from datetime import timedelta

from linnetwind.admission.admission_policy import (
    CapacityView,
    reserve_for_arrivals,
    reserve_for_newcomers,
)
from linnetwind.admission.class_arrivals import class_rates
from linnetwind.admission.group_capacity import (
    GroupCapacity,
    GroupCount,
    rate,
    serves_late,
    unavailable_for,
)
from linnetwind.admission.retry_times import (
    spread_over_trough,
    spread_until_latest,
)
from linnetwind.admission.service_demand import own_demands
from linnetwind.admission.service_state import ServiceCapacity
from linnetwind.admission.slow_group import AwaitRecovery
from linnetwind.admission.urgency import ClassRate

# The quantile of the times of recent starts that is the estimate of the next.
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


def capacity_view(
    service: ServiceCapacity,
    counts: Mapping[str, GroupCount],
    now: timedelta,
    chance: float,
) -> CapacityView:
    """Return the capacity on which the admission of a stream is decided.

    The permits of each priority are kept in the service, for metrics.

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
    rates = class_rates(
        service.classes,
        service.peer_priorities | own_demands(service, now).keys(),
        now,
    )
    # Streams that end in a slow group free no permit for one in time.
    ends = _ends_per_s(in_time or open_groups, now)
    soonest, is_backoff = _next_opening(waits, counts)
    view = CapacityView(
        free,
        ends,
        _start_time(service),
        soonest,
        max(
            reserve_for_arrivals(free, rate(service.arrivals, now), ends),
            reserve_for_newcomers(rate(service.newcomers, now)),
        ),
        is_backoff=is_backoff,
        rates=rates,
        free_by_class=_free_by_class(rates, in_time, counts),
        late_free=_count_free(open_groups, counts) - free,
        recovers_in=max(
            _recovers_in(open_groups, chance),
            spread_over_trough(service.wave.falls_in(now), chance),
        ),
    )
    service.rooms = {each: view.free_for(each) for each in service.classes}
    return view


def open_permits(
    service: ServiceCapacity,
    counts: Mapping[str, GroupCount],
    priority: int | None,
    now: timedelta,
) -> dict[str, int]:
    """Return the permits that a stream may use in each open group.

    Args:
      service: The service.
      counts: The streams that run in each group.
      priority: The priority of the stream, None for the most urgent.
      now: The monotonic time.

    Returns:
      The permits by group, below 0 where the daemon runs too many streams.
    """
    groups = service.groups
    permits = {
        name: groups[name].allowance.max_of(priority) - count.own_running
        for name, count in counts.items()
        if name in groups and unavailable_for(groups[name], count, now) is None
    }
    return _prefer_groups_in_time(service, permits)


def _prefer_groups_in_time(
    service: ServiceCapacity, permits: Mapping[str, int]
) -> dict[str, int]:
    """Withhold the permits of slow groups while other groups have any."""
    late = {name for name in permits if serves_late(service.groups[name])}
    if all(permits[name] <= 0 for name in permits if name not in late):
        return dict(permits)
    return {
        name: min(0, count) if name in late else count
        for name, count in permits.items()
    }


def _count_free(
    groups: Mapping[str, GroupCapacity],
    counts: Mapping[str, GroupCount],
    priority: int | None = None,
) -> int:
    """Return the permits in some groups, of all priorities if it is None."""
    return sum(
        max(0, group.allowance.max_of(priority) - counts[name].own_running)
        for name, group in groups.items()
    )


def _next_opening(
    waits: Mapping[str, timedelta | None], counts: Mapping[str, GroupCount]
) -> tuple[timedelta | None, bool]:
    """Return when the first group opens, and whether a backoff ends then.

    The time is None if a group is open, or if there are no groups.
    """
    if not waits or None in waits.values():
        return None, False
    soonest, first = min((wait, name) for name, wait in waits.items())
    return soonest, soonest == counts[first].backoff


def _free_by_class(
    rates: Sequence[ClassRate],
    groups: Mapping[str, GroupCapacity],
    counts: Mapping[str, GroupCount],
) -> tuple[int, ...]:
    return tuple(_count_free(groups, counts, each.priority) for each in rates)


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
    return spread_until_latest(earliest, chance) if earliest else earliest


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
