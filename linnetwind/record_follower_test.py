"""Tests of following a topic through outages of the store."""

from datetime import UTC, datetime, timedelta

from linnetwind.clock import ManualClock
from linnetwind.gateway_events import (
    DependencyBack,
    DependencyLost,
    StoreCameBackOlder,
)
from linnetwind.record_follower import RETRY_PAUSE, RecordFollower
from linnetwind.record_store import (
    KeyedRecord,
    Records,
    StoreUnavailable,
    Topic,
    Trimmed,
)
from linnetwind.store_rate_limit import DEFAULT_POLL_WAIT, StoreRateLimit
from standins.gateway_harness import ListLog

INTERVAL = timedelta(seconds=0.4)
RATE_LIMIT = StoreRateLimit(INTERVAL, DEFAULT_POLL_WAIT)
DOWN = StoreUnavailable('down')
FIRST = KeyedRecord('a', 0, b'1')
SECOND = KeyedRecord('b', 1, b'2')


class _ScriptedReplies:
    """Returns scripted replies in order, and records the calls."""

    def __init__(self, *replies):
        self._replies = list(replies)
        self.calls = []

    def newest(self, topic):
        self.calls.append('newest')
        return self._replies.pop(0)

    def read(self, topic, start, wait):
        self.calls.append(start)
        return self._replies.pop(0)


def _run_follower(store, peers, rounds):
    updates, log = [], ListLog()
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    follower = RecordFollower(
        Topic.UPSTREAMS,
        store,
        peers,
        updates.append,
        lambda: RATE_LIMIT,
        clock,
        log,
    )
    pauses = [follower.poll_once() for _round in range(rounds)]
    return follower, updates, log, pauses


def test_first_read_is_full_and_later_reads_are_incremental():
    store = _ScriptedReplies(Records((FIRST,), 1), Records((SECOND,), 2))
    follower, updates, _log, pauses = _run_follower(
        store, _ScriptedReplies(), 2
    )
    assert store.calls == ['newest', 1]
    assert [update.whole for update in updates] == [True, False]
    assert follower.copy() == Records((FIRST, SECOND), 2)
    assert pauses == [INTERVAL, INTERVAL]


def test_trimmed_topic_is_read_in_full():
    store = _ScriptedReplies(
        Records((FIRST,), 1), Trimmed(), Records((SECOND,), 9)
    )
    follower, updates, _log, _pauses = _run_follower(
        store, _ScriptedReplies(), 3
    )
    assert store.calls == ['newest', 1, 'newest']
    assert updates[-1].whole
    assert not updates[-1].after_outage
    assert follower.copy() == Records((SECOND,), 9)


def test_peers_are_queried_while_the_store_is_unavailable():
    # The store refuses this host but serves the others. An upstream drains
    # meanwhile; the daemon must learn of it from a peer.
    store = _ScriptedReplies(
        Records((FIRST,), 1), DOWN, DOWN, Records((FIRST,), 5)
    )
    peers = _ScriptedReplies(Records((FIRST, SECOND), 2), Records((FIRST,), 1))
    _follower, updates, log, pauses = _run_follower(store, peers, 4)
    assert [each.source for each in updates] == ['store', 'peer', 'store']
    assert updates[-1].after_outage
    assert len(log.of(DependencyLost)) == len(log.of(DependencyBack)) == 1
    assert all(each <= RETRY_PAUSE for each in pauses[1:3])


def test_records_are_kept_while_store_and_peers_are_unavailable():
    store = _ScriptedReplies(Records((FIRST,), 1), DOWN)
    follower, updates, _log, _pauses = _run_follower(
        store, _ScriptedReplies(DOWN), 2
    )
    assert len(updates) == 1
    assert follower.copy() == Records((FIRST,), 1)


def test_change_of_era_causes_a_full_read():
    # The store lost its last seconds of records and has assigned their offsets
    # again, up to beyond this reader's position. The records read from there
    # follow without a gap; only the era reveals that other records, which were
    # never read, lie below.
    store = _ScriptedReplies(
        Records((FIRST,), 1, 4),
        Records((), 1, 5),
        Records((SECOND,), 2, 5),
        Records((), 2, 5),
    )
    follower, updates, log, _pauses = _run_follower(
        store, _ScriptedReplies(), 4
    )
    assert store.calls == ['newest', 1, 'newest', 2]
    assert [update.whole for update in updates] == [True, True]
    assert (updates[-1].era, updates[-1].after_outage) == (5, True)
    assert follower.copy() == Records((SECOND,), 2, 5)
    assert log.of(StoreCameBackOlder) == [
        StoreCameBackOlder('store-upstreams', 5, 2)
    ]


def test_peers_copy_of_a_later_era_is_used_despite_its_lower_offset():
    store = _ScriptedReplies(Records((FIRST,), 30, 4), DOWN)
    peers = _ScriptedReplies(Records((SECOND,), 2, 5))
    follower, updates, _log, _pauses = _run_follower(store, peers, 2)
    assert updates[-1].era == 5
    assert follower.copy() == Records((SECOND,), 2, 5)


def test_peers_copy_of_an_earlier_era_is_ignored():
    # The peer was frozen while the store was restored.
    store = _ScriptedReplies(Records((FIRST,), 1, 5), DOWN)
    peers = _ScriptedReplies(Records((SECOND,), 40, 4))
    follower, updates, _log, _pauses = _run_follower(store, peers, 2)
    assert len(updates) == 1
    assert follower.copy() == Records((FIRST,), 1, 5)
