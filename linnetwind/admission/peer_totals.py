"""The demand and the customers of all other daemons, by service and class.

The sums are updated with each state that arrives. If the loads of 400 daemons
were added up when the permits are divided, this would take 8 ms.
"""

import threading
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from linnetwind.admission.class_arrivals import advertised_demands
from linnetwind.admission.customer_shares import (
    CustomerTag,
    CustomerWork,
    unpack_customers,
)
from linnetwind.admission.permit_shares import Demand
from linnetwind.peers.peer_table import StreamLoad

# A sum below this is what rounding leaves of terms that were removed.
_ROUNDING = 0.000001


@dataclass
class _ClassSum:
    """The sums of one class over the daemons; `daemons` is their number."""

    daemons: int = 0
    waiting: int = 0
    arrivals_per_s: float = 0
    customers: dict[CustomerTag, tuple[float, float]] = field(
        default_factory=dict
    )

    def add(
        self,
        demand: Demand,
        customers: Mapping[CustomerTag, CustomerWork],
        sign: int,
    ) -> None:
        self.daemons += sign
        self.waiting += sign * demand.waiting
        self.arrivals_per_s += sign * demand.arrivals_per_s
        for customer, work in customers.items():
            asked, served = self.customers.pop(customer, (0, 0))
            asked += sign * work.asked
            served += sign * work.served
            if asked + served > _ROUNDING:
                self.customers[customer] = (max(0, asked), max(0, served))


class PeerTotals:
    """The sums over the other daemons; methods are thread-safe."""

    def __init__(self) -> None:
        """Start without other daemons."""
        self._lock = threading.Lock()
        self._loads: dict[str, tuple[StreamLoad, ...]] = {}
        self._sums: dict[str, dict[int, _ClassSum]] = defaultdict(dict)

    def merge(self, peer: str, loads: Sequence[StreamLoad]) -> None:
        """Replace the loads of a daemon.

        Args:
          peer: The daemon's name.
          loads: Its newest loads by service; none if it has timed out.
        """
        with self._lock:
            self._add(self._loads.pop(peer, ()), -1)
            if loads:
                self._loads[peer] = tuple(loads)
                self._add(loads, 1)

    def demands(self, service: str) -> dict[int, Demand]:
        """Return the demand of all other daemons by priority.

        Args:
          service: The service's name.

        Returns:
          The demand of the priorities that any of them has streams of.
        """
        with self._lock:
            return {
                priority: Demand(each.waiting, max(0, each.arrivals_per_s))
                for priority, each in self._sums.get(service, {}).items()
            }

    def customers(
        self, service: str, priority: int
    ) -> dict[CustomerTag, CustomerWork]:
        """Return the work of the customers that other daemons advertise.

        Args:
          service: The service's name.
          priority: The priority of their streams.

        Returns:
          The work by customer.
        """
        with self._lock:
            known = self._sums.get(service, {}).get(priority)
            found = known.customers.items() if known else ()
            return {customer: CustomerWork(*work) for customer, work in found}

    def _add(self, loads: Sequence[StreamLoad], sign: int) -> None:
        for load in loads:
            packed = {each.priority: each.customers for each in load.classes}
            sums = self._sums[load.service]
            for priority, demand in advertised_demands(load).items():
                total = sums.setdefault(priority, _ClassSum())
                customers = unpack_customers(packed.get(priority, b''))
                total.add(demand, customers, sign)
                if not total.daemons:
                    sums.pop(priority)
            if not sums:
                self._sums.pop(load.service)
