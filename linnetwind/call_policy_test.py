"""Tests of what follows a failed attempt."""

from datetime import timedelta

import pytest

from linnetwind.call_policy import (
    FailedAttempt,
    GiveUp,
    RequestProgress,
    RetryElsewhere,
    after_failed_attempt,
)
from linnetwind.routes import RouteKind
from standins.gateway_fixtures import make_route

SECOND = timedelta(seconds=1)
NOT_REACHED = FailedAttempt('x', may_have_run=False, reached=False)
REFUSED = FailedAttempt('x', may_have_run=False, reached=True)
BROKEN = FailedAttempt('x', may_have_run=True, reached=True)
LATE = FailedAttempt('x', may_have_run=True, reached=True, out_of_time=True)

IDEMPOTENT = make_route('i')
RUN_ONCE = make_route('o', RouteKind.RUN_ONCE, max_attempts=2)
STREAM = make_route('s', RouteKind.STREAM)
RESUMABLE = make_route('r', RouteKind.STREAM, resumable=True)


@pytest.mark.parametrize(
    ('route', 'attempt', 'sent_to', 'ran_before', 'expected'),
    [
        (IDEMPOTENT, BROKEN, 1, False, 'retry'),
        (IDEMPOTENT, BROKEN, 2, False, (502, False)),
        (IDEMPOTENT, LATE, 1, False, (504, False)),
        (IDEMPOTENT, REFUSED, 2, True, (502, False)),
        (IDEMPOTENT, REFUSED, 2, False, (503, True)),
        (RUN_ONCE, BROKEN, 1, False, (502, False)),
        (RUN_ONCE, LATE, 1, False, (504, False)),
        (RUN_ONCE, REFUSED, 1, False, 'retry'),
        (RUN_ONCE, REFUSED, 2, False, (503, True)),
        (RUN_ONCE, NOT_REACHED, 0, False, 'retry'),
        (STREAM, BROKEN, 1, False, (502, False)),
        (RESUMABLE, BROKEN, 1, False, 'retry'),
    ],
)
def test_what_follows_a_failed_attempt(
    route, attempt, sent_to, ran_before, expected
):
    progress = RequestProgress(sent_to, ran_before, SECOND)
    decision = after_failed_attempt(route, attempt, progress)
    if expected == 'retry':
        assert isinstance(decision, RetryElsewhere)
    else:
        assert isinstance(decision, GiveUp)
        assert (decision.status, decision.not_run) == expected


def test_a_retry_spends_budget_only_if_something_was_sent():
    reached = after_failed_attempt(
        IDEMPOTENT, BROKEN, RequestProgress(1, False, SECOND)
    )
    not_reached = after_failed_attempt(
        IDEMPOTENT, NOT_REACHED, RequestProgress(0, False, SECOND)
    )
    assert reached.counts
    assert not not_reached.counts


def test_without_remaining_time_there_is_no_retry():
    progress = RequestProgress(0, False, timedelta(milliseconds=5))
    decision = after_failed_attempt(IDEMPOTENT, NOT_REACHED, progress)
    assert decision == GiveUp(503, not_run=True, reason='x')
