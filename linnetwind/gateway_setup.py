"""What a gateway daemon is told at its start."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.address import Address
from linnetwind.call_types import Dialect
from linnetwind.gateway_feeds import FeedPorts
from linnetwind.rank_types import RankPort
from linnetwind.repeat_budget import BudgetTerms
from linnetwind.upstream_list import Upstream


@dataclass(frozen=True, slots=True)
class GatewaySetup:
    """The settings of a gateway daemon.

    `mesh` is where peers reach it, `seeds` are peers to begin with. `power`
    tells how much the host bears beside others, in any unit.
    """

    name: str
    site: str
    front: Address
    readiness: Address
    metrics: Address
    mesh: Address
    seeds: tuple[Address, ...]
    stop_within: timedelta
    repeats: BudgetTerms
    power: int = 0


@dataclass(frozen=True, slots=True)
class GatewayPorts:
    """What the gateway needs from the platform it runs on.

    `front` listens where callers connect. It was opened first of all, so that
    callers wait in its queue while the daemon starts.
    """

    dialect: Dialect
    feeds: FeedPorts
    open_rank: Callable[[Upstream], RankPort]
    reload: Callable[[], GatewaySetup]
    front: socket.socket
