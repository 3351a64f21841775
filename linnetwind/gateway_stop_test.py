"""Tests of when a stopping gateway accepts requests."""

from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.clock import ManualClock
from linnetwind.drain_order import RESTART_DELAY, Fleet, FleetDaemon, StopTime
from linnetwind.gateway_stop import (
    AWAITED_DRAIN_TIME,
    COMPLETION_FRACTION,
    CUT_FRACTION,
    NOTICE_PERIOD,
    READY_PERIOD,
    REMOVAL_DELAY,
    EndEstimate,
    GatewayStop,
    StopPhase,
    StopPlan,
    may_start,
    plan_stop,
    retry_after,
    stop_phase,
)

GRACE = timedelta(seconds=8)
MOMENT = timedelta(milliseconds=1)
LONG = timedelta(seconds=60)
ENDLESS = EndEstimate(LONG, LONG)
ALONE = Fleet((), 1)
START = timedelta(seconds=100)
STEP = timedelta(milliseconds=50)
RESTART = timedelta(seconds=0.9)
# How long the stream lasts that each daemon runs when the first one is stopped.
FIRST_STREAM = timedelta(seconds=3)


def _seconds(number):
    return timedelta(seconds=number)


def _host(name, stopped_at=None, site='s'):
    stop_time = (
        None if stopped_at is None else StopTime(name, _seconds(stopped_at))
    )
    return FleetDaemon(name, site, stop_time)


def test_what_ends_before_the_last_sixth_of_the_grace_is_not_cut():
    # With a grace period of 5 s, streams that started 1.2 and 2.8 s after
    # SIGTERM were cut at 4.05 s. Only streams that last longer than 4.17 s may
    # be cut.
    assert 5 / 6 < COMPLETION_FRACTION < CUT_FRACTION < 1


@pytest.mark.parametrize('grace', [1, 2, 3, 5, 8, 30])
@pytest.mark.parametrize('phase', StopPhase)
def test_a_request_that_cannot_end_in_time_is_rejected(grace, phase):
    # A grace period of 1 or 2 s is shorter than the time until the platform
    # routes callers elsewhere. Requests that the daemon accepted up to its end
    # were cut.
    plan = plan_stop(timedelta(), _seconds(grace))
    assert plan.closes_at < plan.ends_at < plan.cuts_at
    late = EndEstimate(LONG, plan.ends_at + MOMENT)
    assert not may_start(plan, plan.closes_at, late, phase)


def test_callers_are_served_during_the_notice_period():
    plan = plan_stop(timedelta(), GRACE)
    assert may_start(plan, NOTICE_PERIOD - MOMENT, ENDLESS, StopPhase.SERVES)


@pytest.mark.parametrize('phase', StopPhase)
def test_after_the_notice_period_only_what_ends_in_time_starts(phase):
    # 3 s after SIGTERM a caller requests a stream that may take 8 s, and sends
    # a call with a time limit of 1.5 s. Requests have to end by 7.2 s after
    # SIGTERM: the stream would be cut, the call cannot be.
    plan = plan_stop(timedelta(), GRACE)
    now = _seconds(3)
    stream = EndEstimate(now + _seconds(8), now + _seconds(8))
    call = EndEstimate(now + _seconds(1.5), now + _seconds(1.5))
    assert not may_start(plan, now, stream, phase)
    assert may_start(plan, now, call, phase)


@pytest.mark.parametrize('grace', [1, 2, 3, 5, 8, 30])
@pytest.mark.parametrize('phase', StopPhase)
def test_after_the_notice_period_an_estimate_admits_no_request(grace, phase):
    # Streams that were expected to end in time took ten times as long as those
    # before them. They were accepted 3.3 s after SIGTERM, and cut.
    plan = plan_stop(timedelta(), _seconds(grace))
    for now in (plan.closes_at, plan.closes_at + MOMENT, plan.ends_at):
        assert not may_start(plan, now, EndEstimate(LONG, now), phase)


def test_a_daemon_that_others_wait_for_accepts_only_short_requests():
    # Streams of 4 s that it accepted within its notice period kept it running
    # for 6 s, and the daemons that waited for it had no time left to drain.
    plan = plan_stop(timedelta(), GRACE)
    now = _seconds(0.5)
    assert may_start(
        plan,
        now,
        EndEstimate(now + LONG, AWAITED_DRAIN_TIME),
        StopPhase.HURRIES,
    )
    late = EndEstimate(now + LONG, AWAITED_DRAIN_TIME + MOMENT)
    assert not may_start(plan, now, late, StopPhase.HURRIES)


def test_a_process_without_a_stop_signal_accepts_everything():
    stop = _stop(ManualClock(datetime.now(UTC)))
    assert stop.may_start(ENDLESS)
    assert stop.reports_ready()
    assert not stop.is_stopping()
    assert not stop.is_draining()
    assert not stop.may_end()
    assert not stop.is_over()


