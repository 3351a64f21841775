"""Tests of when a stopping gateway takes requests."""

from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.clock import ManualClock
from linnetwind.gateway_stop import (
    CUT_AT,
    NOTICE,
    OUT,
    READY_FOR,
    TURN,
    USE_OF_STOP,
    Ending,
    GatewayStop,
    Phase,
    StopPlan,
    may_begin,
    phase_of,
    plan_stop,
    retry_after,
)
from linnetwind.stop_turns import BACK, Fleet, Host, Told

GRACE = timedelta(seconds=8)
MOMENT = timedelta(milliseconds=1)
LONG = timedelta(seconds=60)
ENDLESS = Ending(LONG, LONG)
ALONE = Fleet((), 1)
START = timedelta(seconds=100)
STEP = timedelta(milliseconds=50)
RESTART = timedelta(seconds=0.9)


def _seconds(number):
    return timedelta(seconds=number)


def _host(name, told_at=None, site='s'):
    told = None if told_at is None else Told(name, _seconds(told_at))
    return Host(name, site, told)


def test_what_ends_before_the_last_sixth_of_the_grace_is_not_cut():
    # With a grace of 5 s, streams that began 1.2 and 2.8 s after SIGTERM were
    # cut at 4.05 s; only what lasts beyond 4.17 s may be.
    assert 5 / 6 < USE_OF_STOP < CUT_AT < 1


@pytest.mark.parametrize('grace', [1, 2, 3, 5, 8, 30])
@pytest.mark.parametrize('phase', Phase)
def test_nothing_is_begun_last_that_cannot_end(grace, phase):
    # The platform gives a daemon 1 or 2 s to stop, less than the time after
    # which callers go elsewhere by themselves. Requests that it took until
    # its end were cut.
    plan = plan_stop(timedelta(), _seconds(grace))
    assert plan.closes_at < plan.ends_at < plan.cuts_at
    late = Ending(LONG, plan.ends_at + MOMENT)
    assert not may_begin(plan, plan.closes_at, late, phase)


def test_callers_that_do_not_know_of_the_stop_yet_are_served():
    plan = plan_stop(timedelta(), GRACE)
    assert may_begin(plan, NOTICE - MOMENT, ENDLESS, Phase.SERVES)


@pytest.mark.parametrize('phase', Phase)
def test_after_the_notice_only_what_ends_in_time_is_begun(phase):
    # A caller asks 3 s after SIGTERM for a stream that may take 8 s, and for
    # a call that ends after 1.5 s at the latest. The process ends 7.2 s after
    # SIGTERM and would cut the stream; the call cannot be cut.
    plan = plan_stop(timedelta(), GRACE)
    now = _seconds(3)
    stream = Ending(now + _seconds(8), now + _seconds(8))
    call = Ending(now + _seconds(1.5), now + _seconds(1.5))
    assert not may_begin(plan, now, stream, phase)
    assert may_begin(plan, now, call, phase)


def test_a_daemon_that_serves_for_others_begins_what_others_of_its_kind_took():
    plan = plan_stop(timedelta(), GRACE)
    now = _seconds(4)
    short = Ending(now + LONG, now + _seconds(2))
    long = Ending(now + LONG, now + _seconds(4))
    assert may_begin(plan, now, short, Phase.SERVES)
    assert not may_begin(plan, now, long, Phase.SERVES)
    assert not may_begin(plan, now, short, Phase.DRAINS)


def test_a_daemon_that_others_wait_for_begins_only_what_is_soon_over():
    # Streams of 4 s that it began within its notice kept it for 6 s; those
    # that waited for it had no time left to drain in turn.
    plan = plan_stop(timedelta(), GRACE)
    now = _seconds(0.5)
    assert may_begin(plan, now, Ending(now + LONG, TURN), Phase.HURRIES)
    late = Ending(now + LONG, TURN + MOMENT)
    assert not may_begin(plan, now, late, Phase.HURRIES)


