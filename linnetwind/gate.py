"""Admission in front of one upstream, as a pure state machine.

The gate starts calls up to the upstream's concurrency, queues the rest by
priority while their deadline can be met, and refuses the others at once
with the time at which a slot is expected to be free. It remembers which
calls started, so that a question about a call's fate has a true answer.
"""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.outcome import Reason

# A fate is asked for within seconds of a lost connection. A late frame of a
# barred call is at most as old as the host's socket buffers; two minutes
# are far beyond both, and bound the memory.
FATE_MEMORY = timedelta(minutes=2)

_SMOOTHING = 0.2
_MARGIN = 2
_FIRST_GUESS = timedelta(seconds=0.5)
_SHORTEST_RETRY = timedelta(milliseconds=100)
_LEAVING_RETRY = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Start:
    """Run this call now."""

    call_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse this call; it has not run and will not."""

    call_id: str
    reason: Reason
    retry_after: timedelta


Action = Start | Refuse


@dataclass(order=True, slots=True)
class _Waiting:
    priority: int
    arrival: int
    call_id: str = field(compare=False)
    deadline: timedelta = field(compare=False)


class Gate:
    """The calls at one upstream: waiting, running, and how they went."""

    def __init__(self, concurrency: int, clock: Clock) -> None:
        """Start empty.

        Args:
          concurrency: How many calls the upstream serves at once.
          clock: For deadlines.
        """
        self.concurrency = concurrency
        self._clock = clock
        self._queue: list[_Waiting] = []
        self._running: set[str] = set()
        self._fates: dict[str, tuple[bool, timedelta]] = {}
        self._arrivals = 0
        self._service = _FIRST_GUESS
        self._leaving = False
        self._backoff_ends = timedelta()

    @property
    def running(self) -> int:
        """Return the number of calls running."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of calls in the queue."""
        return len(self._queue)

    @property
    def service_time(self) -> timedelta:
        """Return the smoothed time that one call takes."""
        return self._service

    @property
    def leaving(self) -> bool:
        """Return whether new calls are refused because of a drain."""
        return self._leaving

    def offer(
        self, call_id: str, priority: int, timeout: timedelta
    ) -> tuple[Action, ...]:
        """Take a new call.

        Args:
          call_id: The call.
          priority: 0 is served first.
          timeout: What is left until the caller's deadline.

        Returns:
          What to do now; nothing if the call waits.
        """
        if call_id in self._fates:
            # A frame that was delivered twice, or that arrives after its
            # fate was asked for: starting it would run it twice, or after
            # the caller was told that it did not run.
            return (Refuse(call_id, Reason.BARRED, _SHORTEST_RETRY),)
        if self._leaving:
            return (self._refuse(call_id, Reason.LEAVING, _LEAVING_RETRY),)
        backoff = self._backoff_ends - self._clock.elapsed()
        if backoff > timedelta():
            return (self._refuse(call_id, Reason.OVERLOADED, backoff),)
        if self.running < self.concurrency and not self._queue:
            return (self._start(call_id),)
        wait = self._expected_wait(priority)
        # Half of those that start just before their deadline would miss it,
        # and the work spent on them is lost to calls that could make it.
        if wait + self._service * _MARGIN > timeout:
            return (self._refuse(call_id, Reason.OVERLOADED, wait),)
        self._arrivals += 1
        deadline = self._clock.elapsed() + timeout
        heapq.heappush(
            self._queue,
            _Waiting(priority, self._arrivals, call_id, deadline),
        )
        return ()

    def finish(
        self, call_id: str, took: timedelta | None
    ) -> tuple[Action, ...]:
        """Take note that a call ended, and start waiting ones.

        Args:
          call_id: The call.
          took: Its time at the upstream, or None if that says nothing.

        Returns:
          What to do now.
        """
        self._running.discard(call_id)
        # Remembered from its end: a call that ran for longer than fates are
        # kept would otherwise be denied as soon as it is over.
        self._fates.pop(call_id, None)
        self._remember(call_id, started=True)
        if took is not None:
            self._service += (took - self._service) * _SMOOTHING
        return tuple(self._fill())

    def withdraw(self, call_id: str) -> bool:
        """Bar a call from starting, and tell whether it has started.

        Args:
          call_id: The call.

        Returns:
          True if it has started; else it never will.
        """
        known = self._fates.get(call_id)
        if known is not None:
            return known[0]
        self._remember(call_id, started=False)
        self._queue = [
            waiting for waiting in self._queue if waiting.call_id != call_id
        ]
        heapq.heapify(self._queue)
        return False

    def expire(self) -> tuple[Action, ...]:
        """Refuse the waiting calls whose deadline has passed.

        Returns:
          A refusal for each.
        """
        now = self._clock.elapsed()
        late = [each for each in self._queue if each.deadline <= now]
        if not late:
            return ()
        self._queue = [each for each in self._queue if each.deadline > now]
        heapq.heapify(self._queue)
        wait = self._expected_wait(0)
        return tuple(
            self._refuse(each.call_id, Reason.DEADLINE, wait) for each in late
        )

    def leave(self) -> tuple[Action, ...]:
        """Refuse new and waiting calls from now on; running ones go on.

        Returns:
          A refusal for each waiting call.
        """
        self._leaving = True
        return self._refuse_waiting(Reason.LEAVING, _LEAVING_RETRY)

    def come_back(self) -> None:
        """Take new calls again."""
        self._leaving = False

    def back_off(self, wanted: timedelta) -> tuple[Action, ...]:
        """Refuse new and waiting calls for a time that the upstream named.

        Args:
          wanted: How long it wants no calls.

        Returns:
          A refusal for each waiting call.
        """
        now = self._clock.elapsed()
        self._backoff_ends = max(self._backoff_ends, now + wanted)
        left = self._backoff_ends - now
        return self._refuse_waiting(Reason.OVERLOADED, left)

    def _refuse_waiting(
        self, reason: Reason, retry_after: timedelta
    ) -> tuple[Action, ...]:
        waiting = self._queue
        self._queue = []
        return tuple(
            self._refuse(each.call_id, reason, retry_after)
            for each in sorted(waiting)
        )

    def _fill(self) -> Iterator[Action]:
        now = self._clock.elapsed()
        while self._queue and self.running < self.concurrency:
            waiting = heapq.heappop(self._queue)
            if waiting.deadline <= now + self._service:
                yield self._refuse(
                    waiting.call_id, Reason.DEADLINE, self._service
                )
            else:
                yield self._start(waiting.call_id)

    def _start(self, call_id: str) -> Start:
        self._running.add(call_id)
        self._remember(call_id, started=True)
        return Start(call_id)

    def _refuse(
        self, call_id: str, reason: Reason, retry_after: timedelta
    ) -> Refuse:
        self._remember(call_id, started=False)
        return Refuse(call_id, reason, max(retry_after, _SHORTEST_RETRY))

    def _remember(self, call_id: str, *, started: bool) -> None:
        self._forget_old()
        self._fates[call_id] = (started, self._clock.elapsed())

    def _forget_old(self) -> None:
        # The map keeps the order of insertion, so the oldest come first.
        now = self._clock.elapsed()
        while self._fates:
            call_id, (_started, since) = next(iter(self._fates.items()))
            if since > now - FATE_MEMORY:
                break
            self._fates.pop(call_id)
            if call_id in self._running:
                self._fates[call_id] = (True, now)

    def _expected_wait(self, priority: int) -> timedelta:
        ahead = sum(1 for each in self._queue if each.priority <= priority)
        return self._service * (ahead + 1) / self.concurrency
