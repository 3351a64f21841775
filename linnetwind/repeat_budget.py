"""How many requests may be sent to a second upstream.

All daemons share one budget for each service: in any window the repeats may
be a fraction of the requests plus a fixed allowance. Without a limit, a
service that fails is sent twice its load just then. Each daemon uses its own
requests and its part of the allowance, so that no messages are needed and the
sum stays within the shared budget whatever the daemons know of each other.
"""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

# The part of the budget that is used: a repeat is counted at the upstream,
# a little later than here, and the windows do not begin together.
SAFETY = 0.7


@dataclass(frozen=True, slots=True)
class BudgetTerms:
    """The shared budget: its window, the fraction and the allowance."""

    window: timedelta
    ratio: float
    allowance: float


class RepeatBudget:
    """The repeats that this daemon may still send to one service."""

    def __init__(self, terms: BudgetTerms) -> None:
        """Start with the whole of this daemon's part.

        Args:
          terms: The shared budget.
        """
        self._terms = terms
        self._requests: deque[timedelta] = deque()
        self._repeats: deque[timedelta] = deque()

    def count_request(self, now: timedelta) -> None:
        """Take note of a caller's request.

        Args:
          now: The monotonic time.
        """
        self._requests.append(now)
        self._forget(now)

    def spend(self, now: timedelta, daemons: int) -> bool:
        """Take a repeat from the budget.

        Args:
          now: The monotonic time.
          daemons: How many daemons share the allowance.

        Returns:
          Whether there was one left.
        """
        self._forget(now)
        own = self._terms.allowance / max(1, daemons)
        limit = SAFETY * (self._terms.ratio * len(self._requests) + own)
        if len(self._repeats) + 1 > limit:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: timedelta) -> None:
        start = now - self._terms.window
        for times in (self._requests, self._repeats):
            while times and times[0] < start:
                times.popleft()
