"""Tests of the configuration follower: outages, retention, snapshots."""

import random
from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.clock import ManualClock
from linnetwind.config_fold import CONFIG_STREAM
from linnetwind.config_fold_test import history, in_force
from linnetwind.config_follower import ConfigFollower
from standins.fakes import FakeLog

HOUR = timedelta(hours=1)


@pytest.fixture
def clock():
    return ManualClock(datetime(2026, 1, 1, tzinfo=UTC))


@pytest.fixture
def log():
    return FakeLog()


def make_follower(log, clock, seed=1):
    return ConfigFollower(log, clock, HOUR, random.Random(seed))


def test_listener_is_notified_of_each_revision_once(log, clock):
    revisions = []
    follower = make_follower(log, clock)
    follower.listen(lambda state: revisions.append(state.revision))
    for record in history(3):
        log.append(CONFIG_STREAM, [record])
        follower.poll()
        follower.poll()
    assert revisions == [0, 1, 2, 3]


def test_configuration_stays_in_force_during_an_outage(log, clock):
    log.append(CONFIG_STREAM, history(2))
    follower = make_follower(log, clock)
    follower.poll()
    log.down = True
    assert follower.poll().is_err()
    assert in_force(follower.state) == 2


def test_host_started_in_an_outage_adopts_a_peers_state(log, clock):
    log.append(CONFIG_STREAM, history(2))
    old = make_follower(log, clock)
    old.poll()
    log.down = True
    new = make_follower(log, clock)
    new.adopt(old.copy())
    assert in_force(new.state) == 2
    log.down = False
    log.append(CONFIG_STREAM, history(3)[2:])
    new.poll()
    assert in_force(new.state) == 3


def test_older_or_invalid_copy_is_ignored(log, clock):
    log.append(CONFIG_STREAM, history(1))
    old = make_follower(log, clock)
    old.poll()
    log.append(CONFIG_STREAM, history(3)[1:])
    new = make_follower(log, clock)
    new.poll()
    new.adopt(old.copy())
    new.adopt(b'\xff')
    assert in_force(new.state) == 3


def test_snapshot_preserves_the_state_beyond_the_retention(log, clock):
    # The publishes expire and only the snapshot is left. A daemon that starts
    # afterwards and one that was paused all the time reach the same state.
    log.append(CONFIG_STREAM, history(2))
    awake, paused = make_follower(log, clock), make_follower(log, clock)
    awake.poll()
    clock.advance(2 * HOUR)
    awake._poll_and_snapshot()
    log.expire(CONFIG_STREAM, 2)
    started = make_follower(log, clock)
    for reader in (paused, started):
        assert reader.poll().is_ok()
        assert in_force(reader.state) == 2


def test_poll_fails_if_records_expired_without_a_snapshot(log, clock):
    log.append(CONFIG_STREAM, history(2))
    log.expire(CONFIG_STREAM, 2)
    started = make_follower(log, clock)
    assert started.poll().is_err()
    assert started.state.revision == 0


def test_only_one_daemon_writes_a_snapshot_per_interval(log, clock):
    # Every daemon may write one; the others see the first one and skip theirs.
    log.append(CONFIG_STREAM, history(1))
    daemons = [make_follower(log, clock, seed) for seed in range(5)]
    for daemon in daemons:
        daemon.poll()
    clock.advance(2 * HOUR)
    for daemon in daemons:
        daemon._poll_and_snapshot()
    assert len(log.streams[CONFIG_STREAM]) == 2


def test_exception_in_a_poll_does_not_end_the_thread(log, clock):
    follower = make_follower(log, clock)
    calls = []

    def broken(_stream, _start):
        calls.append(1)
        if len(calls) > 1:
            follower.stop()
        raise RuntimeError

    log.read = broken
    follower.run(timedelta())
    assert len(calls) == 2
