"""Divide a customer's limits among the entry daemons by demand.

One of the side daemons, found by hash, divides the limits of each customer: its
owner. Entry daemons send it their demand once a second and receive their
fraction of the limit in reply. The owner keeps no state that must survive: a
new owner knows all demands within a second. An entry daemon that gets no reply
keeps its last fraction.
"""

from collections.abc import Sequence
from datetime import timedelta

import xxhash

from linnetwind.clock import Clock
from linnetwind.messages import CustomerShare, Demand, Shares

# The demand of an entry daemon that has not sent any for this long is
# discarded, since the daemon has stopped.
DEMAND_EXPIRY = timedelta(seconds=5)

# This fraction of the limit is divided evenly, so that an entry daemon that
# sees a customer for the first time can serve it before the owner has replied.
_EVEN_FRACTION = 0.1


class ShareAllocator:
    """Allocates limits from the demands that one owner knows."""

    def __init__(self, clock: Clock) -> None:
        """Start without any demand.

        Args:
          clock: The clock that gives the age of demands.
        """
        self._clock = clock
        self._last_seen: dict[str, timedelta] = {}
        self._demand_by_customer: dict[str, dict[str, float]] = {}

    def apply_demand(self, demand: Demand) -> Shares:
        """Apply the demand of an entry daemon.

        Args:
          demand: The demand of its customers in the last interval.

        Returns:
          The entry daemon's fraction of the limits of each of these customers.
        """
        self._last_seen[demand.entry] = self._clock.elapsed()
        self._expire_demands()
        shares = []
        for customer_demand in demand.demands:
            demand_by_entry = self._demand_by_customer.setdefault(
                customer_demand.customer, {}
            )
            demand_by_entry[demand.entry] = (
                customer_demand.tokens + customer_demand.requests
            )
            fraction = self._fraction(demand_by_entry, demand.entry)
            shares.append(CustomerShare(customer_demand.customer, fraction))
        return Shares(tuple(shares))

    def _fraction(self, demand_by_entry: dict[str, float], entry: str) -> float:
        total = sum(demand_by_entry.values()) or 1
        by_demand = demand_by_entry[entry] / total
        even = 1 / len(self._last_seen)
        return _EVEN_FRACTION * even + (1 - _EVEN_FRACTION) * by_demand

    def _expire_demands(self) -> None:
        oldest = self._clock.elapsed() - DEMAND_EXPIRY
        expired = [
            entry
            for entry, seen_at in self._last_seen.items()
            if seen_at < oldest
        ]
        for entry in expired:
            self._last_seen.pop(entry)
            for demand_by_entry in self._demand_by_customer.values():
                demand_by_entry.pop(entry, None)


def share_owner(customer: str, sides: Sequence[str]) -> str | None:
    """Return the side daemon that divides a customer's limits.

    Args:
      customer: The customer's name.
      sides: The names of the connected side daemons.

    Returns:
      The owner, the same for all entry daemons that are connected to the same
      sides; None without any side.
    """
    if not sides:
        return None
    return max(
        sides,
        key=lambda side: xxhash.xxh3_64_intdigest(
            f'{customer}/{side}'.encode()
        ),
    )
