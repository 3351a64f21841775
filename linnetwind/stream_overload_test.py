"""Replays an overload after an outage: who comes in time, who comes back."""

import random
from dataclasses import replace
from statistics import fmean

from linnetwind.stream_gate import (
    GroupView,
    RunNow,
    TurnAway,
    hold_back,
    judge,
)
from standins.gateway_fixtures import MS, SECOND
from standins.stream_fixtures import FIRST, TARGET

FULL = GroupView(free=0, ends_per_s=13, start_time=200 * MS, opens_in=None)


def _in_time_after_an_outage(held_back, seed):
    """Return the part of those who come first in 10 s that begin in time.

    Ten streams a second come for the first time, and 13 places become free a
    second; more wait than there are places that came back when a group opened.
    """
    chance = random.Random(seed)
    events = sorted(
        (chance.uniform(0, 10), kind)
        for kind, count in (('end', 130), ('new', 100))
        for _each in range(count)
    )
    view = replace(FULL, reserved=held_back)
    late = replace(FIRST, returning=True)
    waiting: list[float] = []
    in_time = 0
    for at, kind in events:
        longest = (TARGET - FULL.start_time) / SECOND
        waiting = [since for since in waiting if at - since <= longest]
        if kind == 'end':
            view = replace(view, free=view.free + 1)
        else:
            first = replace(FIRST, ahead=len(waiting))
            if not isinstance(judge(view, first), TurnAway):
                waiting.append(at)
        while waiting and judge(view, FIRST) == RunNow():
            waiting.pop(0)
            in_time += 1
            view = replace(view, free=view.free - 1)
        while judge(view, replace(late, ahead=len(waiting))) == RunNow():
            view = replace(view, free=view.free - 1)
    return in_time / 100


def test_who_comes_in_time_finds_a_place_beside_those_who_came_back():
    # After an outage more callers wait than there are places. They took each
    # place as it became free, newcomers found none and came back in turn: for
    # three seconds nearly everybody was late.
    before = [_in_time_after_an_outage(0, seed) for seed in range(20)]
    after = [
        _in_time_after_an_outage(hold_back(10), seed) for seed in range(20)
    ]
    assert fmean(before) < 0.8
    assert fmean(after) >= 0.9
