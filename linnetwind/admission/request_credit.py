"""Retries that callers' requests pay for, each within a time window.

Credit that never expired would let a daemon retry most requests of an outage
after a long time without failures.
"""

from collections import deque
from datetime import timedelta


class RequestCredit:
    """The unspent credit of requests, in retries; not thread-safe."""

    def __init__(self, window: timedelta, per_request: float) -> None:
        """Start without requests.

        Args:
          window: How long a request's credit can be spent.
          per_request: The retries that each request pays for.
        """
        self.per_request = per_request
        self._window = window
        self._unspent: deque[timedelta] = deque()
        # What is spent of the oldest request's credit.
        self._spent_of_oldest: float = 0

    def add_request(self, now: timedelta) -> None:
        """Add the credit of a request.

        Args:
          now: The monotonic time.
        """
        self._expire(now)
        self._unspent.append(now)

    def available(self, now: timedelta) -> float:
        """Return the unspent credit, after expiring that of old requests.

        Args:
          now: The monotonic time.

        Returns:
          The retries that may be sent; may be a fraction.
        """
        self._expire(now)
        return len(self._unspent) * self.per_request - self._spent_of_oldest

    def spend(self, amount: float) -> None:
        """Spend credit, that of the oldest requests first.

        Args:
          amount: The retries, at most what is available.
        """
        self._spent_of_oldest += amount
        while self._unspent and self._spent_of_oldest >= self.per_request:
            self._unspent.popleft()
            self._spent_of_oldest -= self.per_request

    def _expire(self, now: timedelta) -> None:
        start = now - self._window
        while self._unspent and self._unspent[0] < start:
            self._unspent.popleft()
            self._spent_of_oldest = 0
