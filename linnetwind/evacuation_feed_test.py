"""Tests of evacuations that daemons read from the store or hear from peers."""

from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest

from linnetwind.address import Address
from linnetwind.admission.shared_retry_budget import RetryBudgetTerms
from linnetwind.clock import ManualClock
from linnetwind.cmd_status import SHOWN_METRICS
from linnetwind.gateway_events import (
    BadRecord,
    EvacuationChanged,
    EvacuationUnknown,
)
from linnetwind.gateway_feeds import FeedPorts, GatewayFeeds
from linnetwind.gateway_metrics import GatewayMetrics
from linnetwind.gateway_state import GatewayState
from linnetwind.record_store import (
    KeyedRecord,
    Records,
    StoreUnavailable,
    Topic,
)
from linnetwind.upstreams.upstream_list import UpstreamRecord
from standins.gateway_fixtures import make_peer, make_table, make_upstream
from standins.gateway_harness import ListLog

KEY = 'evacuate/b'
TABLE = ('table', b'1')
EVACUATE = (KEY, b'{}')
CANCEL = (KEY, None)
DOWN = StoreUnavailable('down')


class Store:
    """A store of which the first `seen` records are visible."""

    def __init__(self, *writes, era=0):
        """Start with records; all are visible."""
        self.writes = list(writes)
        self.era = era
        self.seen = None
        self.is_down = False

    def newest(self, topic):
        """Return the newest record of each key."""
        if self.is_down:
            return DOWN
        visible = self._visible(topic)
        newest = {each.key: each for each in visible}
        kept = [each for each in newest.values() if each.content]
        return Records(tuple(kept), len(visible), self.era)

    def read(self, topic, start, wait):
        """Return the records from an offset on."""
        if self.is_down:
            return DOWN
        visible = self._visible(topic)
        return Records(tuple(visible[start:]), len(visible), self.era)

    def _visible(self, topic):
        writes = self.writes[: self.seen]
        if topic is Topic.UPSTREAMS:
            writes = [('a', b'a'), ('b', b'b')]
        return [
            KeyedRecord(key, offset, content)
            for offset, (key, content) in enumerate(writes)
        ]


class Daemon:
    """The feeds of one daemon, run one round at a time."""

    def __init__(self, store, peer=None):
        """Start without having read anything."""
        clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        terms = RetryBudgetTerms(timedelta(seconds=10), 0.2, 88)
        self.log = ListLog()
        self.peer = peer
        self.store = store
        self.state = GatewayState(clock, Address('127.0.0.1', 1), terms)
        ports = FeedPorts(
            lambda: store,
            TABLE[0],
            lambda content: make_table(version=int(content)),
            _decode_upstream,
            'evacuate/',
            'a',
        )
        self.feeds = GatewayFeeds(ports, self.state, self, clock, self.log)
        self.rounds = {}
        self.feeds.start(self)

    def repeat_forever(self, work, name):
        """Collect the functions that the daemon's threads would repeat."""
        self.rounds[name] = work

    def newest(self, topic):
        """Query the peer."""
        copied = self.peer and self.peer.feeds.copy(topic)
        return copied or StoreUnavailable('no peer')

    def read(self):
        """Read both topics once; return the usable upstreams."""
        for topic in (Topic.CONFIGURATION, Topic.UPSTREAMS):
            self.rounds[f'store-{topic.value}']()
        return self.usable

    def hear(self, other):
        """Receive a state of another daemon; return the usable upstreams."""
        told = other.state.upstreams.evacuations.to_advertise
        self.feeds.apply_advertised(make_peer('p', evacuations=told))
        return self.usable

    @property
    def usable(self):
        """Return the names of the usable upstreams."""
        found = self.state.upstreams.usable('plain', timedelta())
        return ''.join(sorted(each.instance for each in found))


def _decode_upstream(record):
    upstream = make_upstream(record.key, 80 + ord(record.key), site=record.key)
    return UpstreamRecord(record.key, record.offset, upstream)


@pytest.fixture(name='store')
def _store():
    return Store(TABLE)


def test_an_evacuation_is_in_force_until_its_key_is_deleted(store):
    daemon = Daemon(store)
    assert daemon.read() == 'ab'
    store.writes.append(EVACUATE)
    assert daemon.read() == 'a'
    store.writes.append(CANCEL)
    assert daemon.read() == 'ab'
    assert daemon.log.of(EvacuationChanged) == [
        EvacuationChanged('b', True, 'store', 1, 1),
        EvacuationChanged('b', False, 'store', 2, 1),
    ]


def test_a_metric_says_which_data_centres_are_evacuated(store):
    daemon, metrics = Daemon(store), GatewayMetrics()
    for write in (EVACUATE, CANCEL):
        store.writes.append(write)
        daemon.read()
        metrics.observe(daemon.log.of(EvacuationChanged)[-1])
        evacuated = float(write == EVACUATE)
        line = f'linnetwind_evacuated{{site="b"}} {evacuated}'
        assert line in metrics.render().decode()
        assert line.startswith(SHOWN_METRICS)


