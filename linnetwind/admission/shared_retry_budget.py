"""A budget of retries for each service, shared by all daemons.

A retry sends a request to another upstream. In any time window the retries of
all daemons may be a fraction of the requests plus a fixed allowance. Without a
budget, a failing service would get twice its load just when it fails. Each
daemon uses its own requests and its part of the allowance. This needs no
messages, and the sum stays within the shared budget whatever the daemons know
of each other.
"""

import enum
import threading
from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.clock import Clock

# The fraction of the budget that is used. Upstreams count a retry a little
# later than the daemon that sends it, and their windows start at other times.
SAFETY_FACTOR = 0.7


class RetryDecision(enum.Enum):
    """Whether a retry may be sent, and whether the budget paid for it."""

    COUNTED = 'counted'
    UNCOUNTED = 'uncounted'
    DENIED = 'denied'


@dataclass(frozen=True, slots=True)
class RetryBudgetUse:
    """How much of a service's budget this daemon uses.

    `daemons` share the allowance, `spent` are this daemon's retries within the
    window, and `uptime` is the time since its budgets were created.
    """

    daemons: int
    spent: int
    uptime: timedelta


@dataclass(frozen=True, slots=True)
class RetryBudgetTerms:
    """The terms of the shared budget.

    Within `window`, the retries of all daemons may be `ratio` times their
    requests plus `allowance`.
    """

    window: timedelta
    ratio: float
    allowance: float


class WindowedRetryBudget:
    """The retries that this daemon may still send to one service."""

    def __init__(self, terms: RetryBudgetTerms) -> None:
        """Start with nothing spent.

        Args:
          terms: The terms of the shared budget.
        """
        self._terms = terms
        self._requests: deque[timedelta] = deque()
        self._retries: deque[timedelta] = deque()

    def count_request(self, now: timedelta) -> None:
        """Count a caller's request.

        Args:
          now: The monotonic time.
        """
        self._requests.append(now)
        self._expire(now)

    def demand(self, now: timedelta) -> float:
        """Return the mean rate of callers' requests in the window.

        Args:
          now: The monotonic time.

        Returns:
          The requests a second.
        """
        self._expire(now)
        return len(self._requests) / self._terms.window.total_seconds()

    def spend(self, now: timedelta, daemons: int) -> bool:
        """Spend one retry if the budget allows it.

        Args:
          now: The monotonic time.
          daemons: How many daemons share the allowance.

        Returns:
          Whether the retry may be sent.
        """
        self._expire(now)
        own_allowance = self._terms.allowance / max(1, daemons)
        limit = SAFETY_FACTOR * (
            self._terms.ratio * len(self._requests) + own_allowance
        )
        if len(self._retries) + 1 > limit:
            return False
        self._retries.append(now)
        return True

    def spent(self, now: timedelta) -> int:
        """Return the number of retries in the window.

        Args:
          now: The monotonic time.

        Returns:
          The retries that were spent.
        """
        self._expire(now)
        return len(self._retries)

    def _expire(self, now: timedelta) -> None:
        start = now - self._terms.window
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()


class SharedRetryBudget:
    """This daemon's budgets for all services; may be used from any thread."""

    def __init__(self, terms: RetryBudgetTerms, clock: Clock) -> None:
        """Start as the only daemon.

        Args:
          terms: The terms of the shared budget of each service.
          clock: For the windows.
        """
        self._terms = terms
        self._clock = clock
        self._started_at = clock.elapsed()
        self._lock = threading.Lock()
        self._daemons = 1
        self._budgets: dict[str, WindowedRetryBudget] = {}

    def set_daemon_count(self, daemons: int) -> None:
        """Set how many daemons share the allowance.

        Args:
          daemons: The number of daemons, this one included.
        """
        self._daemons = daemons

    def count_request(self, service: str) -> None:
        """Count a caller's request.

        Args:
          service: The service that is called.
        """
        with self._lock:
            self._budget(service).count_request(self._clock.elapsed())

    def demand(self, service: str) -> float:
        """Return the rate of callers' requests for a service.

        Args:
          service: The service.

        Returns:
          The requests a second.
        """
        with self._lock:
            return self._budget(service).demand(self._clock.elapsed())

    def spend(self, service: str) -> bool:
        """Spend one retry if the budget of a service allows it.

        Args:
          service: The service that is called again.

        Returns:
          Whether the retry may be sent.
        """
        now = self._clock.elapsed()
        with self._lock:
            return self._budget(service).spend(now, self._daemons)

    def use(self, service: str) -> RetryBudgetUse:
        """Return how much of a service's budget this daemon uses.

        Args:
          service: The service.

        Returns:
          The retries within the window, and what the budget depends on.
        """
        now = self._clock.elapsed()
        with self._lock:
            spent = self._budget(service).spent(now)
        return RetryBudgetUse(self._daemons, spent, now - self._started_at)

    def _budget(self, service: str) -> WindowedRetryBudget:
        return self._budgets.setdefault(
            service, WindowedRetryBudget(self._terms)
        )
