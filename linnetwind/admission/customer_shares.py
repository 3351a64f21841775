"""Divides what a class of streams gets among the customers that ask.

Handles a customer that asks for far more than others while streams wait: by
order of arrival it would get permits in proportion to its requests, and small
customers would be rejected as often as it is. Shares are max-min fair in work:
a customer that asks for less than its share gets all of it, and the rest is
divided equally among the others.

Work that was asked for or served is forgotten within seconds, so that the
share of an idle customer is available to the others.
"""

import struct
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from math import exp, isfinite
from typing import Self

from linnetwind.admission.urgency import FLOOR

# The time constant with which work is forgotten.
MEMORY = timedelta(seconds=4)
# The customers of each class that a daemon advertises: those that ask for most.
MAX_ADVERTISED = 8
# Less work than this is not remembered.
_MIN_WORK = 0.02
# The customers that a daemon remembers in each service and class.
_MAX_CUSTOMERS = 256
# A customer is advertised as its tag, the work it asked for and was served.
_PACKED = struct.Struct('<Iff')


@dataclass(frozen=True, slots=True)
class CustomerWork:
    """The work of a customer's streams as of the monotonic time `at`.

    `asked` is that of newcomers: retries do not ask for more. A stream of mean
    size has the work 1.
    """

    asked: float
    served: float
    at: timedelta = timedelta()

    def aged(self, now: timedelta) -> Self:
        """Return the work that is remembered at a later monotonic time."""
        kept = exp(-max(timedelta(), now - self.at) / MEMORY)
        return CustomerWork(self.asked * kept, self.served * kept, now)


CustomerTag = int
_NONE = CustomerWork(0, 0)


def customer_tag(customer: str) -> CustomerTag:
    """Return the number by which daemons name a customer to each other."""
    return zlib.crc32(customer.encode())


def add_work(
    works: Mapping[CustomerTag, CustomerWork],
    customer: CustomerTag,
    change: CustomerWork,
) -> dict[CustomerTag, CustomerWork]:
    """Return the work of customers with that of one more stream.

    Args:
      works: The work by customer.
      customer: The stream's customer.
      change: The work that was asked for or served at its time.

    Returns:
      The work by customer, without those who have not asked for long. Beyond a
      number of customers, those with the least work are left out.
    """
    aged = works.get(customer, _NONE).aged(change.at)
    changed = {
        **works,
        customer: CustomerWork(
            aged.asked + change.asked, aged.served + change.served, change.at
        ),
    }
    if len(changed) <= _MAX_CUSTOMERS:
        return changed
    largest = _largest(changed, change.at, _MAX_CUSTOMERS // 2)
    return {**largest, customer: changed[customer]}


def fair_level(demands: Iterable[float], room: float) -> float:
    """Return the work up to which each customer is served.

    Args:
      demands: The work that each customer asks for.
      room: The work that can be served.

    Returns:
      The level at which the demands up to it add up to the room; infinity if
      the room is enough for all.
    """
    ordered = sorted(demands)
    left = room
    for served, demand in enumerate(ordered):
        level = left / (len(ordered) - served)
        if demand > level:
            return max(0, level)
        left -= demand
    return float('inf')


def customers_above_share(
    works: Mapping[CustomerTag, CustomerWork],
) -> frozenset[CustomerTag]:
    """Return the customers that were served more than their fair share.

    Args:
      works: The work of each customer of one class over all daemons, as of one
        time.

    Returns:
      The customers whose streams should wait behind those of the others. One
      that is served less than a quarter as often as all is never among them.
    """
    asked = sum(each.asked for each in works.values())
    served = sum(each.served for each in works.values())
    if len(works) < 2 or not asked:
        return frozenset()
    level = fair_level(
        (max(each.asked, each.served) for each in works.values()), served
    )
    floor = FLOOR * min(1, served / asked)
    return frozenset(
        customer
        for customer, each in works.items()
        if each.served > max(level, floor * each.asked)
    )


def pack_customers(
    works: Mapping[CustomerTag, CustomerWork], now: timedelta
) -> bytes:
    """Encode the customers that ask for most, for the peers.

    Args:
      works: The work by customer.
      now: The monotonic time.

    Returns:
      The bytes; the number of customers is bounded.
    """
    return b''.join(
        _PACKED.pack(customer, each.asked, each.served)
        for customer, each in _largest(works, now, MAX_ADVERTISED).items()
    )


def unpack_customers(packed: bytes) -> dict[CustomerTag, CustomerWork]:
    """Decode the customers that another daemon advertises.

    Args:
      packed: The encoded customers.

    Returns:
      The work by customer; none if the bytes are not whole entries, and
      without numbers that are no work.
    """
    if len(packed) % _PACKED.size:
        return {}
    return {
        customer: CustomerWork(asked, served)
        for customer, asked, served in _PACKED.iter_unpack(packed)
        if isfinite(asked + served) and min(asked, served) >= 0
    }


def merge_works(
    *parts: Mapping[CustomerTag, CustomerWork],
) -> dict[CustomerTag, CustomerWork]:
    """Add up the work of customers.

    Args:
      parts: The work by customer, as of one time.

    Returns:
      The sums by customer.
    """
    sums: dict[CustomerTag, CustomerWork] = {}
    for part in parts:
        for customer, work in part.items():
            before = sums.get(customer, _NONE)
            sums[customer] = CustomerWork(
                before.asked + work.asked, before.served + work.served
            )
    return sums


def remembered(
    works: Mapping[CustomerTag, CustomerWork], now: timedelta
) -> dict[CustomerTag, CustomerWork]:
    """Return the work that is remembered at a time, without traces.

    Args:
      works: The work by customer.
      now: The monotonic time.

    Returns:
      The work as of that time.
    """
    aged = {key: each.aged(now) for key, each in works.items()}
    return {
        key: each
        for key, each in aged.items()
        if each.asked + each.served >= _MIN_WORK
    }


def _largest(
    works: Mapping[CustomerTag, CustomerWork], now: timedelta, number: int
) -> dict[CustomerTag, CustomerWork]:
    kept = remembered(works, now)
    chosen = sorted(kept, key=lambda key: (-kept[key].asked, key))[:number]
    return {key: kept[key] for key in chosen}
