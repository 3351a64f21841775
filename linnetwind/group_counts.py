"""Counts the streams of rank groups, and whether their ranks accept more."""

from collections.abc import Mapping

from linnetwind.admission.group_capacity import GroupCount
from linnetwind.request_history import RequestHistory
from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.upstream_list import Upstream


def count_by_group(
    groups: Mapping[str, list[Upstream]],
    running: Mapping[UpstreamIncarnation, int],
    own: Mapping[UpstreamIncarnation, int],
    history: RequestHistory,
) -> dict[str, GroupCount]:
    """Count the streams and the ranks of each group.

    Args:
      groups: The usable ranks of each group.
      running: The requests of all daemons at each incarnation.
      own: The requests of this daemon at each incarnation.
      history: Knows the backoffs and the limits of upstreams.

    Returns:
      The counts by group.
    """
    backoffs = history.backoffs
    return {
        name: GroupCount(
            sum(running.get(each.life, 0) for each in members),
            sum(own.get(each.life, 0) for each in members),
            len(backoffs.without_backoff(members)),
            max(
                backoffs.remaining_for_all(members),
                history.limits.closed_for(members),
            ),
        )
        for name, members in groups.items()
    }
