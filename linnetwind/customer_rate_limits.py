"""Rate limits on the requests and tokens of customers at one entry daemon.

The number of tokens that a request will generate is unknown on arrival. So an
estimate is deducted from the customer's token bucket on admission and
corrected when the response has ended. Deducting only then would admit all
requests that arrive in the meantime. Deducting before and settling after
follows the related paper (Alibaba Cloud Model Studio, "Best practices for
handling rate limiting", `track_inflight`); docs/MEASUREMENTS.md compares the
limits with and without it.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.config import Customer

_MINUTE_SECONDS = 60
_BURST_SECONDS = 5
_SMOOTHING = 0.2
_MIN_FRACTION = 0.001
_MAX_RETRY_AFTER = timedelta(minutes=1)


@dataclass
class _Account:
    """The token buckets of one customer, and its demand.

    A bucket falls below zero if responses are longer than estimated. Further
    requests are then rejected until the debt is refilled.
    """

    requests: float
    tokens: float
    refilled_at: timedelta
    fraction: float
    mean_tokens: float | None = None
    demanded_requests: float = 0
    demanded_tokens: float = 0


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is admitted; pass this with `deducted` to `settle`."""

    deducted: float


@dataclass(frozen=True, slots=True)
class OverLimit:
    """The customer's limit is exhausted; a retry may follow after this time."""

    retry_after: timedelta


class CustomerRateLimiter:
    """The rate limiter of an entry daemon, with an account per customer."""

    def __init__(self, clock: Clock, fraction: float) -> None:
        """Initialize without accounts; a new account starts with a full burst.

        Args:
          clock: Measures the time between refills.
          fraction: The fraction of each limit that this daemon may use until
            `update_fractions` replaces it.
        """
        self._clock = clock
        self._fraction = fraction
        self._accounts: dict[str, _Account] = {}

    def admit(
        self, customer: Customer, max_tokens: int
    ) -> Admitted | OverLimit:
        """Charge a request to the customer's account, or reject it.

        Args:
          customer: The customer and its limits.
          max_tokens: The largest number of tokens that the request can use.

        Returns:
          The tokens deducted, or the time until a retry may succeed.
        """
        account = self._refill(customer)
        estimate = float(max_tokens)
        if account.mean_tokens is not None:
            estimate = min(estimate, account.mean_tokens)
        account.demanded_requests += 1
        account.demanded_tokens += estimate
        if account.requests >= 1 and account.tokens > 0:
            account.requests -= 1
            account.tokens -= estimate
            return Admitted(estimate)
        return OverLimit(self._retry_after(account, customer))

    def settle(self, customer: Customer, admitted: Admitted, used: int) -> None:
        """Correct the account by the tokens that the request has used.

        Args:
          customer: The customer.
          admitted: The result of `admit`.
          used: The tokens used; 0 for a request that did not run.
        """
        account = self._refill(customer)
        account.tokens += admitted.deducted - used
        if used:
            mean_tokens = account.mean_tokens or float(used)
            account.mean_tokens = (
                mean_tokens + (used - mean_tokens) * _SMOOTHING
            )

    def update_fractions(self, fractions: Mapping[str, float]) -> None:
        """Set the fraction of some customers' limits that this daemon may use.

        Args:
          fractions: The fraction of each customer's limits, 0 to 1.
        """
        for name, fraction in fractions.items():
            account = self._accounts.get(name)
            if account is not None:
                account.fraction = max(fraction, _MIN_FRACTION)

    def collect_demand(self) -> dict[str, tuple[float, float]]:
        """Return the demand since the previous call, and reset it.

        Returns:
          The requests and estimated tokens of each customer with any demand.
        """
        demand = {}
        for name, account in self._accounts.items():
            if account.demanded_requests:
                demand[name] = (
                    account.demanded_requests,
                    account.demanded_tokens,
                )
            account.demanded_requests = 0
            account.demanded_tokens = 0
        return demand

    def _refill(self, customer: Customer) -> _Account:
        now = self._clock.elapsed()
        account = self._accounts.get(customer.name)
        if account is None:
            requests, tokens = _rates_per_second(customer, self._fraction)
            account = _Account(
                requests * _BURST_SECONDS + 1,
                tokens * _BURST_SECONDS + 1,
                now,
                self._fraction,
            )
            self._accounts[customer.name] = account
        requests, tokens = _rates_per_second(customer, account.fraction)
        seconds = (now - account.refilled_at).total_seconds()
        account.refilled_at = now
        account.requests = min(
            account.requests + requests * seconds,
            requests * _BURST_SECONDS + 1,
        )
        account.tokens = min(
            account.tokens + tokens * seconds, tokens * _BURST_SECONDS + 1
        )
        return account

    def _retry_after(self, account: _Account, customer: Customer) -> timedelta:
        requests, tokens = _rates_per_second(customer, account.fraction)
        seconds = max(
            (1 - account.requests) / requests, (1 - account.tokens) / tokens
        )
        return min(timedelta(seconds=seconds), _MAX_RETRY_AFTER)


def _rates_per_second(
    customer: Customer, fraction: float
) -> tuple[float, float]:
    return (
        customer.requests_per_minute / _MINUTE_SECONDS * fraction,
        customer.tokens_per_minute / _MINUTE_SECONDS * fraction,
    )
