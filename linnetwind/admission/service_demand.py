"""The demand for a service's streams at one daemon, and its allowance."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.admission.class_arrivals import (
    ClassArrivals,
    class_demands,
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
    update_correction,
)
from linnetwind.admission.peer_totals import PeerTotals
from linnetwind.admission.permit_shares import (
    Demand,
    compute_allowance,
    compute_class_allowance,
    own_share,
)
from linnetwind.admission.queue_order import PermitRequest
from linnetwind.admission.service_state import ServiceCapacity
from linnetwind.peers.peer_table import (
    ClassLoad,
    PassTimePerStream,
    StreamLoad,
)
from linnetwind.routes import EngineProfile


@dataclass(frozen=True, slots=True)
class ServicePeers:
    """The totals over the other daemons, and the service that they are for."""

    service: str
    totals: PeerTotals


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

    The streams of customers above their share are also put behind the others,
    as both depend on the totals over the other daemons.

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
