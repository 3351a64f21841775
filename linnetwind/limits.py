"""Customers' limits in requests and tokens, as one entry daemon applies them.

What a request will generate is not known when it comes in. An estimate is
taken from the customer's tokens at once and corrected when the answer has
ended; counting only afterwards would admit whatever arrives meanwhile. The
idea of deducting before and settling after is that of the related paper
(Alibaba Cloud Model Studio, "Best practices for handling rate limiting",
`track_inflight`); docs/MEASUREMENTS.md has it with and without.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from linnetwind.clock import Clock
from linnetwind.config import Customer

_MINUTE_SECONDS = 60
_BURST_SECONDS = 5
_SMOOTHING = 0.2
_LEAST_FRACTION = 0.001
_LONGEST_RETRY = timedelta(minutes=1)


@dataclass
class _Account:
    """Levels may fall below zero: a debt from answers longer than guessed."""

    requests: float
    tokens: float
    at: timedelta
    fraction: float
    typical: float | None = None
    asked_requests: float = 0
    asked_tokens: float = 0


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may run; `deducted` is to be given back to `settle`."""

    deducted: float


@dataclass(frozen=True, slots=True)
class OverLimit:
    """The customer's limit is used up until then."""

    retry_after: timedelta


class Limiter:
    """The accounts of all customers at one entry daemon."""

    def __init__(self, clock: Clock, fraction: float) -> None:
        """Start with full accounts.

        Args:
          clock: For refilling.
          fraction: The part of each limit that this daemon may hand out
            until it is told another one.
        """
        self._clock = clock
        self._fraction = fraction
        self._accounts: dict[str, _Account] = {}

    def admit(
        self, customer: Customer, most_tokens: int
    ) -> Admitted | OverLimit:
        """Take a request from a customer's account, or refuse it.

        Args:
          customer: The customer and its limits.
          most_tokens: The most that the request can cost.

        Returns:
          What was deducted, or when to come back.
        """
        account = self._refilled(customer)
        guess = float(most_tokens)
        if account.typical is not None:
            guess = min(guess, account.typical)
        account.asked_requests += 1
        account.asked_tokens += guess
        if account.requests >= 1 and account.tokens > 0:
            account.requests -= 1
            account.tokens -= guess
            return Admitted(guess)
        return OverLimit(self._wait(account, customer))

    def settle(self, customer: Customer, admitted: Admitted, used: int) -> None:
        """Correct the account by what the request has really cost.

        Args:
          customer: The customer.
          admitted: What `admit` gave.
          used: The tokens used; 0 for a request that did not run.
        """
        account = self._refilled(customer)
        account.tokens += admitted.deducted - used
        if used:
            typical = account.typical or float(used)
            account.typical = typical + (used - typical) * _SMOOTHING

    def take_fractions(self, fractions: Mapping[str, float]) -> None:
        """Replace the part of some customers' limits held here.

        Args:
          fractions: The part of each customer's limits, 0 to 1.
        """
        for name, fraction in fractions.items():
            account = self._accounts.get(name)
            if account is not None:
                account.fraction = max(fraction, _LEAST_FRACTION)

    def take_demand(self) -> dict[str, tuple[float, float]]:
        """Return what was asked since the last time, and start anew.

        Returns:
          Requests and tokens by customer, of those that asked for any.
        """
        demand = {}
        for name, account in self._accounts.items():
            if account.asked_requests:
                demand[name] = (account.asked_requests, account.asked_tokens)
            account.asked_requests = 0
            account.asked_tokens = 0
        return demand

    def _refilled(self, customer: Customer) -> _Account:
        now = self._clock.elapsed()
        account = self._accounts.get(customer.name)
        if account is None:
            requests, tokens = _rates(customer, self._fraction)
            account = _Account(
                requests * _BURST_SECONDS + 1,
                tokens * _BURST_SECONDS + 1,
                now,
                self._fraction,
            )
            self._accounts[customer.name] = account
        requests, tokens = _rates(customer, account.fraction)
        passed = (now - account.at).total_seconds()
        account.at = now
        account.requests = min(
            account.requests + requests * passed,
            requests * _BURST_SECONDS + 1,
        )
        account.tokens = min(
            account.tokens + tokens * passed, tokens * _BURST_SECONDS + 1
        )
        return account

    def _wait(self, account: _Account, customer: Customer) -> timedelta:
        requests, tokens = _rates(customer, account.fraction)
        seconds = max(
            (1 - account.requests) / requests, (1 - account.tokens) / tokens
        )
        return min(timedelta(seconds=seconds), _LONGEST_RETRY)


def _rates(customer: Customer, fraction: float) -> tuple[float, float]:
    return (
        customer.requests_per_minute / _MINUTE_SECONDS * fraction,
        customer.tokens_per_minute / _MINUTE_SECONDS * fraction,
    )
