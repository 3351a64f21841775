"""Tests of admission: order, deadlines, fates and a drain."""

from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.clock import ManualClock
from linnetwind.gate import FATE_MEMORY, Gate, Refuse, Start
from linnetwind.outcome import Reason

LONG = timedelta(seconds=30)


@pytest.fixture
def clock():
    return ManualClock(datetime(2026, 1, 1, tzinfo=UTC))


def full_gate(clock):
    gate = Gate(1, clock)
    assert gate.offer('running', 5, LONG) == (Start('running'),)
    return gate


def test_queue_goes_by_priority_then_by_arrival(clock):
    gate = full_gate(clock)
    for call, priority in (('a', 5), ('b', 1), ('c', 5)):
        assert gate.offer(call, priority, LONG) == ()
    order = []
    running = 'running'
    for _finish in range(3):
        (started,) = gate.finish(running, None)
        running = started.call_id
        order.append(running)
    assert order == ['b', 'a', 'c']


def test_what_cannot_be_served_in_time_is_refused_at_once(clock):
    gate = full_gate(clock)
    gate.finish('running', timedelta(seconds=10))
    gate.offer('next', 5, LONG)
    (refusal,) = gate.offer('hopeless', 5, timedelta(seconds=1))
    assert refusal.reason is Reason.OVERLOADED
    assert refusal.retry_after > timedelta(seconds=1)


def test_waiting_call_is_refused_when_its_deadline_passes(clock):
    gate = full_gate(clock)
    gate.offer('waits', 5, timedelta(seconds=5))
    clock.advance(timedelta(seconds=6))
    (refusal,) = gate.expire()
    assert (refusal.call_id, refusal.reason) == ('waits', Reason.DEADLINE)
    assert gate.finish('running', None) == ()


def test_barred_call_never_starts(clock):
    # The entry daemon lost its link, asked for the fate and was told "not
    # started". The call's frame was still in a buffer and arrives now.
    gate = Gate(1, clock)
    assert gate.withdraw('late') is False
    (refusal,) = gate.offer('late', 5, LONG)
    assert refusal.reason is Reason.BARRED


def test_fate_of_a_waiting_call_takes_it_out_of_the_queue(clock):
    gate = full_gate(clock)
    gate.offer('waits', 5, LONG)
    assert gate.withdraw('waits') is False
    assert gate.finish('running', None) == ()


def test_started_call_says_so_while_it_runs_and_for_a_while_after(clock):
    gate = full_gate(clock)
    assert gate.withdraw('running') is True
    clock.advance(FATE_MEMORY * 2)
    gate.offer('other', 5, LONG)
    assert gate.withdraw('running') is True
    gate.finish('running', None)
    assert gate.withdraw('running') is True


def test_frame_that_comes_twice_runs_once(clock):
    gate = Gate(2, clock)
    assert gate.offer('call', 5, LONG) == (Start('call'),)
    (refusal,) = gate.offer('call', 5, LONG)
    assert isinstance(refusal, Refuse)
    assert gate.running == 1


def test_drain_refuses_waiting_and_new_calls_and_ends(clock):
    gate = full_gate(clock)
    gate.offer('waits', 5, LONG)
    (refusal,) = gate.leave()
    assert refusal.reason is Reason.LEAVING
    (refusal,) = gate.offer('new', 5, LONG)
    assert refusal.reason is Reason.LEAVING
    gate.come_back()
    gate.finish('running', None)
    assert gate.offer('again', 5, LONG) == (Start('again'),)


def test_calls_that_wait_are_refused_when_the_upstream_backs_off(clock):
    """Guards against calls that are held and sent all the same."""
    gate = full_gate(clock)
    gate.offer('waits', 5, LONG)
    wanted = timedelta(seconds=3)
    (refusal,) = gate.back_off(wanted)
    assert (refusal.call_id, refusal.retry_after) == ('waits', wanted)
    assert gate.finish('running', None) == ()
    gate.back_off(timedelta(seconds=1))
    (refusal,) = gate.offer('next', 5, LONG)
    assert (refusal.reason, refusal.retry_after) == (Reason.OVERLOADED, wanted)
    clock.advance(wanted)
    assert gate.offer('later', 5, LONG) == (Start('later'),)
