"""The settings and the platform interfaces of a gateway daemon."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.address import Address
from linnetwind.admission.idle_connections import IdleConnections
from linnetwind.admission.memory_budget import derive_budget
from linnetwind.admission.shared_retry_budget import RetryBudgetTerms
from linnetwind.bytes_in_hand import BytesInHand
from linnetwind.call_types import Dialect
from linnetwind.clock import Clock
from linnetwind.event_log import EventLog
from linnetwind.gateway_events import ConnectionsShed
from linnetwind.gateway_feeds import FeedPorts
from linnetwind.rank_types import RankPort
from linnetwind.upstreams.cold_allowance import ColdBound, ColdTolerance
from linnetwind.upstreams.upstream_list import Upstream


@dataclass(frozen=True, slots=True)
class GatewaySetup:
    """The settings of a gateway daemon.

    `front` is the address for callers, `mesh` the address for peers, and
    `seeds` are the addresses of the first peers. `stop_within` is the grace
    period: the time from SIGTERM until the process is killed. `power` is the
    capacity of the host relative to other hosts, in any unit. `cold_tolerance`
    is None if requests to cold upstreams are not limited. `memory_bytes` is the
    memory of the host, None if it is not stated.
    """

    name: str
    site: str
    front: Address
    readiness: Address
    metrics: Address
    mesh: Address
    seeds: tuple[Address, ...]
    stop_within: timedelta
    retry_terms: RetryBudgetTerms
    power: int = 0
    cold_tolerance: ColdTolerance | None = None
    memory_bytes: int | None = None

    @property
    def cold_bound(self) -> ColdBound:
        """Return the bound for cold upstreams."""
        has_peers = bool(set(self.seeds) - {self.mesh})
        return ColdBound(self.cold_tolerance, has_peers)


@dataclass(frozen=True, slots=True)
class GatewayPorts:
    """The interfaces of a gateway to the platform that it runs on.

    `front` is the listening socket for callers. It is opened before everything
    else, so that callers wait in its queue while the daemon starts.
    """

    dialect: Dialect
    feeds: FeedPorts
    open_rank: Callable[[Upstream], RankPort]
    reload: Callable[[], GatewaySetup]
    front: socket.socket


def make_bytes_in_hand(setup: GatewaySetup) -> BytesInHand:
    """Make the account of the bodies that a daemon holds.

    Args:
      setup: The settings of the daemon.

    Returns:
      The account, limited by the memory of the host.
    """
    return BytesInHand(derive_budget(setup.memory_bytes))


def make_idle_connections(clock: Clock, log: EventLog) -> IdleConnections:
    """Make the list of connections that may be closed to make room.

    Args:
      clock: The clock.
      log: Receives the numbers of connections that were closed.

    Returns:
      The list, without connections.
    """
    idle = IdleConnections(clock)
    idle.report_to(
        lambda closed_idle, closed_unread: log.event(
            ConnectionsShed(closed_idle, closed_unread)
        )
    )
    return idle