def test_a_daemon_that_restarts_follows_an_evacuation_at_once(store):
    """Guards against requests there after all hosts have lost power."""
    store.writes.insert(0, EVACUATE)
    daemon = Daemon(store)
    seen = []
    apply_table = daemon.state.apply_table

    def record_evacuations(table):
        seen.append(daemon.state.upstreams.evacuations.sites)
        return apply_table(table)

    daemon.state.apply_table = record_evacuations
    assert daemon.read() == 'a'
    # Callers are accepted as soon as there is a configuration.
    assert seen == [{'b'}]


def test_a_daemon_that_starts_without_the_store_asks_a_peer(store):
    store.writes.append(EVACUATE)
    peer = Daemon(store)
    peer.read()
    starting = Daemon(Store(), peer)
    starting.store.is_down = True
    assert starting.read() == 'a'


def test_a_copy_holds_an_evacuation_that_a_peer_has_told(store):
    """Guards against a copier that is cut off from the store itself."""
    cut_off = Daemon(store)
    cut_off.read()
    newer = Daemon(Store(TABLE, EVACUATE))
    newer.read()
    cut_off.hear(newer)
    starting = Daemon(Store(), cut_off)
    starting.store.is_down = True
    assert starting.read() == 'a'


def test_peers_tell_of_evacuation_and_cancellation_during_an_outage(store):
    cut_off, other = Daemon(store), Daemon(Store(TABLE, EVACUATE))
    cut_off.read()
    store.is_down = True
    other.read()
    assert cut_off.hear(other) == 'a'
    assert cut_off.read() == 'a'
    other.store.writes.append(CANCEL)
    other.read()
    assert cut_off.hear(other) == 'ab'
    assert [each.source for each in cut_off.log.of(EvacuationChanged)] == [
        'p',
        'p',
    ]


@pytest.mark.parametrize('copied', [(), (KeyedRecord('table', 9, b'9'),)])
def test_a_copy_without_the_evacuation_does_not_cancel_it(store, copied):
    """Guards against daemons of an older version, which copy less."""
    store.writes.append(EVACUATE)
    daemon = Daemon(store)
    daemon.read()
    copies = {Topic.CONFIGURATION: Records(copied, 10), Topic.UPSTREAMS: DOWN}
    daemon.newest = copies.get
    store.is_down = True
    assert daemon.read() == 'a'
    for counter in (1, 2):
        told = make_peer('p', config_version=20, counter=counter)
        daemon.state.merge_advertised(told)
        daemon.rounds['configuration-behind']()
    assert daemon.usable == 'a'


def test_a_stale_complete_read_neither_cancels_nor_brings_back(store):
    store.writes.extend((EVACUATE, CANCEL))
    daemon = Daemon(store)
    for seen, usable in ((2, 'a'), (1, 'a'), (3, 'ab'), (2, 'ab')):
        store.is_down = True
        daemon.read()
        store.is_down = False
        store.seen = seen
        assert daemon.read() == usable


def test_both_halves_of_a_divided_fleet_follow_the_store(store):
    """Guards against a need for peers: only the store is reached here."""
    halves = [Daemon(store), Daemon(store)]
    behind = Daemon(Store(TABLE))
    store.writes.append(EVACUATE)
    assert [each.read() for each in (*halves, behind)] == ['a', 'a', 'ab']
    # A daemon that hears one half, and reads an older copy, follows it.
    assert behind.hear(halves[0]) == 'a'
    assert behind.read() == 'a'


def test_a_restored_store_cancels_only_with_what_it_holds(store):
    store.writes.append(EVACUATE)
    daemon = Daemon(store)
    daemon.read()
    store.is_down = True
    assert daemon.read() == 'a'
    store.is_down = False
    store.era = 1
    assert daemon.read() == 'a'
    store.writes.remove(EVACUATE)
    store.era = 2
    daemon.read()
    assert daemon.read() == 'ab'


def test_an_unknown_name_is_logged_once_and_has_no_effect(store):
    store.writes.extend((('evacuate/c', b'{}'), ('evacuate/', b'{}')))
    daemon = Daemon(store)
    assert [daemon.read(), daemon.read()] == ['ab', 'ab']
    assert daemon.log.of(EvacuationUnknown) == [EvacuationUnknown('c', 1)]
    assert [each.key for each in daemon.log.of(BadRecord)] == ['evacuate/']


def test_the_own_data_centre_and_those_of_peers_are_known(store):
    daemon = Daemon(store)
    daemon.state.merge_advertised(replace(make_peer('p'), site='c'))
    store.writes.append(('evacuate/c', b'{}'))
    daemon.read()
    assert not daemon.log.of(EvacuationUnknown)
