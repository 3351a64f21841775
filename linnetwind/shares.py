"""Dividing a customer's limits among entry daemons by their demand.

Each customer has a home among the side daemons, found by hash; entry
daemons tell it their demand once a second and get their part of the limit.
The home keeps nothing that matters: a new one knows all demands within a
second. An entry daemon that hears nothing keeps its last part.
"""

from collections.abc import Sequence
from datetime import timedelta

import xxhash

from linnetwind.clock import Clock
from linnetwind.messages import CustomerShare, Demand, Shares

# Demand older than this is of an entry daemon that has gone.
FORGET_AFTER = timedelta(seconds=5)

# This part of the limit is held by all alike, so that a daemon at which a
# customer turns up for the first time can serve it before it is told more.
_EVEN_PART = 0.1


class ShareHome:
    """The demands known at one home."""

    def __init__(self, clock: Clock) -> None:
        """Start knowing none.

        Args:
          clock: For the age of demands.
        """
        self._clock = clock
        self._entries: dict[str, timedelta] = {}
        self._demands: dict[str, dict[str, float]] = {}

    def take(self, demand: Demand) -> Shares:
        """Take an entry daemon's demand.

        Args:
          demand: What its customers asked for.

        Returns:
          Its part of each of these customers' limits.
        """
        self._entries[demand.entry] = self._clock.elapsed()
        self._forget_old()
        shares = []
        for each in demand.demands:
            wanted = self._demands.setdefault(each.customer, {})
            wanted[demand.entry] = each.tokens + each.requests
            fraction = self._fraction(wanted, demand.entry)
            shares.append(CustomerShare(each.customer, fraction))
        return Shares(tuple(shares))

    def _fraction(self, wanted: dict[str, float], entry: str) -> float:
        total = sum(wanted.values()) or 1
        by_demand = wanted[entry] / total
        even = 1 / len(self._entries)
        return _EVEN_PART * even + (1 - _EVEN_PART) * by_demand

    def _forget_old(self) -> None:
        oldest = self._clock.elapsed() - FORGET_AFTER
        gone = [name for name, at in self._entries.items() if at < oldest]
        for name in gone:
            self._entries.pop(name)
            for wanted in self._demands.values():
                wanted.pop(name, None)


def home_of(customer: str, sides: Sequence[str]) -> str | None:
    """Return the side that divides a customer's limits.

    Args:
      customer: The customer's name.
      sides: The sides that are connected.

    Returns:
      The same side for all entry daemons that see the same sides.
    """
    if not sides:
        return None
    return max(
        sides,
        key=lambda side: xxhash.xxh3_64_intdigest(
            f'{customer}/{side}'.encode()
        ),
    )
