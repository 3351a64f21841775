"""Tests of admission: order, deadlines, call statuses and draining."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.clock import ManualClock
from linnetwind.gate import STATUS_RETENTION, Gate, Refuse, Start
from linnetwind.outcome import Reason

LONG = timedelta(seconds=30)


@pytest.fixture
def clock():
    return ManualClock(datetime(2026, 1, 1, tzinfo=UTC))


def gate_with_running_call(clock):
    gate = Gate(1, clock)
    assert gate.offer('running', 5, LONG) == (Start('running'),)
    return gate


def test_queue_is_ordered_by_priority_then_arrival(clock):
    gate = gate_with_running_call(clock)
    for call, priority in (('a', 5), ('b', 1), ('c', 5)):
        assert gate.offer(call, priority, LONG) == ()
    order = []
    running = 'running'
    for _finish in range(3):
        (started,) = gate.finish(running, None)
        running = started.call_id
        order.append(running)
    assert order == ['b', 'a', 'c']


def test_call_that_would_miss_its_deadline_is_refused_at_once(clock):
    gate = gate_with_running_call(clock)
    gate.finish('running', timedelta(seconds=10))
    gate.offer('next', 5, LONG)
    (refusal,) = gate.offer('hopeless', 5, timedelta(seconds=1))
    assert refusal.reason is Reason.OVERLOADED
    assert refusal.retry_after > timedelta(seconds=1)


def test_waiting_call_is_refused_when_its_deadline_passes(clock):
    gate = gate_with_running_call(clock)
    gate.offer('waits', 5, timedelta(seconds=5))
    clock.advance(timedelta(seconds=6))
    (refusal,) = gate.expire()
    assert (refusal.call_id, refusal.reason) == ('waits', Reason.DEADLINE)
    assert gate.finish('running', None) == ()


def test_barred_call_never_starts(clock):
    # The entry daemon lost its connection, queried the status of the call
    # and received "not started". The frame of the call was still in a
    # socket buffer and arrives now.
    gate = Gate(1, clock)
    assert gate.withdraw('late') is False
    (refusal,) = gate.offer('late', 5, LONG)
    assert refusal.reason is Reason.BARRED


def test_withdrawn_call_is_removed_from_the_queue(clock):
    gate = gate_with_running_call(clock)
    gate.offer('waits', 5, LONG)
    assert gate.withdraw('waits') is False
    assert gate.finish('running', None) == ()


def test_started_call_is_reported_while_it_runs_and_after_its_end(clock):
    gate = gate_with_running_call(clock)
    assert gate.withdraw('running') is True
    clock.advance(STATUS_RETENTION * 2)
    gate.offer('other', 5, LONG)
    assert gate.withdraw('running') is True
    gate.finish('running', None)
    assert gate.withdraw('running') is True


def test_duplicate_frame_runs_once(clock):
    gate = Gate(2, clock)
    assert gate.offer('call', 5, LONG) == (Start('call'),)
    (refusal,) = gate.offer('call', 5, LONG)
    assert isinstance(refusal, Refuse)
    assert gate.running == 1


def test_draining_refuses_calls_until_resumed(clock):
    gate = gate_with_running_call(clock)
    gate.offer('waits', 5, LONG)
    (refusal,) = gate.stop_accepting()
    assert refusal.reason is Reason.LEAVING
    (refusal,) = gate.offer('new', 5, LONG)
    assert refusal.reason is Reason.LEAVING
    gate.resume_accepting()
    gate.finish('running', None)
    assert gate.offer('again', 5, LONG) == (Start('again'),)


def test_queued_calls_are_refused_when_the_upstream_requests_backoff(clock):
    """Guards against queued calls being sent in spite of a backoff."""
    gate = gate_with_running_call(clock)
    gate.offer('waits', 5, LONG)
    backoff = timedelta(seconds=3)
    (refusal,) = gate.back_off(backoff)
    assert (refusal.call_id, refusal.retry_after) == ('waits', backoff)
    assert gate.finish('running', None) == ()
    gate.back_off(timedelta(seconds=1))
    (refusal,) = gate.offer('next', 5, LONG)
    assert (refusal.reason, refusal.retry_after) == (Reason.OVERLOADED, backoff)
    clock.advance(backoff)
    assert gate.offer('later', 5, LONG) == (Start('later'),)
