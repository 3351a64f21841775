"""Decides whether to retry a request whose attempt failed.

A retry budget limits retries to a fraction of the requests, so that during an
outage retries do not multiply the load that caused it.
"""

from dataclasses import dataclass
from datetime import timedelta

from linnetwind.admission.request_credit import RequestCredit
from linnetwind.clock import Clock
from linnetwind.outcome import NotRun, Reason, Unknown

# How long a request pays for retries.
_WINDOW = timedelta(seconds=10)
# The most retries that no request pays for, and the time in which an empty
# reserve is filled.
_MAX_RESERVE = 10
_REFILL_TIME = timedelta(seconds=10)

# Refusals that every other upstream would repeat.
_FINAL_REASONS = frozenset(
    (
        Reason.CUSTOMER_LIMIT,
        Reason.BAD_REQUEST,
        Reason.IN_PROGRESS,
        Reason.KEY_REUSED,
        Reason.RAN_BEFORE,
        Reason.LOG_UNAVAILABLE,
    )
)


class RetryBudget:
    """The retries of this daemon: a part of its requests, plus a reserve.

    The reserve is for retries under low traffic.
    """

    def __init__(self, clock: Clock, ratio: float = 0) -> None:
        """Start with a full reserve.

        Args:
          clock: For the window of requests and the refill of the reserve.
          ratio: The retries that each request pays for.
        """
        self._clock = clock
        self._credit = RequestCredit(_WINDOW, ratio)
        self._reserve: float = _MAX_RESERVE
        self._refilled_at = clock.elapsed()

    def earn(self, ratio: float) -> None:
        """Count a new request.

        Args:
          ratio: The retries that each request pays for from now on.
        """
        self._credit.change_rate(ratio)
        self._credit.add_request(self._clock.elapsed())

    def spend(self) -> bool:
        """Spend the budget of one retry.

        Returns:
          Whether the budget allows it.
        """
        now = self._clock.elapsed()
        self._refill(now)
        taken = self._credit.spend_retry(now, self._reserve)
        if taken is None:
            return False
        self._reserve -= taken
        return True

    def _refill(self, now: timedelta) -> None:
        since = now - self._refilled_at
        refilled = self._reserve + since / _REFILL_TIME * _MAX_RESERVE
        self._reserve = min(_MAX_RESERVE, refilled)
        self._refilled_at = now


@dataclass(frozen=True, slots=True)
class Retry:
    """Retry at another upstream at once."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Report this outcome to the caller at once."""

    outcome: NotRun | Unknown


@dataclass(frozen=True, slots=True)
class Attempt:
    """A failed attempt, and the attempts and time that remain."""

    outcome: NotRun | Unknown
    repeatable: bool
    attempts_left: int
    time_left: timedelta


def after_failure(attempt: Attempt, budget: RetryBudget) -> Retry | GiveUp:
    """Decide whether to retry after a failed attempt.

    Args:
      attempt: The failed attempt.
      budget: The daemon's retry budget, which has to allow a retry.

    Returns:
      The decision.
    """
    outcome = attempt.outcome
    if isinstance(outcome, Unknown) and not attempt.repeatable:
        # The request may have run; a retry could run it twice.
        return GiveUp(outcome)
    if outcome.reason in _FINAL_REASONS:
        return GiveUp(outcome)
    if attempt.attempts_left <= 0 or attempt.time_left <= timedelta():
        return GiveUp(outcome)
    if not budget.spend():
        return GiveUp(outcome)
    return Retry()
