"""A budget of retries for each service, shared by all daemons.

A retry sends a request to another upstream. In any time window the retries of
all daemons may be a fraction of the requests plus a fixed allowance. Without a
budget, a failing service would get twice its load just when it fails.

The sum stays within the shared budget without messages about it, whichever
daemons are restarted, cut off or take over each other's callers. Each request
pays for half of the fraction, once and within the window: retries of one window
are paid for by the requests of at most two. The allowance is divided among all
daemons that may be alive, and a daemon that has just started has only a small
part of it, since its previous process may have spent the rest.
"""

import enum
import threading
from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.admission.request_credit import RequestCredit
from linnetwind.clock import Clock
from linnetwind.upstreams.fleet_tracker import FleetTracker

# The part of the budget's ratio that a request pays for. The rest of the half
# covers retries that arrive some time after they were allowed.
_REQUEST_PART = 0.45
# The parts of the allowance that the running daemons spend in a window, and
# that those which have started within it spend in addition.
_ALLOWANCE_PART = 0.7
_START_PART = 0.2
# How much later than it was allowed a retry may arrive.
_MAX_DELAY = timedelta(seconds=2)


class RetryDecision(enum.Enum):
    """Whether a retry may be sent, and whether the budget paid for it."""

    COUNTED = 'counted'
    UNCOUNTED = 'uncounted'
    DENIED = 'denied'


@dataclass(frozen=True, slots=True)
class RetryBudgetUse:
    """How much of a service's budget this daemon uses.

    `daemons` share the allowance, None if this daemon cannot know all of them.
    `spent` are this daemon's retries that still count, and `uptime` is the
    time since it started.
    """

    daemons: int | None
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

    @property
    def retention(self) -> timedelta:
        """Return how long a retry counts after it was allowed."""
        return self.window + _MAX_DELAY


class WindowedRetryBudget:
    """The retries that this daemon may still send to one service."""

    def __init__(self, terms: RetryBudgetTerms, started_at: timedelta) -> None:
        """Start with nothing to spend.

        Args:
          terms: The terms of the shared budget.
          started_at: The monotonic time at which this daemon started.
        """
        self._terms = terms
        self._started_at = started_at
        self._requests: deque[timedelta] = deque()
        self._credit = RequestCredit(terms.window, _REQUEST_PART * terms.ratio)
        # The retries still in use, with what each took of the allowance.
        self._retries: deque[tuple[timedelta, float]] = deque()

    def count_request(self, now: timedelta) -> None:
        """Count a caller's request.

        Args:
          now: The monotonic time.
        """
        self._requests.append(now)
        self._credit.add_request(now)
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

    def spent(self, now: timedelta) -> int:
        """Return the number of retries that still count.

        Args:
          now: The monotonic time.

        Returns:
          The retries that were spent.
        """
        self._expire(now)
        return len(self._retries)

    def spend(self, now: timedelta, daemons: int | None) -> bool:
        """Spend one retry if the budget allows it.

        Args:
          now: The monotonic time.
          daemons: How many daemons share the allowance, None if that is
            unknown.

        Returns:
          Whether the retry may be sent.
        """
        self._expire(now)
        taken = self._credit.spend_retry(
            now, self._allowance_left(now, daemons)
        )
        if taken is None:
            return False
        self._retries.append((now, taken))
        return True

    def _allowance_left(self, now: timedelta, daemons: int | None) -> float:
        if daemons is None:
            return 0
        own_allowance = self._terms.allowance / daemons
        uptime = now - self._started_at
        if uptime >= self._terms.retention:
            limit = _ALLOWANCE_PART * own_allowance
        else:
            limit = _START_PART * own_allowance * (uptime / self._terms.window)
        return limit - sum(taken for _at, taken in self._retries)

    def _expire(self, now: timedelta) -> None:
        window_start = now - self._terms.window
        while self._requests and self._requests[0] < window_start:
            self._requests.popleft()
        oldest = now - self._terms.retention
        while self._retries and self._retries[0][0] < oldest:
            self._retries.popleft()


class SharedRetryBudget:
    """This daemon's budgets for all services; may be used from any thread."""

    def __init__(
        self,
        terms: RetryBudgetTerms,
        clock: Clock,
        fleet: FleetTracker,
        started_at: timedelta,
    ) -> None:
        """Start with nothing to spend.

        Args:
          terms: The terms of the shared budget of each service.
          clock: For the windows.
          fleet: The daemons that share the allowance.
          started_at: The monotonic time at which this daemon started.
        """
        self._terms = terms
        self._clock = clock
        self._fleet = fleet
        self._started_at = started_at
        self._lock = threading.Lock()
        self._budgets: dict[str, WindowedRetryBudget] = {}

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
            return self._budget(service).spend(now, self._daemons())

    def use(self, service: str) -> RetryBudgetUse:
        """Return how much of a service's budget this daemon uses.

        Args:
          service: The service.

        Returns:
          The retries that still count, and what the budget depends on.
        """
        now = self._clock.elapsed()
        with self._lock:
            spent = self._budget(service).spent(now)
        return RetryBudgetUse(self._daemons(), spent, now - self._started_at)

    def _daemons(self) -> int | None:
        return len(self._fleet.names) if self._fleet.knows_fleet else None

    def _budget(self, service: str) -> WindowedRetryBudget:
        return self._budgets.setdefault(
            service, WindowedRetryBudget(self._terms, self._started_at)
        )