def test_a_process_that_nobody_told_to_stop_begins_everything():
    stop = _stop(ManualClock(datetime.now(UTC)))
    assert stop.may_begin(ENDLESS)
    assert stop.says_ready()
    assert not stop.is_begun()
    assert not stop.is_draining()
    assert not stop.may_end()
    assert not stop.is_over()


def _stop(clock, fleet=ALONE):
    return GatewayStop(clock, GRACE, Host('a', 's', None), lambda _now: fleet)


def test_a_stop_goes_through_its_times_in_order():
    clock = ManualClock(datetime.now(UTC))
    clock.advance(LONG)
    stop = _stop(clock)
    stop.begin()
    seen = []
    for _second in range(9):
        seen.append((stop.is_draining(), stop.is_over()))
        clock.advance(timedelta(seconds=1))
    assert stop.is_begun()
    assert seen == [(False, False)] * 3 + [(True, False)] * 5 + [(True, True)]


def test_a_daemon_that_has_a_turn_is_not_ready_at_once():
    stop = _stop(ManualClock(datetime.now(UTC)))
    stop.begin()
    assert not stop.says_ready()


def test_a_daemon_that_serves_for_others_is_out_in_time():
    # Ready for longer than 4 s after SIGTERM, it would be sent callers that
    # it has to refuse; the platform needs two questions to take it out.
    clock = ManualClock(datetime.now(UTC))
    stop = _stop(clock, Fleet((_host('b', -1),), 4))
    stop.begin()
    assert stop.says_ready()
    clock.advance(READY_FOR)
    assert not stop.says_ready()
    assert READY_FOR + _seconds(2) < _seconds(4)


def test_a_hurried_daemon_stays_until_the_platform_sends_no_more():
    # Gone sooner, it left callers of its data centre without a connection;
    # their one repeat met the same address.
    clock = ManualClock(datetime.now(UTC))
    others = (_host('b', 0.5), _host('c', 0.5), _host('d', 0))
    stop = _stop(clock, Fleet(others, 4))
    stop.begin()
    assert stop.is_draining()
    clock.advance(OUT - MOMENT)
    assert not stop.may_end()
    clock.advance(MOMENT)
    assert stop.may_end()


def test_a_refused_caller_of_a_drained_fleet_waits_for_one_that_is_back():
    # All daemons of the fleet were out, so that the platform sent callers to
    # each of them; told to come back at once, they met the one that drained.
    plan = plan_stop(timedelta(), GRACE)
    others = (_host('b', 0.5), _host('c', 0.5))
    fleet = Fleet(others, 4)
    own = _host('a', 0)
    assert phase_of(plan, _seconds(3), own, fleet) is Phase.DRAINS
    assert retry_after(plan, _seconds(3), own, fleet) == _seconds(1.5)


@pytest.mark.parametrize(
    ('others', 'expected'),
    [
        pytest.param((_host('b'), _host('c')), 0, id='another one there'),
        pytest.param((_host('b', 1), _host('c', 1)), 0, id='serves on'),
        pytest.param(
            (_host('b', 0.5), _host('c', 1, 't'), _host('d', None, 't')),
            2.1,
            id='drains too',
        ),
        pytest.param((_host('b', 1),), 1.5, id='all told'),
        pytest.param(
            (_host('b', None, 't'), _host('c', 1, 't')), 2.1, id='out'
        ),
        pytest.param((_host('b', -1), _host('c', -1)), 1.5, id='none left'),
    ],
)
def test_a_refused_caller_comes_back_when_another_daemon_serves_it(
    others, expected
):
    # A caller repeats once, within its data centre. Told to come back at
    # once, it met the daemon that had refused it and was lost.
    plan = plan_stop(timedelta(), GRACE)
    after = retry_after(plan, _seconds(1), _host('a', 0), Fleet(others, 4))
    assert after == _seconds(expected)


