"""Tests of the admission of streams while ranks ask for a backoff."""

from datetime import UTC, datetime

from linnetwind.admission.admission_policy import (
    MAX_RETRY_WAIT,
    CapacityView,
    PendingStream,
    QueueStream,
    RejectStream,
    decide_admission,
)
from linnetwind.admission.group_capacity import GroupCount
from linnetwind.admission.retry_times import MIN_RETRY_AFTER
from linnetwind.admission.stream_admission_control import StreamAdmission
from linnetwind.clock import ManualClock
from linnetwind.peers.peer_table import GroupSummary
from linnetwind.routes import RoutedService
from standins.gateway_fixtures import MS, SECOND, make_engine
from standins.stream_fixtures import FIRST

SERVICE = RoutedService('model', '/health', 248, make_engine())
GAP = 120 * MS
SEND_INTERVAL = 30 * MS


def _backing_off(opens_in):
    return CapacityView(0, 40, 200 * MS, opens_in, is_backoff=True)


def _snapshot(**counts):
    """Return the capacity of healthy groups, and the permits of each."""
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    admission = StreamAdmission(clock)
    for name in counts:
        admission.apply_summary(
            GroupSummary('model', name, 1, True, 1.2, 0, ())
        )
    clock.advance(SEND_INTERVAL)
    view = admission.view(SERVICE, GAP, counts, (), SEND_INTERVAL)
    return view, admission.free_permits('model', counts)


def test_a_stream_is_queued_until_the_end_of_a_backoff():
    assert decide_admission(_backing_off(SECOND), FIRST) == QueueStream(
        MAX_RETRY_WAIT
    )


def test_a_rejected_caller_is_asked_to_retry_after_the_backoff():
    """Guards against callers that retry sooner and are rejected again."""
    assert (
        decide_admission(_backing_off(5 * SECOND), FIRST).retry_after
        == 5 * SECOND
    )
    waited = PendingStream(0, MAX_RETRY_WAIT, FIRST.target, returning=True)
    decision = decide_admission(_backing_off(100 * MS), waited)
    assert isinstance(decision, RejectStream)
    assert decision.retry_after == MIN_RETRY_AFTER


def test_a_group_whose_ranks_all_back_off_gets_no_streams():
    """Guards against sending streams to ranks that asked for a backoff."""
    backing_off = GroupCount(0, 0, ranks=0, backoff=SECOND)
    view, _permits = _snapshot(a=backing_off)
    assert view.opens_in == SECOND
    assert view.is_backoff


def test_another_group_gets_the_streams_of_one_that_backs_off():
    backing_off = GroupCount(0, 0, ranks=0, backoff=SECOND)
    view, permits = _snapshot(a=backing_off, b=GroupCount(0, 0, ranks=16))
    assert view.opens_in is None
    assert list(permits) == ['b']


def test_ranks_that_back_off_reduce_the_permits():
    """Guards against streams that wait for slots at the remaining ranks."""
    _view, all_accept = _snapshot(a=GroupCount(0, 0, ranks=16))
    _view, some_accept = _snapshot(a=GroupCount(0, 0, ranks=4))
    assert some_accept['a'] < all_accept['a']
