"""Retries that callers' requests pay for, each within a time window.

Credit that never expired would let a daemon retry most requests of an outage
after a long time without failures.
"""

from collections import deque
from datetime import timedelta

# The most by which sums of parts of a retry are rounded.
_ROUNDING = 1e-6


class RequestCredit:
    """The unspent credit of requests, in retries; not thread-safe."""

    def __init__(self, window: timedelta, per_request: float) -> None:
        """Start without requests.

        Args:
          window: How long a request's credit can be spent.
          per_request: The retries that each request pays for.
        """
        self._per_request = per_request
        self._window = window
        self._unspent: deque[timedelta] = deque()
        # What is spent of the oldest request's credit.
        self._spent_of_oldest: float = 0

    def change_rate(self, per_request: float) -> None:
        """Change how many retries each request pays for, also earlier ones.

        Args:
          per_request: The retries.
        """
        self._per_request = per_request

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
        return len(self._unspent) * self._per_request - self._spent_of_oldest

    def spend_retry(self, now: timedelta, reserve: float) -> float | None:
        """Pay for one retry with credit, and with a reserve for the rest.

        Args:
          now: The monotonic time.
          reserve: The retries that the reserve can pay for.

        Returns:
          The part of the retry that the reserve has to pay for; None, with
          nothing spent, if both together cannot pay for it.
        """
        paid_by_requests = min(1, self.available(now))
        rest = 1 - paid_by_requests
        if rest > reserve + _ROUNDING:
            return None
        self._spend(paid_by_requests)
        return rest

    def _spend(self, amount: float) -> None:
        """Spend available credit, that of the oldest requests first."""
        self._spent_of_oldest += amount
        while self._unspent and self._spent_of_oldest >= self._per_request:
            self._unspent.popleft()
            self._spent_of_oldest -= self._per_request

    def _expire(self, now: timedelta) -> None:
        start = now - self._window
        while self._unspent and self._unspent[0] < start:
            self._unspent.popleft()
            self._spent_of_oldest = 0
