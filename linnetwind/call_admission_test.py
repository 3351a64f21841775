"""Tests of admission: order, deadlines, call statuses and draining."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.call_admission import (
    STATUS_RETENTION,
    CallAdmission,
    Refuse,
    StartCall,
)
from linnetwind.clock import ManualClock
from linnetwind.outcome import Reason

LONG = timedelta(seconds=30)


@pytest.fixture
def clock():
    return ManualClock(datetime(2026, 1, 1, tzinfo=UTC))


def admission_with_running_call(clock):
    admission = CallAdmission(1, clock)
    assert admission.offer('running', 5, LONG) == (StartCall('running'),)
    return admission


def test_queue_is_ordered_by_priority_then_arrival(clock):
    admission = admission_with_running_call(clock)
    for call, priority in (('a', 5), ('b', 1), ('c', 5)):
        assert admission.offer(call, priority, LONG) == ()
    order = []
    running = 'running'
    for _finish in range(3):
        (started,) = admission.finish(running, None)
        running = started.call_id
        order.append(running)
    assert order == ['b', 'a', 'c']


def test_call_that_would_miss_its_deadline_is_refused_at_once(clock):
    admission = admission_with_running_call(clock)
    admission.finish('running', timedelta(seconds=10))
    admission.offer('next', 5, LONG)
    (refusal,) = admission.offer('hopeless', 5, timedelta(seconds=1))
    assert refusal.reason is Reason.OVERLOADED
    assert refusal.retry_after > timedelta(seconds=1)


def test_waiting_call_is_refused_when_its_deadline_passes(clock):
    admission = admission_with_running_call(clock)
    admission.offer('waits', 5, timedelta(seconds=5))
    clock.advance(timedelta(seconds=6))
    (refusal,) = admission.expire()
    assert (refusal.call_id, refusal.reason) == ('waits', Reason.DEADLINE)
    assert admission.finish('running', None) == ()


def test_barred_call_never_starts(clock):
    # The entry daemon lost its connection, queried the status of the call
    # and received "not started". The frame of the call was still in a
    # socket buffer and arrives now.
    admission = CallAdmission(1, clock)
    assert admission.withdraw('late') is False
    (refusal,) = admission.offer('late', 5, LONG)
    assert refusal.reason is Reason.BARRED


def test_withdrawn_call_is_removed_from_the_queue(clock):
    admission = admission_with_running_call(clock)
    admission.offer('waits', 5, LONG)
    assert admission.withdraw('waits') is False
    assert admission.finish('running', None) == ()


def test_started_call_is_reported_while_it_runs_and_after_its_end(clock):
    admission = admission_with_running_call(clock)
    assert admission.withdraw('running') is True
    clock.advance(STATUS_RETENTION * 2)
    admission.offer('other', 5, LONG)
    assert admission.withdraw('running') is True
    admission.finish('running', None)
    assert admission.withdraw('running') is True


def test_duplicate_frame_runs_once(clock):
    admission = CallAdmission(2, clock)
    assert admission.offer('call', 5, LONG) == (StartCall('call'),)
    (refusal,) = admission.offer('call', 5, LONG)
    assert isinstance(refusal, Refuse)
    assert admission.running == 1


def test_draining_refuses_calls_until_resumed(clock):
    admission = admission_with_running_call(clock)
    admission.offer('waits', 5, LONG)
    (refusal,) = admission.stop_accepting()
    assert refusal.reason is Reason.LEAVING
    (refusal,) = admission.offer('new', 5, LONG)
    assert refusal.reason is Reason.LEAVING
    admission.resume_accepting()
    admission.finish('running', None)
    assert admission.offer('again', 5, LONG) == (StartCall('again'),)


def test_queued_calls_are_refused_when_the_upstream_requests_backoff(clock):
    """Guards against queued calls being sent in spite of a backoff."""
    admission = admission_with_running_call(clock)
    admission.offer('waits', 5, LONG)
    backoff = timedelta(seconds=3)
    (refusal,) = admission.back_off(backoff)
    assert (refusal.call_id, refusal.retry_after) == ('waits', backoff)
    assert admission.finish('running', None) == ()
    admission.back_off(timedelta(seconds=1))
    (refusal,) = admission.offer('next', 5, LONG)
    assert (refusal.reason, refusal.retry_after) == (Reason.OVERLOADED, backoff)
    clock.advance(backoff)
    assert admission.offer('later', 5, LONG) == (StartCall('later'),)
