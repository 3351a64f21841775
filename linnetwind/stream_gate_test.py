"""Tests of which streams run, wait and are turned away."""

from dataclasses import replace

from linnetwind.stream_gate import (
    LEAST_RETRY,
    MOST_RETRY,
    RETURN_WAIT,
    RunNow,
    TurnAway,
    WaitFor,
    judge,
    reserve,
)
from standins.gateway_fixtures import MS
from standins.stream_fixtures import FIRST, VIEW


def test_a_stream_runs_while_there_is_room():
    assert judge(VIEW, FIRST) == RunNow()


def test_a_stream_waits_if_a_place_comes_in_time():
    full = replace(VIEW, free=0)
    assert judge(full, FIRST) == WaitFor(300 * MS)


def test_a_stream_that_would_be_late_is_refused_at_once():
    # Twenty streams wait already and places come free 40 times a second: this
    # one would begin after its target. It is told when there will be room
    # instead of being held until its time is over.
    full = replace(VIEW, free=0)
    last = replace(FIRST, ahead=20)
    verdict = judge(full, last)
    assert isinstance(verdict, TurnAway)
    assert LEAST_RETRY <= verdict.retry_after <= MOST_RETRY


def test_a_caller_that_came_back_waits_where_others_are_refused():
    # The group is over its limit after a stall. A caller that was told to
    # return is late in any case; refused again it would get nothing.
    over = replace(VIEW, free=-32)
    returning = replace(FIRST, returning=True)
    assert isinstance(judge(over, FIRST), TurnAway)
    assert isinstance(judge(over, returning), WaitFor)


def test_a_wait_that_did_not_help_ends():
    full = replace(VIEW, free=0)
    assert isinstance(judge(full, replace(FIRST, waited=301 * MS)), TurnAway)


def test_a_stream_that_waits_is_still_in_time_when_it_starts():
    # Passes are long, so that a first event comes 0.35 s after the start. In
    # an overload that lasts, streams wait as long as they may: with 0.2 s
    # taken for the start, half of all that were served were late by a little.
    slow = replace(VIEW, free=0, start_time=350 * MS)
    assert judge(slow, FIRST) == WaitFor(150 * MS)
    waited = replace(FIRST, waited=151 * MS)
    assert isinstance(judge(slow, waited), TurnAway)


def test_a_group_that_opens_too_late_refuses_until_it_opens():
    broken = replace(VIEW, opens_in=1700 * MS)
    assert judge(broken, FIRST) == TurnAway(1700 * MS, 'group is broken')
    returning = replace(FIRST, returning=True)
    assert isinstance(judge(broken, returning), WaitFor)


def test_streams_wait_for_a_group_that_opens_soon():
    # All hosts lose power. Callers come back 0.8 s before the groups have
    # formed anew, most with their second and last try. Refused, they have no
    # answer; a stream that waits is late, but whole.
    broken = replace(VIEW, opens_in=800 * MS)
    assert judge(broken, FIRST) == WaitFor(RETURN_WAIT)
    waited = replace(FIRST, waited=RETURN_WAIT - 700 * MS)
    assert judge(broken, waited) == TurnAway(800 * MS, 'group is broken')


def test_late_streams_leave_places_to_those_who_come_next():
    # Groups open after a power loss, and sixty streams that waited are late
    # already. All begin at once, so that no place comes free for a second:
    # if they take every place, all who come in that second are late too.
    opened = replace(VIEW, free=60, reserved=reserve(60, 40, 0))
    late = replace(FIRST, returning=True)
    run = [judge(opened, replace(late, ahead=ahead)) for ahead in range(60)]
    assert run.count(RunNow()) == 30
    assert judge(opened, replace(FIRST, ahead=30)) == RunNow()


def test_nothing_is_reserved_while_as_many_streams_end_as_come():
    assert reserve(8, 40, 40) == 0
    assert reserve(8, 40, 37) == 3
    assert reserve(0, 40, 0) == 0
    assert reserve(-5, 40, 0) == 0


def test_a_caller_without_a_try_left_waits_a_little_past_the_estimate():
    # Nobody knows to half a second when a rank is back; but a group that opens
    # long after the caller has left is no reason to keep it waiting.
    returning = replace(FIRST, returning=True)
    soon = replace(VIEW, opens_in=RETURN_WAIT + 400 * MS)
    late = replace(VIEW, opens_in=RETURN_WAIT + 600 * MS)
    assert judge(soon, returning) == WaitFor(RETURN_WAIT)
    assert isinstance(judge(late, returning), TurnAway)


def test_a_stream_finds_out_whether_a_group_runs_while_others_wait():
    untold = replace(VIEW, free=0, opens_in=600 * MS, scouts=1)
    assert judge(untold, FIRST) == RunNow()
    assert isinstance(judge(untold, replace(FIRST, ahead=1)), WaitFor)
