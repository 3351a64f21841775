"""A queue of the streams that wait for a permit, each with its thread."""

import itertools
import random
import threading
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta

from linnetwind.admission.admission_policy import (
    STOPPING,
    AdmissionDecision,
    CapacityView,
    QueueStream,
    RejectStream,
    decide_admission,
)
from linnetwind.admission.customer_shares import CustomerTag, CustomerWork
from linnetwind.admission.queue_order import (
    PermitRequest,
    QueuedStream,
    QueueOrder,
)
from linnetwind.clock import Clock
from linnetwind.upstreams.upstream_list import Upstream

# How often the first stream in the queue polls the capacity, which depends on
# the streams of other daemons. A stream behind it polls at a multiple of this
# interval by its position, since it is woken when it becomes the first; it has
# to detect by itself only that its group broke. If all polled at the same
# rate, 200 queued streams would poll 8,000 times a second.
_POLL_INTERVAL_MS = 25
_POLL_INTERVAL = timedelta(milliseconds=_POLL_INTERVAL_MS)
_MAX_POLL_INTERVAL_MS = 250
_MAX_POLL_INTERVAL = timedelta(milliseconds=_MAX_POLL_INTERVAL_MS)
# How long all queued streams share one view of the capacity. Each permit
# that is acquired or released, and each state of a peer, invalidates it.
_VIEW_AGE_MS = 10
_MAX_VIEW_AGE = timedelta(milliseconds=_VIEW_AGE_MS)


@dataclass(eq=False)
class _QueueEntry(QueuedStream):
    """A queued stream with the thread that handles it.

    `wakeup` is notified when the stream is the first in the queue and may be
    admitted.
    """

    wakeup: threading.Condition = field(default_factory=threading.Condition)


_NO_VIEW = (timedelta(), None)


class WaitQueue:
    """The queued streams of one service, in the order of their admission."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty queue.

        Args:
          clock: The clock that measures waits.
        """
        self._clock = clock
        self._lock = threading.RLock()
        self._numbers = itertools.count()
        self._order: QueueOrder[_QueueEntry] = QueueOrder()
        self._views: dict[timedelta, tuple[timedelta, CapacityView]] = {}

    @property
    def length(self) -> int:
        """Return the number of queued streams."""
        return len(self._order.entries)

    def waiting_by_priority(self) -> Counter[int]:
        """Return the number of queued streams of each priority."""
        return self._order.waiting_by_priority()

    @property
    def customers(self) -> Mapping[int, Mapping[CustomerTag, CustomerWork]]:
        """Return this daemon's work of each customer by priority."""
        return dict(self._order.customers)

    def largest_customers(self, priority: int, now: timedelta) -> bytes:
        """Return the customers of a priority to advertise to other daemons.

        Args:
          priority: The priority of their streams.
          now: The monotonic time.

        Returns:
          The packed customers; none while no streams have to wait.
        """
        return self._order.largest_customers(priority, now)

    def put_behind(
        self, above_share: Mapping[int, frozenset[CustomerTag]]
    ) -> None:
        """Set the customers whose streams wait behind others of their class.

        It is called while a view is made, and takes no lock. The queue is
        sorted when the next stream comes or leaves.

        Args:
          above_share: The customers by priority.
        """
        self._order.above_share = above_share

    def wake(self) -> None:
        """Make the first stream check the capacity, which may have changed.

        Each stream that leaves the queue wakes the next one. If each change
        woke all of them, they would take the interpreter from the running
        streams, the more so the longer the queue.
        """
        with self._lock:
            self._views.clear()
            self._wake_first()

    def acquire_permit(
        self,
        request: PermitRequest,
        read_view: Callable[[timedelta], CapacityView],
        acquire: Callable[[], Upstream | None],
        has_time: Callable[[], bool],
    ) -> Upstream | RejectStream | None:
        """Queue a stream until it is admitted or rejected.

        The permit is acquired before the next stream checks the capacity.
        Otherwise all queued streams would be admitted for one free permit, and
        every running stream would be late.

        Args:
          request: The stream's request for a permit.
          read_view: Returns the present capacity, given the longest pause that
            is in time.
          acquire: Chooses an upstream and counts the stream there.
          has_time: Returns whether the stream could still end before the
            daemon stops if it started now.

        Returns:
          What `acquire` returned, or the rejection of the stream.
        """
        wakeup = threading.Condition(self._lock)
        entry = _QueueEntry(
            next(self._numbers), request, random.random(), wakeup=wakeup
        )
        with self._lock:
            self._order.add(entry, self._clock.elapsed())
            try:
                decision = self._wait(entry, read_view, has_time)
                return (
                    decision
                    if isinstance(decision, RejectStream)
                    else self._admit(entry, acquire)
                )
            finally:
                self._remove(entry)

    def _admit(
        self, entry: _QueueEntry, acquire: Callable[[], Upstream | None]
    ) -> Upstream | None:
        self._order.record_served(entry, self._clock.elapsed())
        return acquire()

    def _remove(self, entry: _QueueEntry) -> None:
        self._views.clear()
        self._order.remove(entry, self._clock.elapsed())
        self._wake_first()

    def _wake_first(self) -> None:
        if self._order.entries:
            self._order.entries[0].wakeup.notify()

    def _wait(
        self,
        entry: _QueueEntry,
        read_view: Callable[[timedelta], CapacityView],
        has_time: Callable[[], bool],
    ) -> AdmissionDecision:
        # The daemon may be told to stop while the stream is queued; if the
        # stream started then, it would be cut off.
        while has_time():
            request = entry.request
            view = self._shared_view(request.gap, read_view)
            ahead = self._order.entries.index(entry)
            decision = decide_admission(
                view, entry.pending(ahead, self._clock.elapsed())
            )
            if not isinstance(decision, QueueStream):
                return decision
            is_late = view.opens_in is not None or decision.is_late
            if is_late and not request.returning:
                # A late stream, such as one that waited for a broken group,
                # comes after those of its class that can be in time.
                entry.request = replace(request, returning=True)
                self._order.sort(self._clock.elapsed())
                self._wake_first()
            wait = min(
                decision.max_wait,
                _POLL_INTERVAL * (1 + ahead),
                _MAX_POLL_INTERVAL,
            )
            entry.wakeup.wait(wait.total_seconds())
        return STOPPING

    def _shared_view(
        self,
        gap: timedelta,
        read_view: Callable[[timedelta], CapacityView],
    ) -> CapacityView:
        """Return a recent view, which all queued streams share.

        Each state of a peer makes streams check the capacity. If each
        of them made a view of its own, this would take most of a core where
        there are many peers.
        """
        now = self._clock.elapsed()
        made_at, view = self._views.get(gap, _NO_VIEW)
        if view is None or now - made_at > _MAX_VIEW_AGE:
            view = read_view(gap)
            self._views[gap] = (now, view)
        return view
