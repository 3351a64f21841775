"""The order in which the queued streams of a service get permits.

Newcomers come before the retries of rejected callers, which take the permits
that newcomers leave. In the opposite order, or in the order in which waits
end, an overload sustains itself: for each permit that a retry takes, a
newcomer is rejected and becomes a retry. After some seconds hardly any stream
but retries was served, all of them late, until long after the overload.

More urgent streams come before less urgent ones: the retry of an urgent caller
comes before the newcomers of a less urgent class. Only a class that is served
far less often than the others has its first stream put in front.

Of the newcomers of a class, those of customers above their fair share come
last, and likewise of its retries. If the retries of other customers preceded
newcomers, the overload would sustain itself.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from operator import attrgetter
from typing import Generic, TypeVar

from linnetwind.admission.admission_policy import MAX_RETRY_WAIT, PendingStream
from linnetwind.admission.customer_shares import (
    MEMORY,
    CustomerTag,
    CustomerWork,
    add_work,
    customer_tag,
    pack_customers,
)
from linnetwind.admission.urgency import ClassTally, starved_classes

# A stream that is admitted at once leaves the queue sooner than this.
_WAIT_MS = 20
_WAIT = timedelta(milliseconds=_WAIT_MS)
# The priority in force for the first stream of a starved class.
_BOOSTED = -1


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request of a stream for a permit.

    `arrived_at` is the monotonic time at which the stream's request arrived,
    `target` the latency up to which a first event is on time, `gap` the
    longest pause between events that is in time. `returning` says that this is
    the retry of a rejected caller. `priority` is 0 for the most urgent streams,
    and `time_limit` is how long the caller waits for the whole response.
    `customer` is empty for an anonymous caller. `work` is the stream's
    estimated work over the mean of its route.
    """

    arrived_at: timedelta
    target: timedelta
    gap: timedelta
    returning: bool
    priority: int = 0
    time_limit: timedelta | None = None
    customer: str = ''
    work: float = 1


def queue_position_key(request: PermitRequest) -> tuple[bool, timedelta]:
    """Return the key by which queued streams of one priority are sorted.

    Args:
      request: The stream's request for a permit.

    Returns:
      A key that sorts newcomers before retries, and each of these by the end
      of their wait.
    """
    max_wait = MAX_RETRY_WAIT if request.returning else request.target
    return request.returning, request.arrived_at + max_wait


@dataclass(eq=False)
class QueuedStream:
    """A queued stream; `number` counts the streams in order of arrival.

    `spread` spreads the retry times of rejected streams. `boosted` says that
    the stream precedes all others, as its class is starved, and `above_share`
    that its customer was served more than its fair share.
    """

    number: int
    request: PermitRequest
    spread: float
    boosted: bool = False
    above_share: bool = False

    @property
    def order(self) -> tuple[int, bool, bool, timedelta, int]:
        """Return the key by which entries are sorted."""
        priority = _BOOSTED if self.boosted else self.request.priority
        returning, wait_end = queue_position_key(self.request)
        return (priority, returning, self.above_share, wait_end, self.number)

    def pending(self, ahead: int, now: timedelta) -> PendingStream:
        """Return what the decision on the stream depends on.

        Args:
          ahead: The number of streams that precede it in the queue.
          now: The monotonic time.

        Returns:
          The stream.
        """
        request = self.request
        return PendingStream(
            ahead,
            now - request.arrived_at,
            request.target,
            request.returning,
            0 if self.boosted else request.priority,
            request.gap,
            request.time_limit,
            self.spread,
        )


Queued = TypeVar('Queued', bound=QueuedStream)
_queue_order = attrgetter('order')


@dataclass
class QueueOrder(Generic[Queued]):
    """The queued streams in their order, and what their classes were served.

    `customers` holds this daemon's work of each customer by priority, and
    `above_share` the customers of each priority that were served more than
    their fair share. `waited_at` is the monotonic time at which a stream of
    each priority last left the queue after a wait. Not thread-safe.
    """

    entries: list[Queued] = field(default_factory=list)
    tallies: dict[int, ClassTally] = field(default_factory=dict)
    customers: dict[int, dict[CustomerTag, CustomerWork]] = field(
        default_factory=dict
    )
    above_share: Mapping[int, frozenset[CustomerTag]] = field(
        default_factory=dict
    )
    waited_at: dict[int, timedelta] = field(default_factory=dict)

    def waiting_by_priority(self) -> Counter[int]:
        """Return the number of queued streams of each priority."""
        return Counter(each.request.priority for each in tuple(self.entries))

    def largest_customers(self, priority: int, now: timedelta) -> bytes:
        """Return the customers to advertise to the other daemons.

        Args:
          priority: The priority of their streams.
          now: The monotonic time.

        Returns:
          The packed customers; none while no stream of the priority has to
          wait, since shares play no part then.
        """
        waited_at = self.waited_at.get(priority)
        if waited_at is None or now - waited_at > MEMORY:
            return b''
        return pack_customers(self.customers.get(priority, {}), now)

    def add(self, entry: Queued, now: timedelta) -> None:
        """Add a stream at its place.

        Args:
          entry: The stream.
          now: The monotonic time.
        """
        self.entries.append(entry)
        self._tally(entry, now, asked=not entry.request.returning)
        self.sort(now)

    def remove(self, entry: Queued, now: timedelta) -> None:
        """Remove a stream that was admitted or rejected.

        Args:
          entry: The stream.
          now: The monotonic time.
        """
        self.entries.remove(entry)
        request = entry.request
        if now - request.arrived_at >= _WAIT:
            self.waited_at[request.priority] = now
        self.sort(now)

    def record_served(self, entry: Queued, now: timedelta) -> None:
        """Record that a stream is admitted.

        Args:
          entry: The stream.
          now: The monotonic time.
        """
        self._tally(entry, now, served=1)

    def sort(self, now: timedelta) -> None:
        """Sort the streams, the first one of each starved class in front.

        Args:
          now: The monotonic time.
        """
        starved = starved_classes(self.tallies, now)
        for queued in self.entries:
            queued.boosted = False
            above = self.above_share.get(queued.request.priority, ())
            queued.above_share = customer_tag(queued.request.customer) in above
        self.entries.sort(key=_queue_order)
        for priority in starved:
            self._boost_first(priority)
        if starved:
            self.entries.sort(key=_queue_order)

    def _tally(
        self, entry: Queued, now: timedelta, *, asked: int = 0, served: int = 0
    ) -> None:
        priority = entry.request.priority
        tally = self.tallies.get(priority, ClassTally(0, 0, now)).aged(now)
        self.tallies[priority] = ClassTally(
            tally.asked + asked, tally.served + served, now
        )
        work = entry.request.work
        self.customers[priority] = add_work(
            self.customers.get(priority, {}),
            customer_tag(entry.request.customer),
            CustomerWork(asked * work, served * work, now),
        )

    def _boost_first(self, priority: int) -> None:
        for entry in self.entries:
            if entry.request.priority == priority:
                entry.boosted = True
                return
