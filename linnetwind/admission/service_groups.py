"""The rank groups of one service, as the planners announce them."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.admission.group_capacity import (
    GROUP_EXPIRY,
    UNNAMED_GROUP,
    GroupCapacity,
    apply_summary,
    opens_in,
    recent_summary,
)
from linnetwind.admission.service_state import ServiceCapacity
from linnetwind.peers.peer_table import GroupSummary
from linnetwind.ranks_by_group import sort_ranks
from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.upstream_list import Upstream


@dataclass(frozen=True, slots=True)
class ClassState:
    """The streams of one priority that wait at this daemon.

    `room` counts the permits that they could use when a stream last asked.
    """

    priority: int
    waiting: int
    room: int


def class_states(services: Iterable[ServiceCapacity]) -> list[ClassState]:
    """Return the state of each priority over several services.

    Args:
      services: The services.

    Returns:
      The states, the most urgent first.
    """
    known = list(services)
    waiting = [each.queue.waiting_by_priority() for each in known]
    priorities = sorted({key for each in known for key in each.rooms})
    return [
        ClassState(
            priority,
            sum(each[priority] for each in waiting),
            sum(each.rooms.get(priority, 0) for each in known),
        )
        for priority in priorities
    ]


def group_capacity_of(
    service: ServiceCapacity, upstream: Upstream
) -> GroupCapacity:
    """Return the state of the group that a rank belongs to.

    Args:
      service: The rank's service.
      upstream: The rank.

    Returns:
      The state of its group, a new one if the group is not known yet.
    """
    name = service.group_of.get(upstream.life, UNNAMED_GROUP)
    return service.groups.setdefault(name, GroupCapacity())


def merge_summary(
    service: ServiceCapacity, summary: GroupSummary, now: timedelta
) -> None:
    """Apply the planner's summary of a group.

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


def expire_groups(service: ServiceCapacity, now: timedelta) -> None:
    """Remove the groups of which no planner has sent a summary for long.

    Args:
      service: The service.
      now: The monotonic time.
    """
    for name, group in tuple(service.groups.items()):
        if group.summary is not None and now - group.summary_at > GROUP_EXPIRY:
            service.groups.pop(name)


def time_until_open(
    service: ServiceCapacity, now: timedelta
) -> timedelta | None:
    """Return the time until a service without an open group has one.

    Args:
      service: The service.
      now: The monotonic time.

    Returns:
      The estimated time; None if a group is open, or none is known.
    """
    groups = service.groups.values()
    named = [each for each in groups if each.summary is not None]
    waits = [opens_in(each, now) for each in named or groups]
    return None if None in waits else min(waits, default=None)


def ranks_by_group(
    service: ServiceCapacity, upstreams: Sequence[Upstream], now: timedelta
) -> Mapping[str, list[Upstream]]:
    """Sort a service's upstreams by their rank groups.

    Args:
      service: The service; it keeps the result until its groups change.
      upstreams: Upstreams of the service.
      now: The monotonic time.

    Returns:
      The upstreams by group.
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
    return cached.by_group


def slow_ranks(
    service: ServiceCapacity, now: timedelta
) -> frozenset[UpstreamIncarnation]:
    """Return the incarnations of a service's ranks that run slowly.

    Args:
      service: The service.
      now: The monotonic time.

    Returns:
      The incarnations, as the planner's recent summaries list them.
    """
    summaries = [recent_summary(each, now) for each in service.groups.values()]
    return frozenset(life for each in summaries if each for life in each.slow)
