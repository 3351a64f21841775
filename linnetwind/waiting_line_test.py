"""Tests of the order in which streams wait for a place."""

import threading
import time
from dataclasses import replace
from datetime import UTC, datetime, timedelta

from linnetwind.clock import ManualClock, SystemClock
from linnetwind.stream_gate import (
    LEAST_RETRY,
    RETURN_WAIT,
    STOPPING,
    GroupView,
    TurnAway,
)
from linnetwind.waiting_line import Claim, WaitingLine, precedence
from standins.gateway_fixtures import MS, SECOND, make_upstream
from standins.stream_fixtures import TARGET, VIEW

NOW = datetime(2026, 1, 1, tzinfo=UTC)


def _start(ask, number):
    """Let so many streams ask for a place, each in a thread."""
    threads = [threading.Thread(target=ask) for _stream in range(number)]
    for thread in threads:
        thread.start()
    return threads


def _join(threads):
    for thread in threads:
        thread.join()


def _always():
    return True


def test_who_waited_for_a_group_goes_behind_those_who_can_be_in_time():
    # Twenty streams wait while a group is broken. When it opens, a newcomer
    # can still be in time, and they cannot: it takes the first place.
    views = [replace(VIEW, free=0, opens_in=100 * MS)]
    clock = ManualClock(NOW)
    line = WaitingLine(clock)
    order = []

    def ask(name):
        claim = Claim(clock.elapsed(), 1.5 * SECOND, 120 * MS, returning=False)
        line.enter(claim, lambda _gap: views[0], lambda: take(name), _always)

    def take(name):
        order.append(name)
        views[0] = replace(VIEW, free=0)
        line.wake()

    threads = [threading.Thread(target=ask, args=('early',))]
    threads[0].start()
    while line.length < 1:
        continue
    time.sleep(0.1)
    clock.advance(100 * MS)
    views[0] = replace(VIEW, free=0)
    line.wake()
    threads.append(threading.Thread(target=ask, args=('new',)))
    threads[1].start()
    while line.length < 2:
        continue
    views[0] = replace(VIEW, free=1)
    line.wake()
    while not order:
        time.sleep(0.01)
    views[0] = replace(VIEW, free=9)
    line.wake()
    _join(threads)
    assert order == ['new', 'early']


def test_one_free_place_is_taken_by_one_stream():
    # Twenty streams wait in line when one place becomes free, and all are
    # woken. If the place were counted only after the line was left, all
    # twenty would run, and every stream of the group would be late.
    running = [10]
    upstream = make_upstream('u', service='model')

    def look(_gap):
        return GroupView(10 - running[0], 40, 200 * MS, None)

    def take():
        running[0] += 1
        return upstream

    clock = ManualClock(NOW)
    line = WaitingLine(clock)
    ended = []

    def ask():
        claim = Claim(clock.elapsed(), SECOND, 120 * MS, returning=True)
        found = line.enter(claim, look, take, _always)
        ended.append(found)

    threads = _start(ask, 20)
    while line.length < 20:
        continue
    running[0] = 9
    line.wake()
    while not ended:
        continue
    # The others have waited as long as they may.
    clock.advance(RETURN_WAIT)
    line.wake()
    _join(threads)
    assert ended.count(upstream) == 1
    assert sum(isinstance(each, TurnAway) for each in ended) == 19


def test_newcomers_are_served_in_time_beside_those_who_came_back():
    # Ten callers that came back wait when newcomers arrive, and places become
    # free one by one. Behind all ten, each newcomer would be too late, be
    # refused, and come back itself: the overload would never end.
    running = [10]
    clock = ManualClock(NOW)
    line = WaitingLine(clock)
    order = []

    def look(_gap):
        return GroupView(10 - running[0], 100, 200 * MS, None)

    def ask(name, returning):
        def take():
            running[0] += 1
            order.append(name)

        claim = Claim(clock.elapsed(), 1.5 * SECOND, 120 * MS, returning)
        line.enter(claim, look, take, _always)

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
    _join(threads)
    assert order[0] == 'new'


