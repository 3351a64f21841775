"""Tests of following the configuration: outages, retention, snapshots."""

import random
from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.clock import ManualClock
from linnetwind.config_fold import CONFIG_STREAM
from linnetwind.config_fold_test import history, in_force
from linnetwind.follower import Follower
from standins.fakes import FakeLog

HOUR = timedelta(hours=1)


@pytest.fixture
def clock():
    return ManualClock(datetime(2026, 1, 1, tzinfo=UTC))


@pytest.fixture
def log():
    return FakeLog()


def follower(log, clock, seed=1):
    return Follower(log, clock, HOUR, random.Random(seed))


def test_listener_hears_each_revision_once(log, clock):
    heard = []
    following = follower(log, clock)
    following.listen(lambda state: heard.append(state.revision))
    for record in history(3):
        log.append(CONFIG_STREAM, [record])
        following.poll()
        following.poll()
    assert heard == [0, 1, 2, 3]


def test_outage_keeps_what_is_in_force(log, clock):
    log.append(CONFIG_STREAM, history(2))
    following = follower(log, clock)
    following.poll()
    log.down = True
    assert following.poll().is_err()
    assert in_force(following.state) == 2


def test_host_started_in_an_outage_lives_on_a_neighbours_copy(log, clock):
    log.append(CONFIG_STREAM, history(2))
    old = follower(log, clock)
    old.poll()
    log.down = True
    new = follower(log, clock)
    new.adopt(old.copy())
    assert in_force(new.state) == 2
    log.down = False
    log.append(CONFIG_STREAM, history(3)[2:])
    new.poll()
    assert in_force(new.state) == 3


def test_old_or_broken_copy_changes_nothing(log, clock):
    log.append(CONFIG_STREAM, history(1))
    old = follower(log, clock)
    old.poll()
    log.append(CONFIG_STREAM, history(3)[1:])
    new = follower(log, clock)
    new.poll()
    new.adopt(old.copy())
    new.adopt(b'\xff')
    assert in_force(new.state) == 3


def test_snapshots_carry_the_state_over_the_retention(log, clock):
    # The publish expires; only the snapshot is left. A daemon that starts
    # then, and one that slept through it all, come to the same state.
    log.append(CONFIG_STREAM, history(2))
    awake, asleep = follower(log, clock), follower(log, clock)
    awake.poll()
    clock.advance(2 * HOUR)
    awake._round()
    log.expire(CONFIG_STREAM, 2)
    started = follower(log, clock)
    for each in (asleep, started):
        assert each.poll().is_ok()
        assert in_force(each.state) == 2


def test_without_a_snapshot_a_new_daemon_says_so(log, clock):
    log.append(CONFIG_STREAM, history(2))
    log.expire(CONFIG_STREAM, 2)
    started = follower(log, clock)
    assert started.poll().is_err()
    assert started.state.revision == 0


def test_one_snapshot_an_interval_is_enough(log, clock):
    # Every daemon may write one; the first one's is seen by the others.
    log.append(CONFIG_STREAM, history(1))
    daemons = [follower(log, clock, seed) for seed in range(5)]
    for each in daemons:
        each.poll()
    clock.advance(2 * HOUR)
    for each in daemons:
        each._round()
    assert len(log.streams[CONFIG_STREAM]) == 2


def test_round_that_raises_does_not_end_the_thread(log, clock):
    following = follower(log, clock)
    calls = []

    def broken(_stream, _start):
        calls.append(1)
        if len(calls) > 1:
            following.stop()
        raise RuntimeError

    log.read = broken
    following.run(timedelta())
    assert len(calls) == 2
