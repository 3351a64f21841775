"""Renews the stream limits of a service's groups, and the allowances."""

from collections.abc import Mapping, Sequence
from datetime import timedelta

from linnetwind.admission.group_capacity import (
    GroupCapacity,
    GroupCount,
    group_stream_limit,
)
from linnetwind.admission.service_demand import (
    ServicePeers,
    permit_share,
    renew_allowance,
)
from linnetwind.admission.service_state import ServiceCapacity
from linnetwind.peers.peer_table import StreamLoad


def renew_limits(
    service: ServiceCapacity,
    gap: timedelta,
    counts: Mapping[str, GroupCount],
    loads: Sequence[StreamLoad],
    peers: ServicePeers,
    send_interval: timedelta,
    now: timedelta,
) -> None:
    """Compute the limit of each group anew.

    A daemon's allowance of permits is computed anew once for each interval at
    which the peers send their states.

    Args:
      service: The service, which has engines.
      gap: The longest pause that is in time.
      counts: The streams that run in each group, and its ranks.
      loads: What the other daemons have advertised of the service's streams.
      peers: The demand and the customers of the other daemons.
      send_interval: How often each of them sends its state.
      now: The monotonic time.
    """
    share = permit_share(service, now, loads, send_interval)
    for name, count in counts.items():
        group = service.groups.setdefault(name, GroupCapacity())
        limit = group_stream_limit(
            group,
            now,
            service.engine,
            gap,
            count.ranks,
            [
                part
                for load in loads
                for part in load.parts
                if part.group == name
            ],
            service.tolerable_ms,
        )
        # Where the slots bound the limit, passes stay shorter than they need to
        # be, and a better expert map brings callers nothing.
        group.utilization = count.running / max(
            limit, group.forecast.streams_within(gap)
        )
        if now - group.allowance.at >= send_interval:
            free = limit - count.running
            renew_allowance(service, group, count, free, share, peers, now)