def test_all_that_wait_share_one_view_of_the_group():
    # Thirty streams wait when states of peers arrive. Each of them made a view
    # of its own, which took so much of the processor that events of running
    # streams came late.
    clock = SystemClock()
    line = WaitingLine(clock)
    looks = []

    def look(gap):
        looks.append(gap)
        return GroupView(0, 1, 200 * MS, None)

    def ask(gap):
        claim = Claim(clock.elapsed(), SECOND, gap, returning=True)
        line.enter(claim, look, lambda: None, _always)

    gaps = [120 * MS] * 15 + [200 * MS] * 15
    threads = [threading.Thread(target=ask, args=(gap,)) for gap in gaps]
    for thread in threads:
        thread.start()
    _join(threads)
    # Alone, each stream looks every 25 ms for 1.6 s: 64 times.
    assert set(looks) == {120 * MS, 200 * MS}
    assert len(looks) < 30 * 64 / 2


def _play_overload(order):
    """Play 4 s of overload and what follows; return the share in time.

    Places become free 100 times a second. 130 streams a second ask for them
    for 4 s, and 97 after that. Who waits too long is refused and comes back
    once, 0.3 s later.
    """
    step = 10 * MS
    waits = {False: 200 * MS, True: 1600 * MS}
    waiting, returns = [], []
    in_time = asked = 0
    for number in range(1500):
        now = number * step
        rate = 1.3 if now < 4 * SECOND else 0.97
        arrivals = int((number + 1) * rate) - int(number * rate)
        asked += arrivals * (now > 6 * SECOND)
        waiting += [Claim(now, TARGET, 120 * MS, False)] * arrivals
        waiting += [each for each in returns if each.since <= now]
        returns = [each for each in returns if each.since > now]
        for claim in list(waiting):
            if now - claim.since > waits[claim.returning]:
                waiting.remove(claim)
                if not claim.returning:
                    back = now + LEAST_RETRY
                    returns.append(replace(claim, since=back, returning=True))
        waiting.sort(key=order)
        if waiting:
            served = waiting.pop(0)
            in_time += served.since > 6 * SECOND and not served.returning
    return in_time / asked


def test_a_short_overload_does_not_feed_itself():
    # Callers that were refused come back. If they are served by the end of
    # their wait, newcomers are refused for them and come back in turn: nine
    # seconds after the overload most answers still are late.
    def by_end_of_wait(claim):
        return precedence(claim)[1]

    assert _play_overload(by_end_of_wait) < 0.6
    assert _play_overload(precedence) > 0.95


def test_a_stream_in_line_is_refused_when_the_daemon_has_no_time_left():
    # A stream waits for a place when the daemon is told to stop. It was left
    # in line, and got its place when the daemon had no time for it any more,
    # or none at all: its caller saw a connection closed without an answer.
    line = WaitingLine(SystemClock())
    full = GroupView(0, 1, timedelta(), None)
    claim = Claim(
        SystemClock().elapsed(), timedelta(hours=1), timedelta(seconds=1), False
    )
    answers = iter([True, True, False])
    refused = line.enter(
        claim, lambda _gap: full, lambda: None, lambda: next(answers)
    )
    assert refused == STOPPING
    assert line.length == 0


def test_a_long_line_looks_hardly_more_often_than_a_short_one():
    # Two hundred streams wait, and other daemons tell of theirs 100 times a
    # second. All of them looked 40 times a second and after each change, so
    # that events of the streams that run came late.
    clock = SystemClock()
    line = WaitingLine(clock)
    asked = []

    def has_time():
        asked.append(None)
        return True

    def ask():
        claim = Claim(clock.elapsed(), SECOND, 120 * MS, returning=True)
        full = GroupView(0, 1, 200 * MS, None)
        line.enter(claim, lambda _gap: full, lambda: None, has_time)

    threads = _start(ask, 200)
    for _change in range(100):
        line.wake()
        time.sleep(0.01)
    _join(threads)
    # Alone the first look, and one each 0.25 s until 1.6 s have passed, and
    # the first in line at each change.
    assert len(asked) < 200 * (1 + 8) + 100 + 400


def test_a_place_that_one_leaves_wakes_the_next_at_once():
    # Five places come free with one change. The streams take them one after
    # the other, though only the first is told of the change.
    clock = SystemClock()
    line = WaitingLine(clock)
    free = [0]
    ran = []

    def take():
        free[0] -= 1
        ran.append(clock.elapsed())

    def ask():
        claim = Claim(clock.elapsed(), SECOND, 120 * MS, returning=True)
        line.enter(
            claim,
            lambda _gap: GroupView(free[0], 1, 200 * MS, None),
            take,
            _always,
        )

    threads = _start(ask, 5)
    while line.length < 5:
        continue
    free[0] = 5
    line.wake()
    _join(threads)
    assert len(ran) == 5
