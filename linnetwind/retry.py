"""Decides whether to retry a request whose attempt failed.

A retry budget limits retries to a fraction of the requests, so that during an
outage retries do not multiply the load that caused it.
"""

from dataclasses import dataclass
from datetime import timedelta

from linnetwind.outcome import NotRun, Reason, Unknown

_STARTING_TOKENS = 10.0
_MAX_TOKENS = 100.0

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
    """A token budget: requests add tokens and each retry spends one."""

    def __init__(self, ratio: float) -> None:
        """Start with a few tokens, so that retries work under low traffic too.

        Args:
          ratio: The tokens that each request adds.
        """
        self.ratio = ratio
        self._tokens = _STARTING_TOKENS

    def earn(self) -> None:
        """Add the tokens of a new request."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self.ratio)

    def spend(self) -> bool:
        """Spend a token on a retry.

        Returns:
          Whether a token was available.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


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
      budget: The daemon's retry budget, from which a retry spends a token.

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
