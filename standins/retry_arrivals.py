"""Checks the arrivals at a service against its shared budget of retries."""

from bisect import bisect_left, bisect_right
from collections.abc import Sequence

from linnetwind.admission.shared_retry_budget import RetryBudgetTerms


def most_excess(
    sent: Sequence[float], retries: Sequence[float], terms: RetryBudgetTerms
) -> float:
    """Return by how many retries the worst window exceeds the budget.

    A window may use the requests of the one before it, or of the one half a
    window earlier, if those are more.

    Args:
      sent: When callers sent their requests, in seconds, ascending.
      retries: When requests arrived at an upstream again, ascending.
      terms: The terms of the budget.

    Returns:
      The excess; not positive if all windows are within the budget.
    """
    window = terms.window.total_seconds()

    def allowed(start: float) -> float:
        most = max(
            _count(sent, start - before, start - before + window)
            for before in (0, window / 2, window)
        )
        return terms.ratio * most + terms.allowance

    return max(
        (
            _count(retries, start, start + window) - allowed(start)
            for start in retries
        ),
        default=0,
    )


def _count(times: Sequence[float], start: float, end: float) -> int:
    return bisect_right(times, end) - bisect_left(times, start)
