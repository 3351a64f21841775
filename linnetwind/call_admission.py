"""Admission control in front of one upstream, as a pure state machine.

Calls start up to the concurrency limit of the upstream. Further calls wait
in a priority queue if they can be expected to meet their deadlines; all
others are refused at once, with the time at which a slot should be free.
The module records which calls have started, so that an entry daemon that
lost its connection can query whether a call ran.
"""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.outcome import Reason

# An entry daemon queries the status of a call within seconds of losing its
# connection, and the frame of a barred call can arrive only as late as the
# socket buffers of the host hold it. Two minutes are far beyond both, and
# bound the memory for statuses.
STATUS_RETENTION = timedelta(minutes=2)

_SMOOTHING = 0.2
_SERVICE_TIMES_NEEDED = 2
_INITIAL_SERVICE_TIME = timedelta(seconds=0.5)
_MIN_RETRY_AFTER = timedelta(milliseconds=100)
_LEAVING_RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class StartCall:
    """Decision to run a call now."""

    call_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Decision to refuse a call, which has not run and never will."""

    call_id: str
    reason: Reason
    retry_after: timedelta


Action = StartCall | Refuse


@dataclass(order=True, slots=True)
class _QueuedCall:
    priority: int
    arrival: int
    call_id: str = field(compare=False)
    deadline: timedelta = field(compare=False)


class CallAdmission:
    """The queued and running calls of one upstream, and their statuses."""

    def __init__(self, concurrency: int, clock: Clock) -> None:
        """Create the state of an upstream without calls.

        Args:
          concurrency: The number of calls that the upstream serves at once.
          clock: The clock for deadlines and retention times.
        """
        self.concurrency = concurrency
        self._clock = clock
        self._queue: list[_QueuedCall] = []
        self._running: set[str] = set()
        self._statuses: dict[str, tuple[bool, timedelta]] = {}
        self._arrivals = 0
        self._service_time = _INITIAL_SERVICE_TIME
        self._leaving = False
        self._backoff_ends = timedelta()

    @property
    def running(self) -> int:
        """Return the number of running calls."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of calls in the queue."""
        return len(self._queue)

    @property
    def service_time(self) -> timedelta:
        """Return the moving average of the time that a call runs."""
        return self._service_time

    @property
    def leaving(self) -> bool:
        """Return whether new calls are refused because of draining."""
        return self._leaving

    def offer(
        self, call_id: str, priority: int, timeout: timedelta
    ) -> tuple[Action, ...]:
        """Start, queue or refuse a new call.

        Args:
          call_id: The ID of the call.
          priority: The priority; 0 is served first.
          timeout: The time left until the deadline of the caller.

        Returns:
          The decision on the call; empty if the call was queued.
        """
        if call_id in self._statuses:
            # The frame is a duplicate, or it arrives after the status of
            # its call was queried. Starting the call now would run it twice,
            # or run it after the caller was informed that it did not run.
            return (Refuse(call_id, Reason.BARRED, _MIN_RETRY_AFTER),)
        if self._leaving:
            return (
                self._refuse(call_id, Reason.LEAVING, _LEAVING_RETRY_AFTER),
            )
        backoff = self._backoff_ends - self._clock.elapsed()
        if backoff > timedelta():
            return (self._refuse(call_id, Reason.OVERLOADED, backoff),)
        if self.running < self.concurrency and not self._queue:
            return (self._start(call_id),)
        wait = self._expected_wait(priority)
        # About half of the calls that start one service time before their
        # deadline miss it, and the upstream wastes work on them that other
        # calls could use. Hence the margin of another service time.
        if wait + self._service_time * _SERVICE_TIMES_NEEDED > timeout:
            return (self._refuse(call_id, Reason.OVERLOADED, wait),)
        self._arrivals += 1
        deadline = self._clock.elapsed() + timeout
        heapq.heappush(
            self._queue,
            _QueuedCall(priority, self._arrivals, call_id, deadline),
        )
        return ()

    def finish(
        self, call_id: str, duration: timedelta | None
    ) -> tuple[Action, ...]:
        """Record the end of a call, and start queued calls.

        Args:
          call_id: The ID of the call.
          duration: The time that the call took at the upstream, or None if
            the call was incomplete and its time is not representative.

        Returns:
          The decisions on queued calls.
        """
        self._running.discard(call_id)
        # The retention time counts from the end of the call: otherwise a
        # call that ran for longer than it would be reported as not started
        # as soon as it ended.
        self._statuses.pop(call_id, None)
        self._record_status(call_id, started=True)
        if duration is not None:
            self._service_time += (duration - self._service_time) * _SMOOTHING
        return tuple(self._start_queued())

    def withdraw(self, call_id: str) -> bool:
        """Bar a call from starting unless it has started already.

        Args:
          call_id: The ID of the call.

        Returns:
          True if the call has started; if False, it never will.
        """
        status = self._statuses.get(call_id)
        if status is not None:
            return status[0]
        self._record_status(call_id, started=False)
        self._queue = [
            waiting for waiting in self._queue if waiting.call_id != call_id
        ]
        heapq.heapify(self._queue)
        return False

    def expire(self) -> tuple[Action, ...]:
        """Refuse the queued calls whose deadline has passed.

        Returns:
          A refusal for each of these calls.
        """
        now = self._clock.elapsed()
        expired = [call for call in self._queue if call.deadline <= now]
        if not expired:
            return ()
        self._queue = [call for call in self._queue if call.deadline > now]
        heapq.heapify(self._queue)
        wait = self._expected_wait(0)
        return tuple(
            self._refuse(call.call_id, Reason.DEADLINE, wait)
            for call in expired
        )

    def stop_accepting(self) -> tuple[Action, ...]:
        """Refuse queued calls and all new ones; running calls continue.

        Returns:
          A refusal for each queued call.
        """
        self._leaving = True
        return self._refuse_queued(Reason.LEAVING, _LEAVING_RETRY_AFTER)

    def resume_accepting(self) -> None:
        """Accept new calls again after `stop_accepting`."""
        self._leaving = False

    def back_off(self, requested: timedelta) -> tuple[Action, ...]:
        """Refuse queued and new calls for a time requested by the upstream.

        Args:
          requested: The time for which the upstream requests no calls.

        Returns:
          A refusal for each queued call.
        """
        now = self._clock.elapsed()
        self._backoff_ends = max(self._backoff_ends, now + requested)
        left = self._backoff_ends - now
        return self._refuse_queued(Reason.OVERLOADED, left)

    def _refuse_queued(
        self, reason: Reason, retry_after: timedelta
    ) -> tuple[Action, ...]:
        waiting = self._queue
        self._queue = []
        return tuple(
            self._refuse(call.call_id, reason, retry_after)
            for call in sorted(waiting)
        )

    def _start_queued(self) -> Iterator[Action]:
        now = self._clock.elapsed()
        while self._queue and self.running < self.concurrency:
            waiting = heapq.heappop(self._queue)
            if waiting.deadline <= now + self._service_time:
                yield self._refuse(
                    waiting.call_id, Reason.DEADLINE, self._service_time
                )
            else:
                yield self._start(waiting.call_id)

    def _start(self, call_id: str) -> StartCall:
        self._running.add(call_id)
        self._record_status(call_id, started=True)
        return StartCall(call_id)

    def _refuse(
        self, call_id: str, reason: Reason, retry_after: timedelta
    ) -> Refuse:
        self._record_status(call_id, started=False)
        return Refuse(call_id, reason, max(retry_after, _MIN_RETRY_AFTER))

    def _record_status(self, call_id: str, *, started: bool) -> None:
        self._discard_expired()
        self._statuses[call_id] = (started, self._clock.elapsed())

    def _discard_expired(self) -> None:
        # The dict keeps the order of insertion, so the oldest come first.
        # A call that is still running is inserted again.
        now = self._clock.elapsed()
        while self._statuses:
            call_id, (_started, since) = next(iter(self._statuses.items()))
            if since > now - STATUS_RETENTION:
                break
            self._statuses.pop(call_id)
            if call_id in self._running:
                self._statuses[call_id] = (True, now)

    def _expected_wait(self, priority: int) -> timedelta:
        calls_ahead = sum(
            1 for call in self._queue if call.priority <= priority
        )
        return self._service_time * (calls_ahead + 1) / self.concurrency
