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
from linnetwind.store_pace import POLL_WAIT, StorePace
from standins.gateway_harness import ListLog

REST = timedelta(seconds=0.4)
PACE = StorePace(REST, POLL_WAIT)
DOWN = StoreUnavailable('down')
FIRST = KeyedRecord('a', 0, b'1')
SECOND = KeyedRecord('b', 1, b'2')


class _Script:
    """Answers calls in turn, and keeps what was asked."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.asked = []

    def newest(self, topic):
        self.asked.append('newest')
        return self._answers.pop(0)

    def read(self, topic, start, wait):
        self.asked.append(start)
        return self._answers.pop(0)


def _follow(store, peers, rounds):
    news, log = [], ListLog()
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    follower = RecordFollower(
        Topic.UPSTREAMS, store, peers, news.append, lambda: PACE, clock, log
    )
    pauses = [follower.follow_once() for _round in range(rounds)]
    return follower, news, log, pauses


def test_the_whole_list_comes_first_then_what_is_new():
    store = _Script(Records((FIRST,), 1), Records((SECOND,), 2))
    follower, news, _log, pauses = _follow(store, _Script(), 2)
    assert store.asked == ['newest', 1]
    assert [each.whole for each in news] == [True, False]
    assert follower.copy() == Records((FIRST, SECOND), 2)
    assert pauses == [REST, REST]


def test_a_trimmed_topic_is_read_anew():
    store = _Script(Records((FIRST,), 1), Trimmed(), Records((SECOND,), 9))
    follower, news, _log, _pauses = _follow(store, _Script(), 3)
    assert store.asked == ['newest', 1, 'newest']
    assert news[-1].whole
    assert not news[-1].after_outage
    assert follower.copy() == Records((SECOND,), 9)


def test_peers_are_asked_while_the_store_is_away():
    # The store refuses this host and serves the others. An upstream drains
    # meanwhile; the daemon hears of it from a peer.
    store = _Script(Records((FIRST,), 1), DOWN, DOWN, Records((FIRST,), 5))
    peers = _Script(Records((FIRST, SECOND), 2), Records((FIRST,), 1))
    _follower, news, log, pauses = _follow(store, peers, 4)
    assert [each.source for each in news] == ['store', 'peer', 'store']
    assert news[-1].after_outage
    assert len(log.of(DependencyLost)) == len(log.of(DependencyBack)) == 1
    assert all(each <= RETRY_PAUSE for each in pauses[1:3])


def test_without_store_and_peers_nothing_is_forgotten():
    store = _Script(Records((FIRST,), 1), DOWN)
    follower, news, _log, _pauses = _follow(store, _Script(DOWN), 2)
    assert len(news) == 1
    assert follower.copy() == Records((FIRST,), 1)


def test_records_of_another_era_are_read_whole():
    # The store lost some seconds and has given the offsets out again, up to
    # beyond the place of this reader. What it reads from there fits on
    # without a gap; only the era shows that other records lie below.
    store = _Script(
        Records((FIRST,), 1, 4),
        Records((), 1, 5),
        Records((SECOND,), 2, 5),
        Records((), 2, 5),
    )
    follower, news, log, _pauses = _follow(store, _Script(), 4)
    assert store.asked == ['newest', 1, 'newest', 2]
    assert [each.whole for each in news] == [True, True]
    assert (news[-1].era, news[-1].after_outage) == (5, True)
    assert follower.copy() == Records((SECOND,), 2, 5)
    assert log.of(StoreCameBackOlder) == [
        StoreCameBackOlder('store-upstreams', 5, 2)
    ]


def test_a_peers_copy_of_a_later_era_counts_though_it_ends_before():
    store = _Script(Records((FIRST,), 30, 4), DOWN)
    peers = _Script(Records((SECOND,), 2, 5))
    follower, news, _log, _pauses = _follow(store, peers, 2)
    assert news[-1].era == 5
    assert follower.copy() == Records((SECOND,), 2, 5)


def test_a_peers_copy_of_an_earlier_era_does_not_count():
    # The peer was frozen while the store came back.
    store = _Script(Records((FIRST,), 1, 5), DOWN)
    peers = _Script(Records((SECOND,), 40, 4))
    follower, news, _log, _pauses = _follow(store, peers, 2)
    assert len(news) == 1
    assert follower.copy() == Records((FIRST,), 1, 5)
