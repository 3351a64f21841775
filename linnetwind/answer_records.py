"""Records the outcomes of attempts, for the choice of upstreams."""

from dataclasses import dataclass
from datetime import timedelta

from linnetwind.call_types import ResponseFacts
from linnetwind.clock import Clock
from linnetwind.gateway_state import GatewayState
from linnetwind.routes import RoutedService
from linnetwind.upstreams.upstream_list import Upstream


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """The outcome of a request that was sent to an upstream at `sent_at`.

    `failed` says that the upstream failed, `refusal` holds the response with
    which it refused the request, or is None. `abandoned` says that the caller
    disconnected before the outcome was known.
    """

    sent_at: timedelta
    failed: bool
    refusal: ResponseFacts | None = None
    abandoned: bool = False


def record_outcome(
    state: GatewayState,
    clock: Clock,
    service: RoutedService,
    upstream: Upstream,
    outcome: AttemptOutcome,
) -> None:
    """Record the outcome of an attempt.

    Args:
      state: The daemon's state.
      clock: The daemon's clock.
      service: The service of the request.
      upstream: The upstream that got the request.
      outcome: The outcome.
    """
    refusal = outcome.refusal
    if refusal is not None and refusal.misdirected:
        # Another instance answered.
        return
    now = clock.elapsed()
    # An upstream that names a backoff or a limit gets no more than that, so
    # its refusals are no sign of a fault.
    is_bounded = refusal is not None and _states_bound(refusal)
    bad = outcome.failed or (refusal is not None and not is_bounded)
    state.upstream_records.record_answer(
        upstream, now - outcome.sent_at, failed=bad
    )
    if service.engine is not None or outcome.abandoned:
        return
    if refusal is not None and refusal.backoff is not None:
        state.request_history.ejections.record_backoff(
            upstream, refusal.backoff
        )
    if is_bounded:
        return
    has_returned = state.request_history.ejections.record_answer(
        upstream,
        state.upstreams.usable(service.name, now),
        outcome.sent_at,
        bad=bad,
    )
    if has_returned:
        # Its share of failures decreases with each answer only, and because of
        # that share it would get hardly any requests to answer.
        state.upstream_records.clear_failures(upstream)


def _states_bound(refusal: ResponseFacts) -> bool:
    return refusal.backoff is not None or refusal.max_per_s is not None
