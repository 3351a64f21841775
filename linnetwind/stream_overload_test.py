"""Tests of the permits for newcomers in an overload after an outage."""

import random
from dataclasses import replace
from statistics import fmean

from linnetwind.admission.admission_policy import (
    AdmitStream,
    CapacityView,
    RejectStream,
    decide_admission,
    reserve_for_newcomers,
)
from standins.gateway_fixtures import MS, SECOND
from standins.stream_fixtures import FIRST, TARGET

FULL = CapacityView(free=0, ends_per_s=13, start_time=200 * MS, opens_in=None)


def _share_in_time(newcomer_reserve, seed):
    """Return the share of the newcomers of 10 s that are admitted in time.

    Ten newcomers arrive and 13 permits are released per second, at random
    times. At all times more retries are queued than there are permits.
    """
    chance = random.Random(seed)
    events = sorted(
        (chance.uniform(0, 10), kind)
        for kind, count in (('end', 130), ('new', 100))
        for _each in range(count)
    )
    view = replace(FULL, reserved=newcomer_reserve)
    late = replace(FIRST, returning=True)
    waiting: list[float] = []
    in_time = 0
    for at, kind in events:
        max_wait = (TARGET - FULL.start_time) / SECOND
        waiting = [since for since in waiting if at - since <= max_wait]
        if kind == 'end':
            view = replace(view, free=view.free + 1)
        else:
            newcomer = replace(FIRST, ahead=len(waiting))
            if not isinstance(decide_admission(view, newcomer), RejectStream):
                waiting.append(at)
        while waiting and decide_admission(view, FIRST) == AdmitStream():
            waiting.pop(0)
            in_time += 1
            view = replace(view, free=view.free - 1)
        while (
            decide_admission(view, replace(late, ahead=len(waiting)))
            == AdmitStream()
        ):
            view = replace(view, free=view.free - 1)
    return in_time / 100


def test_newcomers_get_permits_despite_queued_retries():
    # After an outage more callers wait than there are permits. Without a
    # reserve, their retries take each permit as it is released, and newcomers
    # find none and become retries: for three seconds nearly all streams were
    # late.
    without_reserve = [_share_in_time(0, seed) for seed in range(20)]
    with_reserve = [
        _share_in_time(reserve_for_newcomers(10), seed) for seed in range(20)
    ]
    assert fmean(without_reserve) < 0.8
    assert fmean(with_reserve) >= 0.9
