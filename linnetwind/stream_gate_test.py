"""Tests of which streams run, wait and are turned away."""

import threading
from dataclasses import replace
from datetime import timedelta

import pytest

from linnetwind.clock import SystemClock
from linnetwind.stream_gate import (
    LEAST_RETRY,
    MOST_RETRY,
    GroupView,
    RunNow,
    TurnAway,
    Waiter,
    WaitFor,
    WaitingLine,
    judge,
)
from standins.gateway_fixtures import make_upstream

MS = timedelta(milliseconds=1)
TARGET = 500 * MS
VIEW = GroupView(
    running=40, limit=48, waiting_elsewhere=0, ends_per_s=40, opens_in=None
)
FIRST = Waiter(
    ahead=0, line=1, waited=timedelta(), target=TARGET, returning=False
)


def test_a_stream_runs_while_there_is_room():
    assert judge(VIEW, FIRST) == RunNow()


def test_a_stream_waits_if_a_place_comes_in_time():
    full = replace(VIEW, running=48)
    assert judge(full, FIRST) == WaitFor(300 * MS)


def test_a_stream_that_would_be_late_is_refused_at_once():
    # Twenty streams wait already and places come free 40 times a second: this
    # one would begin after its target. It is told when there will be room
    # instead of being held until its time is over.
    full = replace(VIEW, running=48)
    last = replace(FIRST, ahead=20, line=21)
    verdict = judge(full, last)
    assert isinstance(verdict, TurnAway)
    assert LEAST_RETRY <= verdict.retry_after <= MOST_RETRY


def test_a_caller_that_came_back_waits_where_others_are_refused():
    # The group is over its limit after a stall. A caller that was told to
    # return is late in any case; refused again it would get nothing.
    over = replace(VIEW, running=80)
    returning = replace(FIRST, returning=True)
    assert isinstance(judge(over, FIRST), TurnAway)
    assert isinstance(judge(over, returning), WaitFor)


def test_a_wait_that_did_not_help_ends():
    full = replace(VIEW, running=48)
    assert isinstance(judge(full, replace(FIRST, waited=301 * MS)), TurnAway)


@pytest.mark.parametrize('waiting', [1, 5, 20])
def test_daemons_share_out_the_places_that_become_free(waiting):
    # Four daemons see the same eight places become free at once. If each
    # filled all eight, the group would run 32 streams more and every stream
    # would turn late.
    admitted = 0
    for _daemon in range(4):
        view = replace(VIEW, waiting_elsewhere=3 * waiting)
        for ahead in range(waiting):
            waiter = replace(FIRST, ahead=ahead, line=waiting)
            admitted += judge(view, waiter) == RunNow()
    assert admitted <= 8


def test_a_broken_group_refuses_until_it_opens():
    broken = replace(VIEW, opens_in=1400 * MS)
    assert judge(broken, FIRST) == TurnAway(1400 * MS, 'group is broken')
    returning = replace(FIRST, returning=True)
    assert isinstance(judge(broken, returning), WaitFor)


def test_one_free_place_is_taken_by_one_stream():
    # Twenty streams wait in line when one place becomes free, and all are
    # woken. If the place were counted only after the line was left, all
    # twenty would run, and every stream of the group would be late.
    running = [10]
    upstream = make_upstream('u', service='model')

    def look():
        return GroupView(running[0], 10, 0, 40, None)

    def take():
        running[0] += 1
        return upstream

    clock = SystemClock()
    line = WaitingLine(clock)
    ended = []

    def ask():
        found = line.enter(
            look, take, clock.elapsed(), timedelta(seconds=1), returning=True
        )
        ended.append(found)

    threads = [threading.Thread(target=ask) for _stream in range(20)]
    for thread in threads:
        thread.start()
    while line.length < 20:
        continue
    running[0] = 9
    line.wake()
    for thread in threads:
        thread.join()
    assert ended.count(upstream) == 1
    assert sum(isinstance(each, TurnAway) for each in ended) == 19


def test_newcomers_are_served_in_time_beside_those_who_came_back():
    # Ten callers that came back wait when newcomers arrive, and places become
    # free one by one. Behind all ten, each newcomer would be too late, be
    # refused, and come back itself: the overload would never end.
    running = [10]
    clock = SystemClock()
    line = WaitingLine(clock)
    order = []

    def look():
        return GroupView(running[0], 10, 0, 100, None)

    def ask(name, returning):
        def take():
            running[0] += 1
            order.append(name)

        line.enter(
            look,
            take,
            clock.elapsed(),
            timedelta(seconds=1.5),
            returning=returning,
        )

    threads = [
        threading.Thread(target=ask, args=('returned', True))
        for _stream in range(10)
    ]
    threads.append(threading.Thread(target=ask, args=('new', False)))
    for thread in threads:
        thread.start()
    while line.length < 11:
        continue
    for place in range(11):
        running[0] -= 1
        line.wake()
        while len(order) <= place:
            continue
    for thread in threads:
        thread.join()
    assert order[0] == 'new'
