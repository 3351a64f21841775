"""Whether a request that got no answer is tried once more.

The budget follows the idea of retry budgets in site reliability practice:
retries may be a fraction of the requests, so that an outage does not
multiply the load that caused it.
"""

from dataclasses import dataclass
from datetime import timedelta

from linnetwind.outcome import NotRun, Reason, Unknown

_STARTING_TOKENS = 10.0
_MOST_TOKENS = 100.0

# Another upstream would refuse for the same reason.
_FINAL = frozenset(
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
    """Tokens that requests earn and retries spend."""

    def __init__(self, ratio: float) -> None:
        """Start with a few tokens, so that a quiet daemon can retry.

        Args:
          ratio: Tokens earned by each request.
        """
        self.ratio = ratio
        self._tokens = _STARTING_TOKENS

    def earn(self) -> None:
        """Take note of a new request."""
        self._tokens = min(_MOST_TOKENS, self._tokens + self.ratio)

    def spend(self) -> bool:
        """Take a token for a retry.

        Returns:
          Whether there was one.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class Retry:
    """Try another upstream now."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with this, at once."""

    outcome: NotRun | Unknown


@dataclass(frozen=True, slots=True)
class Attempt:
    """A failed attempt, and what is left."""

    outcome: NotRun | Unknown
    repeatable: bool
    attempts_left: int
    time_left: timedelta


def after_failure(attempt: Attempt, budget: RetryBudget) -> Retry | GiveUp:
    """Decide what follows a failed attempt.

    Args:
      attempt: How it failed.
      budget: The daemon's budget; spent from if a retry is due.

    Returns:
      The decision.
    """
    outcome = attempt.outcome
    if isinstance(outcome, Unknown) and not attempt.repeatable:
        # It may have run: a second attempt could run it twice.
        return GiveUp(outcome)
    if outcome.reason in _FINAL:
        return GiveUp(outcome)
    if attempt.attempts_left <= 0 or attempt.time_left <= timedelta():
        return GiveUp(outcome)
    if not budget.spend():
        return GiveUp(outcome)
    return Retry()