def _stop(clock, fleet=ALONE):
    return GatewayStop(
        clock, GRACE, FleetDaemon('a', 's', None), lambda _now: fleet
    )


def test_a_shutdown_drains_after_the_notice_period_and_then_ends():
    clock = ManualClock(datetime.now(UTC))
    clock.advance(LONG)
    stop = _stop(clock)
    stop.begin()
    seen = []
    for _second in range(9):
        seen.append((stop.is_draining(), stop.is_over()))
        clock.advance(timedelta(seconds=1))
    assert stop.is_stopping()
    assert seen == [(False, False)] * 3 + [(True, False)] * 5 + [(True, True)]


def test_a_daemon_that_may_drain_is_not_ready_any_more():
    stop = _stop(ManualClock(datetime.now(UTC)))
    stop.begin()
    assert not stop.reports_ready()


def test_a_daemon_that_serves_on_is_out_of_rotation_in_time():
    # If it were still in rotation 4 s after SIGTERM, callers would be routed to
    # it that it has to reject; the platform needs two probes to take it out.
    clock = ManualClock(datetime.now(UTC))
    stop = _stop(clock, Fleet((_host('b', -1),), 4))
    stop.begin()
    assert stop.reports_ready()
    clock.advance(READY_PERIOD)
    assert not stop.reports_ready()
    assert READY_PERIOD + _seconds(2) < _seconds(4)


def test_an_awaited_daemon_runs_until_it_is_out_of_rotation():
    # When it ended sooner, the connections of callers in its data centre were
    # refused, and their only retry was routed to the same address.
    clock = ManualClock(datetime.now(UTC))
    others = (_host('b', 0.5), _host('c', 0.5), _host('d', 0))
    stop = _stop(clock, Fleet(others, 4))
    stop.begin()
    assert stop.is_draining()
    clock.advance(REMOVAL_DELAY - MOMENT)
    assert not stop.may_end()
    clock.advance(MOMENT)
    assert stop.may_end()


def test_a_rejected_caller_of_a_drained_fleet_waits_for_a_restart():
    # No daemon of the fleet was ready, so that the platform routed callers to
    # all of them. Callers that retried at once reached a draining daemon.
    plan = plan_stop(timedelta(), GRACE)
    others = (_host('b', 0.5), _host('c', 0.5))
    fleet = Fleet(others, 4)
    own = _host('a', 0)
    assert stop_phase(plan, _seconds(3), own, fleet) is StopPhase.DRAINS
    assert retry_after(plan, _seconds(3), own, fleet) == _seconds(1.5)


@pytest.mark.parametrize(
    ('others', 'expected'),
    [
        pytest.param((_host('b'), _host('c')), 0, id='another one serves'),
        pytest.param(
            (_host('b', 1), _host('c', 1)), 0, id='the others serve first'
        ),
        pytest.param(
            (_host('b', 0.5), _host('c', 1, 't'), _host('d', None, 't')),
            2.1,
            id='drains too',
        ),
        pytest.param((_host('b', 1),), 1.5, id='all are stopping'),
        pytest.param(
            (_host('b', None, 't'), _host('c', 1, 't')),
            2.1,
            id='out of rotation',
        ),
        pytest.param((_host('b', -1), _host('c', -1)), 1.5, id='none serves'),
    ],
)
def test_a_rejected_caller_retries_when_another_daemon_serves_it(
    others, expected
):
    # A caller retries once, within its data centre. If it retried at once, it
    # reached the daemon that had rejected it, and its request failed.
    plan = plan_stop(timedelta(), GRACE)
    after = retry_after(plan, _seconds(1), _host('a', 0), Fleet(others, 4))
    assert after == _seconds(expected)


@dataclass(frozen=True)
class _Stream:
    """How long a stream takes, and how long it should take."""

    duration: timedelta
    expected: timedelta


def _stream(seconds):
    return _Stream(_seconds(seconds), _seconds(seconds))


