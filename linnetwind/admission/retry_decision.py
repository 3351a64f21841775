"""Decides whether a request may be sent to another upstream, and logs it."""

from linnetwind.admission.retry_events import RetryDecided
from linnetwind.admission.shared_retry_budget import (
    RetryDecision,
    SharedRetryBudget,
)
from linnetwind.event_log import EventLog


def decide_retry(
    budgets: SharedRetryBudget,
    log: EventLog,
    request: str,
    service: str,
    *,
    counts: bool,
) -> bool:
    """Decide on a retry, and spend it if the budget has to pay for it.

    Args:
      budgets: The retry budgets of all services.
      log: Receives the decision.
      request: The id of the request.
      service: The service that is called again.
      counts: Whether an upstream has received the request before.

    Returns:
      Whether the retry may be sent.
    """
    decision = RetryDecision.UNCOUNTED
    if counts:
        may_send = budgets.spend(service)
        decision = RetryDecision.COUNTED if may_send else RetryDecision.DENIED
    use = budgets.use(service)
    log.event(
        RetryDecided(
            request,
            service,
            decision.value,
            use.daemons,
            use.spent,
            use.uptime,
        )
    )
    return decision is not RetryDecision.DENIED