@dataclass
class _Daemon:
    """A daemon of the simulated fleet, and the ends of its streams."""

    name: str
    plan: StopPlan | None = None
    ends: list = field(default_factory=list)
    gone: bool = False
    back_at: timedelta = timedelta()

    def host(self):
        told = (
            None if self.plan is None else Told(self.name, self.plan.begun_at)
        )
        return Host(self.name, self.name, told)

    def is_there(self, now):
        return not self.gone and now >= self.back_at + (
            BACK if self.back_at else timedelta()
        )

    def takes(self, now, fleet, lasts):
        """Take a stream if a daemon would; the stream takes what it may."""
        if self.gone or now < self.back_at:
            return False
        if self.plan is not None:
            phase = phase_of(self.plan, now, self.host(), fleet)
            ending = Ending(now + LONG, now + lasts)
            if not may_begin(self.plan, now, ending, phase):
                return False
        self.ends.append(now + lasts)
        return True

    def go_on(self, now, fleet):
        """End once nothing is open, and start anew."""
        self.ends = [end for end in self.ends if end > now]
        if self.plan is None:
            return
        assert not self.ends or now < self.plan.cuts_at, 'streams are cut'
        drains = (
            phase_of(self.plan, now, self.host(), fleet) is not Phase.SERVES
        )
        over = now >= self.plan.cuts_at
        if over or (
            drains and now >= self.plan.begun_at + OUT and not self.ends
        ):
            self.plan = None
            self.back_at = now + RESTART


def _fleet(daemons, own, now):
    there = [
        each.host()
        for each in daemons
        if each is not own and each.is_there(now)
    ]
    return Fleet(tuple(there), len(daemons))


def _play(told_at, lasts):
    """Stop daemons at these times; return when no daemon takes a stream."""
    daemons = [_Daemon(f'd{number}') for number in range(len(told_at))]
    for daemon in daemons:
        daemon.ends.append(START + _seconds(3))
    refused = []
    now = START
    while now < START + _seconds(20):
        for daemon, seconds in zip(daemons, told_at, strict=True):
            if now == START + _seconds(seconds):
                daemon.plan = plan_stop(now, GRACE)
        # Each caller asks one daemon after the other.
        taken = [
            each.takes(now, _fleet(daemons, each, now), lasts)
            for each in daemons
        ]
        if not any(taken):
            refused.append(now - START)
        for each in daemons:
            each.go_on(now, _fleet(daemons, each, now))
        now += STEP
    assert all(each.plan is None and each.back_at for each in daemons)
    return refused


@pytest.mark.parametrize(
    'told_at',
    [
        pytest.param((0, 0.8, 1.6, 2.4), id='in turn'),
        pytest.param((0, 0, 0.5, 0.5), id='in pairs'),
        pytest.param((0, 0, 0, 0), id='together'),
        pytest.param((0, 0), id='two'),
        pytest.param((2.4, 1.6, 0.8, 0, 3.2, 4, 4.8, 5.6), id='eight in turn'),
    ],
)
def test_daemons_that_stop_one_after_another_always_take_streams(told_at):
    # All entry hosts are told to stop within seconds. Each drained for
    # itself from 2.6 s after its SIGTERM, and for 2 to 4 s none took a
    # stream: callers were turned away by one after the other.
    assert _play(told_at, _seconds(1.5)) == []


def test_daemons_that_stop_in_turn_cut_no_long_stream():
    assert len(_play((0, 0.8, 1.6, 2.4), _seconds(3.5))) * STEP < _seconds(3)


def test_what_waits_in_line_has_time_until_it_would_be_cut():
    clock = ManualClock(datetime.now(UTC))
    stop = _stop(clock)
    assert stop.has_time(ENDLESS)
    stop.begin()
    assert stop.has_time(ENDLESS)
    clock.advance(NOTICE)
    assert not stop.has_time(ENDLESS)
    assert stop.has_time(Ending(LONG, GRACE * USE_OF_STOP))


def test_a_process_that_ends_begins_nothing():
    clock = ManualClock(datetime.now(UTC))
    stop = _stop(clock)
    stop.begin()
    clock.advance(NOTICE)
    short = Ending(clock.elapsed() + MOMENT, clock.elapsed() + MOMENT)
    assert stop.may_begin(short)
    stop.end()
    assert not stop.may_begin(short)