@dataclass
class _Daemon:
    """A daemon of the simulated fleet, and the ends of its streams."""

    name: str
    plan: StopPlan | None = None
    ends: list = field(default_factory=list)
    has_ended: bool = False
    restarts_at: timedelta = timedelta()

    def host(self):
        stop_time = (
            None
            if self.plan is None
            else StopTime(self.name, self.plan.stop_started_at)
        )
        return FleetDaemon(self.name, self.name, stop_time)

    def is_reachable(self, now):
        return not self.has_ended and now >= self.restarts_at + (
            RESTART_DELAY if self.restarts_at else timedelta()
        )

    def accepts(self, now, fleet, stream):
        """Accept a stream if a daemon would."""
        if self.has_ended or now < self.restarts_at:
            return False
        if self.plan is not None:
            phase = stop_phase(self.plan, now, self.host(), fleet)
            ending = EndEstimate(now + LONG, now + stream.expected)
            if not may_start(self.plan, now, ending, phase):
                return False
        self.ends.append(now + stream.duration)
        return True

    def step(self, now, fleet):
        """End the process once nothing is open, and restart it."""
        self.ends = [end for end in self.ends if end > now]
        if self.plan is None:
            return
        assert not self.ends or now < self.plan.cuts_at, 'streams are cut'
        drains = (
            stop_phase(self.plan, now, self.host(), fleet)
            is not StopPhase.SERVES
        )
        over = now >= self.plan.cuts_at
        if over or (
            drains
            and now >= self.plan.stop_started_at + REMOVAL_DELAY
            and not self.ends
        ):
            self.plan = None
            self.restarts_at = now + RESTART


def _fleet(daemons, own, now):
    reachable = [
        each.host()
        for each in daemons
        if each is not own and each.is_reachable(now)
    ]
    return Fleet(tuple(reachable), len(daemons))


def _simulate(stopped_at, stream):
    """Stop daemons at these times; return when none accepts a stream."""
    daemons = [_Daemon(f'd{number}') for number in range(len(stopped_at))]
    for daemon in daemons:
        daemon.ends.append(START + FIRST_STREAM)
    rejected = []
    now = START
    while now < START + _seconds(20):
        for daemon, seconds in zip(daemons, stopped_at, strict=True):
            if now == START + _seconds(seconds):
                daemon.plan = plan_stop(now, GRACE)
        # Each caller tries one daemon after the other.
        accepted = [
            each.accepts(now, _fleet(daemons, each, now), stream)
            for each in daemons
        ]
        if not any(accepted):
            rejected.append(now - START)
        for each in daemons:
            each.step(now, _fleet(daemons, each, now))
        now += STEP
    assert all(each.plan is None and each.restarts_at for each in daemons)
    return rejected


STOPPED_AT = (
    pytest.param((0, 0.8, 1.6, 2.4), id='in turn'),
    pytest.param((0, 0, 0.5, 0.5), id='in pairs'),
    pytest.param((0, 0, 0, 0), id='together'),
    pytest.param((0, 0), id='two'),
    pytest.param((2.4, 1.6, 0.8, 0, 3.2, 4, 4.8, 5.6), id='eight in turn'),
)


@pytest.mark.parametrize('stopped_at', STOPPED_AT)
def test_daemons_that_stop_one_after_another_take_streams_in_turn(stopped_at):
    # All hosts are stopped within seconds. When each drained for itself from
    # 2.6 s after its SIGTERM, none accepted a stream for 2 to 4 s, and callers
    # were rejected by one after the other. A daemon takes streams whose end is
    # not bounded until its notice period ends, so a gap remains if the last one
    # ends before the first daemon has restarted.
    last_notice = _seconds(max(stopped_at)) + NOTICE_PERIOD
    first_restart = _seconds(min(stopped_at)) + FIRST_STREAM + RESTART
    for rejected_at in _simulate(stopped_at, _stream(1.5)):
        assert last_notice <= rejected_at < first_restart


def test_daemons_that_stop_in_turn_cut_no_long_stream():
    rejected = _simulate((0, 0.8, 1.6, 2.4), _stream(3.5))
    assert len(rejected) * STEP < _seconds(3)


@pytest.mark.parametrize('stopped_at', STOPPED_AT)
def test_a_stream_that_outlasts_its_estimate_is_not_cut(stopped_at):
    # After short responses the estimate for a long stream is far too low.
    # Streams of 5 s that start within the notice period end before the cut.
    assert NOTICE_PERIOD + _seconds(5) < GRACE * CUT_FRACTION
    _simulate(stopped_at, _Stream(_seconds(5), _seconds(0.5)))


def test_a_queued_request_has_time_until_it_would_be_cut():
    clock = ManualClock(datetime.now(UTC))
    stop = _stop(clock)
    assert stop.has_time(ENDLESS)
    stop.begin()
    assert stop.has_time(ENDLESS)
    clock.advance(NOTICE_PERIOD)
    assert not stop.has_time(ENDLESS)
    assert stop.has_time(EndEstimate(LONG, GRACE * COMPLETION_FRACTION))


def test_a_process_that_ends_accepts_nothing():
    clock = ManualClock(datetime.now(UTC))
    stop = _stop(clock)
    stop.begin()
    clock.advance(NOTICE_PERIOD)
    short = EndEstimate(clock.elapsed() + MOMENT, clock.elapsed() + MOMENT)
    assert stop.may_start(short)
    stop.end()
    assert not stop.may_start(short)
