"""A queue of the streams that wait for a permit.

Newcomers come before the retries of rejected callers, which take the permits
that newcomers leave. In the opposite order, or in the order in which waits
end, an overload sustains itself: for each permit that a retry takes, a
newcomer is rejected and becomes a retry. After some seconds hardly any stream
but retries was served, all of them late, until long after the overload.

More urgent streams come before less urgent ones: the retry of an urgent caller
comes before the newcomers of a less urgent class.
"""

import itertools
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from linnetwind.admission.admission_policy import (
    MAX_RETRY_WAIT,
    STOPPING,
    AdmissionDecision,
    CapacityView,
    PendingStream,
    QueueStream,
    RejectStream,
    decide_admission,
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
class _QueueEntry:
    """A queued stream; `number` counts the streams in order of arrival.

    `wakeup` is notified when the stream is the first in the queue and may be
    admitted. `spread` spreads the retry times of rejected streams.
    """

    number: int
    request: PermitRequest
    wakeup: threading.Condition
    spread: float

    @property
    def order(self) -> tuple[int, bool, timedelta, int]:
        """Return the key by which entries are sorted."""
        request = self.request
        return (request.priority, *queue_position_key(request), self.number)


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
        self._entries: list[_QueueEntry] = []
        self._views: dict[timedelta, tuple[timedelta, CapacityView]] = {}

    @property
    def length(self) -> int:
        """Return the number of queued streams."""
        return len(self._entries)

    @property
    def priorities(self) -> frozenset[int]:
        """Return the priorities of the queued streams."""
        return frozenset(each.request.priority for each in tuple(self._entries))

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
            next(self._numbers), request, wakeup, random.random()
        )
        with self._lock:
            self._entries.append(entry)
            self._sort()
            try:
                decision = self._wait(entry, read_view, has_time)
                return (
                    decision
                    if isinstance(decision, RejectStream)
                    else acquire()
                )
            finally:
                self._views.clear()
                self._entries.remove(entry)
                self._wake_first()

    def _wake_first(self) -> None:
        if self._entries:
            self._entries[0].wakeup.notify()

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
            ahead = self._entries.index(entry)
            decision = decide_admission(view, self._pending(entry, ahead))
            if not isinstance(decision, QueueStream):
                return decision
            if view.opens_in is not None and not request.returning:
                # A stream that waited for a broken group is late. When the
                # group opens, streams that can be in time precede it.
                entry.request = replace(request, returning=True)
                self._sort()
                self._wake_first()
            wait = min(
                decision.max_wait,
                _POLL_INTERVAL * (1 + ahead),
                _MAX_POLL_INTERVAL,
            )
            entry.wakeup.wait(wait.total_seconds())
        return STOPPING

    def _pending(self, entry: _QueueEntry, ahead: int) -> PendingStream:
        request = entry.request
        return PendingStream(
            ahead,
            self._clock.elapsed() - request.arrived_at,
            request.target,
            request.returning,
            request.priority,
            request.gap,
            request.time_limit,
            entry.spread,
        )

    def _sort(self) -> None:
        self._entries.sort(key=lambda entry: entry.order)

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
